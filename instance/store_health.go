package instance

import (
	"time"

	"github.com/sirupsen/logrus"
)

// storeFailed records that the store did not answer a read.
func (i *Instance) storeFailed(read string, err error) {
	i.metrics.storeFailures.Inc()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.storeFailedAt = time.Now()
	if !i.storeDown {
		i.storeDown = true
		i.log.WithFields(logrus.Fields{"read": read, "last_answer_ms": ageMs(i.storeAnsweredAt), "error": err}).Warn("store lost")
	}
}

func (i *Instance) storeAnswered() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.storeDown {
		i.storeDown = false
		i.log.WithField("last_answer_ms", ageMs(i.storeAnsweredAt)).Info("store regained")
	}
	i.storeAnsweredAt = time.Now()
}

// ageMs returns the time since at in milliseconds, -1 if at is zero.
func ageMs(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// storeIsDown reports whether the store did not answer this instance's newest read.
func (i *Instance) storeIsDown() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.storeDown
}
