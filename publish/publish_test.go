package publish

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/internal/testmain"
	"greengageferry/logsync"
	"greengageferry/logsync/logtest"
	"greengageferry/replay"
)

func TestMain(m *testing.M) { testmain.Run(m) }

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// runValidator runs an instance that validates the published changes.
func runValidator(t *testing.T, log *logtest.Log) {
	client := log.Client()
	writer := logsync.NewWriter(logsync.WriterOptions{Log: client, Origin: "judge", Budget: fixedBudget{}, Logger: discardLogger()})
	follower := logsync.NewFollower(logsync.FollowerOptions[replay.ConfigView]{
		Log: client, Stream: infra.StreamConfig, Logger: discardLogger(),
		New: func(infra.Offset) logsync.ViewMachine[replay.ConfigView] { return replay.NewConfig() },
	})
	j := logsync.NewJudge(logsync.JudgeOptions{
		Source: follower, Writer: writer, Self: "judge", Logger: discardLogger(),
		Members: func() []string { return []string{"judge"} },
	})
	for _, run := range []func(context.Context) error{writer.Run, follower.Run, j.Run} {
		go func() { _ = run(t.Context()) }()
	}
}

// newPublisher returns a publisher for the test partner's folder.
func newPublisher(log infra.Log, dir, author string) *Publisher {
	return New(Options{Log: log, Dir: dir, Partner: "kitchen", Author: author, Logger: discardLogger()})
}

func writeFile(t *testing.T, dir, name, content string) {
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
}

// publishOnce publishes a folder with a new publisher.
func publishOnce(t *testing.T, log infra.Log, dir string) []Outcome {
	outcomes, err := newPublisher(log, dir, "ana").Once(t.Context())
	require.NoError(t, err)
	return outcomes
}

func TestOncePublishesOnlyChangedFiles(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		runValidator(t, log)
		writeFile(t, dir, "10.toml", "")
		writeFile(t, dir, "notes.txt", "not a setting")
		require.Equal(t, []Outcome{{File: "10.toml", Offset: 1, Accepted: true, ReasonFile: "10.toml"}}, publishOnce(t, log.Client(), dir))
		require.Empty(t, publishOnce(t, log.Client(), dir))
		writeFile(t, dir, "10.toml", "\n[models.x]\nmib = 1\n")
		rejected := publishOnce(t, log.Client(), dir)
		require.Len(t, rejected, 1)
		require.False(t, rejected[0].Accepted)
		require.EqualValues(t, 2, rejected[0].ReasonLine)
		writeFile(t, dir, "10.toml", "# mended")
		require.True(t, publishOnce(t, log.Client(), dir)[0].Accepted)
		require.NoError(t, os.Remove(filepath.Join(dir, "10.toml")))
		removed := publishOnce(t, log.Client(), dir)
		require.True(t, removed[0].Accepted && removed[0].Removed)
		writeFile(t, dir, "10.toml", "# again")
		require.True(t, publishOnce(t, log.Client(), dir)[0].Accepted)
	})
}

// TestConflictingEditIsRejected edits a file in two copies of the folder. The second
// edit is based on an outdated version and must be rejected. It is accepted with
// Overwrite, once its copy has no base versions any more.
func TestConflictingEditIsRejected(t *testing.T) {
	mine, theirs := t.TempDir(), t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		runValidator(t, log)
		writeFile(t, mine, "10.toml", "# one")
		writeFile(t, theirs, "10.toml", "# one")
		publishOnce(t, log.Client(), mine)
		require.Empty(t, publishOnce(t, log.Client(), theirs), "the same content")
		writeFile(t, mine, "10.toml", "# two")
		require.True(t, publishOnce(t, log.Client(), mine)[0].Accepted)
		writeFile(t, theirs, "10.toml", "# other")
		conflicting := publishOnce(t, log.Client(), theirs)[0]
		require.False(t, conflicting.Accepted)
		require.Contains(t, conflicting.Reason, "by ana is in force")
		require.NoError(t, os.Remove(filepath.Join(theirs, BasesFile)))
		p := newPublisher(log.Client(), theirs, "rui")
		p.opts.Overwrite = true
		outcomes, err := p.Once(t.Context())
		require.NoError(t, err)
		require.True(t, outcomes[0].Accepted)
	})
}

func TestLostAppendAnswerIsNotDuplicated(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		runValidator(t, log)
		client := log.Client()
		client.SetFaults(logtest.Faults{LoseAnswers: 2})
		writeFile(t, dir, "10.toml", "")
		require.True(t, publishOnce(t, client, dir)[0].Accepted)
		require.Len(t, log.Records(infra.StreamConfig), 2)
	})
}

func TestUnreachableLogReturnsLogError(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		client := logtest.New().Client()
		client.SetFaults(logtest.Faults{Down: true})
		writeFile(t, dir, "10.toml", "")
		_, err := newPublisher(client, dir, "ana").Once(t.Context())
		var failed *LogError
		require.ErrorAs(t, err, &failed)
	})
}

func TestWatchPublishesRejectedFileOnce(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		runValidator(t, log)
		writeFile(t, dir, "10.toml", "nonsense")
		ctx, cancel := context.WithCancel(t.Context())
		var seen []Outcome
		done := make(chan error)
		go func() {
			done <- newPublisher(log.Client(), dir, "ana").Watch(ctx, func(o Outcome) { seen = append(seen, o) })
		}()
		time.Sleep(time.Minute)
		writeFile(t, dir, "10.toml", "# mended")
		time.Sleep(time.Minute)
		cancel()
		require.NoError(t, <-done)
		require.Len(t, seen, 2)
		require.False(t, seen[0].Accepted)
		require.True(t, seen[1].Accepted)
	})
}
