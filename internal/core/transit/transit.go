// Package transit estimates how long the messages of another router took to arrive, by the clock
// that they carry. The clocks need not agree: what is known is how much longer a message took than
// the fastest one lately.
package transit

import "time"

// window is the time over which the fastest message is looked for, at least. It is above any time
// for which messages may queue, and bounds for how long a clock that has stood still makes
// messages seem late.
const window = 30 * time.Second

// Delay estimates the delay of the messages of one sender. The zero value is ready to use. It is
// not safe for concurrent use.
type Delay struct {
	// last is the sender's clock in the last message, 0 if there was none.
	last time.Duration
	// current and previous are the least differences of the clocks in this window and in the one
	// before, of which the first message arrived at since.
	current, previous time.Duration
	since             time.Time
	origin            time.Time
}

// Observe records a message that was sent at a time of the sender's clock, which counts from the
// start of its process, and returns its delay beyond that of the fastest one.
func (d *Delay) Observe(now time.Time, sentAt time.Duration) time.Duration {
	if d.origin.IsZero() || sentAt < d.last {
		// The sender has started anew.
		*d = Delay{origin: now, since: now}
		d.current = -sentAt
		d.previous = d.current
	}
	d.last = sentAt
	difference := now.Sub(d.origin) - sentAt
	if now.Sub(d.since) >= window {
		d.previous, d.current, d.since = d.current, difference, now
	}
	d.current = min(d.current, difference)
	return difference - min(d.current, d.previous)
}
