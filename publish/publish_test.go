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

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// judge runs an instance that judges what is published.
func judge(t *testing.T, log *logtest.Log) {
	client := log.Client()
	writer := logsync.NewWriter(logsync.WriterOptions{Log: client, Origin: "judge", Budget: budget{}, Logger: quiet()})
	follower := logsync.NewFollower(logsync.FollowerOptions[replay.ConfigView]{
		Log: client, Stream: infra.StreamConfig, Logger: quiet(),
		New: func(infra.Offset) logsync.ViewMachine[replay.ConfigView] { return replay.NewConfig() },
	})
	j := logsync.NewJudge(logsync.JudgeOptions{
		Source: follower, Writer: writer, Self: "judge", Logger: quiet(),
		Members: func() []string { return []string{"judge"} },
	})
	for _, run := range []func(context.Context) error{writer.Run, follower.Run, j.Run} {
		go func() { _ = run(t.Context()) }()
	}
}

func publisher(log infra.Log, dir, author string) *Publisher {
	return New(Options{Log: log, Dir: dir, Partner: "kitchen", Author: author, Logger: quiet()})
}

func write(t *testing.T, dir, name, content string) {
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
}

func once(t *testing.T, log infra.Log, dir string) []Outcome {
	outcomes, err := publisher(log, dir, "ana").Once(t.Context())
	require.NoError(t, err)
	return outcomes
}

func TestOnceSendsOnlyWhatChanged(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		judge(t, log)
		write(t, dir, "10.toml", "")
		write(t, dir, "notes.txt", "not a setting")
		require.Equal(t, []Outcome{{File: "10.toml", Offset: 1, Accepted: true, At: "10.toml"}}, once(t, log.Client(), dir))
		require.Empty(t, once(t, log.Client(), dir))
		write(t, dir, "10.toml", "\n[models.x]\nmib = 1\n")
		refused := once(t, log.Client(), dir)
		require.Len(t, refused, 1)
		require.False(t, refused[0].Accepted)
		require.EqualValues(t, 2, refused[0].Line)
		write(t, dir, "10.toml", "# mended")
		require.True(t, once(t, log.Client(), dir)[0].Accepted)
		require.NoError(t, os.Remove(filepath.Join(dir, "10.toml")))
		removed := once(t, log.Client(), dir)
		require.True(t, removed[0].Accepted && removed[0].Removed)
		write(t, dir, "10.toml", "# again")
		require.True(t, once(t, log.Client(), dir)[0].Accepted)
	})
}

// TestTwoCopiesRace: an edit in one copy of the folder that doesn't know of the
// other copy's is refused, until its operator says that it was looked at.
func TestTwoCopiesRace(t *testing.T) {
	mine, theirs := t.TempDir(), t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		judge(t, log)
		write(t, mine, "10.toml", "# one")
		write(t, theirs, "10.toml", "# one")
		once(t, log.Client(), mine)
		require.Empty(t, once(t, log.Client(), theirs), "the same content")
		write(t, mine, "10.toml", "# two")
		require.True(t, once(t, log.Client(), mine)[0].Accepted)
		write(t, theirs, "10.toml", "# other")
		raced := once(t, log.Client(), theirs)[0]
		require.False(t, raced.Accepted)
		require.Contains(t, raced.Reason, "by ana is in force")
		require.NoError(t, os.Remove(filepath.Join(theirs, BasesFile)))
		p := publisher(log.Client(), theirs, "rui")
		p.opts.Overwrite = true
		outcomes, err := p.Once(t.Context())
		require.NoError(t, err)
		require.True(t, outcomes[0].Accepted)
	})
}

func TestLostAnswerIsOneChange(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		judge(t, log)
		client := log.Client()
		client.SetFaults(logtest.Faults{LoseAnswers: 2})
		write(t, dir, "10.toml", "")
		require.True(t, once(t, client, dir)[0].Accepted)
		require.Len(t, log.Records(infra.StreamConfig), 2)
	})
}

func TestLogDownIsSaid(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		client := logtest.New().Client()
		client.SetFaults(logtest.Faults{Down: true})
		write(t, dir, "10.toml", "")
		_, err := publisher(client, dir, "ana").Once(t.Context())
		var failed *LogError
		require.ErrorAs(t, err, &failed)
	})
}

func TestWatchSendsARefusedFileOnce(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New()
		judge(t, log)
		write(t, dir, "10.toml", "nonsense")
		ctx, cancel := context.WithCancel(t.Context())
		var seen []Outcome
		done := make(chan error)
		go func() {
			done <- publisher(log.Client(), dir, "ana").Watch(ctx, func(o Outcome) { seen = append(seen, o) })
		}()
		time.Sleep(time.Minute)
		write(t, dir, "10.toml", "# mended")
		time.Sleep(time.Minute)
		cancel()
		require.NoError(t, <-done)
		require.Len(t, seen, 2)
		require.False(t, seen[0].Accepted)
		require.True(t, seen[1].Accepted)
	})
}
