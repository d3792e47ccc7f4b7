package whole

import "sync"

// tailBytes is the minimum size of the log tail that is kept for a failed test. At most
// twice as much is kept.
const tailBytes = 1 << 20

// logTail keeps the end of the data that is written to it.
type logTail struct {
	mu   sync.Mutex
	data []byte
}

// Write implements io.Writer.
func (l *logTail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = append(l.data, p...)
	if over := len(l.data) - 2*tailBytes; over > 0 {
		l.data = append([]byte(nil), l.data[len(l.data)-tailBytes:]...)
	}
	return len(p), nil
}

// String returns the data that is kept.
func (l *logTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.data)
}
