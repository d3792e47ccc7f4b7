// Package hop removes hop-by-hop HTTP headers, which concern one connection and must not
// be forwarded (RFC 9110, section 7.6.1).
package hop

import (
	"net/http"
	"strings"
)

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHeaders removes the hop-by-hop headers from h, and those that its Connection
// header names.
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
