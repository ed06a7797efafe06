// Package limit enforces the limits of contracts (request rate, concurrency and
// an allowance of service units per sliding window) over the whole fleet, so that
// a workspace cannot exceed them by sending to many routers. Each router admits
// requests up to its share of the limits. One of the live routers, the home of a
// workspace, sums the usage that all routers report and answers each with a
// quota in proportion to its demand. A router without a recent response falls back
// to an even share of the rate, the concurrency and the allowance.
package limit

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

const (
	// staleAfter is the age of the last quota from which on a router falls back
	// to an even share, and the age of the last report from which on a home
	// ignores a router's demand.
	staleAfter = 5 * time.Second
	// demandWindow is the time constant of the mean rate of offered requests.
	demandWindow = 2 * time.Second
	// concurrencyRetryAfter is the retry delay after a concurrency refusal.
	concurrencyRetryAfter = time.Second
	// minRetryAfter is the least retry delay after the other refusals.
	minRetryAfter = 100 * time.Millisecond
)

// Limiter enforces one workspace's limits at this router. It counts a request as
// held from its admission to its end, and as running while it runs at a target.
type Limiter struct {
	Workspace ids.Workspace
	limits    api.Limits
	routers   int

	tokens     float64
	refilledAt time.Time
	offered    rate
	held       int
	running    int
	spentUnits *window

	// quotaReceivedAt is the time of the home's last response; the four fields after it
	// are that response.
	quotaReceivedAt  time.Time
	othersUnits      float64
	othersHeld       int
	concurrencyShare int
	ratePerSecond    float64
	// spentAtQuota are the units spent at this router when the response arrived.
	spentAtQuota float64
	// reportedIdle is set if the last report stated that the workspace is idle.
	reportedIdle bool
}

// NewLimiter returns the limiter of a workspace, with a full token bucket.
func NewLimiter(now time.Time, w ids.Workspace, limits api.Limits) *Limiter {
	l := &Limiter{Workspace: w, refilledAt: now, routers: 1}
	l.SetLimits(now, limits)
	l.tokens = l.burst()
	return l
}

// HasFleetLimits reports whether any of the limits requires sums over the fleet.
func HasFleetLimits(limits api.Limits) bool {
	return limits.RequestsPerSecond > 0 || limits.Concurrency > 0 || limits.Allowance != nil
}

// SetLimits replaces the limits. A change of the allowance's window discards the
// units spent.
func (l *Limiter) SetLimits(now time.Time, limits api.Limits) {
	l.limits = limits
	if limits.Allowance == nil {
		l.spentUnits = nil
		return
	}
	length := time.Duration(limits.Allowance.WindowSeconds) * time.Second
	if l.spentUnits == nil || l.spentUnits.length != length {
		l.spentUnits = newWindow(now, length)
	}
}

// SetRouters sets the number of live routers, from which even shares are computed.
func (l *Limiter) SetRouters(n int) { l.routers = max(1, n) }

func (l *Limiter) hasFreshQuota(now time.Time) bool { return now.Sub(l.quotaReceivedAt) < staleAfter }

// requestRateShare returns the number of requests per second that this router may
// admit.
func (l *Limiter) requestRateShare(now time.Time) float64 {
	if l.hasFreshQuota(now) {
		return l.ratePerSecond
	}
	return l.limits.RequestsPerSecond / float64(l.routers)
}

// burst returns the capacity of the token bucket in requests: this router's even
// share of the burst, or of one second's requests if no burst is set.
func (l *Limiter) burst() float64 {
	b := float64(l.limits.Burst)
	if b <= 0 {
		b = l.limits.RequestsPerSecond
	}
	return math.Max(1, b/float64(l.routers))
}

func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	l.tokens = math.Min(l.burst(), l.tokens+elapsed*l.requestRateShare(now))
}

// Refusal is the reason why a request is not admitted, and the delay after which to
// retry.
type Refusal struct {
	Code       outcome.Code
	RetryAfter time.Duration
}

// Admit admits a request and counts it as held, or returns a refusal.
func (l *Limiter) Admit(now time.Time) *Refusal {
	l.offered.add(now, 1)
	if r := l.checkAllowance(now); r != nil {
		return r
	}
	if l.limits.Concurrency > 0 && l.held+l.currentOthersHeld(now) >= l.limits.Concurrency {
		return &Refusal{Code: outcome.CodeConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if r := l.checkRate(now); r != nil {
		return r
	}
	l.held++
	return nil
}

func (l *Limiter) currentOthersHeld(now time.Time) int {
	if l.hasFreshQuota(now) {
		return l.othersHeld
	}
	return 0
}

func (l *Limiter) checkRate(now time.Time) *Refusal {
	if l.limits.RequestsPerSecond <= 0 {
		return nil
	}
	l.refill(now)
	if l.tokens >= 1 {
		l.tokens--
		return nil
	}
	perSecond := math.Max(l.requestRateShare(now), l.limits.RequestsPerSecond/float64(10*l.routers))
	wait := time.Duration((1 - l.tokens) / perSecond * float64(time.Second))
	return &Refusal{Code: outcome.CodeRateLimited, RetryAfter: max(minRetryAfter, wait)}
}

// checkAllowance refuses a request if the units of the window are spent. Without a
// fresh quota a router spends no more than an even share beyond its last quota.
func (l *Limiter) checkAllowance(now time.Time) *Refusal {
	if l.limits.Allowance == nil {
		return nil
	}
	own := l.spentUnits.sum(now)
	remaining := float64(l.limits.Allowance.Units) - own - l.othersUnits
	if !l.hasFreshQuota(now) && l.routers > 1 {
		evenShare := float64(l.limits.Allowance.Units) / float64(l.routers)
		remaining = math.Min(remaining, math.Max(0, evenShare-(own-l.spentAtQuota)))
	}
	if remaining > 0 {
		return nil
	}
	return &Refusal{Code: outcome.CodeAllowance, RetryAfter: max(minRetryAfter, l.spentUnits.timeUntilFree(now))}
}

// CanRun reports whether one more request may start at a target.
func (l *Limiter) CanRun(now time.Time) bool {
	if l.limits.Concurrency <= 0 {
		return true
	}
	share := l.concurrencyShare
	if !l.hasFreshQuota(now) {
		share = max(1, l.limits.Concurrency/l.routers)
	}
	return l.running < share
}

// Start records that a held request starts to run.
func (l *Limiter) Start() { l.running++ }

// End records that a held request has ended; wasRunning is set if it had started
// to run.
func (l *Limiter) End(wasRunning bool) {
	l.held = max(0, l.held-1)
	if wasRunning {
		l.running = max(0, l.running-1)
	}
}

// Spend counts service units against the allowance.
func (l *Limiter) Spend(now time.Time, units float64) {
	if l.spentUnits != nil {
		l.spentUnits.add(now, units)
	}
}

// Usage is a router's usage of a workspace's limits, as reported to the home.
type Usage struct {
	// Units is the number of service units spent in the window.
	Units float64
	// Held is the number of requests held.
	Held int
	// Offered is the mean number of requests offered per second.
	Offered float64
}

// Report returns the usage and whether it must be reported. An idle workspace is
// reported once, so that the home receives the end of its usage.
func (l *Limiter) Report(now time.Time) (Usage, bool) {
	u := Usage{Held: l.held, Offered: l.offered.value(now)}
	if l.spentUnits != nil {
		u.Units = l.spentUnits.sum(now)
	}
	idle := u.Held == 0 && u.Offered < idleRate
	if idle && l.reportedIdle {
		return u, false
	}
	l.reportedIdle = idle
	return u, true
}

// Quota is the home's response to a router.
type Quota struct {
	// OthersUnits is the number of service units spent at the other routers.
	OthersUnits float64
	// OthersHeld is the number of requests held at the other routers.
	OthersHeld int
	// Concurrency is the number of requests that the router may run at a time.
	Concurrency int
	// Rate is the number of requests per second that the router may admit.
	Rate float64
}

// ApplyQuota applies the home's response.
func (l *Limiter) ApplyQuota(now time.Time, q Quota) {
	l.quotaReceivedAt = now
	l.othersUnits, l.othersHeld = q.OthersUnits, q.OthersHeld
	l.concurrencyShare, l.ratePerSecond = q.Concurrency, q.Rate
	if l.spentUnits != nil {
		l.spentAtQuota = l.spentUnits.sum(now)
	}
}
