package relay

import (
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
)

// noteResumption counts and logs that a stream goes on at a server, if it began in an earlier
// attempt of this call or of its caller's.
func (c *call) noteResumption(s decide.Server) {
	by, began := "answer", c.stream.version
	switch {
	case c.stream.started:
	case c.headers.LastEventID != "":
		by, began = "caller", ""
	default:
		return
	}
	version := compareVersions(began, s.SoftwareVersion)
	c.relay.opts.Metrics.CountResumption(by, version)
	c.relay.opts.Log.WithFields(logrus.Fields{
		"request": c.headers.ID, "resumes": c.headers.Resumes, "by": by, "last_event": c.stream.lastID, "server": s.ID,
		"server_start": s.Start, "began_version": began, "version": s.SoftwareVersion,
	}).Info("stream resumed")
}

// compareVersions says whether two software versions are the same. An unknown one is never the
// same as another.
func compareVersions(a, b string) string {
	switch {
	case a == "" || b == "":
		return "unknown"
	case a == b:
		return "same"
	}
	return "other"
}
