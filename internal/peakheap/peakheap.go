// Package peakheap measures how much memory a test takes at its peak.
package peakheap

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two samples of the heap's size.
const sampleInterval = 5 * time.Millisecond

// Watch samples how much the heap grows beyond its size now, in bytes, until stop is called, which
// returns the largest growth seen.
func Watch() (stop func() uint64) {
	runtime.GC()
	before, peak := heapBytes(), uint64(0)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if h := heapBytes(); h > before {
				peak = max(peak, h-before)
			}
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return peak
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
