package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/logsync"
	"greengageferry/platform"
	"greengageferry/record"
	"greengageferry/replay"
)

const (
	// QuarantineExpiry is how long a crash counts against a request: callers
	// resend within minutes, and a server's software may have changed by the
	// next day.
	QuarantineExpiry = 6 * time.Hour
	// crashReportTime bounds how long a crash is tried to be put on the log: it
	// outlasts a short outage, and the report is of use only while the caller
	// may send the request again.
	crashReportTime = time.Minute
)

// quarantine implements caller.Quarantine over the log's stream.
type quarantine struct {
	follower *logsync.Follower[replay.QuarantineView]
	appender logsync.Appender
	log      logrus.FieldLogger
}

// Quarantined implements caller.Quarantine.
func (q *quarantine) Quarantined(fingerprint [32]byte) bool {
	view := q.follower.View()
	return view != nil && view.Quarantined(fingerprint, time.Now(), QuarantineExpiry)
}

// Suspect implements caller.Quarantine.
func (q *quarantine) Suspect(fingerprint [32]byte) bool {
	view := q.follower.View()
	return view != nil && view.Suspect(fingerprint, time.Now(), QuarantineExpiry)
}

// Crashed implements caller.Quarantine. It returns once the crash is on the log
// or can't be put there.
func (q *quarantine) Crashed(ctx context.Context, c *record.Crash) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTime)
	defer cancel()
	_, err := q.appender.Append(ctx, platform.StreamQuarantine, &record.Record{Body: &record.Record_Crash{Crash: c}})
	entry := q.log.WithFields(logrus.Fields{"server": c.GetServer(), "boot": c.GetBoot(), "together": c.GetTogether()})
	if err != nil {
		entry.WithField("error", err).Warn("crash not reported")
		return
	}
	entry.Info("crash reported")
}
