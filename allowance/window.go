package allowance

import "time"

// windowSlots is the number of slots that a window is divided into. What was used leaves the
// window a slot late, so that no window is ever taken for emptier than it is.
const windowSlots = 16

// window adds up what was used in the last W.
type window struct {
	slots [windowSlots + 1]float64
	slot  time.Duration // length of one; 0: nothing is counted
	first time.Time     // begin of the newest slot
	last  int           // index of the newest slot
}

// newWindow returns a window of the given length in which units a second were used until
// the given time.
func newWindow(length time.Duration, perSecond float64, until, now time.Time) *window {
	w := &window{slot: length / windowSlots, first: until}
	for i := range w.slots {
		w.slots[i] = perSecond * w.slot.Seconds()
	}
	w.slots[w.last] = 0
	w.advance(now)
	return w
}

// advance drops what has left the window.
func (w *window) advance(now time.Time) {
	if w.slot <= 0 {
		return
	}
	steps := int(now.Sub(w.first) / w.slot)
	if steps <= 0 {
		return
	}
	for range min(steps, len(w.slots)) {
		w.last = (w.last + 1) % len(w.slots)
		w.slots[w.last] = 0
	}
	w.first = w.first.Add(time.Duration(steps) * w.slot)
}

// add records what was used now.
func (w *window) add(now time.Time, units float64) {
	w.advance(now)
	w.slots[w.last] += units
}

// sum returns what was used in the window.
func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	total := 0.0
	for _, units := range w.slots {
		total += units
	}
	return total
}
