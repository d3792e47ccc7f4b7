package main

import (
	"net/http"

	"greengageferry/netconn"
)

// newHTTPClient returns a client for one command's calls. It takes no broken answer for a complete
// one, and reads at most maxResponseBytes of an answer.
func newHTTPClient() *http.Client {
	settings := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Transport: netconn.LimitBodies(netconn.SendOnce(settings), maxResponseBytes)}
}
