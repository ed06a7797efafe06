// Package limit enforces the limits of contracts over the fleet. Each router
// admits its own share; the home router of a workspace sums what all routers
// use and shares the limits out in proportion to demand.
package limit

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

const (
	// staleAfter is the silence of a home after which a router falls back to
	// an even share.
	staleAfter = 5 * time.Second
	// demandWindow is over which offered requests are averaged.
	demandWindow = 2 * time.Second
	// retryConcurrency is when to come back after a concurrency refusal.
	retryConcurrency = time.Second
	// minRetry is the least time after which to come back.
	minRetry = 100 * time.Millisecond
)

// Gate is one workspace's limits at this router.
type Gate struct {
	Workspace ids.Workspace
	limits    api.Limits
	routers   int

	tokens   float64
	refilled time.Time
	offered  rate
	held     int
	running  int
	spent    *window

	answered     time.Time
	othersUnits  float64
	othersHeld   int
	concurrency  int
	ratePerSec   float64
	spentAtLast  float64
	reportedIdle bool
}

// NewGate returns the gate of a workspace.
func NewGate(now time.Time, w ids.Workspace, l api.Limits) *Gate {
	g := &Gate{Workspace: w, refilled: now, routers: 1}
	g.SetLimits(now, l)
	g.tokens = g.burst()
	return g
}

// Limited tells whether limits need the fleet's sums.
func Limited(l api.Limits) bool {
	return l.RequestsPerSecond > 0 || l.Concurrency > 0 || l.Allowance != nil
}

// SetLimits replaces the limits.
func (g *Gate) SetLimits(now time.Time, l api.Limits) {
	g.limits = l
	if l.Allowance == nil {
		g.spent = nil
		return
	}
	length := time.Duration(l.Allowance.WindowSeconds) * time.Second
	if g.spent == nil || g.spent.length != length {
		g.spent = newWindow(now, length)
	}
}

// SetRouters tells how many routers are live, for an even share.
func (g *Gate) SetRouters(n int) { g.routers = max(1, n) }

func (g *Gate) fresh(now time.Time) bool { return now.Sub(g.answered) < staleAfter }

// share returns the requests a second that this router may admit.
func (g *Gate) share(now time.Time) float64 {
	if g.fresh(now) {
		return g.ratePerSec
	}
	return g.limits.RequestsPerSecond / float64(g.routers)
}

func (g *Gate) burst() float64 {
	b := float64(g.limits.Burst)
	if b <= 0 {
		b = g.limits.RequestsPerSecond
	}
	return math.Max(1, b/float64(g.routers))
}

func (g *Gate) refill(now time.Time) {
	passed := now.Sub(g.refilled).Seconds()
	g.refilled = now
	g.tokens = math.Min(g.burst(), g.tokens+passed*g.share(now))
}

// Refusal says why a request is not admitted and when to come back.
type Refusal struct {
	Code       outcome.Code
	RetryAfter time.Duration
}

// Admit decides on one request, which is counted as held if admitted.
func (g *Gate) Admit(now time.Time) *Refusal {
	g.offered.add(now, 1)
	if r := g.checkAllowance(now); r != nil {
		return r
	}
	if g.limits.Concurrency > 0 && g.held+g.othersNow(now) >= g.limits.Concurrency {
		return &Refusal{Code: outcome.CodeConcurrency, RetryAfter: retryConcurrency}
	}
	if r := g.checkRate(now); r != nil {
		return r
	}
	g.held++
	return nil
}

func (g *Gate) othersNow(now time.Time) int {
	if g.fresh(now) {
		return g.othersHeld
	}
	return 0
}

func (g *Gate) checkRate(now time.Time) *Refusal {
	if g.limits.RequestsPerSecond <= 0 {
		return nil
	}
	g.refill(now)
	if g.tokens >= 1 {
		g.tokens--
		return nil
	}
	per := math.Max(g.share(now), g.limits.RequestsPerSecond/float64(10*g.routers))
	wait := time.Duration((1 - g.tokens) / per * float64(time.Second))
	return &Refusal{Code: outcome.CodeRateLimited, RetryAfter: max(minRetry, wait)}
}

// checkAllowance refuses once the window's units are spent. Without the home's
// word a router spends an even share only.
func (g *Gate) checkAllowance(now time.Time) *Refusal {
	if g.limits.Allowance == nil {
		return nil
	}
	mine := g.spent.sum(now)
	left := float64(g.limits.Allowance.Units) - mine - g.othersUnits
	if !g.fresh(now) && g.routers > 1 {
		even := float64(g.limits.Allowance.Units) / float64(g.routers)
		left = math.Min(left, math.Max(0, even-(mine-g.spentAtLast)))
	}
	if left > 0 {
		return nil
	}
	return &Refusal{Code: outcome.CodeAllowance, RetryAfter: max(minRetry, g.spent.nextFree(now))}
}

// MayRun tells whether one more request may run at a target now.
func (g *Gate) MayRun(now time.Time) bool {
	if g.limits.Concurrency <= 0 {
		return true
	}
	share := g.concurrency
	if !g.fresh(now) {
		share = max(1, g.limits.Concurrency/g.routers)
	}
	return g.running < share
}

// Start notes that a held request runs.
func (g *Gate) Start() { g.running++ }

// End notes that a held request has ended; running tells whether it ran.
func (g *Gate) End(running bool) {
	g.held = max(0, g.held-1)
	if running {
		g.running = max(0, g.running-1)
	}
}

// Spend counts units of service.
func (g *Gate) Spend(now time.Time, units float64) {
	if g.spent != nil {
		g.spent.add(now, units)
	}
}

// Usage is what a router reports to the home.
type Usage struct {
	Units   float64
	Held    int
	Offered float64
}

// Report returns the usage, and whether there is any to report. One report
// follows the last use, so that the home sees the end of it.
func (g *Gate) Report(now time.Time) (Usage, bool) {
	u := Usage{Held: g.held, Offered: g.offered.value(now)}
	if g.spent != nil {
		u.Units = g.spent.sum(now)
	}
	idle := u.Held == 0 && u.Offered < idleRate
	if idle && g.reportedIdle {
		return u, false
	}
	g.reportedIdle = idle
	return u, true
}

// Quota is the home's answer.
type Quota struct {
	OthersUnits float64
	OthersHeld  int
	Concurrency int
	Rate        float64
}

// Answer takes in the home's answer.
func (g *Gate) Answer(now time.Time, q Quota) {
	g.answered = now
	g.othersUnits, g.othersHeld = q.OthersUnits, q.OthersHeld
	g.concurrency, g.ratePerSec = q.Concurrency, q.Rate
	if g.spent != nil {
		g.spentAtLast = g.spent.sum(now)
	}
}
