package targetlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// maxGrantGap is the time between two calls of Grants above which the router is taken to
	// have been frozen, so that another may have become the lessor meanwhile. It is several
	// report intervals, and below the 1.2 s after which others take a silent router for dead.
	maxGrantGap = LeaseDuration / 2
	// gatherTime is the time after a run has become cold before its first lease, so that the
	// reports of the other routers have arrived: one report interval of hubs and the way.
	// A holder that is chosen too early keeps its rate for a lease duration.
	gatherTime = 120 * time.Millisecond
	// minHolderGain is the relative gain of used rate for which a holder is added.
	minHolderGain = 0.1
	// minDividedShare is the part of a run's rate that must be left if it is divided among
	// several holders, since each may send one request more than its part. It is above the 0.7
	// that a target gets at least while work waits, as sending at intervals loses some.
	minDividedShare = 0.75
	// maxHolders bounds the holders of a run, whatever its rate: each loses its part for a
	// lease duration if it stops.
	maxHolders = 4
	// declineTime is how long a router that has not used its lease of a run gets none, if
	// another can.
	declineTime = 2 * time.Second
	// unusedShare is the part of its rate, and of the demand of the best other router, below
	// which a holder's demand does not use its lease. It is low, since a change of the holder
	// leaves the target unused until the lease has expired.
	unusedShare = 0.25
)

// Bound is how many requests a cold target may get in any one second: Overshoot times its
// rate, and Slack.
type Bound struct {
	Overshoot, Slack float64
}

// ColdRun is a run of a target that is cold.
type ColdRun struct {
	Run     Run
	Service string
	Domain  ids.Domain
	// PerSecond is the rate that the run accepts from the whole fleet.
	PerSecond float64
}

// Grant is a lease for a router: the right to send PerSecond requests a second to a run for
// Duration, counted from the time at which the router's own clock showed Clock.
type Grant struct {
	Router    ids.Instance
	Run       Run
	PerSecond float64
	Duration  time.Duration
	Clock     time.Duration
}

// Lessor grants leases of cold runs to the routers that report to it.
type Lessor struct {
	bound Bound
	roles roles
	runs  map[Run]*leasedRun
	// routers are those that have reported a demand.
	routers map[ids.Instance]*reportedRouter
	// most is the highest demand for each service that a router has, divided by its leases and
	// one more, as of the last call of Grants. It saves looking for a router where none can
	// have enough.
	most map[string]float64
	// lastAt is the time of the last call of Grants; there are no leases before quietUntil.
	lastAt, quietUntil time.Time
}

// leasedRun is the state of a run that is cold, or that has leases from the time when it was.
type leasedRun struct {
	ColdRun
	isCold    bool
	coldSince time.Time
	holders   map[ids.Instance]*holder
	// declinedAt is when routers last reported that they do not use their lease.
	declinedAt map[ids.Instance]time.Time
	// peak is the greatest number of holders within the last second, the latest of it at
	// peakAt.
	peak   int
	peakAt time.Time
}

func (r *leasedRun) hasDeclined(name ids.Instance) bool {
	_, declined := r.declinedAt[name]
	return declined
}

// recordCount records the number of holders and returns the greatest within the last second.
// In that time each of them may have sent one request more than its rate.
func (r *leasedRun) recordCount(now time.Time, n int) int {
	if n >= r.peak || now.Sub(r.peakAt) > time.Second {
		r.peak, r.peakAt = n, now
	}
	return r.peak
}

// reportedRouter is the last report of a router.
type reportedRouter struct {
	at time.Time
	// clock is what the router's own clock showed when it sent the report.
	clock  time.Duration
	demand map[string]float64
	// leases is the number of runs of which the router is a holder.
	leases int
}

// holder is what a router may send to a run as far as the lessor knows.
type holder struct {
	// reportedAt is the time of the report on which the last lease was granted.
	reportedAt time.Time
	perSecond  float64
	until      time.Time
	// higher is the rate of earlier leases that was higher than that of the last. The router
	// may use it until higherUntil, if it has not received the last.
	higher      float64
	higherUntil time.Time
}

// mostPerSecond returns the highest rate at which the router may send.
func (h *holder) mostPerSecond(now time.Time) float64 {
	if now.Before(h.higherUntil) {
		return max(h.higher, h.perSecond)
	}
	return h.perSecond
}

// grant records a lease.
func (h *holder) grant(now, reportedAt time.Time, perSecond float64) {
	switch most := h.mostPerSecond(now); {
	case perSecond >= most:
		h.higher = 0
	case perSecond < h.perSecond:
		h.higher, h.higherUntil = most, h.until
	}
	h.perSecond, h.reportedAt, h.until = perSecond, reportedAt, reportedAt.Add(LeaseDuration)
}

// NewLessor returns a lessor at the named router that keeps the bound.
func NewLessor(self ids.Instance, b Bound) *Lessor {
	return &Lessor{bound: b, roles: roles{self: self}, runs: make(map[Run]*leasedRun), routers: make(map[ids.Instance]*reportedRouter)}
}

// SetRoles sets which routers are lessors. A router that becomes the lessor of a run grants
// nothing for LeaseDuration, so that the leases of its predecessor have expired.
func (l *Lessor) SetRoles(now time.Time, r Roles) { l.roles.set(now, r) }

// SetRuns replaces the runs that are cold.
func (l *Lessor) SetRuns(now time.Time, all []ColdRun) {
	for _, r := range l.runs {
		r.isCold = false
	}
	for _, c := range all {
		r := l.runs[c.Run]
		if r == nil {
			r = &leasedRun{coldSince: now, holders: make(map[ids.Instance]*holder), declinedAt: make(map[ids.Instance]time.Time)}
			l.runs[c.Run] = r
		}
		r.ColdRun, r.isCold = c, true
	}
}

// RecordDemand replaces the demand of a router by service, as its report states it. clock is
// what the router's own clock showed when it sent the report. Leases count from then on at the
// router, and from the report's arrival here, so that late messages make them end too early
// rather than too late.
func (l *Lessor) RecordDemand(now time.Time, router ids.Instance, clock time.Duration, demand map[string]float64) {
	if len(demand) == 0 {
		delete(l.routers, router)
		return
	}
	r := l.routers[router]
	if r == nil {
		r = new(reportedRouter)
		l.routers[router] = r
	}
	if clock < r.clock {
		// A later report has overtaken this one.
		return
	}
	r.at, r.clock, r.demand = now, clock, demand
}

// RecordUnused records that a router does not use its leases of runs: it prefers other
// targets, or has seen these fail.
func (l *Lessor) RecordUnused(now time.Time, router ids.Instance, unused []Run) {
	for _, run := range unused {
		if r := l.runs[run]; r != nil && r.holders[router] != nil {
			r.declinedAt[router] = now
		}
	}
}

// RecordLinkEnd records that the link to a router has ended. Its leases hold until they
// expire.
func (l *Lessor) RecordLinkEnd(router ids.Instance) { delete(l.routers, router) }

// Grants returns the leases to send now: those of routers that have reported since their
// last lease. It must be called at each report interval.
func (l *Lessor) Grants(now time.Time) []Grant {
	if l.lastAt.IsZero() || now.Sub(l.lastAt) > maxGrantGap {
		l.quietUntil = now.Add(LeaseDuration)
	}
	l.lastAt = now
	l.expire(now)
	if now.Before(l.quietUntil) {
		return nil
	}
	var out []Grant
	for _, run := range slices.Sorted(maps.Keys(l.runs)) {
		r := l.runs[run]
		if r.isCold && now.Sub(r.coldSince) >= gatherTime && l.roles.isLessor(now, run, r.Domain) {
			out = l.grant(now, r, out)
		}
	}
	return out
}

// expire removes expired leases and silent routers, and counts the leases of each router.
func (l *Lessor) expire(now time.Time) {
	for name, r := range l.routers {
		if r.leases = 0; now.Sub(r.at) >= LeaseDuration {
			delete(l.routers, name)
		}
	}
	for run, r := range l.runs {
		for name, at := range r.declinedAt {
			if now.Sub(at) >= declineTime {
				delete(r.declinedAt, name)
			}
		}
		for name, h := range r.holders {
			if !now.Before(h.until) {
				delete(r.holders, name)
				continue
			}
			if router := l.routers[name]; router != nil {
				router.leases++
			}
		}
		if !r.isCold && len(r.holders) == 0 {
			delete(l.runs, run)
		}
	}
	if len(l.runs) == 0 {
		return
	}
	l.most = make(map[string]float64)
	for _, r := range l.routers {
		for service, demand := range r.demand {
			l.most[service] = max(l.most[service], demand/float64(r.leases+1))
		}
	}
}

// grant appends the leases of one run to out.
func (l *Lessor) grant(now time.Time, r *leasedRun, out []Grant) []Grant {
	names := l.holdersOf(r)
	count := len(names)
	for name := range r.holders {
		if !slices.Contains(names, name) {
			count++
		}
	}
	if len(names) == 0 {
		return out
	}
	total := l.bound.perSecond(r.PerSecond, r.recordCount(now, count))
	for _, name := range names {
		h, router := r.holders[name], l.routers[name]
		if h != nil && h.reportedAt.Equal(router.at) {
			continue
		}
		perSecond := min(total/float64(len(names)), total-r.committed(now, name))
		if perSecond <= 0 {
			continue
		}
		if h == nil {
			h = new(holder)
			r.holders[name] = h
			router.leases++
		}
		h.grant(now, router.at, perSecond)
		out = append(out, Grant{Router: name, Run: r.Run, PerSecond: perSecond, Duration: LeaseDuration, Clock: router.clock})
	}
	return out
}

// committed returns the rate at which the holders of a run other than the named one may send.
func (r *leasedRun) committed(now time.Time, except ids.Instance) float64 {
	sum := 0.0
	for name, h := range r.holders {
		if name != except {
			sum += h.mostPerSecond(now)
		}
	}
	return sum
}

// holdersOf returns the routers that are to hold leases of a run: the present holders that
// use theirs, and as many others as raise the rate that is used. They come in the order of
// their demand.
func (l *Lessor) holdersOf(r *leasedRun) []ids.Instance {
	var names []ids.Instance
	used := 0.0
	for name, h := range r.holders {
		demand := l.demandOf(name, r, 0)
		if r.hasDeclined(name) && l.bestOther(r, nil) != "" {
			continue
		}
		if demand > 0 && demand >= unusedShare*min(h.perSecond, l.most[r.Service]) {
			names = append(names, name)
			used += demand
		}
	}
	slices.SortFunc(names, func(a, b ids.Instance) int {
		return cmp.Or(cmp.Compare(l.demandOf(b, r, 0), l.demandOf(a, r, 0)), cmp.Compare(a, b))
	})
	// Holders whose leases are not renewed count until these have expired.
	leaving := len(r.holders) - len(names)
	for len(names)+leaving < l.bound.maxHolders(r.PerSecond) {
		n := len(names) + leaving
		isWorth := func(demand float64) bool {
			before := min(used, l.bound.perSecond(r.PerSecond, n))
			return n == 0 || min(used+demand, l.bound.perSecond(r.PerSecond, n+1)) >= before*(1+minHolderGain)
		}
		if !isWorth(l.most[r.Service]) {
			break
		}
		next := l.bestOther(r, names)
		demand := l.demandOf(next, r, 1)
		if next == "" || !isWorth(demand) {
			break
		}
		names = append(names, next)
		used += demand
	}
	return names
}

// bestOther returns the router with the highest demand for the run's service divided by its
// leases that holds none of the run and is not among names, "" for none. In a full mesh the
// lessors of other runs do not know of each other's leases. The demand is then weighted by a
// hash, so that they do not all choose the same router.
func (l *Lessor) bestOther(r *leasedRun, names []ids.Instance) ids.Instance {
	var best ids.Instance
	most := 0.0
	for name := range l.routers {
		if r.holders[name] != nil || slices.Contains(names, name) || r.hasDeclined(name) {
			continue
		}
		d := l.demandOf(name, r, 1)
		if l.roles.current.Hubs == nil {
			d *= preference(name, r.Run)
		}
		if d > most || d == most && d > 0 && name < best {
			best, most = name, d
		}
	}
	return best
}

// preference returns the weight, from a half to 1, of a router's demand in the choice of a
// holder for a run.
func preference(name ids.Instance, run Run) float64 {
	hash := rendezvous.Mix(uint64(run) ^ xxhash.Sum64String(string(name)))
	return 0.5 + 0.5*float64(hash)/math.MaxUint64
}

// demandOf returns a router's demand for the service of a run, divided by the leases that it
// would have with the given number more.
func (l *Lessor) demandOf(name ids.Instance, r *leasedRun, more int) float64 {
	router := l.routers[name]
	if router == nil {
		return 0
	}
	return router.demand[r.Service] / float64(max(1, router.leases+more))
}

// perSecond returns the rate that one lessor may divide among k holders of a run that accepts
// the given rate. Each holder may send one request more than its rate in a second. Two lessors
// together keep the bound, unless that would leave less than half of the rate to each.
func (b Bound) perSecond(rate float64, k int) float64 {
	allowed := b.Overshoot*rate + b.Slack
	if b.isSafeForTwo(rate, k) {
		return min(allowed/2-float64(k), rate)
	}
	return max(0, min(allowed-float64(k), rate))
}

func (b Bound) isSafeForTwo(rate float64, k int) bool {
	return (b.Overshoot*rate+b.Slack)/2-float64(k) >= rate/2
}

// maxHolders returns the greatest number of holders of a run that accepts the given rate: as
// many as leave minDividedShare of it to them, and one at least.
func (b Bound) maxHolders(rate float64) int {
	k := 1
	for k < maxHolders && b.isSafeForTwo(rate, k+1) == b.isSafeForTwo(rate, 1) && b.perSecond(rate, k+1) >= minDividedShare*rate {
		k++
	}
	return k
}
