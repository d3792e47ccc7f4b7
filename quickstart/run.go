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
	// loopbackAddr is a loopback address with a port that the system chooses.
	loopbackAddr = "127.0.0.1:0"
	// peersToken authenticates the quickstart's instances to each other.
	peersToken = "quickstart-peers-token"
	// readyPollInterval is how often readiness is polled.
	readyPollInterval = 50 * time.Millisecond
	// shutdownDelay is short, since no load balancer has to notice the shutdown.
	shutdownDelay = 200 * time.Millisecond
)

// Options configure Run and RunPlatform.
type Options struct {
	Listen  string        // first entry instance's address for client accounts; default 127.0.0.1:0
	Wait    time.Duration // wait for readiness at most; default DefaultWait
	Out     io.Writer     // receives the ready lines
	Log     logrus.FieldLogger
	Version string
}

// DefaultWait bounds the wait until the quickstart serves. Within the weight
// stores' limits the loads take some ten seconds.
const DefaultWait = 2 * time.Minute

// NotReadyError reports that the quickstart did not serve in time.
type NotReadyError struct {
	Waited  time.Duration
	Missing []string // targets without a replica, and instances' reasons for not being ready
	Err     error    // the context's error if the context ended first, else nil
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("not serving after %s: %v", e.Waited.Round(time.Millisecond), e.Missing)
}

// Unwrap returns the context's error, or nil.
func (e *NotReadyError) Unwrap() error { return e.Err }

// Run starts the stand-ins and the entry instances, prints one ready line for each
// partner once every declared model, adapter and service has a replica, and serves
// until ctx ends.
func Run(ctx context.Context, opts Options) error {
	if opts.Listen == "" {
		opts.Listen = loopbackAddr
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
	}).Info("platform stand-ins started")
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
		return printReadyLines(opts.Out, entries)
	})
	return group.Wait()
}

// newEntries creates one entry instance for each failure domain and adds it to the
// instance list.
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

// Settings returns the settings of an entry instance in failure domain d on this
// platform.
func (p *Platform) Settings(id string, d Domain) *settings.Settings {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Region: d.Region, FailureDomain: d.Name}
	for _, a := range []*settings.Addr{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		if err := a.UnmarshalText([]byte(loopbackAddr)); err != nil {
			panic(err) // loopbackAddr is a valid constant
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

// NewEntry creates an entry instance and adds it to the instance list.
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

// Publish appends the partners' files to the log as configuration changes.
func Publish(ctx context.Context, log infra.Log) error {
	files, err := Files()
	if err != nil {
		return err
	}
	var records [][]byte
	for n, f := range files {
		data, err := proto.Marshal(newChangeRecord(f, uint64(n+1)))
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	_, err = log.Append(ctx, infra.StreamConfig, records)
	return err
}

func newChangeRecord(f config.File, sequence uint64) *record.Record {
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

// WaitServing waits until every instance is ready and sees a replica of every target.
// After limit, or if ctx ends first, the error is a *NotReadyError.
func WaitServing(ctx context.Context, entries []*entry.Instance, limit time.Duration) error {
	started := time.Now()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		missing := findMissing(entries)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Waited: time.Since(started), Missing: missing, Err: ctx.Err()}
		case <-deadline.C:
			return &NotReadyError{Waited: limit, Missing: missing}
		case <-ticker.C:
		}
	}
}

// findMissing returns the instances' reasons for not being ready and the targets
// without a replica.
func findMissing(entries []*entry.Instance) []string {
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

// printReadyLines prints one ready line per partner, with the address of the entry
// instance in the partner's first failure domain.
func printReadyLines(out io.Writer, entries []*entry.Instance) error {
	lines := []struct{ partner, key, model string }{
		{FlightKitchen, FlightKitchenKey, "tray-planner"},
		{Instituto, InstitutoKey, "defect-describer"},
	}
	for _, l := range lines {
		url := "http://" + entries[firstDomainIndex(l.partner)].CallersAddr()
		if _, err := fmt.Fprintf(out, "ready url=%s key=%s partner=%s model=%s\n", url, l.key, l.partner, l.model); err != nil {
			return err
		}
	}
	return nil
}

// firstDomainIndex returns the index of the partner's first failure domain.
func firstDomainIndex(partner string) int {
	for n, d := range Domains() {
		if d.Partner == partner {
			return n
		}
	}
	return 0
}
