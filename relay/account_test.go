package relay

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// setAccounts puts a configuration with these client accounts in force.
func (b *harness) setAccounts(version int64, accounts ...topology.Account) {
	x, err := topology.NewAccounts(accounts)
	require.NoError(b.t, err)
	b.accounts = x
	b.setView(version)
}

func accountWith(name string, keys ...string) topology.Account {
	a := topology.Account{Name: name}
	for _, key := range keys {
		a.Keys = append(a.Keys, topology.DigestKey(key))
	}
	return a
}

// publicRoute adds a route that needs no API key.
func (b *harness) publicRoute() {
	r := b.routes[1]
	r.Name, r.Prefix, r.Public = "public", "/public/", true
	b.routes = append(b.routes, r)
}

func TestOnlyKnownKeysReachServers(t *testing.T) {
	var account, key, urgency string
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		account, key, urgency = r.Header.Get("Account"), r.Header.Get("Key"), r.Header.Get("Urgency")
		writeSeal(w, r)
	})
	b.publicRoute()
	first := accountWith("first", "k1", "k2")
	first.Rank, first.HasRank = 4, true
	b.setAccounts(2, first, accountWith("second", "k3"), accountWith("third"))
	for _, tc := range []struct {
		name, path, key  string
		status           int
		account, urgency string
	}{
		{"no key", "/safe/", "", 401, "", ""},
		{"unknown key", "/safe/", "k4", 401, "", ""},
		{"an account's name is no key", "/safe/", "third", 401, "", ""},
		{"known key, priority of the account", "/safe/", "k2", 200, "first", "7"},
		{"known key, priority of the route", "/safe/", "k3", 200, "second", "3"},
		{"no key on a public route", "/public/", "", 200, "", "3"},
		{"unknown key on a public route", "/public/", "k4", 200, "", "3"},
		{"known key on a public route", "/public/", "k1", 200, "first", "7"},
		{"no route", "/none/", "", 404, "", ""},
	} {
		before := b.calls()
		account, urgency = "", ""
		res := b.do(b.request("GET", tc.path, "", "Key", tc.key, "Account", "first"))
		require.Equal(t, tc.status, res.status, tc.name)
		require.Equal(t, tc.account, account, tc.name)
		require.Equal(t, tc.urgency, urgency, tc.name)
		require.Empty(t, key, "the key is not for servers")
		if tc.status != 200 {
			require.Equal(t, before, b.calls(), tc.name)
		}
	}
}

func TestUnknownKeyIsRejectedBeforeTheBodyArrives(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.setAccounts(2, accountWith("first", "k1"))
	b.routes[0].Timeout = time.Second
	// A body over the limit would be answered with 413 if it were looked at first.
	res := b.do(b.request("POST", "/once/", string(make([]byte, 2000)), "Key", "k2"))
	require.Equal(t, 401, res.status)
}

// An instance whose configuration isn't known to be the newest doesn't say for good that
// there is no such key or route, and takes no keys if it must not.
func TestUnconfirmedConfigurationRejectsNothingForGood(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.setAccounts(2, accountWith("first", "k1"))
	b.trust = ConfigTrust{MayAccept: true}
	for _, path := range []string{"/safe/", "/none/"} {
		res := b.do(b.request("GET", path, "", "Key", "k2"))
		require.Equal(t, 503, res.status)
		require.Equal(t, "0.50", res.header.Get("Retry-After"))
	}
	require.Equal(t, 200, b.do(b.request("GET", "/safe/", "", "Key", "k1")).status)
	b.trust = ConfigTrust{}
	require.Equal(t, 503, b.do(b.request("GET", "/safe/", "", "Key", "k1")).status)
	require.EqualValues(t, 1, b.calls())
}

// A request that waits for a slot while its key is taken away, or given to another account,
// doesn't run afterwards.
func TestWaitingRequestsLoseTheirKey(t *testing.T) {
	for _, tc := range []struct {
		name     string
		accounts []topology.Account
		status   int
	}{
		{"taken away", []topology.Account{accountWith("first", "k1")}, 401},
		{"moved", []topology.Account{accountWith("first", "k1"), accountWith("other", "k2")}, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			release := make(chan struct{})
			b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
				<-release
				writeSeal(w, r)
			})
			b.setAccounts(2, accountWith("first", "k1"), accountWith("second", "k2"))
			running := make(chan response, 64)
			send := func(id, key string) {
				running <- b.do(b.request("GET", "/safe/", "", "Key", key, "Id", id))
			}
			slots := 0
			for ; b.relay.dispatcher.queuedCalls() == 0; slots++ { // until the server takes no more
				go send("a"+string(rune('a'+slots)), "k1")
				require.Eventually(t, func() bool { return b.relay.ActiveRequests() == slots+1 }, 5*time.Second, time.Millisecond)
				time.Sleep(5 * time.Millisecond)
			}
			waiting := make(chan response, 1)
			go func() { waiting <- b.do(b.request("GET", "/safe/", "", "Key", "k2", "Id", "w")) }()
			require.Eventually(t, func() bool { return b.relay.dispatcher.queuedCalls() == 2 }, 5*time.Second, time.Millisecond)
			b.setAccounts(3, tc.accounts...)
			close(release)
			require.Equal(t, tc.status, (<-waiting).status)
			for range slots {
				require.Equal(t, 200, (<-running).status)
			}
			require.EqualValues(t, slots, b.calls())
		})
	}
}

func (d *dispatcher) queuedCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Queued()
}

func BenchmarkAccountLookup(b *testing.B) {
	for _, n := range []int{16, 1000, 100_000} {
		accounts := make([]topology.Account, 0, n)
		for i := range n {
			accounts = append(accounts, accountWith("account-"+strconv.Itoa(i), strconv.Itoa(i)))
		}
		x, err := topology.NewAccounts(accounts)
		require.NoError(b, err)
		key := strconv.Itoa(n / 2)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if x.ByKey(topology.DigestKey(key)) == nil {
					b.Fatal("the key isn't found")
				}
			}
		})
	}
}
