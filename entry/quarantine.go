package entry

import (
	"context"
	"encoding/hex"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/logsync"
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

// quarantine implements caller.Quarantine over the log's stream and the lifts
// in force.
type quarantine struct {
	config   func() *config.Config
	follower *logsync.Follower[replay.QuarantineView]
	appender logsync.Appender
	log      logrus.FieldLogger
}

// Quarantined implements caller.Quarantine.
func (q *quarantine) Quarantined(fingerprint [32]byte) bool {
	view := q.follower.View()
	return view != nil && view.Quarantined(fingerprint, q.since(fingerprint))
}

// Suspect implements caller.Quarantine.
func (q *quarantine) Suspect(fingerprint [32]byte) bool {
	view := q.follower.View()
	return view != nil && view.Suspect(fingerprint, q.since(fingerprint))
}

// since returns the time from which crashes count against a request: its
// expiry ago, or what a lift says if that is later.
func (q *quarantine) since(fingerprint [32]byte) time.Time {
	since := time.Now().Add(-QuarantineExpiry)
	cfg := q.config()
	if cfg == nil {
		return since
	}
	lift := cfg.Lifts[hex.EncodeToString(fingerprint[:])]
	if lift.Before.After(since) {
		return lift.Before
	}
	return since
}

// Crashed implements caller.Quarantine. It returns once the crash is on the log
// or can't be put there.
func (q *quarantine) ReportCrash(ctx context.Context, c *record.Crash) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTime)
	defer cancel()
	_, err := q.appender.Append(ctx, infra.StreamQuarantine, &record.Record{Body: &record.Record_Crash{Crash: c}})
	entry := q.log.WithFields(logrus.Fields{"server": c.GetServer(), "boot": c.GetBoot(), "together": c.GetTogether()})
	if err != nil {
		entry.WithField("error", err).Warn("crash not reported")
		return
	}
	entry.Info("crash reported")
}

// status returns the requests that crashes count against.
func (q *quarantine) status() []SuspectStatus {
	view := q.follower.View()
	if view == nil {
		return nil
	}
	var suspects []SuspectStatus
	for fingerprint, suspect := range view.Suspects {
		if !q.Suspect(fingerprint) {
			continue
		}
		status := SuspectStatus{Fingerprint: hex.EncodeToString(fingerprint[:]), Quarantined: q.Quarantined(fingerprint)}
		for _, crash := range suspect.Crashes {
			status.Servers = append(status.Servers, crash.Server)
		}
		suspects = append(suspects, status)
	}
	sort.Slice(suspects, func(a, b int) bool { return suspects[a].Fingerprint < suspects[b].Fingerprint })
	return suspects
}
