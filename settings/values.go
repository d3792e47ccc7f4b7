package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// ValueError says why a value can't be taken.
type ValueError struct {
	Value  string
	Reason string
}

// Error implements error.
func (e *ValueError) Error() string { return fmt.Sprintf("%q: %s", e.Value, e.Reason) }

// Addr is a listener's address: an IP number and a port.
type Addr struct{ netip.AddrPort }

// UnmarshalText reads IP:port. The error is a *ValueError.
func (a *Addr) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return &ValueError{string(text), "not IP:port (an IP number, no host name)"}
	}
	a.AddrPort = parsed
	return nil
}

// overlaps says whether one listener would take the other's connections.
func (a Addr) overlaps(b Addr) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// URL is the base of a platform service: http://IP:port, without a path.
type URL string

// UnmarshalText reads a URL. The error is a *ValueError.
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || parsed.Scheme != "http" || parsed.Path != "" || parsed.RawQuery != "" {
		return &ValueError{string(text), "not http://IP:port"}
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		return &ValueError{string(text), "not http://IP:port (an IP number, no host name)"}
	}
	*u = URL(text)
	return nil
}

// Duration is a time with its unit, as in "3s" or "500ms".
type Duration time.Duration

// UnmarshalText reads a duration. The error is a *ValueError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &ValueError{string(text), "not a time with a unit, such as \"3s\" or \"500ms\""}
	}
	*d = Duration(parsed)
	return nil
}

// Value returns the standard library's form.
func (d Duration) Value() time.Duration { return time.Duration(d) }
