package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// ValueError says why the text of a value is invalid.
type ValueError struct {
	Value  string
	Reason string
}

// Error implements error.
func (e *ValueError) Error() string { return fmt.Sprintf("%q: %s", e.Value, e.Reason) }

// Addr is a listener's address: an IP address and a port.
type Addr struct{ netip.AddrPort }

// UnmarshalText parses IP:port. The error is a *ValueError.
func (a *Addr) UnmarshalText(text []byte) error {
	parsed, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return &ValueError{string(text), "not IP:port (an IP address, no host name)"}
	}
	a.AddrPort = parsed
	return nil
}

// overlaps reports whether listeners on both addresses would conflict: they have
// the same port, other than 0, and the same or an unspecified IP address.
func (a Addr) overlaps(b Addr) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// URL is the base URL of a platform service: http://IP:port, without a path.
type URL string

// UnmarshalText parses a URL. The error is a *ValueError.
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || parsed.Scheme != "http" || parsed.Path != "" || parsed.RawQuery != "" {
		return &ValueError{string(text), "not http://IP:port"}
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		return &ValueError{string(text), "not http://IP:port (an IP address, no host name)"}
	}
	*u = URL(text)
	return nil
}

// Duration is a duration written with its unit, such as "3s" or "500ms".
type Duration time.Duration

// UnmarshalText parses a duration. The error is a *ValueError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &ValueError{string(text), "not a duration with a unit, such as \"3s\" or \"500ms\""}
	}
	*d = Duration(parsed)
	return nil
}

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }
