// Package settings reads an entry instance's own settings: a TOML file that
// says who the instance is, where it listens and where the platform is. What
// the partners declare is not here but in package config.
//
// A value that is left out takes the default that its comment gives. A key that
// nothing asks for, a time without a unit, a host name in place of an IP number
// or two listeners on one address are refused with file, line and key.
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

// Instance says who the instance is.
type Instance struct {
	ID            string `toml:"id"`             // as on the platform's list; another one after each replacement; required
	Region        string `toml:"region"`         // required
	FailureDomain string `toml:"failure_domain"` // required
}

// Listen holds the three listeners' addresses, each IP:port and each another
// one. Port 0 lets the system choose.
type Listen struct {
	Callers   Addr `toml:"callers"`   // callers' HTTP; required
	Peers     Addr `toml:"peers"`     // other entry instances' twirp; required
	Operators Addr `toml:"operators"` // metrics, status and readiness; required
}

// Platform says where the platform's services are, each http://IP:port.
type Platform struct {
	Log         URL `toml:"log"`          // required
	Instances   URL `toml:"instances"`    // required
	WeightStore URL `toml:"weight_store"` // required
}

// Peers are the other entry instances, which the platform's list names.
type Peers struct {
	Token string   `toml:"token"` // shown on each call between entry instances; at least 16 bytes; required
	Seeds []string `toml:"seeds"` // IP:port of peers to ask while the platform is out of reach; default none
}

// Limits bound what callers can have the instance hold.
type Limits struct {
	MaxBodyBytes int64 `toml:"max_body_bytes"` // of one request; default 1 MiB
	MaxInFlight  int   `toml:"max_in_flight"`  // requests held at once, waiting ones included; default 4096
	AnswerBytes  int64 `toml:"answer_bytes"`   // answers kept for resends of claimed requests, all together; default 8 MiB
}

// Timing holds the times that operators may need to change.
type Timing struct {
	Lease         Duration `toml:"lease"`          // of a failure domain's placement; default 8s
	OrderFlight   Duration `toml:"order_flight"`   // the longest that an order can be under way; default 2s
	StatusEvery   Duration `toml:"status_every"`   // between two looks at one backend server; default 1s
	ListEvery     Duration `toml:"list_every"`     // between two looks at the platform's list; default 1s
	PlanEvery     Duration `toml:"plan_every"`     // between two placement plans; default 2s
	ShutdownDelay Duration `toml:"shutdown_delay"` // from readiness off to refusing new work; default 3s
	ShutdownLimit Duration `toml:"shutdown_limit"` // the most that requests in flight may take after that; default 2m
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"` // debug, info, warning or error; default info
}

// The defaults.
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

	// MinTokenBytes keeps the peers' token from being guessed.
	MinTokenBytes = 16
)

// Default returns settings with the defaults and nothing else.
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

// Load reads and checks a file. The error is a *tomlfile.Error, or an
// *os.PathError where the file can't be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse checks a file's content. The error is a *tomlfile.Error.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	if _, err := tomlfile.Decode(file, data, s); err != nil {
		return nil, err
	}
	if problem := s.check(); problem != nil {
		return nil, &tomlfile.Error{
			File:   file,
			Line:   tomlfile.Line(data, problem.key),
			Key:    problem.key.String(),
			Reason: problem.reason,
		}
	}
	return s, nil
}

// problem is what is wrong with one value.
type problem struct {
	key    toml.Key
	reason string
}

// check returns the first thing that is wrong, or nil.
func (s *Settings) check() *problem {
	checks := []func() *problem{s.checkRequired, s.checkAddresses, s.checkPeers, s.checkLimits, s.checkTiming, s.checkLog}
	for _, check := range checks {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

func (s *Settings) checkRequired() *problem {
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
			return &problem{r.key, "required, but not set"}
		}
	}
	return nil
}

func (s *Settings) checkAddresses() *problem {
	listeners := []struct {
		name string
		addr Addr
	}{{"callers", s.Listen.Callers}, {"peers", s.Listen.Peers}, {"operators", s.Listen.Operators}}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if a.addr.overlaps(b.addr) {
				return &problem{toml.Key{"listen", a.name}, "the same address as listen." + b.name}
			}
		}
	}
	return nil
}

func (s *Settings) checkPeers() *problem {
	if len(s.Peers.Token) < MinTokenBytes {
		return &problem{toml.Key{"peers", "token"}, "shorter than 16 bytes"}
	}
	for _, seed := range s.Peers.Seeds {
		var a Addr
		if err := a.UnmarshalText([]byte(seed)); err != nil {
			return &problem{toml.Key{"peers", "seeds"}, err.Error()}
		}
	}
	return nil
}

func (s *Settings) checkLimits() *problem {
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
			return &problem{toml.Key{"limits", l.name}, "must be above 0"}
		}
	}
	return nil
}

func (s *Settings) checkTiming() *problem {
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
			return &problem{toml.Key{"timing", t.name}, "must be above 0"}
		}
	}
	if s.Timing.OrderFlight*2 > s.Timing.Lease {
		return &problem{toml.Key{"timing", "order_flight"}, "more than half of timing.lease: a holder could hardly send an order"}
	}
	return nil
}

func (s *Settings) checkLog() *problem {
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		return &problem{toml.Key{"log", "level"}, "not a level: debug, info, warning or error"}
	}
	return nil
}
