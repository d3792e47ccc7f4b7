package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// dispatchedTo submits a suspect and returns the server that it is sent to.
func dispatchedTo(s *Scheduler, id string, affinity uint64, crashed ...string) string {
	r := newTestRequest(id, "am", time.Hour)
	r.Affinity, r.CrashedServers = affinity, crashed
	return s.Submit(simStart, r)[0].Server.ID
}

// Guards against two instances sending copies of a request that crashes servers to different
// ones, because each has seen other servers fail.
func TestInstancesSendCopiesOfASuspectToOneServerWhateverTheySawFail(t *testing.T) {
	for key := uint64(1); key <= 20; key++ {
		var sentTo []string
		for failing := range 4 {
			s := testScheduler(testTable(4, 100, 1, "am"))
			for n := range 20 { // some of them at a server that fails here
				id := fmt.Sprint("other", n)
				server := s.Submit(simStart, newTestRequest(id, "am", time.Hour))[0].Server.ID
				if server == fmt.Sprint("s", failing) {
					s.AttemptFailed(simStart, id, server, Failure{Reason: infra.ReasonUnreachable})
				}
				s.Cancel(simStart, id)
			}
			sentTo = append(sentTo, dispatchedTo(s, "suspect", key))
		}
		for _, server := range sentTo {
			require.Equal(t, sentTo[0], server, "key %d: %v", key, sentTo)
		}
	}
}

func TestServersThatCrashedUnderASuspectAreUsedLast(t *testing.T) {
	for key := uint64(1); key <= 20; key++ {
		var crashed []string
		for range 4 {
			server := dispatchedTo(testScheduler(testTable(4, 100, 1, "am")), "suspect", key, crashed...)
			require.NotContains(t, crashed, server)
			crashed = append(crashed, server)
		}
		first := dispatchedTo(testScheduler(testTable(4, 100, 1, "am")), "suspect", key, crashed...)
		require.Equal(t, crashed[0], first, "if all have crashed, the first is first again")
	}
}
