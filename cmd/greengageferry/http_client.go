package main

import (
	"net/http"

	"greengageferry/netconn"
)

// newHTTPClient returns a client for one command's calls. It takes no broken answer for a complete one.
func newHTTPClient() *http.Client {
	settings := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Transport: netconn.SendOnce(settings)}
}
