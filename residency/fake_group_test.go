package residency

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
)

// fakeGroup is a fake of the platform's group membership with one partition.
type fakeGroup struct {
	now         func() time.Duration
	down        bool
	era         int64
	generation  int64
	owner       string
	joined      map[string]time.Duration // when each member's last join arrived
	generations map[string]int64         // the newest generation that each member sent
	revokedFrom string                   // the member that has to give up the partition and hasn't yet
	holders     map[string]int64         // records of holders: fencing tokens by member
}

var errDown = errors.New("down")

func (g *fakeGroup) expire(ttl time.Duration) {
	for m, at := range g.joined {
		if g.now()-at >= ttl {
			delete(g.joined, m)
			if g.owner == m {
				g.owner = ""
			}
		}
	}
}

func (g *fakeGroup) Join(_ context.Context, _, _, member string, ttl time.Duration, generation int64) (Membership, error) {
	if g.down {
		return Membership{}, errDown
	}
	g.expire(ttl)
	if _, ok := g.joined[member]; !ok {
		g.generation++
	}
	g.joined[member] = g.now()
	g.generations[member] = generation
	if g.revokedFrom == member && generation >= g.generation {
		g.revokedFrom, g.owner = "", ""
	}
	if g.owner == "" && g.revokedFrom != member {
		g.owner = member
		g.generation++
	}
	if g.owner == member && g.revokedFrom != member {
		return Membership{Era: g.era, Generation: g.generation, Partitions: []int{leasePartition, 3}}, nil
	}
	return Membership{Era: g.era, Generation: g.generation, Partitions: []int{5}}, nil
}

func (g *fakeGroup) Leave(_ context.Context, _, member string) error {
	if g.owner == member {
		g.owner = ""
	}
	delete(g.joined, member)
	return nil
}

func (g *fakeGroup) Owner(context.Context, string, int) (string, error) { return g.owner, nil }

func (g *fakeGroup) SaveHolder(_ context.Context, holder Token) error {
	if g.down {
		return errDown
	}
	g.holders[holder.Holder] = holder.Number
	return nil
}

func (g *fakeGroup) RemoveHolder(_ context.Context, member string) error {
	if g.down {
		return errDown
	}
	delete(g.holders, member)
	return nil
}

func (g *fakeGroup) Holders(context.Context) ([]Token, error) {
	if g.down {
		return nil, errDown
	}
	var out []Token
	for member, number := range g.holders {
		out = append(out, Token{number, member})
	}
	return out, nil
}

// rebalance makes the owner give up the partition.
func (g *fakeGroup) rebalance() {
	g.generation++
	g.revokedFrom = g.owner
}

func newFakeGroup(now func() time.Duration) *fakeGroup {
	return &fakeGroup{now: now, joined: map[string]time.Duration{}, generations: map[string]int64{}, holders: map[string]int64{}}
}

// groupSnapshot is a state of a fakeGroup that restore returns to.
type groupSnapshot struct {
	generation  int64
	owner       string
	revokedFrom string
	joined      map[string]time.Duration
	generations map[string]int64
	holders     map[string]int64
}

func (g *fakeGroup) snapshot() groupSnapshot {
	return groupSnapshot{g.generation, g.owner, g.revokedFrom, maps.Clone(g.joined), maps.Clone(g.generations), maps.Clone(g.holders)}
}

func (g *fakeGroup) restore(s groupSnapshot) {
	g.era++
	g.generation, g.owner, g.revokedFrom, g.joined, g.generations = s.generation, s.owner, s.revokedFrom, maps.Clone(s.joined), maps.Clone(s.generations)
	g.holders = maps.Clone(s.holders)
}
