package standin

import "time"

// stepClock tells when batch steps end. Each step of a batch begins when the one before it
// was due, not when the batch loop woke up: an accelerator isn't slowed down by other work
// on the host's processors.
type stepClock struct {
	due time.Time // when the last step ended; zero: no batch is running
}

// untilEnd begins a step and returns how long it lasts from now on. The result isn't
// positive if the batch loop is late and the step is over already.
func (c *stepClock) untilEnd(now time.Time, step time.Duration) time.Duration {
	if c.due.IsZero() {
		c.due = now
	}
	c.due = c.due.Add(step)
	return c.due.Sub(now)
}

// stop ends the batch. The next step begins when untilEnd is called.
func (c *stepClock) stop() { c.due = time.Time{} }
