package claims

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/logsync/logtest"
	"greengageferry/peer"
	"greengageferry/record"
)

// op is a call as the history check sees it.
type op struct {
	key     int
	attempt string
	result  bool // the attempt says that it did not run
}

// held is a key's state in the model.
type held struct {
	holder string
	seen   string // attempts that may be on the log, each between commas
}

func (h held) by(attempt string) held { return held{holder: attempt, seen: h.seen} }

func (h held) see(attempt string) held {
	return held{holder: h.holder, seen: h.seen + "," + attempt + ","}
}

// claimModel: a key is held by one attempt until that attempt frees it. A call
// without a certain answer may have its effect at any later time, or never. One
// that finds the key taken may learn so late, or by a claim that lost and stands
// until it is withdrawn; but never by one that nobody made.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(op).key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() []any { return []any{held{}} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(held), input.(op), output.(Standing)
		switch {
		case in.result && now.holder == in.attempt:
			return []any{now.by("")}
		case in.result, out.Verdict == NotKept:
			return []any{now}
		case out.Verdict == Granted && (now.holder == "" || now.holder == in.attempt):
			return []any{now.by(in.attempt).see(in.attempt)}
		case out.Verdict == Granted:
			return nil
		case out.Verdict == Taken && !strings.Contains(now.seen, ","+out.Attempt+","):
			return nil
		case out.Verdict == Uncertain && now.holder == "":
			return []any{now.see(in.attempt), now.by(in.attempt).see(in.attempt)}
		}
		return []any{now.see(in.attempt)}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// race has many callers claim few keys through all nodes while faults happen,
// and returns the history. Attempts that were granted sometimes say that they
// did not run.
func race(t *testing.T, nodes map[string]*node, net *network, seed uint64) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 2))
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	note := func(client int, in op, call time.Time, out Standing) {
		mu.Lock()
		defer mu.Unlock()
		ended := int64(time.Since(began))
		if out.Verdict == Uncertain {
			ended = math.MaxInt64 // its record may yet arrive
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Output: out, Call: int64(call.Sub(began)), Return: ended,
		})
	}
	ids := []string{"a", "b", "c"}
	var wait sync.WaitGroup
	for caller := range 30 {
		id := ids[rng.IntN(len(ids))]
		in := op{key: rng.IntN(5), attempt: fmt.Sprint(caller)}
		start, notRun := time.Duration(rng.IntN(4000))*time.Millisecond, rng.IntN(3) == 0
		wait.Go(func() {
			time.Sleep(start)
			call := time.Now()
			standing, _ := nodes[id].client.Claim(t.Context(), claimOf(in.key, in.attempt))
			note(caller, in, call, standing)
			if standing.Verdict == Granted && notRun {
				in.result = true
				call = time.Now()
				require.NoError(t, nodes[id].client.Result(t.Context(), &record.ClaimResult{
					Key: key(in.key), Attempt: in.attempt, Outcome: record.ClaimResult_NOT_RUN}))
				note(caller, in, call, Standing{})
			}
		})
	}
	for range 8 {
		time.Sleep(500 * time.Millisecond)
		id := ids[rng.IntN(len(ids))]
		nodes[id].log.SetFaults(logtest.Faults{
			Delay:        time.Duration(rng.IntN(300)) * time.Millisecond,
			LoseAnswers:  rng.IntN(3),
			LateRequests: rng.IntN(2), LateBy: time.Duration(rng.IntN(4000)) * time.Millisecond,
			Down: rng.IntN(4) == 0,
		})
	}
	for _, n := range nodes {
		n.log.SetFaults(logtest.Faults{})
	}
	wait.Wait()
	return history
}

// everyoneLeads has each node believe that it leads every shard: the most
// batchers at once that there can be.
func everyoneLeads() map[string][]string {
	return map[string][]string{"a": {"a"}, "b": {"b"}, "c": {"c"}}
}

func verdictCounts(history []porcupine.Operation) map[Verdict]int {
	counts := map[Verdict]int{}
	for _, o := range history {
		counts[o.Output.(Standing).Verdict]++
	}
	return counts
}

func TestClaimsAreLinearizable(t *testing.T) {
	total := map[Verdict]int{}
	for name, lists := range map[string]map[string][]string{"one batcher": agreed("a", "b", "c"), "batchers at once": everyoneLeads()} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					nodes, net := cluster(t, logtest.New(), lists, seed)
					net.lose = 0.2
					history := race(t, nodes, net, seed)
					require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, history, 0))
					for v, n := range verdictCounts(history) {
						total[v] += n
					}
				})
			})
		}
	}
	t.Logf("verdicts: %v", total)
	require.Greater(t, total[Granted], 100)
	require.Greater(t, total[Taken], 100)
}

// memoryBatcher is a batcher with the rule off that the log's order decides: it
// grants by what it has seen itself.
type memoryBatcher struct {
	mu      sync.Mutex
	holders map[string]string
}

func (m *memoryBatcher) Claim(_ context.Context, id uint32, claims [][]byte) ([]*peer.ClaimStanding, error) {
	records, err := decode(id, claims)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := records[0].GetClaim()
	if c == nil {
		delete(m.holders, string(records[0].GetClaimResult().GetKey()))
		return []*peer.ClaimStanding{encodeStanding(Standing{Verdict: Granted})}, nil
	}
	holder, held := m.holders[string(c.GetKey())]
	if held && holder != c.GetAttempt() {
		return []*peer.ClaimStanding{encodeStanding(Standing{Verdict: Taken, Attempt: holder})}, nil
	}
	m.holders[string(c.GetKey())] = c.GetAttempt()
	return []*peer.ClaimStanding{encodeStanding(Standing{Verdict: Granted, Attempt: c.GetAttempt()})}, nil
}

func TestCheckBitesWithoutTheLogsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, net := cluster(t, logtest.New(), agreed("a", "b", "c"), 1)
		for id := range nodes {
			net.servers[id] = &memoryBatcher{holders: map[string]string{}}
			others := slices.DeleteFunc([]string{"a", "b", "c"}, func(o string) bool { return o == id })
			nodes[id].client.opts.Members = func() []infra.Instance { return instances(others) }
		}
		history := race(t, nodes, net, 1)
		require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(claimModel, history, 0))
	})
}

// TestCheckBitesWithoutOneAttempt: a resend after a lost answer under a new
// attempt, which the next batcher can't know again, finds its own claim taken.
func TestCheckBitesWithoutOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, net := cluster(t, logtest.New(), agreed("a", "b"), 1)
		net.lose = 0
		first, err := nodes["a"].client.Claim(t.Context(), claimOf(1, "try-1"))
		require.NoError(t, err)
		require.Equal(t, Granted, first.Verdict, "the answer to this is taken as lost")
		again, err := nodes["b"].client.Claim(t.Context(), claimOf(1, "try-1"))
		require.NoError(t, err)
		require.Equal(t, Granted, again.Verdict, "the same attempt")
		other, err := nodes["b"].client.Claim(t.Context(), claimOf(1, "try-2"))
		require.NoError(t, err)
		require.Equal(t, Taken, other.Verdict, "a new attempt")
	})
}

// TestCheckBitesWithoutRetention: a log that drops records within the window,
// against what is assumed of it, lets a key be granted twice.
func TestCheckBitesWithoutRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		nodes, net := cluster(t, log, everyoneLeads(), 1)
		net.dead["c"] = true
		var history []porcupine.Operation
		claim := func(id, attempt string) {
			call := int64(len(history))
			standing, err := nodes[id].client.Claim(t.Context(), claimOf(1, attempt))
			require.NoError(t, err)
			history = append(history, porcupine.Operation{Input: op{key: 1, attempt: attempt}, Output: standing, Call: call, Return: call})
		}
		claim("a", "one")
		nodes["b"].log.SetFaults(logtest.Faults{Down: true})
		time.Sleep(time.Minute)
		stream := Stream(ShardOf(key(1)))
		kept := log.Records(stream)
		log.Trim(stream, kept[len(kept)-1].Offset+1)
		nodes["b"].log.SetFaults(logtest.Faults{})
		late, _ := cluster(t, log, map[string][]string{"d": {"d"}}, 1)
		nodes["d"] = late["d"]
		claim("d", "two")
		require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(claimModel, history, 0))
	})
}
