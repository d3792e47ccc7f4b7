package instance_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

// maxFallenServers is how many servers one request that crashes servers may end, however
// many instances get it.
const maxFallenServers = 3

// Guards against a request that crashes each server that runs it being dispatched without
// end: its caller sends it again through any instance, each time under a new id.
func TestRequestThatCrashesServersEndsFewOfThem(t *testing.T) {
	for _, keepID := range []bool{false, true} {
		for _, restart := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("back after %s, same id %t", restart, keepID), func(t *testing.T) {
				testCrashingRequest(t, standin.SiteOptions{PlainServers: 9, Restart: restart, KeepID: keepID})
			})
		}
	}
}

func testCrashingRequest(t *testing.T, o standin.SiteOptions) {
	d := deployWith(t, o)
	require.NoError(t, d.site.Store.PutConfig(standin.Config(2)))
	for _, r := range d.instances { // a model is loaded once there is a lease holder, whom all know
		d.waitUntil(func() bool { status, _, _ := d.send(r, "/more/1", ""); return status == 200 })
		d.waitUntil(func() bool { status, _, _ := d.send(r, standin.StreamPath, standin.RareModel); return status == 200 })
	}
	for _, c := range []struct {
		name, path string
		atOnce     bool // each time all instances get the request at the same moment
	}{
		{"idempotent", "/more/crash-1", false},
		{"not idempotent", standin.PlainPath + "crash", false},
		{"at all instances at once", "/more/crash-2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := d.site.Crashes()
			var callers sync.WaitGroup
			defer callers.Wait()
			done := make(chan struct{})
			defer close(done)
			callers.Go(func() { d.sendOthers(done) })
			for n := range 24 {
				var copies sync.WaitGroup
				for i, r := range d.instances {
					if c.atOnce || i == n%len(d.instances) {
						copies.Go(func() { d.sendCrashing(r, c.path) })
					}
				}
				copies.Wait()
				time.Sleep(20 * time.Millisecond)
			}
			fallen := d.site.Crashes() - before
			require.Positive(t, fallen)
			require.LessOrEqual(t, fallen, maxFallenServers)
		})
	}
}

// sendCrashing sends a request that no server can complete.
func (d *deployment) sendCrashing(r *runningInstance, path string) {
	if status, _, _ := d.send(r, path, ""); status == 200 {
		d.t.Errorf("%s was answered", path)
	}
}

// sendOthers sends requests that crash nothing until done is closed. Each may be lost with
// a server; none may be refused because of the other's crashes.
func (d *deployment) sendOthers(done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		_, _, body := d.send(d.instances[n%len(d.instances)], fmt.Sprint("/more/", n%7), "")
		if body == "quarantined\n" {
			d.t.Errorf("request %d was refused as one that crashes servers", n)
			return
		}
	}
}

// All instances end at once, so that none is left that knows of the request.
func TestQuarantineOutlastsTheRestartOfAllInstances(t *testing.T) {
	const path = "/more/crash"
	d := deployWith(t, standin.SiteOptions{PlainServers: 6, Restart: 300 * time.Millisecond})
	require.NoError(t, d.site.Store.PutConfig(standin.Config(2)))
	for _, r := range d.instances {
		d.waitUntil(func() bool { status, _, _ := d.send(r, "/more/1", ""); return status == 200 })
		d.waitUntil(func() bool { status, _, _ := d.send(r, standin.StreamPath, standin.RareModel); return status == 200 })
	}
	refused := func(r *runningInstance) bool {
		_, _, body := d.send(r, path, "")
		return body == "quarantined\n"
	}
	for range 6 {
		d.send(d.instances[0], path, "")
	}
	d.waitUntil(func() bool { return refused(d.instances[0]) && refused(d.instances[1]) })
	time.Sleep(time.Second) // in which the lease holder saves it
	crashes := d.site.Crashes()
	old := d.instances
	d.instances = nil
	var ending sync.WaitGroup
	for _, r := range old {
		ending.Go(func() { d.stopInstance(r) })
	}
	ending.Wait()
	for n, domain := range d.site.Domains {
		r := d.start(fmt.Sprint("new-", n), domain)
		d.waitUntil(func() bool { status, _, _ := d.send(r, "/more/1", ""); return status == 200 })
		time.Sleep(500 * time.Millisecond)
		require.True(t, refused(r))
	}
	require.Equal(t, crashes, d.site.Crashes())
}
