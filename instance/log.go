package instance

import (
	"bytes"
	stdlog "log"

	"github.com/sirupsen/logrus"
)

// httpErrorLog writes the errors that net/http reports on connections to the log.
type httpErrorLog struct{ log logrus.FieldLogger }

// Write implements io.Writer. It takes one line.
func (l httpErrorLog) Write(line []byte) (int, error) {
	l.log.WithField("error", string(bytes.TrimSpace(line))).Debug("connection problem")
	return len(line), nil
}

func newHTTPErrorLog(log logrus.FieldLogger) *stdlog.Logger {
	return stdlog.New(httpErrorLog{log}, "", 0)
}
