package pressure

import "time"

// latenessMemory is the number of observations that Lateness keeps: at one each 50 ms those of the
// last three seconds, longer than any time-out of a target's answer but the request's own.
const latenessMemory = 64

// Lateness remembers the recent scheduling delays of this router. While a router is late itself, an
// answer that does not come in time says nothing of the target: it may have arrived, and not have
// been read. The zero value has observed nothing.
type Lateness struct {
	observed [latenessMemory]observedDelay
	next     int
	// interval is the one at which observations are due.
	interval time.Duration
}

type observedDelay struct {
	at    time.Time
	delay time.Duration
}

// Observe adds the scheduling delay of the time since the last observation. Observations are due
// at the given interval.
func (l *Lateness) Observe(now time.Time, delay, interval time.Duration) {
	l.interval = interval
	if last := l.lastAt(); !last.IsZero() {
		delay = max(delay, now.Sub(last)-interval)
	}
	l.observed[l.next] = observedDelay{now, delay}
	l.next = (l.next + 1) % latenessMemory
}

func (l *Lateness) lastAt() time.Time { return l.observed[(l.next+latenessMemory-1)%latenessMemory].at }

// Since returns the longest delay since a time. An observation that is overdue counts as one.
func (l *Lateness) Since(now, since time.Time) time.Duration {
	longest := time.Duration(0)
	for _, o := range l.observed {
		if o.at.After(since) {
			longest = max(longest, o.delay)
		}
	}
	if last := l.lastAt(); !last.IsZero() {
		longest = max(longest, now.Sub(last)-l.interval)
	}
	return longest
}
