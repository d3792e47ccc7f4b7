package instance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"greengageferry/decide"
	"greengageferry/exchange"
	"greengageferry/residency"
)

// speedBytes returns the bytes of the speeds in an answer just after all servers' speeds have changed
// and two seconds later, and the bytes of the samples in a report.
func speedBytes(instances, servers int) (first, later, report int) {
	d := residency.NewDemandTracker()
	now := time.UnixMilli(1764800000000)
	sample := func(n int) decide.SpeedSample {
		return decide.SpeedSample{
			Server: fmt.Sprintf("i-%08x", n*7919), Start: "m3k9x2a" + string(rune('a'+n%26)), Pool: "kitchen-llm", Model: fmt.Sprint("m", n/3%200),
			Count: 1, LogSum: math.Log([]float64{0.014, 0.014, 0.006}[n%3]),
		}
	}
	for k := range 12 * servers { // twelve answers of each server, over all instances
		r := residency.InstanceReport{Instance: fmt.Sprint("node", k%instances), Speeds: []decide.SpeedSample{sample(k % servers)}}
		d.HandleReport(now, r)
	}
	size := func() int {
		return proto.Size(&exchange.SyncResponse{Speeds: convertAll(d.Speeds(now, "node0"), wireSpeed)})
	}
	first = size()
	now = now.Add(2 * time.Second)
	later = size()
	var samples []decide.SpeedSample
	for n := range 6 { // answers of an instance in half a second
		samples = append(samples, sample(n))
	}
	return first, later, proto.Size(&exchange.SyncRequest{Speeds: convertAll(samples, wireSpeedSample)})
}

// The bytes for speeds grow at most with the number of servers, even if all speeds differ.
func TestSpeedsAreFewBytes(t *testing.T) {
	for _, fleet := range []struct{ instances, servers, most int }{{9, 12, 600}, {75, 112, 700}, {295, 250, 700}, {985, 1900, 4000}} {
		first, later, report := speedBytes(fleet.instances, fleet.servers)
		t.Logf("%d instances, %d servers: answer %d bytes, %d while all speeds are new, report %d", fleet.instances, fleet.servers, later, first, report)
		require.NotZero(t, later)
		require.LessOrEqual(t, later, fleet.most)
		require.LessOrEqual(t, first, later+2000)
		require.LessOrEqual(t, report, 400)
	}
}
