package quickstart

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"greengageferry/config"
	"greengageferry/entry"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/settings"
)

const (
	// loopback lets the system choose a port.
	loopback = "127.0.0.1:0"
	// peersToken is shown between the quickstart's own instances.
	peersToken = "quickstart-peers-token"
	// readyEvery is how often readiness is looked at.
	readyEvery = 50 * time.Millisecond
	// shutdownDelay is short, since no balancer has to notice.
	shutdownDelay = 200 * time.Millisecond
)

// Options are what the quickstart is run with.
type Options struct {
	Listen  string        // the first entry instance's address for callers; default 127.0.0.1:0
	Wait    time.Duration // the longest to wait until it serves; default DefaultWait
	Out     io.Writer     // gets the ready lines
	Log     logrus.FieldLogger
	Version string
}

// DefaultWait is the longest that the quickstart waits until it serves: the
// loads take some ten seconds within the weight stores' limits.
const DefaultWait = 2 * time.Minute

// NotReadyError says that the quickstart did not serve in time.
type NotReadyError struct {
	Waited  time.Duration
	Missing []string // targets without a replica, or the reasons of an instance
	Err     error    // the context's end if that came first, else nil
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("not serving after %s: %v", e.Waited.Round(time.Millisecond), e.Missing)
}

// Unwrap returns the context's end.
func (e *NotReadyError) Unwrap() error { return e.Err }

// Run starts everything, prints one ready line for each partner once every
// declared model, adapter and service has a replica, and serves until ctx ends.
func Run(ctx context.Context, opts Options) error {
	if opts.Listen == "" {
		opts.Listen = loopback
	}
	if opts.Wait == 0 {
		opts.Wait = DefaultWait
	}
	p, err := StartPlatform(PlatformOptions{})
	if err != nil {
		return err
	}
	defer p.Close()
	opts.Log.WithFields(logrus.Fields{
		"log":   p.Servers["log"].URL(),
		"list":  p.Servers["list"].URL(),
		"store": p.Servers["store"].URL(),
	}).Info("platform started")
	if err := Publish(ctx, p.Log); err != nil {
		return err
	}
	entries, err := p.newEntries(opts)
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, e := range entries {
		group.Go(func() error { return e.Run(groupCtx) })
	}
	group.Go(func() error {
		if err := WaitServing(groupCtx, entries, opts.Wait); err != nil {
			return err
		}
		return announce(opts.Out, entries)
	})
	return group.Wait()
}

// newEntries makes one entry instance for each failure domain and puts it on
// the list.
func (p *Platform) newEntries(opts Options) ([]*entry.Instance, error) {
	var entries []*entry.Instance
	for n, d := range Domains() {
		s := p.Settings("entry-"+d.Name, d)
		if n == 0 {
			if err := s.Listen.Callers.UnmarshalText([]byte(opts.Listen)); err != nil {
				return nil, err
			}
		}
		e, err := p.NewEntry(s, opts.Log, opts.Version)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Settings returns an entry instance's settings for this platform.
func (p *Platform) Settings(id string, d Domain) *settings.Settings {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Region: d.Region, FailureDomain: d.Name}
	for _, a := range []*settings.Addr{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		if err := a.UnmarshalText([]byte(loopback)); err != nil {
			panic(err) // loopback is a constant address
		}
	}
	s.Platform = settings.Platform{
		Log:         settings.URL(p.Servers["log"].URL()),
		Instances:   settings.URL(p.Servers["list"].URL()),
		WeightStore: settings.URL(p.Servers["store"].URL()),
	}
	s.Peers.Token = peersToken
	s.Timing.ShutdownDelay = settings.Duration(shutdownDelay)
	return s
}

// NewEntry makes an entry instance and puts it on the list.
func (p *Platform) NewEntry(s *settings.Settings, log logrus.FieldLogger, version string) (*entry.Instance, error) {
	e, err := entry.New(entry.Options{Settings: s, Log: log, Version: version})
	if err != nil {
		return nil, err
	}
	p.List.Put(infra.Instance{
		ID:            s.Instance.ID,
		Role:          infra.RoleEntry,
		State:         infra.StateLive,
		Region:        s.Instance.Region,
		FailureDomain: s.Instance.FailureDomain,
		Addr:          e.PeersAddr(),
	})
	return e, nil
}

// Publish puts the partners' files on the log as changes.
func Publish(ctx context.Context, log infra.Log) error {
	files, err := Files()
	if err != nil {
		return err
	}
	var records [][]byte
	for n, f := range files {
		data, err := proto.Marshal(changeOf(f, uint64(n+1)))
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	_, err = log.Append(ctx, infra.StreamConfig, records)
	return err
}

func changeOf(f config.File, sequence uint64) *record.Record {
	return &record.Record{
		Origin:   "quickstart",
		Sequence: sequence,
		Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{
			File:    f.Name,
			Partner: f.Partner,
			Author:  f.Author,
			Content: f.Content,
		}},
	}
}

// WaitServing waits until every instance is ready and sees a replica of every
// target. The error is a *NotReadyError.
func WaitServing(ctx context.Context, entries []*entry.Instance, limit time.Duration) error {
	began := time.Now()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		missing := notServing(entries)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Waited: time.Since(began), Missing: missing, Err: ctx.Err()}
		case <-deadline.C:
			return &NotReadyError{Waited: limit, Missing: missing}
		case <-ticker.C:
		}
	}
}

// notServing returns what is missing.
func notServing(entries []*entry.Instance) []string {
	var missing []string
	for _, e := range entries {
		status := e.Status()
		missing = append(missing, status.NotReady...)
		for _, target := range status.Targets {
			if target.Replicas == 0 {
				missing = append(missing, target.Target)
			}
		}
		if len(status.Targets) == 0 {
			missing = append(missing, "targets")
		}
	}
	return missing
}

// announce prints the ready lines: a partner's is its own first instance.
func announce(out io.Writer, entries []*entry.Instance) error {
	lines := []struct{ partner, key, model string }{
		{FlightKitchen, FlightKitchenKey, "tray-planner"},
		{Instituto, InstitutoKey, "defect-describer"},
	}
	for _, l := range lines {
		url := "http://" + entries[firstOf(l.partner)].CallersAddr()
		if _, err := fmt.Fprintf(out, "ready url=%s key=%s partner=%s model=%s\n", url, l.key, l.partner, l.model); err != nil {
			return err
		}
	}
	return nil
}

// firstOf returns the index of the partner's first failure domain.
func firstOf(partner string) int {
	for n, d := range Domains() {
		if d.Partner == partner {
			return n
		}
	}
	return 0
}
