package topology

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/decide"
	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMatchLongestPrefix(t *testing.T) {
	x := NewIndex([]Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/yy/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/yy/z", "long"},
		{"a.example:80", "/x/yy/", "long"},
		{"a.example", "/x/yyz", "short"},
		{"a.example", "/x", "root"},
		{"A.EXAMPLE", "/", "root"},
		{"b.example", "/x/yy/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		r := x.Match(c.host, c.path)
		if c.want == "" {
			require.Nil(t, r, c)
			continue
		}
		require.NotNil(t, r, c)
		require.Equal(t, c.want, r.Name, c)
	}
}

func TestMatchEqualsLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`/([ab]{1,2}/){0,3}`)
		routes := []Route{}
		for _, p := range rapid.SliceOfNDistinct(prefix, 0, 12, rapid.ID[string]).Draw(t, "prefixes") {
			routes = append(routes, Route{Name: p, Host: "h", Prefix: p})
		}
		path := rapid.StringMatching(`/([ab]{0,2}/?){0,4}`).Draw(t, "path")
		want := ""
		for _, r := range routes {
			if len(r.Prefix) <= len(path) && path[:len(r.Prefix)] == r.Prefix && len(r.Prefix) > len(want) {
				want = r.Name
			}
		}
		got := ""
		if r := NewIndex(routes).Match("h", path); r != nil {
			got = r.Name
		}
		require.Equal(t, want, got)
	})
}

func TestPickByWeight(t *testing.T) {
	r := Route{Choices: []Choice{{"a", 90}, {"b", 10}, {"never", 0}}}
	require.Equal(t, "a", r.Pick(0))
	require.Equal(t, "a", r.Pick(0.89))
	require.Equal(t, "b", r.Pick(0.9))
	require.Equal(t, "b", r.Pick(0.999999))
}

func serverEntry(id string, born time.Duration) ServerChange {
	return ServerChange{ID: id, Server: &Server{ID: id, Service: "s", Addr: "10.0.0.1:1", Domain: "d", Born: testStart.Add(born)}}
}

func TestFleetAppliesChanges(t *testing.T) {
	f := NewFleet()
	require.True(t, f.ApplyChanges(testStart, []ServerChange{serverEntry("a", 0), serverEntry("b", 0)}))
	require.False(t, f.ApplyChanges(testStart, []ServerChange{serverEntry("a", 0)}), "a heartbeat must not change the list")
	require.True(t, f.ApplyChanges(testStart, []ServerChange{serverEntry("a", time.Second)}), "a restart under the same id must change the list")
	require.False(t, f.ApplyChanges(testStart, []ServerChange{serverEntry("a", 0)}), "an outdated entry of the earlier start must be ignored")
	require.True(t, f.ApplyChanges(testStart, []ServerChange{{ID: "b"}}))
	require.Len(t, f.Servers(), 1)
	require.True(t, f.Reset(testStart, nil), "servers without an entry must be removed")
	require.Empty(t, f.Servers())
}

func TestExpiredEntriesKeptAfterStoreOutage(t *testing.T) {
	f := NewFleet()
	f.ApplyChanges(testStart, []ServerChange{serverEntry("back", 0), serverEntry("gone", 0)})
	f.StoreRecovered(testStart)
	require.False(t, f.ApplyChanges(testStart.Add(100*time.Millisecond), []ServerChange{{ID: "back"}, {ID: "gone"}}))
	f.ApplyChanges(testStart.Add(time.Second), []ServerChange{serverEntry("back", 0)})
	require.False(t, f.RemoveExpired(testStart.Add(2*time.Second)))
	require.True(t, f.RemoveExpired(testStart.Add(2100*time.Millisecond)))
	require.Len(t, f.Servers(), 1)
	require.Equal(t, "back", f.Servers()[0].ID)
	require.True(t, f.ApplyChanges(testStart.Add(10*time.Second), []ServerChange{{ID: "back"}}), "long after the outage the server must be removed at once")
}

func engineView() *View {
	return &View{
		Config: &Config{Version: 1, Services: map[string]Service{
			"plain": {Name: "plain"},
			"llm": {Name: "llm", Engine: &Engine{Models: []Model{
				{Name: "m", Adapters: 2}, {Name: "n"},
			}}},
		}},
		Servers: []Server{
			{ID: "p", Service: "plain", Addr: "10.0.0.1:1", Domain: "d", Slots: 6},
			{ID: "e", Service: "llm", Addr: "10.0.0.2:1", Domain: "d", Slots: 32, Models: []HeldModel{{Name: "m", Version: 3, Adapters: []string{"a1"}}, {Name: "n"}}},
			{ID: "stranger", Service: "unknown", Addr: "10.0.0.3:1"},
		},
	}
}

func replicaCount(t *testing.T, tb *decide.Table, target string) int {
	t.Helper()
	require.Contains(t, tb.Targets, target)
	return len(tb.Targets[target].Replicas)
}

func TestTableTargets(t *testing.T) {
	tb := BuildTable("d", engineView(), decide.RetryPolicy{})
	require.Equal(t, 1, replicaCount(t, tb, "plain"))
	require.Equal(t, 1, replicaCount(t, tb, "llm/m"))
	require.Equal(t, 1, replicaCount(t, tb, "llm/m/a1"))
	require.Equal(t, 0, replicaCount(t, tb, "llm/m/a2"))
	require.Equal(t, 1, replicaCount(t, tb, "llm/n"))
	require.NotContains(t, tb.Targets, "llm/m/a3")
	require.NotContains(t, tb.Targets, "unknown")
}

func TestTableGivesRoomByRankWhereRanksContend(t *testing.T) {
	v := engineView()
	to := func(rank int, service string) Route {
		return Route{Rank: rank, Choices: []Choice{{Service: service}}}
	}
	for _, c := range []struct {
		routes []Route
		want   bool
	}{
		{routes: []Route{to(0, "llm"), to(0, "llm"), to(1, "plain")}, want: false},
		{routes: []Route{to(0, "plain"), to(1, "plain")}, want: false},
		{routes: []Route{to(0, "llm"), to(1, "plain"), to(2, "llm")}, want: true},
	} {
		v.Config.Routes = c.routes
		require.Equal(t, c.want, BuildTable("d", v, decide.RetryPolicy{}).RoomByRank)
	}
	v.Config = nil
	require.False(t, BuildTable("d", v, decide.RetryPolicy{}).RoomByRank)
}

func TestTableAppliesResidencyOverrides(t *testing.T) {
	v := engineView()
	v.Held = HeldList{{Server: "e", Model: "m", Adapter: "a2"}, {Server: "e", Model: "n", Dropped: true}}
	tb := BuildTable("d", v, decide.RetryPolicy{})
	require.Equal(t, 1, replicaCount(t, tb, "llm/m/a2"))
	require.Equal(t, 0, replicaCount(t, tb, "llm/n"))
	v.Held = HeldList{{Server: "e", Model: "new"}, {Server: "e", Model: "n", Dropped: true}}
	v.Config.Services["llm"].Engine.Models[1].Name = "new"
	tb = BuildTable("d", v, decide.RetryPolicy{})
	require.Equal(t, 1, replicaCount(t, tb, "llm/new"), "a held model counts although the entry lacks it")
	v.Held = HeldList{{Server: "e", Model: "m", Dropped: true}, {Server: "e", Model: "m", Adapter: "a2"}}
	tb = BuildTable("d", v, decide.RetryPolicy{})
	for _, target := range []string{"llm/m", "llm/m/a1", "llm/m/a2"} {
		require.Equal(t, 0, replicaCount(t, tb, target), "the adapters of a dropped model must be dropped too")
	}
}

// A target at a software version has the replicas of that version's servers alone, and waits for
// a load only if one of them could hold it.
func TestTargetsAtSoftwareVersions(t *testing.T) {
	model := []HeldModel{{Name: "m", Version: 1}}
	v := &View{
		Config: &Config{Services: map[string]Service{"llm": {Name: "llm", Engine: &Engine{Models: []Model{{Name: "m"}}}}}},
		Servers: []Server{
			{ID: "a", Service: "llm", Models: model, SoftwareVersion: "v1"},
			{ID: "b", Service: "llm", Models: model, SoftwareVersion: "v2", Leaving: true},
			{ID: "c", Service: "llm", Models: model},
		},
		LoadOnDemand: true,
		Versions:     map[string][]string{"llm": {"", "v1", "v2", "v3"}},
	}
	targets := BuildTable("d", v, decide.RetryPolicy{}).Targets
	servers := func(name string) []int {
		var out []int
		for _, r := range targets[name].Replicas {
			out = append(out, r.Server)
		}
		return out
	}
	require.Equal(t, []int{0, 1, 2}, servers("llm/m"))
	require.Equal(t, []int{0}, servers(VersionTarget("llm/m", "v1")))
	require.Equal(t, []int{1}, servers(VersionTarget("llm/m", "v2")))
	require.Empty(t, servers(VersionTarget("llm/m", "v3")))
	require.True(t, targets[VersionTarget("llm/m", "v1")].ReplicaPending)
	require.False(t, targets[VersionTarget("llm/m", "v2")].ReplicaPending)
	require.False(t, targets[VersionTarget("llm/m", "v3")].ReplicaPending)
	require.NotContains(t, targets, VersionTarget("llm/m", ""), "an unknown version is no version")
	name, version := CutVersion(v.TargetAt("llm", "llm/m", "v1"))
	require.Equal(t, []string{"llm/m", "v1"}, []string{name, version})

	v.Versions = map[string][]string{"llm": {"", "v1"}}
	require.Equal(t, VersionTarget("llm/m", "v1"), v.TargetAt("llm", "llm/m", "v1"), "servers of an unknown version serve as well")
	v.Versions = map[string][]string{"llm": {"v1"}}
	require.Len(t, BuildTable("d", v, decide.RetryPolicy{}).Targets, 1, "one version needs no targets of its own")
	require.Equal(t, "llm/m", v.TargetAt("llm", "llm/m", "v1"))
}

func TestAccountsShareByTheirAllowancesIfAllHaveOne(t *testing.T) {
	weights := func(accounts ...Account) map[string]float64 {
		x, err := NewAccounts(accounts)
		require.NoError(t, err)
		return x.Weights()
	}
	limited := func(name string, perSecond float64, unit AllowanceUnit) Account {
		return Account{Name: name, Allowance: Allowance{PerSecond: perSecond, Unit: unit}}
	}
	require.Nil(t, (*Accounts)(nil).Weights())
	require.Nil(t, weights())
	require.Equal(t, map[string]float64{"a": 0.5, "b": 1.5}, weights(limited("a", 10, UnitTokens), limited("b", 30, UnitTokens)))
	equal := map[string]float64{"a": 1, "b": 1}
	require.Equal(t, equal, weights(limited("a", 10, UnitTokens), Account{Name: "b"}))
	require.Equal(t, equal, weights(limited("a", 10, UnitTokens), limited("b", 30, UnitRequests)))
	v := &View{Config: &Config{}}
	require.Nil(t, BuildTable("d", v, decide.RetryPolicy{}).AccountWeights, "without accounts nothing is shared")
	v.Config.Accounts, _ = NewAccounts([]Account{{Name: "a"}})
	require.Equal(t, map[string]float64{"a": 1}, BuildTable("d", v, decide.RetryPolicy{}).AccountWeights)
}
