package soak

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"greengageferry/platform/standin"
)

var (
	seeds   = flag.Int("seeds", 0, "how many `seeds` to play under the promised bounds; 0: only the fixed ones, under wide bounds")
	first   = flag.Uint64("first", 1, "the first seed")
	atOnce  = flag.Int("at-once", 3, "how many worlds run at once")
	length  = flag.Duration("length", 8*time.Second, "how long faults begin")
	keepLog = flag.Bool("keep", false, "keep the instances' logs of runs that broke nothing too")
)

// wideBounds decide nothing but that it comes at all: a verdict must not depend
// on how busy the machine is.
var wideBounds = Bounds{Recover: 90 * time.Second, Config: 60 * time.Second, Drain: 60 * time.Second}

// fixedSeeds are played by every run of the tests: some that cover much, and
// each one that ever broke a promise.
var fixedSeeds = []struct {
	seed   uint64
	length time.Duration // of the time in which faults begin: it places them
	cause  string
}{
	{1, 3 * time.Second, "covers: the first one"},
	{50005, 3 * time.Second, "covers: servers that name rate limits while instances are killed, terminated and suspended"},
	{1032, 3 * time.Second, "the soak's own fault: two addresses of an instance were the same; drawn by the system, not by the seed"},
	{1000, 8 * time.Second, "the soak's own fault: addresses used again, overlapping, left the plain service with one server, which the calm part then took out"},
}

var program struct {
	once sync.Once
	path string
	err  error
}

// binary returns the program, built once.
func binary(t *testing.T) string {
	program.once.Do(func() {
		dir, err := os.MkdirTemp("", "soak-program-")
		if err != nil {
			program.err = err
			return
		}
		program.path = filepath.Join(dir, "greengageferry")
		build := exec.Command("go", "build", "-o", program.path, "greengageferry/cmd/greengageferry")
		build.Stderr = os.Stderr
		program.err = build.Run()
	})
	require.NoError(t, program.err)
	return program.path
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if program.path != "" {
		_ = os.RemoveAll(filepath.Dir(program.path)) // left behind if it fails
	}
	os.Exit(code)
}

// TestPromisesHoldUnderFaults plays seeds: go test ./soak -args -seeds 50 -first 1000.
func TestPromisesHoldUnderFaults(t *testing.T) {
	path := binary(t)
	if *seeds == 0 {
		for _, f := range fixedSeeds {
			play(t, Options{Binary: path, Seed: f.seed, Length: f.length, Bounds: wideBounds})
		}
		return
	}
	turns := make(chan struct{}, *atOnce)
	var group sync.WaitGroup
	for n := range *seeds {
		turns <- struct{}{}
		group.Go(func() {
			play(t, Options{Binary: path, Seed: *first + uint64(n), Length: *length, Bounds: PromisedBounds})
			<-turns
		})
	}
	group.Wait()
}

// An instance that was told to end has some seconds for what is in hand. Told in
// that time to read its settings again, it was killed by that signal: it listened to
// it no more, and so cut off whatever it had in hand.
func TestSettingsReadAgainEndNoInstanceThatDrains(t *testing.T) {
	w, err := newWorld(worldOptions{Binary: binary(t), Run: 248})
	require.NoError(t, err)
	defer os.RemoveAll(w.dir)
	defer w.Close()
	p := w.Instances[0]
	r := &runner{world: w}
	_, ok := r.until(wideBounds.Recover, func() bool { return r.probe(p, standin.PlainPath, "") })
	require.True(t, ok)
	p.Signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond) // it has heard of it
	p.Signal(syscall.SIGHUP)
	p.AwaitEnd()
	require.NoError(t, p.lastEnd)
}

// TestAnInstanceWhoseLogNobodyReadsGoesOn: its standard output is a pipe that is
// full after some hundred lines, and its ring after some thousand.
func TestAnInstanceWhoseLogNobodyReadsGoesOn(t *testing.T) {
	const requests = 4000 // of two lines each
	w, err := newWorld(worldOptions{Binary: binary(t), Run: 249})
	require.NoError(t, err)
	defer os.RemoveAll(w.dir)
	defer w.Close()
	p := w.Instances[0]
	p.Signal(syscall.SIGKILL)
	p.AwaitEnd()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	p.output = writer
	require.NoError(t, p.Start())
	require.NoError(t, writer.Close())
	r := &runner{world: w}
	serves := func() bool { return r.probe(p, standin.PlainPath, "") }
	_, ok := r.until(wideBounds.Recover, serves)
	require.True(t, ok)
	var group errgroup.Group
	group.SetLimit(callersCount)
	for range requests {
		group.Go(func() error {
			if !serves() {
				return errors.New("not served")
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	p.Signal(syscall.SIGTERM)
	p.AwaitEnd()
	require.Empty(t, p.OwnEnds())
	require.False(t, p.killed, "it ended by itself within its grace period")
}

// play plays one seed. What it printed is shown where a promise was broken.
func play(t *testing.T, o Options) {
	var out bytes.Buffer
	o.Out = &out
	report, err := Run(o)
	if err != nil {
		t.Errorf("seed %d: %+v", o.Seed, err)
		return
	}
	t.Logf("seed=%d requests=%d served=%d broken=%d\n%s", o.Seed, report.Requests, report.Served, len(report.Violations), out.String())
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s (logs: %s)", o.Seed, v, report.Logs)
	}
	if len(report.Violations) == 0 && !*keepLog {
		_ = os.RemoveAll(report.Logs) // left behind if it fails
	}
}
