package targetlimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// sentWindow is the time constant with which past requests count as sent.
	sentWindow = time.Second
	// correctionTime is the time in which the fleet's permits make up for the requests that
	// were sent above or below the limit. It is several times the age of the reports.
	correctionTime = 500 * time.Millisecond
)

// Run identifies a run of a target, from its start to its end.
type Run uint64

// NewRun returns the identity of the run of a target that started at a time in Unix ms.
func NewRun(target ids.Target, startTimeMS int64) Run {
	return Run(rendezvous.Mix(xxhash.Sum64String(string(target)) ^ rendezvous.Mix(uint64(startTimeMS))))
}

// Limiter holds the limits of the targets of one service at one router.
type Limiter struct {
	random *rand.Rand
	limits map[Run]*limit
	// cold holds the runs that are cold, leases this router's rights to send to such runs.
	cold   map[Run]cold
	leases map[Run]*lease
	// arrived counts the requests for the service that have arrived, waiting are those that
	// wait.
	arrived decayingSum
	waiting int
	// reportedDemand is this router's demand as of the last report.
	reportedDemand float64
	tracker        *Tracker
	// others are the other routers on the fleet's list.
	others []ids.Instance
	// unheardSince is when routers were first missed that are listed and have not reported.
	unheardSince time.Time
	// part is this router's part of the fleet as of partAsOf.
	part     part
	partAsOf time.Time
}

// limit is the limit of one run.
type limit struct {
	// stated is what all responses of the run have said, as far as this router knows, and
	// heard what those have said that this router received.
	stated, heard stated
	// sent counts the requests of this router, reportedSent is the same as of the last
	// report, and peersSent counts those of others.
	sent, reportedSent decayingSum
	peersSent          map[ids.Instance]float64
	permits            permits
}

// New returns a limiter without limits.
func New(random *rand.Rand) *Limiter {
	return &Limiter{
		random: random, limits: make(map[Run]*limit), cold: make(map[Run]cold), leases: make(map[Run]*lease),
		tracker: NewTracker(),
	}
}

// IsActive reports whether any target has a limit or is cold.
func (l *Limiter) IsActive() bool { return len(l.limits) > 0 || len(l.cold) > 0 }

func (l *Limiter) limit(run Run) *limit {
	lim := l.limits[run]
	if lim == nil {
		lim = &limit{peersSent: make(map[ids.Instance]float64)}
		l.limits[run] = lim
	}
	return lim
}

// RecordStatement records what a target's response to a request that was sent at sentAt
// says.
func (l *Limiter) RecordStatement(now, sentAt time.Time, run Run, st Statement) {
	if l.limits[run] == nil && st.PerSecond <= 0 {
		return
	}
	lim := l.limit(run)
	lim.heard.record(now, sentAt, st)
	lim.stated.record(now, sentAt, st)
}

// Forget removes what is known of a run.
func (l *Limiter) Forget(run Run) {
	delete(l.limits, run)
	delete(l.cold, run)
}

// HasPermit reports whether a request may be sent to a run now.
func (l *Limiter) HasPermit(now time.Time, run Run) bool {
	if len(l.cold) > 0 && !l.hasColdPermit(now, run) {
		return false
	}
	lim := l.limits[run]
	if lim == nil {
		return true
	}
	perSecond, limited := l.ownPerSecond(now, lim)
	if !limited {
		return true
	}
	lim.permits.advance(now, perSecond, l.random)
	return len(lim.permits.expireAt) > 0
}

// PerSecond returns the rate that a run accepts, by its statements and while it is cold, and
// false if it is not limited.
func (l *Limiter) PerSecond(now time.Time, run Run) (perSecond float64, limited bool) {
	perSecond, limited = l.StatedPerSecond(now, run)
	if c := l.cold[run]; now.Before(c.until) && (!limited || c.perSecond < perSecond) {
		return c.perSecond, true
	}
	return perSecond, limited
}

// StatedPerSecond returns the rate that a run has said it accepts, and false if it has not.
func (l *Limiter) StatedPerSecond(now time.Time, run Run) (perSecond float64, limited bool) {
	lim := l.limits[run]
	if lim == nil {
		return 0, false
	}
	return lim.stated.perSecondAt(now)
}

// RecordSent records that this router sends a request to a run.
func (l *Limiter) RecordSent(now time.Time, run Run) {
	if lim := l.limits[run]; lim != nil {
		lim.sent.add(now, 1, sentWindow)
		lim.permits.take()
	}
	if le := l.leases[run]; le != nil {
		le.spacedFrom = now
	}
}

// ownPerSecond returns the rate at which this router gets permits for a run.
func (l *Limiter) ownPerSecond(now time.Time, lim *limit) (perSecond float64, limited bool) {
	perSecond, limited = lim.stated.perSecondAt(now)
	if !limited {
		return 0, false
	}
	if l.partAsOf != now {
		l.part, l.partAsOf = l.partAt(now), now
	}
	perSecond *= l.part.visible
	unsent := perSecond*sentWindow.Seconds() - l.fleetSent(now, lim)
	return l.part.share * max(0, perSecond+unsent/correctionTime.Seconds()), true
}

// fleetSent returns the requests that the visible routers have sent to a run within
// sentWindow.
func (l *Limiter) fleetSent(now time.Time, lim *limit) float64 {
	sent := lim.sent.get(now, sentWindow)
	for name, s := range lim.peersSent {
		if !l.tracker.isVisible(now, name) {
			delete(lim.peersSent, name)
			continue
		}
		sent += s
	}
	return sent
}

// expire removes the limits that have ended.
func (l *Limiter) expire(now time.Time) {
	l.expireCold(now)
	for run, lim := range l.limits {
		if _, limited := lim.stated.perSecondAt(now); !limited {
			delete(l.limits, run)
		}
	}
}

// Status is the state of a limit at this router.
type Status struct {
	Run Run
	// PerSecond is the rate that the target accepts.
	PerSecond float64
	// OwnPerSecond is the rate at which this router gets permits, OwnSent and FleetSent the
	// recent rates of requests that it and the visible routers have sent.
	OwnPerSecond, OwnSent, FleetSent float64
	// Share and Visible are this router's share of the visible demand, and that of the
	// visible routers in the fleet's.
	Share, Visible float64
}

// Status returns the limits in force, in the order of their runs.
func (l *Limiter) Status(now time.Time) []Status {
	l.expire(now)
	all := make([]Status, 0, len(l.limits))
	for run, lim := range l.limits {
		perSecond, _ := lim.stated.perSecondAt(now)
		own, _ := l.ownPerSecond(now, lim)
		all = append(all, Status{
			Run: run, PerSecond: perSecond, OwnPerSecond: own,
			OwnSent: lim.sent.get(now, sentWindow) / sentWindow.Seconds(), FleetSent: l.fleetSent(now, lim) / sentWindow.Seconds(),
			Share: l.part.share, Visible: l.part.visible,
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Run, b.Run) })
	return all
}
