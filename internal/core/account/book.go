package account

import (
	"math"
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// EvictAfter is how long an idle account is kept.
	EvictAfter = 60 * time.Second
	// resyncAfter is the silence of a home after which the account's level is
	// sent again; less than the time after which homes forget.
	resyncAfter = 20 * time.Second
	// QuietFor is how long the use of an account that is not backlogged may
	// stay unreported, unless it exceeds quietUnits by weight.
	QuietFor   = 2 * time.Second
	quietUnits = 128
	// briefly is how long a backlog may break off and still count as one.
	briefly = 100 * time.Millisecond
	// MaxReported bounds the accounts in one round of reports: with more active
	// ones the reporting interval of each grows in proportion, and the traffic
	// doesn't.
	MaxReported = 64
	// maxScanned bounds the accounts looked at in one round.
	maxScanned = 4096
	// liftReports is how many reports carry a lift before the home's word counts.
	liftReports = 2
)

// Book holds a router's accounts.
type Book struct {
	accounts map[Key]*Account
	// active accounts are reported, in the order in which they became so.
	active  []*Account
	routers *rendezvous.Set
	version int
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{accounts: map[Key]*Account{}, routers: rendezvous.New(nil)}
}

// Len returns the number of accounts held.
func (b *Book) Len() int { return len(b.accounts) }

// SetRouters replaces the live routers, among which the homes are.
func (b *Book) SetRouters(s *rendezvous.Set) {
	b.routers = s
	b.version++
}

// Get returns an account, a new one if needed.
func (b *Book) Get(now time.Time, k Key, w ids.Workspace, weight float64) *Account {
	a := b.accounts[k]
	if a == nil {
		a = &Account{Key: k, Workspace: w, Weight: weight}
		b.accounts[k] = a
	}
	a.used = now
	return a
}

// Touch marks an account for the next report.
func (b *Book) Touch(now time.Time, a *Account) {
	a.used = now
	if a.active {
		return
	}
	a.active = true
	b.active = append(b.active, a)
}

// SetBacklogged tells whether requests of the account wait here.
func (b *Book) SetBacklogged(now time.Time, a *Account, on bool) {
	if a.backlogged == on {
		return
	}
	a.backlogged = on
	switch {
	case !on:
		a.ended = now
	case now.Sub(a.ended) > briefly:
		a.since = now
	}
	if !on {
		a.lift = 0
	}
	b.Touch(now, a)
}

// homeOf returns the home of an account; a changed home must be synced anew.
func (b *Book) homeOf(a *Account) ids.Instance {
	if a.homeSet == b.version {
		return a.home
	}
	a.homeSet = b.version
	if h := b.routers.Pick(uint64(a.Key)); h != a.home {
		a.home = h
		a.isSynced = false
	}
	return a.home
}

// Reports returns the report for each home: the accounts that are due, up to
// MaxReported of them in turn. The home of each account is given by its
// router's name.
func (b *Book) Reports(now time.Time) map[ids.Instance]*schedv1.Report {
	out := map[ids.Instance]*schedv1.Report{}
	var keep []*Account
	scanned, reported := 0, 0
	for ; scanned < min(len(b.active), maxScanned) && reported < MaxReported; scanned++ {
		a := b.active[scanned]
		b.homeOf(a) // a changed home makes it due
		if a.due(now) {
			b.reportTo(out, now, a)
			reported++
			a.active = a.backlogged || !a.isSynced
		}
		if a.active {
			keep = append(keep, a)
		}
	}
	// Those not reached come first the next time.
	rest := copy(b.active, b.active[scanned:])
	clear(b.active[rest:])
	b.active = append(b.active[:rest], keep...)
	return out
}

// reportTo adds an account to the report for its home.
func (b *Book) reportTo(out map[ids.Instance]*schedv1.Report, now time.Time, a *Account) {
	h := b.homeOf(a)
	r := out[h]
	if r == nil {
		r = &schedv1.Report{}
		out[h] = r
	}
	a.report(now, r)
}

// due tells whether the account must be in the next report: its ordering is
// in use, its backlog has changed, or much was charged.
func (a *Account) due(now time.Time) bool {
	if a.backlogged || a.told || !a.isSynced {
		return true
	}
	return a.own-float64(a.reported) >= quietUnits*a.Weight || now.Sub(a.sent) >= QuietFor
}

// report appends the account to a report.
func (a *Account) report(now time.Time, r *schedv1.Report) {
	if now.Sub(a.answered) > resyncAfter {
		a.isSynced = false
	}
	a.sent, a.told = now, a.backlogged
	state := schedv1.AccountState_IDLE
	if a.backlogged {
		state |= schedv1.AccountState_BACKLOGGED
	}
	units := a.reportUnits()
	level := float64(units) + a.others
	switch {
	case !a.isSynced:
		state |= schedv1.AccountState_SYNC
		r.Levels = append(r.Levels, uint64(math.Round(level)))
	case a.lift > 0:
		a.liftSent++
		state |= schedv1.AccountState_LIFT
		r.Levels = append(r.Levels, uint64(math.Round(a.lift*a.Weight)))
	}
	r.Keys = append(r.Keys, uint64(a.Key))
	r.Units = append(r.Units, units)
	r.States = append(r.States, uint32(state))
}

// Answer takes in a home's totals and calls changed for each account whose
// virtual service may have moved.
func (b *Book) Answer(now time.Time, from ids.Instance, incarnation uint32, t *schedv1.Totals, changed func(*Account)) {
	if len(t.GetKeys()) != len(t.GetOthers()) {
		return
	}
	for i, k := range t.GetKeys() {
		a := b.accounts[Key(k)]
		if a == nil || b.homeOf(a) != from {
			continue
		}
		a.answer(now, incarnation, float64(t.GetOthers()[i]))
		changed(a)
	}
}

// answer merges by maximum: a home that knows less than this router has not
// been synced, and gets the level with the next report.
func (a *Account) answer(now time.Time, incarnation uint32, others float64) {
	a.answered = now
	a.isSynced = others+1 >= a.others && (!a.isSynced || a.synced == incarnation)
	a.synced = incarnation
	a.others = math.Max(a.others, others)
	if a.liftSent >= liftReports {
		a.lift = 0
	}
}

// Evict drops accounts that have been idle for EvictAfter.
func (b *Book) Evict(now time.Time) {
	for k, a := range b.accounts {
		if !a.active && !a.backlogged && now.Sub(a.used) > EvictAfter {
			delete(b.accounts, k)
		}
	}
}
