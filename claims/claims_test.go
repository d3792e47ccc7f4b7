package claims

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/internal/testmain"
	"greengageferry/logsync"
	"greengageferry/logsync/logtest"
	"greengageferry/peer"
	"greengageferry/record"
)

func TestMain(m *testing.M) { testmain.Run(m) }

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

type wide struct{}

func (wide) Rate(string) (float64, int) { return 1e9, 1 << 20 }

// network joins the nodes' batchers, with faults.
type network struct {
	mu      sync.Mutex
	rng     *rand.Rand
	lose    float64 // the part of requests lost, and of answers
	dead    map[string]bool
	servers map[string]peer.ClaimServer // by address, which is the id
}

// Claim implements Remote.
func (n *network) Claim(ctx context.Context, addr string, shard uint32, claims [][]byte) ([]*peer.ClaimStanding, error) {
	lost := &infra.Error{Op: "peer.claim", Addr: addr, Reason: infra.ReasonTimeout, Effect: infra.EffectUnknown}
	if n.dead[addr] || n.draw() {
		return nil, lost
	}
	standings, err := n.servers[addr].Claim(ctx, shard, claims)
	if n.draw() {
		return nil, lost
	}
	return standings, err
}

func (n *network) draw() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.lose
}

// node is one entry instance's part in claims.
type node struct {
	client   *Client
	batchers *Batchers
	log      *logtest.Client
}

// cluster starts nodes; lists gives each one's view of the members.
func cluster(t *testing.T, log *logtest.Log, lists map[string][]string, seed uint64) (map[string]*node, *network) {
	net := &network{rng: rand.New(rand.NewPCG(seed, 1)), dead: map[string]bool{}, servers: map[string]peer.ClaimServer{}}
	nodes := map[string]*node{}
	for id, list := range lists {
		n := &node{log: log.Client()}
		writer := logsync.NewWriter(logsync.WriterOptions{Log: n.log, Origin: id, Budget: wide{}, Logger: quiet()})
		n.batchers = NewBatchers(Options{Log: n.log, Writer: writer, Self: id, Members: func() []string { return list }, Logger: quiet()})
		n.client = NewClient(ClientOptions{
			Local: n.batchers, Remote: net, Self: infra.Instance{ID: id, Addr: id, FailureDomain: "d"}, Logger: quiet(),
			Members: func() []infra.Instance { return instances(list) },
		})
		net.servers[id] = n.batchers
		nodes[id] = n
		go func() { _ = writer.Run(t.Context()) }()
		go func() { _ = n.batchers.Run(t.Context()) }()
		go func() { _ = n.client.Run(t.Context()) }()
	}
	return nodes, net
}

func instances(ids []string) []infra.Instance {
	var out []infra.Instance
	for _, id := range ids {
		out = append(out, infra.Instance{ID: id, Addr: id, FailureDomain: "d"})
	}
	return out
}

func agreed(ids ...string) map[string][]string {
	lists := map[string][]string{}
	for _, id := range ids {
		lists[id] = ids
	}
	return lists
}

func key(k int) []byte {
	out := make([]byte, 32)
	out[0], out[1] = byte(k), byte(k>>8)
	return out
}

func claimOf(k int, attempt string) *record.Claim {
	return &record.Claim{Key: key(k), Fingerprint: key(0), Instance: "i", Attempt: attempt, Request: "r-" + attempt}
}

func TestSecondClaimFindsTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := cluster(t, logtest.New(), agreed("a", "b", "c"), 1)
		first, err := nodes["a"].client.Claim(t.Context(), claimOf(1, "one"))
		require.NoError(t, err)
		require.Equal(t, Granted, first.Verdict)
		second, err := nodes["b"].client.Claim(t.Context(), claimOf(1, "two"))
		require.NoError(t, err)
		require.Equal(t, Standing{Verdict: Taken, Instance: "i", Attempt: "one", Request: "r-one"}, second)
		other := claimOf(1, "three")
		other.Fingerprint = key(9)
		conflict, err := nodes["c"].client.Claim(t.Context(), other)
		require.NoError(t, err)
		require.Equal(t, Conflict, conflict.Verdict)
		require.NoError(t, nodes["a"].client.Result(t.Context(), &record.ClaimResult{Key: key(1), Attempt: "one", Outcome: record.ClaimResult_NOT_RUN}))
		third, err := nodes["b"].client.Claim(t.Context(), claimOf(1, "two"))
		require.NoError(t, err)
		require.Equal(t, Granted, third.Verdict)
	})
}

func TestLogOutIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := cluster(t, logtest.New(), agreed("a", "b"), 1)
		time.Sleep(time.Second)
		for _, n := range nodes {
			n.log.SetFaults(logtest.Faults{Down: true})
		}
		standing, err := nodes["a"].client.Claim(t.Context(), claimOf(1, "one"))
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.Equal(t, NotKept, standing.Verdict)
		for _, n := range nodes {
			n.log.SetFaults(logtest.Faults{})
		}
		time.Sleep(time.Minute)
		standing, err = nodes["b"].client.Claim(t.Context(), claimOf(1, "two"))
		require.NoError(t, err)
		require.Equal(t, Granted, standing.Verdict)
	})
}

func TestBatcherDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, net := cluster(t, logtest.New(), agreed("a", "b", "c"), 1)
		for dead := range nodes {
			net.dead[dead] = true
		}
		for k := range 20 {
			for id, n := range nodes {
				standing, err := n.client.Claim(t.Context(), claimOf(k, id))
				require.NoError(t, err)
				require.NotEqual(t, NotKept, standing.Verdict)
			}
		}
	})
}

// TestWindow: a claim is remembered for the window and not for much longer, and
// a batcher that begins after records aged out knows what it may forget.
func TestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		nodes, net := cluster(t, log, agreed("a", "b"), 1)
		verdict := func(id, attempt string) Verdict {
			standing, err := nodes[id].client.Claim(t.Context(), claimOf(1, attempt))
			require.NoError(t, err)
			return standing.Verdict
		}
		require.Equal(t, Granted, verdict("a", "one"))
		time.Sleep(Window - time.Second)
		require.Equal(t, Taken, verdict("b", "two"))
		time.Sleep(2*expiryEvery + time.Second)
		require.Equal(t, Granted, verdict("b", "three"))
		time.Sleep(logsync.MinRetention)
		stream := Stream(ShardOf(key(1)))
		kept := log.Records(stream)
		log.Trim(stream, kept[len(kept)-1].Offset+1)
		net.dead["a"], net.dead["b"] = true, true
		require.Equal(t, Granted, verdict("a", "four"))
		require.Equal(t, Taken, verdict("b", "five"))
	})
}

func TestBatcherRefusesWhatIsNoClaimOfItsShard(t *testing.T) {
	b := NewBatchers(Options{Members: func() []string { return nil }, Logger: quiet()})
	id := ShardOf(key(1))
	for name, data := range map[string][]byte{"garbage": {0xff}, "empty": {}, "nothing": nil} {
		_, err := b.Claim(t.Context(), id, [][]byte{data})
		require.True(t, surelyNone(err), name)
	}
	_, err := b.Claim(t.Context(), Shards, nil)
	require.True(t, surelyNone(err))
}
