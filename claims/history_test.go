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

// operation is one call in the history.
type operation struct {
	key     int
	attempt string
	release bool // a NOT_RUN result, which releases the key
}

// keyState is the state of a key in the model.
type keyState struct {
	holder   string
	attempts string // attempts whose claims may be on the log, each between commas
}

// withHolder returns the state with another holder; "" releases the key.
func (s keyState) withHolder(attempt string) keyState {
	return keyState{holder: attempt, attempts: s.attempts}
}

// withAttempt returns the state with one more attempt that may be on the log.
func (s keyState) withAttempt(attempt string) keyState {
	return keyState{holder: s.holder, attempts: s.attempts + "," + attempt + ","}
}

// claimModel is the specification that histories are checked against. A key is held
// by one attempt until that attempt releases it. A call with an Uncertain answer
// may take effect at any later time, or never. A Taken answer may be outdated, or
// name a losing claim that holds the key until it is withdrawn, but never an
// attempt that made no claim.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(operation).key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(keyState), input.(operation), output.(Standing)
		switch {
		case in.release && now.holder == in.attempt:
			return []any{now.withHolder("")}
		case in.release, out.Verdict == NotKept:
			return []any{now}
		case out.Verdict == Granted && (now.holder == "" || now.holder == in.attempt):
			return []any{now.withHolder(in.attempt).withAttempt(in.attempt)}
		case out.Verdict == Granted:
			return nil
		case out.Verdict == Taken && !strings.Contains(now.attempts, ","+out.Attempt+","):
			return nil
		case out.Verdict == Uncertain && now.holder == "":
			return []any{now.withAttempt(in.attempt), now.withHolder(in.attempt).withAttempt(in.attempt)}
		}
		return []any{now.withAttempt(in.attempt)}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// runConcurrentClaims lets many callers claim a few keys through all nodes while it
// injects faults, and returns the history. Some granted attempts report NOT_RUN.
func runConcurrentClaims(t *testing.T, nodes map[string]*node, net *faultyNetwork, seed uint64) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 2))
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	addOperation := func(client int, in operation, call time.Time, out Standing) {
		mu.Lock()
		defer mu.Unlock()
		ended := int64(time.Since(began))
		if out.Verdict == Uncertain {
			ended = math.MaxInt64 // its record may still reach the log later
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Output: out, Call: int64(call.Sub(began)), Return: ended,
		})
	}
	ids := []string{"a", "b", "c"}
	var wait sync.WaitGroup
	for caller := range 30 {
		id := ids[rng.IntN(len(ids))]
		in := operation{key: rng.IntN(5), attempt: fmt.Sprint(caller)}
		start, notRun := time.Duration(rng.IntN(4000))*time.Millisecond, rng.IntN(3) == 0
		wait.Go(func() {
			time.Sleep(start)
			call := time.Now()
			standing, _ := nodes[id].client.Claim(t.Context(), testClaim(in.key, in.attempt))
			addOperation(caller, in, call, standing)
			if standing.Verdict == Granted && notRun {
				in.release = true
				call = time.Now()
				require.NoError(t, nodes[id].client.Result(t.Context(), &record.ClaimResult{
					Key: key(in.key), Attempt: in.attempt, Outcome: record.ClaimResult_NOT_RUN}))
				addOperation(caller, in, call, Standing{})
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

// everyNodeLeads returns lists in which each node knows only itself, so that each
// runs a batcher for every shard: the maximum number of concurrent batchers.
func everyNodeLeads() map[string][]string {
	return map[string][]string{"a": {"a"}, "b": {"b"}, "c": {"c"}}
}

// verdictCounts returns the number of calls by verdict.
func verdictCounts(history []porcupine.Operation) map[Verdict]int {
	counts := map[Verdict]int{}
	for _, o := range history {
		counts[o.Output.(Standing).Verdict]++
	}
	return counts
}

func TestClaimsAreLinearizable(t *testing.T) {
	total := map[Verdict]int{}
	for name, lists := range map[string]map[string][]string{"one batcher": sameMembers("a", "b", "c"), "batchers at once": everyNodeLeads()} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					nodes, net := startCluster(t, logtest.New(), lists, seed)
					net.lossRate = 0.2
					history := runConcurrentClaims(t, nodes, net, seed)
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

// inMemoryBatcher is an incorrect batcher: it ignores the order of the log and
// grants claims by what it has seen itself.
type inMemoryBatcher struct {
	mu      sync.Mutex
	holders map[string]string
}

func (m *inMemoryBatcher) Claim(_ context.Context, id uint32, claims [][]byte) ([]*peer.ClaimStanding, error) {
	records, err := decodeClaims(id, claims)
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

// TestCheckDetectsBatchersIgnoringLogOrder checks that the history check fails if
// batchers ignore the order of the log.
func TestCheckDetectsBatchersIgnoringLogOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, net := startCluster(t, logtest.New(), sameMembers("a", "b", "c"), 1)
		for id := range nodes {
			net.servers[id] = &inMemoryBatcher{holders: map[string]string{}}
			others := slices.DeleteFunc([]string{"a", "b", "c"}, func(o string) bool { return o == id })
			nodes[id].client.opts.Members = func() []infra.Instance { return instances(others) }
		}
		history := runConcurrentClaims(t, nodes, net, 1)
		require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(claimModel, history, 0))
	})
}

// TestRetryWithNewAttemptFindsOwnClaimTaken checks that a retry after a lost answer
// must use the same attempt: with a new attempt, the next batcher can't recognize
// it, and the claimant finds the key taken by its own claim.
func TestRetryWithNewAttemptFindsOwnClaimTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, net := startCluster(t, logtest.New(), sameMembers("a", "b"), 1)
		net.lossRate = 0
		first, err := nodes["a"].client.Claim(t.Context(), testClaim(1, "try-1"))
		require.NoError(t, err)
		require.Equal(t, Granted, first.Verdict, "the answer to this call counts as lost")
		again, err := nodes["b"].client.Claim(t.Context(), testClaim(1, "try-1"))
		require.NoError(t, err)
		require.Equal(t, Granted, again.Verdict, "the same attempt")
		other, err := nodes["b"].client.Claim(t.Context(), testClaim(1, "try-2"))
		require.NoError(t, err)
		require.Equal(t, Taken, other.Verdict, "a new attempt")
	})
}

// TestCheckDetectsRecordsDroppedWithinWindow checks that the history check fails if
// the log drops records within Window, contrary to its guaranteed retention: a
// key is then granted twice.
func TestCheckDetectsRecordsDroppedWithinWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		nodes, net := startCluster(t, log, everyNodeLeads(), 1)
		net.dead["c"] = true
		var history []porcupine.Operation
		claim := func(id, attempt string) {
			call := int64(len(history))
			standing, err := nodes[id].client.Claim(t.Context(), testClaim(1, attempt))
			require.NoError(t, err)
			history = append(history, porcupine.Operation{Input: operation{key: 1, attempt: attempt}, Output: standing, Call: call, Return: call})
		}
		claim("a", "one")
		nodes["b"].log.SetFaults(logtest.Faults{Down: true})
		time.Sleep(time.Minute)
		stream := Stream(ShardOf(key(1)))
		kept := log.Records(stream)
		log.Trim(stream, kept[len(kept)-1].Offset+1)
		nodes["b"].log.SetFaults(logtest.Faults{})
		late, _ := startCluster(t, log, map[string][]string{"d": {"d"}}, 1)
		nodes["d"] = late["d"]
		claim("d", "two")
		require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(claimModel, history, 0))
	})
}
