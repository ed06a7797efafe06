package targetlimit

import "time"

// LeaseDuration is how long a lease is valid, from the time at which its holder sent the
// report on which it was granted. It is several report intervals (50 and 80 ms), so that a
// lost message does not end a lease, and a third of the usual time for which a target is
// cold, so that a lost holder leaves it unused for a short part of it.
const LeaseDuration = time.Second

// cold is the limit that the configuration sets for a run while it is cold.
type cold struct {
	// perSecond is the rate that the run accepts from the whole fleet.
	perSecond float64
	until     time.Time
}

// lease is the right of this router to send to a cold run.
type lease struct {
	perSecond float64
	expiresAt time.Time
	// spacedFrom is the time from which the interval until the next request counts: that of
	// the last request, or the begin of the lease. Another router may have sent a request
	// until then.
	spacedFrom time.Time
}

func (le *lease) isValid(now time.Time) bool { return now.Before(le.expiresAt) }

// hasPermit reports whether a request may be sent now.
func (le *lease) hasPermit(now time.Time) bool {
	return le.isValid(now) && now.Sub(le.spacedFrom).Seconds()*le.perSecond >= 1
}

// SetCold records that a run accepts perSecond requests a second from the whole fleet until
// the given time, and that a router needs a lease to send any. The zero time ends this.
func (l *Limiter) SetCold(run Run, perSecond float64, until time.Time) {
	if until.IsZero() {
		delete(l.cold, run)
		return
	}
	l.cold[run] = cold{perSecond: perSecond, until: until}
}

// ApplyLease records the right to send perSecond requests a second to a run while it is
// cold, for the given duration. It replaces a lease of the run that ends earlier. One that ends
// later was granted on a later report.
func (l *Limiter) ApplyLease(now time.Time, run Run, perSecond float64, duration time.Duration) {
	if duration <= 0 || perSecond <= 0 {
		return
	}
	le := l.leases[run]
	if le == nil {
		le = new(lease)
		l.leases[run] = le
	}
	if now.Add(duration).Before(le.expiresAt) {
		return
	}
	if !le.isValid(now) {
		le.spacedFrom = now
	}
	le.perSecond, le.expiresAt = perSecond, now.Add(duration)
}

// IsCold reports whether a run is cold.
func (l *Limiter) IsCold(now time.Time, run Run) bool {
	c, ok := l.cold[run]
	return ok && now.Before(c.until)
}

// HasCold reports whether any run is cold. It removes those that have become warm.
func (l *Limiter) HasCold(now time.Time) bool {
	if len(l.cold) > 0 || len(l.leases) > 0 {
		l.expireCold(now)
	}
	return len(l.cold) > 0
}

// Lease returns the rate of this router's lease of a run, and false if it has none.
func (l *Limiter) Lease(now time.Time, run Run) (perSecond float64, ok bool) {
	le := l.leases[run]
	if le == nil || !le.isValid(now) {
		return 0, false
	}
	return le.perSecond, true
}

// unusedTime is the time without a request after which a lease counts as unused: several
// intervals of a target's usual rate, and a small part of the time for which one is cold.
const unusedTime = LeaseDuration / 2

// UnusedLeases returns the cold runs of which this router has a lease that it does not use.
func (l *Limiter) UnusedLeases(now time.Time) []Run {
	var out []Run
	for run, le := range l.leases {
		interval := time.Duration(float64(time.Second) / le.perSecond)
		if le.isValid(now) && l.IsCold(now, run) && now.Sub(le.spacedFrom) > max(unusedTime, 2*interval) {
			out = append(out, run)
		}
	}
	return out
}

// hasColdPermit reports whether a request may be sent to a run now as far as it is cold.
func (l *Limiter) hasColdPermit(now time.Time, run Run) bool {
	if !l.IsCold(now, run) {
		return true
	}
	le := l.leases[run]
	return le != nil && le.hasPermit(now)
}

// expireCold removes the runs that have become warm, and the leases that have expired.
func (l *Limiter) expireCold(now time.Time) {
	for run := range l.cold {
		if !l.IsCold(now, run) {
			delete(l.cold, run)
		}
	}
	for run, le := range l.leases {
		if !le.isValid(now) {
			delete(l.leases, run)
		}
	}
}
