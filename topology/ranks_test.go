package topology

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

// Ranks compete only where routes of different ranks lead to the same engines.
func TestRanksCompete(t *testing.T) {
	route := func(rank int, service string) Route {
		return Route{Rank: rank, Choices: []Choice{{Service: service, Weight: 1}}}
	}
	services := map[string]Service{"engines": {Name: "engines", Engine: &Engine{}}, "plain": {Name: "plain"}}
	for _, c := range []struct {
		routes  []Route
		compete bool
	}{
		{[]Route{route(1, "engines")}, false},
		{[]Route{route(1, "engines"), route(1, "engines")}, false},
		{[]Route{route(1, "engines"), route(2, "plain"), route(0, "plain")}, false},
		{[]Route{route(0, "engines"), route(2, "engines")}, true},
	} {
		v := &View{Config: &Config{Routes: c.routes, Services: services}, InstancesByDomain: map[string]int{"d": 1}}
		require.Equal(t, c.compete, BuildTable("d", v, decide.RetryPolicy{}).RoomByRank)
	}
}
