package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/allowance"
	"greengageferry/topology"
)

// fakeAllowances answers each request with the next decision, and adds up the charges.
type fakeAllowances struct {
	mu        sync.Mutex
	decisions []allowance.Decision
	charged   int
}

func (f *fakeAllowances) Admit(_ context.Context, _ *topology.Account, tokens int) allowance.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := allowance.Decision{Verdict: allowance.Admitted}
	if len(f.decisions) > 0 {
		d, f.decisions = f.decisions[0], f.decisions[1:]
	}
	if d.Verdict == allowance.Admitted {
		f.charged += tokens
	}
	return d
}

func (f *fakeAllowances) Return(_ *topology.Account, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charged -= tokens
}

func TestRequestsAreChargedIfTheyMayHaveRun(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	f := &fakeAllowances{}
	b.relay.opts.Allowances = f
	b.setAccounts(2, accountWith("first", "k1"))
	for _, tc := range []struct {
		name     string
		path     string
		decision allowance.Decision
		status   int
		after    string
		charged  int
		drain    bool
	}{
		{"served", "/safe/", allowance.Decision{Verdict: allowance.Admitted}, 200, "", 7, false},
		{"over the allowance", "/safe/", allowance.Decision{Verdict: allowance.Exceeded, RetryAfter: 1500 * time.Millisecond}, 429, "1.50", 0, false},
		{"nobody knows", "/safe/", allowance.Decision{Verdict: allowance.Unknown, RetryAfter: 200 * time.Millisecond}, 503, "0.20", 0, false},
		{"refused without having run", "/safe/", allowance.Decision{Verdict: allowance.Admitted}, 503, "0.10", 0, true},
	} {
		f.charged, f.decisions = 0, []allowance.Decision{tc.decision}
		if tc.drain {
			b.relay.RefuseWaiting()
		}
		before := b.calls()
		res := b.do(b.request("GET", tc.path, "", "Key", "k1", "Tokens", "7"))
		require.Equal(t, tc.status, res.status, tc.name)
		require.Equal(t, tc.after, res.header.Get("Retry-After"), tc.name)
		require.Eventually(t, func() bool { return b.relay.ActiveRequests() == 0 }, 5*time.Second, time.Millisecond)
		require.Equal(t, tc.charged, f.charged, tc.name)
		require.Equal(t, tc.status == 200, b.calls() > before, tc.name)
	}
}

func TestUnknownKeyIsNotCharged(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	f := &fakeAllowances{}
	b.relay.opts.Allowances = f
	b.setAccounts(2, accountWith("first", "k1"))
	require.Equal(t, 401, b.do(b.request("GET", "/safe/", "", "Key", "k2", "Tokens", "7")).status)
	require.Zero(t, f.charged)
}
