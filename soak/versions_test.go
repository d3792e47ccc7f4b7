package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

const (
	// versionsPeriod is how long each run of TestStreamsGoOnAtTheirVersion sends requests,
	// killInterval the time between two kills in it.
	versionsPeriod = 8 * time.Second
	killInterval   = 1500 * time.Millisecond
	// versionsEngines is how many servers of models each failure domain has in these runs: two
	// of each version.
	versionsEngines = 4
	// versionsCutShare is the share of streams that servers cut in these runs.
	versionsCutShare = 0.2
)

// What two software versions write doesn't fit together. Servers cut streams short, and both the
// instances and the callers take them up.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	for n, c := range []struct {
		name   string
		faults func(ctx context.Context, t *testing.T, d *Deployment)
		check  bool // the share of the streams taken up that go on
	}{
		{"no other faults", func(ctx context.Context, _ *testing.T, _ *Deployment) { <-ctx.Done() }, true},
		{"instances killed", killInstances, true},
		{"servers crash", crashEngines, true},
		{"all instances killed at once", killAllInstances, false},
		{"servers replaced by a new version", releaseVersion, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !c.check { // the share of the others depends on what the machine does besides
				t.Parallel()
			}
			d, err := newDeployment(deploymentOptions{Binary: buildProgram(t), Run: 240 + n, Engines: versionsEngines})
			require.NoError(t, err)
			if !*keepLogs {
				defer os.RemoveAll(d.dir)
			}
			t.Log(d.dir)
			defer d.Close()
			r := &runner{deployment: d}
			_, ok := r.waitUntil(wideBounds.Recover, r.allServe)
			require.True(t, ok, r.failingProbes())
			time.Sleep(touchTime)
			d.setCutShare(versionsCutShare)
			load := newLoadGenerator(d, false)
			load.streamsOnly = true
			ctx, cancel := context.WithTimeout(t.Context(), versionsPeriod)
			defer cancel()
			from := time.Now()
			load.run(ctx, uint64(n)+1)
			c.faults(ctx, t, d)
			<-ctx.Done()
			load.group.Wait()
			counted := d.History.countResumptions(from, time.Now())
			t.Logf("%+v, resumptions that did not run: %v", counted, d.History.refusedResumptions(from))
			require.GreaterOrEqual(t, counted.resumed, minResumptions)
			if c.check {
				require.Empty(t, counted.check())
			}
			h := &History{results: d.History.results}
			checked := &checker{history: h}
			checked.checkVersions()
			require.Empty(t, checked.violations)
		})
	}
}

// killInstances kills one instance after the other and starts each again at once.
func killInstances(ctx context.Context, t *testing.T, d *Deployment) {
	rng := rand.New(rand.NewPCG(1, 1))
	for ctx.Err() == nil {
		require.NoError(t, killInstance(d, rng, 0))
		time.Sleep(killInterval)
	}
}

// crashEngines crashes one server of models after the other. It starts again, empty.
func crashEngines(ctx context.Context, t *testing.T, d *Deployment) {
	rng := rand.New(rand.NewPCG(3, 1))
	for ctx.Err() == nil {
		e := d.randomEndpoint(rng)
		if e.homeService != standin.ServiceEngines {
			continue
		}
		d.Crash(e)
		time.Sleep(killInterval / 2)
		d.Restart(e, false)
		time.Sleep(killInterval / 2)
	}
}

// killAllInstances kills all instances, and starts them again.
func killAllInstances(ctx context.Context, t *testing.T, d *Deployment) {
	time.Sleep(versionsPeriod / 2)
	for _, p := range d.Instances {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range d.Instances {
		p.AwaitExit()
		require.NoError(t, p.Start())
	}
	<-ctx.Done()
}

// releaseVersion replaces the servers of one version, one after the other, by servers of a new
// one, while instances are killed.
func releaseVersion(ctx context.Context, t *testing.T, d *Deployment) {
	rng := rand.New(rand.NewPCG(2, 1))
	for _, e := range d.endpoints {
		if ctx.Err() != nil || !d.upgrade(e, "v1", "v3") {
			continue
		}
		require.NoError(t, killInstance(d, rng, 0))
	}
}
