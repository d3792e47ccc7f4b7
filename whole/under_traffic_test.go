package whole

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// concurrentCallers is the number of callers: enough that requests in every state are
	// present during each failure, and few enough that the servers have spare capacity.
	concurrentCallers = 12
	// deploymentsAtOnce is how many tests run at a time, whatever the number of processors.
	// With the race detector a deployment under traffic keeps about one processor busy.
	deploymentsAtOnce = 4
	// answersPerPhase is the number of complete answers for which a phase of a test lasts;
	// they include each kind of request many times.
	answersPerPhase = 100
)

// deploymentSlots holds an element for each test that runs a deployment.
var deploymentSlots = make(chan struct{}, deploymentsAtOnce)

// runInParallel lets the test run beside others, once few enough of them run.
func runInParallel(t *testing.T) {
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}

// runUnderTraffic causes a failure while callers send requests, waits for the recovery and
// checks the rules.
func runUnderTraffic(t *testing.T, fail func(d *deployment, tr *traffic)) {
	runInParallel(t)
	began := time.Now()
	d := deploy(t)
	t.Logf("every model was reachable %v after the start", time.Since(began).Round(time.Second))
	tr := d.startTraffic(concurrentCallers)
	tr.waitCompleted(answersPerPhase)
	fail(d, tr)
	tr.waitCompleted(answersPerPhase)
	tr.stop()
	d.waitReachable("after the failure")
	d.check()
}
