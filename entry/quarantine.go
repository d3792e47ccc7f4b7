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
	"greengageferry/quarantine"
	"greengageferry/record"
	"greengageferry/replay"
)

// crashReportTimeout bounds the attempts to append a crash to the log. It outlasts a
// short outage. A crash report is useful only while the caller may resend the request.
const crashReportTimeout = time.Minute

// logQuarantine implements caller.Quarantine with the log's quarantine stream and with the
// lifts in the configuration, by which operators end the quarantine of a request.
type logQuarantine struct {
	config   func() *config.Config
	follower *logsync.Follower[replay.QuarantineView]
	appender logsync.Appender
	log      logrus.FieldLogger
}

// Quarantined implements caller.Quarantine.
func (q *logQuarantine) Quarantined(fingerprint [32]byte) bool {
	view := q.follower.View()
	return view != nil && view.Quarantined(fingerprint, q.since(fingerprint))
}

// Suspect implements caller.Quarantine.
func (q *logQuarantine) Suspect(fingerprint [32]byte) bool {
	view := q.follower.View()
	return view != nil && view.Suspect(fingerprint, q.since(fingerprint))
}

// since returns the time from which crashes count against a request: quarantine.Expiry ago,
// or the time that a lift names if that is later.
func (q *logQuarantine) since(fingerprint [32]byte) time.Time {
	since := time.Now().Add(-quarantine.Expiry)
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

// ReportCrash implements caller.Quarantine. It returns once the crash is on the log or
// crashReportTimeout has passed.
func (q *logQuarantine) ReportCrash(ctx context.Context, c *record.Crash) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	_, err := q.appender.Append(ctx, infra.StreamQuarantine, &record.Record{Body: &record.Record_Crash{Crash: c}})
	entry := q.log.WithFields(logrus.Fields{"server": c.GetServer(), "boot": c.GetBoot(), "together": c.GetTogether()})
	if err != nil {
		entry.WithField("error", err).Warn("crash not reported")
		return
	}
	entry.Info("crash reported")
}

// status returns the requests against which crashes count, sorted by fingerprint.
func (q *logQuarantine) status() []SuspectStatus {
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
