package instance

import (
	"bytes"
	stdlog "log"

	"github.com/sirupsen/logrus"
)

// serverLog turns what net/http says of broken connections into log lines.
type serverLog struct{ log logrus.FieldLogger }

// Write implements io.Writer. It takes one line.
func (l serverLog) Write(line []byte) (int, error) {
	l.log.WithField("error", string(bytes.TrimSpace(line))).Debug("connection problem")
	return len(line), nil
}

func newServerLog(log logrus.FieldLogger) *stdlog.Logger { return stdlog.New(serverLog{log}, "", 0) }
