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

	"greengageferry/internal/schedlag"
	"greengageferry/platform/standin"
)

// Bounds are the longest times that the product may take after all faults have ended.
type Bounds struct {
	Recover time.Duration // until every instance serves every kind of request
	Config  time.Duration // from a configuration change until all instances apply it
	Drain   time.Duration // until a leaving server gets no more requests
}

// RequiredBounds are the bounds that apply to users' deployments. Results under them are
// valid only if the machine is not overloaded.
var RequiredBounds = Bounds{Recover: 15 * time.Second, Config: 3 * time.Second, Drain: 3 * time.Second}

// Options configures a run.
type Options struct {
	Binary      string // path of the executable
	OtherBinary string // path of the executable of every second instance; empty: Binary
	Seed        uint64
	FaultPeriod time.Duration // period in which faults start
	Bounds      Bounds
	Crowd       bool      // most new connections come to one instance for a while
	Out         io.Writer // receives one line per fault and result
}

// Report is the result of a run.
type Report struct {
	Requests, Served int
	Violations       []Violation
	LogDir           string // directory of the instances' log files
	Lag              string // how long goroutines of this process waited for a processor
}

// Run plays one seed: it injects faults, waits until everything has recovered, and checks
// the deployment without faults. An error means that the run itself failed.
func Run(o Options) (*Report, error) {
	d, err := newDeployment(deploymentOptions{Binary: o.Binary, OtherBinary: o.OtherBinary, Run: int(o.Seed), Contention: drawContention(o.Seed)})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	lag := schedlag.Start()
	load := newLoadGenerator(d, hasLightLoad(o.Seed))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load.run(ctx, o.Seed)
	r := &runner{deployment: d, load: load, opts: o, out: o.Out}
	err = r.runPhases()
	cancel()
	load.group.Wait()
	if err != nil {
		return nil, err
	}
	for _, p := range d.History.contended {
		byUrgent, byAccount := d.History.sharesIn(p)
		fmt.Fprintf(o.Out, "seed=%d contended urgent=%v accounts=%v flooding=%s\n", o.Seed, byUrgent, byAccount, p.flooding)
	}
	report := &Report{LogDir: d.dir, Lag: lag.String(), Violations: append(r.violations, Check(d.History)...)}
	fmt.Fprintf(o.Out, "seed=%d resumptions=%d gaps_not_told=%d copied_refusals=%d\n", o.Seed, d.History.resumptions(), d.History.gapsNotTold, d.refusals.copies.Load())
	for _, p := range d.Instances {
		for _, exit := range p.UnexpectedExits() {
			report.Violations = append(report.Violations, Violation{"instances do not exit unexpectedly", exit})
		}
	}
	logged, err := scanLogs(d.dir)
	if err != nil {
		return nil, err
	}
	report.Violations = append(report.Violations, logged...)
	for _, res := range d.History.results {
		report.Requests++
		if res.Served() {
			report.Served++
		}
	}
	return report, nil
}

// scanLogs returns a violation for each line of the instances' logs that must never appear:
// errors, panics and fatal errors of the Go runtime.
func scanLogs(dir string) ([]Violation, error) {
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
				out = append(out, Violation{"logs contain no errors or panics", filepath.Base(file) + ": " + l})
			}
		}
		_ = f.Close() // opened only for reading
	}
	return out, nil
}

// runner runs the phases of a run in order.
type runner struct {
	deployment *Deployment
	load       *loadGenerator
	opts       Options
	out        io.Writer
	violations []Violation
}

// violated records a violation of a rule.
func (r *runner) violated(rule, format string, args ...any) {
	r.violations = append(r.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// runPhases waits until the new deployment serves, injects the faults, and checks the recovery
// and the phase without faults. An error means that the run itself failed.
func (r *runner) runPhases() error {
	if _, ok := r.waitUntil(r.opts.Bounds.Recover, r.allServe); !ok {
		r.violated("a fresh deployment serves", "after %s: %s", r.opts.Bounds.Recover, r.failingProbes())
		return nil
	}
	faults := schedule(r.opts.Seed, r.opts.FaultPeriod)
	for _, f := range faults {
		fmt.Fprintf(r.out, "seed=%d %s\n", r.opts.Seed, f)
	}
	if err := inject(context.Background(), r.deployment, faults); err != nil {
		return err
	}
	if err := r.deployment.Heal(); err != nil {
		return err
	}
	took, ok := r.waitUntil(r.opts.Bounds.Recover, r.allServe)
	fmt.Fprintf(r.out, "seed=%d recovered=%t took=%s\n", r.opts.Seed, ok, took.Round(time.Millisecond))
	if !ok {
		r.violated("all requests are served again after the faults", "after %s: %s", r.opts.Bounds.Recover, r.failingProbes())
		return nil
	}
	r.load.light.Store(false) // the share that is served is of enough requests in all runs
	r.sendCrashingRequests()
	r.checkCrashingParts()
	if r.opts.Crowd {
		r.checkCrowdedInstance()
	}
	return r.checkCalm()
}

// checkCalm checks the rules that apply while no faults are injected.
func (r *runner) checkCalm() error {
	time.Sleep(time.Second) // lets requests sent during the faults end
	start := time.Now()
	if err := r.deployment.WriteNextConfig(); err != nil {
		return err
	}
	path := standin.VersionPath(r.deployment.ConfigVersion())
	if _, ok := r.waitUntil(r.opts.Bounds.Config, func() bool { return r.allInstances(func(p *Process) bool { return r.probe(p, path, "") }) }); !ok {
		r.violated("a configuration is in force in time", "%s is not served by all instances after %s", path, r.opts.Bounds.Config)
	}
	r.drainServer()
	r.terminateOne()
	time.Sleep(time.Second) // lets requests in flight end
	r.checkCalmResults(start)
	return nil
}

// sendCrashingRequests sends requests that crash each server that runs them, again and again
// through all instances, and checks how many servers each crashes.
func (r *runner) sendCrashingRequests() {
	for _, path := range []string{standin.VersionPath(r.deployment.ConfigVersion()), standin.PlainPath} {
		c := crashingRequest{path: path + standin.CrashPath + "-calm", restart: restartDelays[int(r.opts.Seed)%len(restartDelays)]}
		crashes := r.deployment.sendCrashing(c, crashingCopies, r.nextInstance)
		if crashes > maxCrashes {
			r.violated("a request crashes few servers", "%s crashed %d", c.path, crashes)
		}
	}
	r.waitUntil(r.opts.Bounds.Recover, r.allServe)
}

// nextInstance returns the nth instance, in turn.
func (r *runner) nextInstance(n int) *Process {
	return r.deployment.Instances[n%len(r.deployment.Instances)]
}

// quietPeriod is how long a leaving server must run no requests to count as drained.
const quietPeriod = time.Second

// drainServer drains a plain server and checks that it stops getting requests.
func (r *runner) drainServer() {
	e := r.deployment.endpoints[firstPlainEndpoint()]
	server := e.server.Load()
	server.Drain()
	_, ok := r.waitUntil(r.opts.Bounds.Drain, func() bool {
		before := len(server.RunCounts())
		time.Sleep(quietPeriod)
		return len(server.RunCounts()) == before
	})
	if !ok {
		r.violated("a leaving server gets no more requests", "it still runs requests after %s", r.opts.Bounds.Drain)
	}
	r.deployment.Replace(e, 0)
}

// firstPlainEndpoint returns the index of the first endpoint of a plain server.
func firstPlainEndpoint() int { return engineServersPerDomain }

// terminateOne terminates one instance gracefully while callers use it.
func (r *runner) terminateOne() {
	p := r.deployment.Instances[int(r.opts.Seed)%len(r.deployment.Instances)]
	p.Signal(syscall.SIGTERM)
	p.AwaitExit()
}

// checkCalmResults checks the results of requests sent without faults: no request that has
// reached a server is cut off, and nearly all are served.
func (r *runner) checkCalmResults(start time.Time) {
	h := r.deployment.History
	reached := map[string]time.Time{}
	h.mu.Lock()
	for _, a := range h.arrivals {
		reached[a.Ask.ID] = a.At
	}
	h.mu.Unlock()
	total, served := 0, 0
	for _, res := range h.resultsSince(start) {
		if res.Ended.Sub(res.Sent) < callerTimeout-cancelDelay && errors.Is(res.Err, context.DeadlineExceeded) {
			continue // the caller canceled the request
		}
		total++
		if res.Served() {
			served++
		}
		if at, ok := reached[res.Ask.ID]; ok && res.Err != nil {
			r.violated("planned changes cut off no request", "%s: %v, %s after it reached a server", res.Ask.ID, res.Err, res.Ended.Sub(at))
		}
	}
	fmt.Fprintf(r.out, "seed=%d calm_requests=%d calm_served=%d\n", r.opts.Seed, total, served)
	if float64(served) < minServedShare*float64(total) {
		r.violated("a deployment without faults serves nearly all requests", "%d of %d served", served, total)
	}
}

// minServedShare is the least share of requests that is served without faults. A few may
// be refused while a server loads a model or after a server has left.
const minServedShare = 0.9

// waitUntil polls a condition until it holds or bound has passed. It returns the time taken
// and whether the condition held.
func (r *runner) waitUntil(bound time.Duration, holds func() bool) (time.Duration, bool) {
	start := time.Now()
	for {
		if holds() {
			return time.Since(start), true
		}
		if time.Since(start) > bound {
			return time.Since(start), false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// allInstances reports whether ok returns true for every instance. It checks all instances
// concurrently.
func (r *runner) allInstances(ok func(*Process) bool) bool {
	var group errgroup.Group
	for _, p := range r.deployment.Instances {
		group.Go(func() error {
			if !ok(p) {
				return errors.New("condition not met")
			}
			return nil
		})
	}
	return group.Wait() == nil
}

// probeRequests are one request of each kind. All must be served.
var probeRequests = []struct{ path, model string }{
	{standin.PlainPath, ""},
	{standin.StreamPath, standin.BusyModel},
	{standin.StreamPath, standin.RareModel},
}

// allServe reports whether every instance serves every kind of request.
func (r *runner) allServe() bool {
	return r.allInstances(func(p *Process) bool {
		for _, req := range probeRequests {
			if !r.probe(p, req.path, req.model) {
				return false
			}
		}
		return true
	})
}

// failingProbes returns the instances and requests of the probes that are not served.
func (r *runner) failingProbes() string {
	var out []string
	for _, p := range r.deployment.Instances {
		for _, req := range probeRequests {
			if !r.probe(p, req.path, req.model) {
				out = append(out, p.Node.Name+" "+req.path+req.model)
			}
		}
	}
	return strings.Join(out, ", ")
}

// probe sends one request to an instance and reports whether it was served.
func (r *runner) probe(p *Process, path, model string) bool {
	res := r.deployment.probe(p, path, model)
	return res.Served()
}
