package limit

import (
	"math"
	"time"
)

const (
	// windowSlots is into how many parts a sliding window is cut.
	windowSlots = 32
	// idleRate in requests a second below which a workspace counts as idle.
	idleRate = 0.001
)

// window sums units over a sliding window, to the precision of a slot.
type window struct {
	length time.Duration
	slots  [windowSlots]float64
	start  time.Time // of the newest slot
	at     int
	total  float64
}

func newWindow(now time.Time, length time.Duration) *window {
	return &window{length: length, start: now}
}

func (w *window) slot() time.Duration { return w.length / windowSlots }

func (w *window) advance(now time.Time) {
	for n := 0; n < windowSlots && now.Sub(w.start) >= w.slot(); n++ {
		w.start = w.start.Add(w.slot())
		w.at = (w.at + 1) % windowSlots
		w.total -= w.slots[w.at]
		w.slots[w.at] = 0
	}
	if now.Sub(w.start) >= w.slot() {
		w.start = now
		w.total = 0
	}
}

func (w *window) add(now time.Time, units float64) {
	w.advance(now)
	w.slots[w.at] += units
	w.total += units
}

func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	return math.Max(0, w.total)
}

// nextFree returns when the oldest units leave the window.
func (w *window) nextFree(now time.Time) time.Duration {
	w.advance(now)
	for i := 1; i <= windowSlots; i++ {
		if w.slots[(w.at+i)%windowSlots] > 0 {
			return w.start.Add(time.Duration(i) * w.slot()).Sub(now)
		}
	}
	return w.slot()
}

// rate is an exponentially decaying mean of events a second.
type rate struct {
	mean float64
	last time.Time
}

func (r *rate) decay(now time.Time) {
	passed := now.Sub(r.last).Seconds()
	if r.last.IsZero() {
		passed = 0
	}
	r.last = now
	r.mean *= math.Exp(-passed / demandWindow.Seconds())
}

func (r *rate) add(now time.Time, n float64) {
	r.decay(now)
	r.mean += n / demandWindow.Seconds()
}

func (r *rate) value(now time.Time) float64 {
	r.decay(now)
	return r.mean
}
