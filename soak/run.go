package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"greengageferry/platform/standin"
)

// Bounds are how long the product may take, once every fault has ended.
type Bounds struct {
	Recover time.Duration // until every kind of request is served by every instance
	Config  time.Duration // from a change of the configuration until all obey it
	Drain   time.Duration // until a server that leaves gets no more requests
}

// PromisedBounds are the bounds that the users' deployments have. Where they
// decide, the machine must not be overloaded.
var PromisedBounds = Bounds{Recover: 15 * time.Second, Config: 3 * time.Second, Drain: 3 * time.Second}

// Options is what a run is built from.
type Options struct {
	Binary string // the program
	Seed   uint64
	Length time.Duration // of the time in which faults begin
	Bounds Bounds
	Out    io.Writer // what happens, a line each
}

// Report is what a run showed.
type Report struct {
	Requests, Served int
	Violations       []Violation
	Logs             string // the directory of the instances' logs
}

// Run plays one seed: faults, then calm in which everything must come back. Its
// error means that the run itself failed.
func Run(o Options) (*Report, error) {
	w, err := newWorld(worldOptions{Binary: o.Binary, Run: int(o.Seed)})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	c := newCrowd(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.run(ctx, o.Seed)
	r := &runner{world: w, opts: o, out: o.Out}
	err = r.play()
	cancel()
	c.group.Wait()
	if err != nil {
		return nil, err
	}
	report := &Report{Logs: w.dir, Violations: append(r.violations, Judge(w.History)...)}
	for _, p := range w.Instances {
		for _, end := range p.OwnEnds() {
			report.Violations = append(report.Violations, Violation{"programs don't end by themselves", end})
		}
	}
	lines, err := alarms(w.dir)
	if err != nil {
		return nil, err
	}
	report.Violations = append(report.Violations, lines...)
	for _, res := range w.History.results {
		report.Requests++
		if res.Served() {
			report.Served++
		}
	}
	return report, nil
}

// alarms returns the lines of the instances' logs that must never come.
func alarms(dir string) ([]Violation, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var out []Violation
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			if l := lines.Text(); strings.Contains(l, "level=error") || strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
				out = append(out, Violation{"nothing panics", filepath.Base(file) + ": " + l})
			}
		}
		_ = f.Close() // it was only read
	}
	return out, nil
}

// runner plays the parts of a run, one after the other.
type runner struct {
	world      *World
	opts       Options
	out        io.Writer
	violations []Violation
}

func (r *runner) broken(promise, format string, args ...any) {
	r.violations = append(r.violations, Violation{promise, fmt.Sprintf(format, args...)})
}

func (r *runner) play() error {
	if _, ok := r.until(r.opts.Bounds.Recover, r.allServe); !ok {
		r.broken("a fresh deployment serves", "after %s: %s", r.opts.Bounds.Recover, r.whoFails())
		return nil
	}
	faults := schedule(r.opts.Seed, r.opts.Length)
	for _, f := range faults {
		fmt.Fprintf(r.out, "seed=%d %s\n", r.opts.Seed, f)
	}
	if err := inject(context.Background(), r.world, faults); err != nil {
		return err
	}
	if err := r.world.Heal(); err != nil {
		return err
	}
	took, ok := r.until(r.opts.Bounds.Recover, r.allServe)
	fmt.Fprintf(r.out, "seed=%d recovered=%t took=%s\n", r.opts.Seed, ok, took.Round(time.Millisecond))
	if !ok {
		r.broken("everything is served again after the faults", "after %s: %s", r.opts.Bounds.Recover, r.whoFails())
		return nil
	}
	return r.calm()
}

// calm checks the promises that hold while nothing is disturbed.
func (r *runner) calm() error {
	time.Sleep(time.Second) // what faults left behind in flight ends
	began := time.Now()
	if err := r.world.Configure(); err != nil {
		return err
	}
	path := standin.VersionPath(r.world.Version())
	if _, ok := r.until(r.opts.Bounds.Config, func() bool { return r.each(func(p *Process) bool { return r.probe(p, path, "") }) }); !ok {
		r.broken("a configuration is in force in time", "%s isn't after %s", path, r.opts.Bounds.Config)
	}
	r.drainServer()
	r.terminate()
	time.Sleep(time.Second) // what was sent before has ended
	r.judgeCalm(began)
	return nil
}

// quietFor is how long a server that leaves must have got nothing to count as left.
const quietFor = time.Second

// drainServer has a plain server leave and checks that it gets nothing more.
func (r *runner) drainServer() {
	p := r.world.places[desksAt()]
	server := p.server.Load()
	server.Drain()
	_, ok := r.until(r.opts.Bounds.Drain, func() bool {
		before := len(server.RunCounts())
		time.Sleep(quietFor)
		return len(server.RunCounts()) == before
	})
	if !ok {
		r.broken("a server that leaves gets no more requests", "it still does after %s", r.opts.Bounds.Drain)
	}
	r.world.Replace(p, 0)
}

// desksAt returns the place of the first plain server.
func desksAt() int { return enginesPerDomain }

// terminate ends one instance in order, while callers use it.
func (r *runner) terminate() {
	p := r.world.Instances[int(r.opts.Seed)%len(r.world.Instances)]
	p.Signal(syscall.SIGTERM)
	p.AwaitEnd()
}

// judgeCalm checks what callers saw while nothing was disturbed: no request that
// reached a server is cut off, and nearly all are served.
func (r *runner) judgeCalm(began time.Time) {
	h := r.world.History
	reached := map[string]time.Time{}
	h.mu.Lock()
	for _, a := range h.arrivals {
		reached[a.Ask.ID] = a.At
	}
	h.mu.Unlock()
	total, served := 0, 0
	for _, res := range h.since(began) {
		if res.Ended.Sub(res.Sent) < callerTimeout-leavesAfter && errors.Is(res.Err, context.DeadlineExceeded) {
			continue // the caller left
		}
		total++
		if res.Served() {
			served++
		}
		if at, ok := reached[res.Ask.ID]; ok && res.Err != nil {
			r.broken("planned work cuts nothing off", "%s: %v, %s after it reached a server", res.Ask.ID, res.Err, res.Ended.Sub(at))
		}
	}
	fmt.Fprintf(r.out, "seed=%d calm_requests=%d calm_served=%d\n", r.opts.Seed, total, served)
	if float64(served) < calmServed*float64(total) {
		r.broken("a calm deployment serves", "%d of %d", served, total)
	}
}

// calmServed is the least share that is served in calm: a model that a server
// just loads, or one that left, may refuse a few.
const calmServed = 0.9

// until waits until a condition holds and returns how long that took.
func (r *runner) until(bound time.Duration, holds func() bool) (time.Duration, bool) {
	began := time.Now()
	for {
		if holds() {
			return time.Since(began), true
		}
		if time.Since(began) > bound {
			return time.Since(began), false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// each asks all instances at once.
func (r *runner) each(ok func(*Process) bool) bool {
	var group errgroup.Group
	for _, p := range r.world.Instances {
		group.Go(func() error {
			if !ok(p) {
				return errors.New("not ok")
			}
			return nil
		})
	}
	return group.Wait() == nil
}

// probes are the requests that must be served: one of each kind.
var probes = []struct{ path, model string }{
	{standin.PlainPath, ""},
	{standin.StreamPath, standin.BusyModel},
	{standin.StreamPath, standin.RareModel},
}

// allServe says whether every instance serves every kind of request.
func (r *runner) allServe() bool {
	return r.each(func(p *Process) bool {
		for _, ask := range probes {
			if !r.probe(p, ask.path, ask.model) {
				return false
			}
		}
		return true
	})
}

// whoFails names the probes that are not served.
func (r *runner) whoFails() string {
	var out []string
	for _, p := range r.world.Instances {
		for _, ask := range probes {
			if !r.probe(p, ask.path, ask.model) {
				out = append(out, p.Node.Name+" "+ask.path+ask.model)
			}
		}
	}
	return strings.Join(out, ", ")
}

// probe sends one request to an instance and says whether it was served.
func (r *runner) probe(p *Process, path, model string) bool {
	res := r.world.probe(p, path, model)
	return res.Served()
}
