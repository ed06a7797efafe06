package account

import (
	"math"
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// EvictAfter is the time after which an idle account is evicted.
	EvictAfter = 60 * time.Second
	// resyncAfter is the time without a response from the home after which the
	// account's level is sent again. It is less than ExpireAfter, after which a
	// home may have dropped the account.
	resyncAfter = 20 * time.Second
	// MaxReportDelay bounds how long the charges of an account that is not
	// backlogged may stay unreported. Charges of maxUnreportedUnits per weight or
	// more are reported in the next round.
	MaxReportDelay     = 2 * time.Second
	maxUnreportedUnits = 128
	// maxBacklogBreak is the longest break between two backlogs that count as one
	// continuous backlog.
	maxBacklogBreak = 100 * time.Millisecond
	// MaxReportedAccounts bounds the accounts in one round of reports. With more
	// active accounts the reporting interval of each grows in proportion instead
	// of the traffic.
	MaxReportedAccounts = 64
	// maxScannedAccounts bounds the accounts examined in one round of reports.
	maxScannedAccounts = 4096
	// minLiftReports is the number of reports that must have carried a lift
	// before the home's response replaces it.
	minLiftReports = 2
)

// Table holds a router's accounts and reports their charges to the homes.
type Table struct {
	accounts map[Key]*Account
	// active are the accounts to report, in the order in which they became
	// active.
	active  []*Account
	routers *rendezvous.Set
	// version counts the changes of routers.
	version int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{accounts: map[Key]*Account{}, routers: rendezvous.New(nil)}
}

// Len returns the number of accounts held.
func (t *Table) Len() int { return len(t.accounts) }

// SetRouters replaces the set of live routers, from which homes are picked.
func (t *Table) SetRouters(s *rendezvous.Set) {
	t.routers = s
	t.version++
}

// GetOrCreate returns the account of a key and creates it if there is none.
func (t *Table) GetOrCreate(now time.Time, k Key, w ids.Workspace, weight float64) *Account {
	a := t.accounts[k]
	if a == nil {
		a = &Account{Key: k, Workspace: w, Weight: weight}
		t.accounts[k] = a
	}
	a.usedAt = now
	return a
}

// MarkActive adds an account to those to report.
func (t *Table) MarkActive(now time.Time, a *Account) {
	a.usedAt = now
	if a.active {
		return
	}
	a.active = true
	t.active = append(t.active, a)
}

// SetBacklogged sets whether requests of the account wait at this router. The
// end of a backlog also ends a lift.
func (t *Table) SetBacklogged(now time.Time, a *Account, on bool) {
	if a.backlogged == on {
		return
	}
	a.backlogged = on
	switch {
	case !on:
		a.backlogEndedAt = now
	case now.Sub(a.backlogEndedAt) > maxBacklogBreak:
		a.backloggedSince = now
	}
	if !on {
		a.lift = 0
	}
	t.MarkActive(now, a)
}

// homeOf returns the home of an account. After a change of the home the account's
// level must be sent to it.
func (t *Table) homeOf(a *Account) ids.Instance {
	if a.homeVersion == t.version {
		return a.home
	}
	a.homeVersion = t.version
	if h := t.routers.Pick(uint64(a.Key)); h != a.home {
		a.home = h
		a.isSynced = false
	}
	return a.home
}

// Reports returns the report for each home, by the name of its router. The
// reports contain the accounts that are due, at most MaxReportedAccounts in one
// round.
func (t *Table) Reports(now time.Time) map[ids.Instance]*schedv1.Report {
	out := map[ids.Instance]*schedv1.Report{}
	var keep []*Account
	scanned, reported := 0, 0
	for ; scanned < min(len(t.active), maxScannedAccounts) && reported < MaxReportedAccounts; scanned++ {
		a := t.active[scanned]
		t.homeOf(a) // a changed home makes it due
		if a.isDue(now) {
			t.addToReport(out, now, a)
			reported++
			a.active = a.backlogged || !a.isSynced
		}
		if a.active {
			keep = append(keep, a)
		}
	}
	// Accounts that were not reached come first in the next round.
	rest := copy(t.active, t.active[scanned:])
	clear(t.active[rest:])
	t.active = append(t.active[:rest], keep...)
	return out
}

// addToReport adds an account to the report for its home.
func (t *Table) addToReport(out map[ids.Instance]*schedv1.Report, now time.Time, a *Account) {
	h := t.homeOf(a)
	r := out[h]
	if r == nil {
		r = &schedv1.Report{}
		out[h] = r
	}
	a.appendTo(now, r)
}

// isDue reports whether the account must be in the next report: its virtual
// service orders waiting requests, its backlog has ended, it must be synced, much
// was charged, or the last report is MaxReportDelay old.
func (a *Account) isDue(now time.Time) bool {
	if a.backlogged || a.reportedBacklogged || !a.isSynced {
		return true
	}
	return a.ownUnits-float64(a.reportedUnits) >= maxUnreportedUnits*a.Weight || now.Sub(a.reportedAt) >= MaxReportDelay
}

// appendTo appends the account to a report.
func (a *Account) appendTo(now time.Time, r *schedv1.Report) {
	if now.Sub(a.lastResponseAt) > resyncAfter {
		a.isSynced = false
	}
	a.reportedAt, a.reportedBacklogged = now, a.backlogged
	state := schedv1.AccountState_IDLE
	if a.backlogged {
		state |= schedv1.AccountState_BACKLOGGED
	}
	units := a.reportUnits()
	level := float64(units) + a.othersUnits
	switch {
	case !a.isSynced:
		state |= schedv1.AccountState_SYNC
		r.Levels = append(r.Levels, uint64(math.Round(level)))
	case a.lift > 0:
		a.liftReportsSent++
		state |= schedv1.AccountState_LIFT
		r.Levels = append(r.Levels, uint64(math.Round(a.lift*a.Weight)))
	}
	r.Keys = append(r.Keys, uint64(a.Key))
	r.Units = append(r.Units, units)
	r.States = append(r.States, uint32(state))
}

// MergeTotals merges a home's totals and calls onChange for each account whose
// virtual service may have changed. It ignores accounts that have another home.
func (t *Table) MergeTotals(now time.Time, from ids.Instance, incarnation uint32, totals *schedv1.Totals, onChange func(*Account)) {
	if len(totals.GetKeys()) != len(totals.GetOthers()) {
		return
	}
	for i, k := range totals.GetKeys() {
		a := t.accounts[Key(k)]
		if a == nil || t.homeOf(a) != from {
			continue
		}
		a.mergeTotal(now, incarnation, float64(totals.GetOthers()[i]))
		onChange(a)
	}
}

// mergeTotal merges the units charged by other routers by maximum. A home that
// reports less than this router has recorded, or that has restarted, has not been
// synced and receives the level with the next report.
func (a *Account) mergeTotal(now time.Time, incarnation uint32, others float64) {
	a.lastResponseAt = now
	a.isSynced = others+1 >= a.othersUnits && (!a.isSynced || a.syncedIncarnation == incarnation)
	a.syncedIncarnation = incarnation
	a.othersUnits = math.Max(a.othersUnits, others)
	if a.liftReportsSent >= minLiftReports {
		a.lift = 0
	}
}

// EvictIdle drops accounts that have not been used for EvictAfter.
func (t *Table) EvictIdle(now time.Time) {
	for k, a := range t.accounts {
		if !a.active && !a.backlogged && now.Sub(a.usedAt) > EvictAfter {
			delete(t.accounts, k)
		}
	}
}
