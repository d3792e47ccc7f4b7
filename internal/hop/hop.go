// Package hop knows the HTTP headers that concern one connection and aren't
// passed on (RFC 9110, 7.6.1).
package hop

import (
	"net/http"
	"strings"
)

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Drop removes the headers that concern one connection, with those that its
// Connection header names.
func RemoveHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
