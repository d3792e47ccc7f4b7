package relay

import (
	"net/url"
	"strings"
)

// targetURL returns the URL of a request to the address whose request target is sent exactly as the
// caller sent it, and whether net/http can do so.
func targetURL(addr, target string) (*url.URL, bool) {
	u := &url.URL{Scheme: "http", Host: addr, Opaque: target}
	if strings.HasPrefix(target, "//") { // net/http would complete an opaque one by the scheme
		path, query, hasQuery := strings.Cut(target, "?")
		u = &url.URL{Scheme: "http", Host: addr, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
		var err error
		if u.Path, err = url.PathUnescape(path); err != nil {
			return nil, false
		}
	}
	return u, u.RequestURI() == target
}
