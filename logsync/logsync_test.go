package logsync

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/internal/testmain"
	"greengageferry/logsync/logtest"
	"greengageferry/record"
	"greengageferry/replay"
)

func TestMain(m *testing.M) { testmain.Run(m) }

// discardLogger returns a logger without output.
func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// unlimitedBudget is a budget under which no append waits.
type unlimitedBudget struct{}

func (unlimitedBudget) Rate(string) (float64, int) { return 1e9, 1 << 20 }

// node is the follower and writer of one instance, with their own log client.
type node struct {
	id       string
	client   *logtest.Client
	writer   *Writer
	follower *Follower[replay.ConfigView]
	ctx      context.Context
	stop     func()
}

func newNode(t *testing.T, log *logtest.Log, id string, peers StateSource) *node {
	client := log.Client()
	ctx, cancel := context.WithCancel(t.Context())
	n := &node{
		id:     id,
		client: client,
		ctx:    ctx,
		writer: NewWriter(WriterOptions{Log: client, Origin: id, Budget: unlimitedBudget{}, Logger: discardLogger()}),
		follower: NewFollower(FollowerOptions[replay.ConfigView]{
			Log:    client,
			Stream: infra.StreamConfig,
			New:    func(infra.Offset) ViewMachine[replay.ConfigView] { return replay.NewConfig() },
			Peers:  peers,
			Logger: discardLogger(),
		}),
	}
	n.start(n.writer.Run)
	n.start(n.follower.Run)
	n.stop = cancel
	t.Cleanup(cancel)
	return n
}

func (n *node) start(run func(context.Context) error) {
	go func() { _ = run(n.ctx) }()
}

func (n *node) runJudge(members ...string) {
	n.start(NewJudge(JudgeOptions{
		Source: n.follower, Writer: n.writer, Self: n.id,
		Members: func() []string { return members }, Program: "test", Logger: discardLogger(),
	}).Run)
}

func (n *node) runCheckpointer(members ...string) {
	n.start(NewCheckpointer(CheckpointerOptions{
		Source: n.follower, Writer: n.writer, Self: n.id,
		Members: func() []string { return members }, Logger: discardLogger(),
	}).Run)
}

func configChange(file, content string, base infra.Offset) *record.Record {
	return &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{
		File: file, Partner: "kitchen", Author: "ana", Content: []byte(content), Base: uint64(base),
	}}}
}

func acceptVerdict(offset infra.Offset) *record.Record {
	return &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: &record.ConfigVerdict{Change: uint64(offset), Accepted: true}}}
}

func (n *node) appendRecords(t *testing.T, records ...*record.Record) infra.Offset {
	offset, err := n.writer.Append(t.Context(), infra.StreamConfig, records...)
	require.NoError(t, err)
	return offset
}

// waitForOffset waits until the node has applied the offset. It fails the test
// after ten minutes.
func (n *node) waitForOffset(t *testing.T, offset infra.Offset) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	defer cancel()
	require.NoError(t, n.follower.WaitFor(ctx, offset))
}

func effectOf(t *testing.T, err error) infra.Effect {
	var failed *infra.Error
	require.ErrorAs(t, err, &failed)
	return failed.Effect
}

func decodeRecords(t *testing.T, log *logtest.Log) []*record.Record {
	var out []*record.Record
	for _, r := range log.Records(infra.StreamConfig) {
		out = append(out, mustDecode(t, r))
	}
	return out
}

func mustDecode(t *testing.T, r infra.Record) *record.Record {
	d := &record.Record{}
	require.NoError(t, proto.Unmarshal(r.Data, d))
	return d
}
