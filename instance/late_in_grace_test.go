package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"greengageferry/platform/standin"
)

const (
	lateRunTime = 1500 * time.Millisecond // of each request
	lateEvery   = 200 * time.Millisecond  // between two requests' last bytes, from the stop on
	lateUntil   = 4500 * time.Millisecond // within the grace of 5 s
)

// lateRequest is a request to a plain server that may run once at most, whose last byte is sent late.
type lateRequest struct {
	id     string
	after  time.Duration // from the stop to the last byte
	conn   net.Conn
	status int // 0: the connection was closed without a whole answer
}

// open opens the request's connection.
func (l *lateRequest) open(addr string) (err error) {
	l.conn, err = net.Dial("tcp4", addr)
	return err
}

// begin sends all of the request but its last byte.
func (l *lateRequest) begin() error {
	_, err := fmt.Fprintf(l.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nGreengageferry-Request-Id: %s\r\nGreengageferry-Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbod",
		standin.PlainPath, standin.Host, l.id)
	return err
}

// finish sends the last byte and reads the answer.
func (l *lateRequest) finish() error {
	defer l.conn.Close()
	if _, err := io.WriteString(l.conn, "y"); err != nil {
		return nil // closed before
	}
	res, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err == nil {
		l.status = res.StatusCode
	}
	return nil
}

// playLateInGrace stops an instance while requests to it get complete one after the other. known: the
// instance has served some before.
func playLateInGrace(t *testing.T, known bool) (d *deployment, requests []*lateRequest) {
	d = deployWith(t, standin.SiteOptions{PlainServers: 2, PlainSlots: 40, PlainBrittle: standin.Brittle{ServiceTime: lateRunTime}})
	r := d.instances[0]
	if known {
		for range 4 {
			status, _, _ := d.send(r, standin.PlainPath, "")
			require.Equal(t, http.StatusOK, status)
		}
	}
	for after := time.Duration(0); after <= lateUntil; after += lateEvery {
		l := &lateRequest{id: fmt.Sprintf("late%012d", after.Milliseconds()), after: after}
		require.NoError(t, l.open(r.node.CallersAddr))
		require.NoError(t, l.begin())
		requests = append(requests, l)
	}
	var group errgroup.Group
	r.stop()
	for _, l := range requests {
		group.Go(func() error {
			time.Sleep(l.after)
			return l.finish()
		})
	}
	require.NoError(t, group.Wait())
	d.stopInstance(r)
	return d, requests
}

// runsOf returns how often a request ran.
func (d *deployment) runsOf(id string) int {
	n := 0
	for _, s := range d.site.Servers {
		n += s.RunCounts()[id]
	}
	return n
}

// Guards against requests that get complete late in the grace being passed on and then cut off without an
// answer at its end, among them such as may not be repeated.
func TestRequestLateInTheGraceIsNotCutOff(t *testing.T) {
	for name, known := range map[string]bool{"known duration": true, "unknown duration": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, requests := playLateInGrace(t, known)
			for _, l := range requests {
				runs := d.runsOf(l.id)
				t.Logf("%v after the stop: status %d, %d runs", l.after, l.status, runs)
				switch l.status {
				case http.StatusOK:
					require.Equal(t, 1, runs, "%v", l.after)
				case http.StatusServiceUnavailable:
					require.Zero(t, runs, "%v: it promises that the request didn't run", l.after)
				default:
					t.Errorf("%v after the stop: status %d, %d runs", l.after, l.status, runs)
				}
				if l.after+lateRunTime < 2*time.Second {
					require.Equal(t, http.StatusOK, l.status, "%v: a stopped instance answers what it can", l.after)
				}
			}
		})
	}
}

// Guards against a connection being closed without an answer that was opened before the instance stopped
// accepting any, and whose first request comes later.
func TestFirstRequestLateInTheGraceIsAnswered(t *testing.T) {
	const (
		openedAfter = 2 * time.Second // from the stop; new connections are accepted for 2.5 s
		firstAfter  = 2200 * time.Millisecond
		lastAfter   = 4 * time.Second
	)
	d := deployWith(t, standin.SiteOptions{PlainServers: 2})
	r := d.instances[0]
	r.stop()
	stopped := time.Now()
	time.Sleep(time.Until(stopped.Add(openedAfter)))
	var group errgroup.Group
	var requests []*lateRequest
	for after := firstAfter; after <= lastAfter; after += lateEvery {
		l := &lateRequest{id: fmt.Sprintf("late%012d", after.Milliseconds()), after: after}
		require.NoError(t, l.open(r.node.CallersAddr))
		requests = append(requests, l)
		group.Go(func() error {
			time.Sleep(time.Until(stopped.Add(l.after)))
			_ = l.begin() // if it fails, the connection was closed
			return l.finish()
		})
	}
	require.NoError(t, group.Wait())
	d.stopInstance(r)
	for _, l := range requests {
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, l.status, "%v after the stop", l.after)
		require.Equal(t, l.status == http.StatusOK, d.runsOf(l.id) == 1, "%v after the stop", l.after)
	}
}
