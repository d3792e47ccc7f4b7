// Package settings reads an entry instance's own settings: a TOML file with the
// instance's identity, its listeners' addresses and the addresses of the
// platform's services. The partners' declarations are in package config.
//
// Load and Parse return Settings. Settings that the file leaves out have the
// defaults given in their comments. Unknown keys, durations without a unit, host
// names instead of IP addresses and two listeners on one address are errors that
// name the file, the line and the key.
package settings

import (
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/sirupsen/logrus"

	"greengageferry/tomlfile"
)

// Settings are an entry instance's settings.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Limits   Limits   `toml:"limits"`
	Timing   Timing   `toml:"timing"`
	Log      Log      `toml:"log"`
}

// Instance identifies the instance.
type Instance struct {
	ID            string `toml:"id"`             // as on the platform's list; a replacement instance has a new one; required
	Region        string `toml:"region"`         // required
	FailureDomain string `toml:"failure_domain"` // required
}

// Listen holds the addresses of the three listeners, each IP:port and all
// different. With port 0 the operating system chooses the port.
type Listen struct {
	Callers   Addr `toml:"callers"`   // HTTP for clients; required
	Peers     Addr `toml:"peers"`     // Twirp for other entry instances; required
	Operators Addr `toml:"operators"` // metrics, status and readiness; required
}

// Platform holds the base URLs of the platform's services, each http://IP:port.
type Platform struct {
	Log         URL `toml:"log"`          // log service; required
	Instances   URL `toml:"instances"`    // list of instances and backend servers; required
	WeightStore URL `toml:"weight_store"` // store of model weights; required
}

// Peers holds the settings for communication with other entry instances.
type Peers struct {
	Token string   `toml:"token"` // shared secret sent with each call between entry instances; at least 16 bytes; required
	Seeds []string `toml:"seeds"` // IP:port of peers to contact while the platform is unreachable; default none
}

// Limits bounds the memory and the requests that clients can make the instance hold.
type Limits struct {
	MaxBodyBytes int64 `toml:"max_body_bytes"` // maximum body size of one request, in bytes; default 1 MiB
	MaxInFlight  int   `toml:"max_in_flight"`  // maximum number of concurrent requests, including queued ones; default 4096
	AnswerBytes  int64 `toml:"answer_bytes"`   // total size of the answers kept for resends of claimed requests, in bytes; default 8 MiB
}

// Timing holds the durations that operators may need to change.
type Timing struct {
	Lease         Duration `toml:"lease"`          // duration of the lease to place models in a failure domain; default 8s
	OrderFlight   Duration `toml:"order_flight"`   // maximum time that an order to a backend server can be in flight; default 2s
	StatusEvery   Duration `toml:"status_every"`   // interval between status queries to one backend server; default 1s
	ListEvery     Duration `toml:"list_every"`     // interval between reads of the platform's list; default 1s
	PlanEvery     Duration `toml:"plan_every"`     // interval between placement plans; default 2s
	ShutdownDelay Duration `toml:"shutdown_delay"` // time from reporting not ready to rejecting new requests; default 3s
	ShutdownLimit Duration `toml:"shutdown_limit"` // maximum time after that for requests in flight to end; default 2m
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"` // minimum level: debug, info, warning or error; default info
}

// Default values.
const (
	DefaultMaxBodyBytes  = 1 << 20
	DefaultMaxInFlight   = 4096
	DefaultAnswerBytes   = 8 << 20
	DefaultLease         = 8 * time.Second
	DefaultOrderFlight   = 2 * time.Second
	DefaultStatusEvery   = time.Second
	DefaultListEvery     = time.Second
	DefaultPlanEvery     = 2 * time.Second
	DefaultShutdownDelay = 3 * time.Second
	DefaultShutdownLimit = 2 * time.Minute
	DefaultLogLevel      = "info"

	// MinTokenBytes is the minimum length of the peers' token, so that it can't be
	// guessed.
	MinTokenBytes = 16
)

// Default returns settings that have only the default values.
func Default() *Settings {
	return &Settings{
		Limits: Limits{
			MaxBodyBytes: DefaultMaxBodyBytes,
			MaxInFlight:  DefaultMaxInFlight,
			AnswerBytes:  DefaultAnswerBytes,
		},
		Timing: Timing{
			Lease:         Duration(DefaultLease),
			OrderFlight:   Duration(DefaultOrderFlight),
			StatusEvery:   Duration(DefaultStatusEvery),
			ListEvery:     Duration(DefaultListEvery),
			PlanEvery:     Duration(DefaultPlanEvery),
			ShutdownDelay: Duration(DefaultShutdownDelay),
			ShutdownLimit: Duration(DefaultShutdownLimit),
		},
		Log: Log{Level: DefaultLogLevel},
	}
}

// Load reads and validates a file. The error is an *os.PathError if the file can't
// be read, and a *tomlfile.Error if its content is invalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse parses and validates a file's content. The error is a *tomlfile.Error.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	if _, err := tomlfile.Decode(file, data, s); err != nil {
		return nil, err
	}
	if invalid := s.check(); invalid != nil {
		return nil, &tomlfile.Error{
			File:   file,
			Line:   tomlfile.Line(data, invalid.key),
			Key:    invalid.key.String(),
			Reason: invalid.reason,
		}
	}
	return s, nil
}

// invalidValue says why a setting's value is invalid.
type invalidValue struct {
	key    toml.Key
	reason string
}

// check returns the first invalid value, or nil.
func (s *Settings) check() *invalidValue {
	checks := []func() *invalidValue{s.checkRequired, s.checkAddresses, s.checkPeers, s.checkLimits, s.checkTiming, s.checkLog}
	for _, check := range checks {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

func (s *Settings) checkRequired() *invalidValue {
	required := []struct {
		key   toml.Key
		unset bool
	}{
		{toml.Key{"instance", "id"}, s.Instance.ID == ""},
		{toml.Key{"instance", "region"}, s.Instance.Region == ""},
		{toml.Key{"instance", "failure_domain"}, s.Instance.FailureDomain == ""},
		{toml.Key{"listen", "callers"}, !s.Listen.Callers.IsValid()},
		{toml.Key{"listen", "peers"}, !s.Listen.Peers.IsValid()},
		{toml.Key{"listen", "operators"}, !s.Listen.Operators.IsValid()},
		{toml.Key{"platform", "log"}, s.Platform.Log == ""},
		{toml.Key{"platform", "instances"}, s.Platform.Instances == ""},
		{toml.Key{"platform", "weight_store"}, s.Platform.WeightStore == ""},
		{toml.Key{"peers", "token"}, s.Peers.Token == ""},
	}
	for _, r := range required {
		if r.unset {
			return &invalidValue{r.key, "required, but not set"}
		}
	}
	return nil
}

func (s *Settings) checkAddresses() *invalidValue {
	listeners := []struct {
		name string
		addr Addr
	}{{"callers", s.Listen.Callers}, {"peers", s.Listen.Peers}, {"operators", s.Listen.Operators}}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if a.addr.overlaps(b.addr) {
				return &invalidValue{toml.Key{"listen", a.name}, "the same address as listen." + b.name}
			}
		}
	}
	return nil
}

func (s *Settings) checkPeers() *invalidValue {
	if len(s.Peers.Token) < MinTokenBytes {
		return &invalidValue{toml.Key{"peers", "token"}, "shorter than 16 bytes"}
	}
	for _, seed := range s.Peers.Seeds {
		var a Addr
		if err := a.UnmarshalText([]byte(seed)); err != nil {
			return &invalidValue{toml.Key{"peers", "seeds"}, err.Error()}
		}
	}
	return nil
}

func (s *Settings) checkLimits() *invalidValue {
	limits := []struct {
		name  string
		value int64
	}{
		{"max_body_bytes", s.Limits.MaxBodyBytes},
		{"max_in_flight", int64(s.Limits.MaxInFlight)},
		{"answer_bytes", s.Limits.AnswerBytes},
	}
	for _, l := range limits {
		if l.value <= 0 {
			return &invalidValue{toml.Key{"limits", l.name}, "must be above 0"}
		}
	}
	return nil
}

func (s *Settings) checkTiming() *invalidValue {
	times := []struct {
		name  string
		value Duration
	}{
		{"lease", s.Timing.Lease},
		{"order_flight", s.Timing.OrderFlight},
		{"status_every", s.Timing.StatusEvery},
		{"list_every", s.Timing.ListEvery},
		{"plan_every", s.Timing.PlanEvery},
		{"shutdown_delay", s.Timing.ShutdownDelay},
		{"shutdown_limit", s.Timing.ShutdownLimit},
	}
	for _, t := range times {
		if t.value <= 0 {
			return &invalidValue{toml.Key{"timing", t.name}, "must be above 0"}
		}
	}
	if s.Timing.OrderFlight*2 > s.Timing.Lease {
		return &invalidValue{toml.Key{"timing", "order_flight"}, "must be at most half of timing.lease: otherwise a lease holder has hardly any time to send orders"}
	}
	return nil
}

func (s *Settings) checkLog() *invalidValue {
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		return &invalidValue{toml.Key{"log", "level"}, "not a level: debug, info, warning or error"}
	}
	return nil
}
