// Package account accounts for the service that workspaces have received, so
// that waiting requests can be ordered by weighted fair queueing over the whole
// fleet. Each router charges the requests that it serves. One of the live
// routers, the home of an account, sums the charges of all routers and returns
// the sum to them. The virtual service of an account is that sum, in service
// units, divided by the account's weight: the virtual time of weighted fair
// queueing.
//
// An account whose requests start to wait after a time without any is lifted: its
// virtual service is raised to a level near that of the other waiting accounts,
// so that service that it did not request earlier gives it no precedence now.
//
// Invariant: charges are reported as cumulative counters and merged by maximum,
// so repeated reports are not counted twice.
package account

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Key identifies an account.
type Key uint64

// KeyOf returns the key of a workspace's account for a capacity: a set of targets
// that share pools. The weight is part of the key, so that a changed weight
// starts a new account, which is lifted like any other, instead of rescaling the
// service already received.
func KeyOf(w ids.Workspace, capacity string, weight float64) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(w))
	_, _ = d.WriteString("\x00" + capacity + "\x00")
	_, _ = d.WriteString(strconv.FormatFloat(weight, 'g', -1, 64))
	return Key(d.Sum64())
}

// Account is a router's view of one account.
//
// Invariants: ownUnits and othersUnits never decrease, except for the settlement
// of an estimate in ownUnits. reportedUnits never decreases, because homes merge
// it by maximum.
type Account struct {
	Key       Key
	Workspace ids.Workspace
	Weight    float64

	// ownUnits are the units charged at this router, othersUnits those charged at
	// the other routers according to the home, lifts included.
	ownUnits    float64
	othersUnits float64
	// reportedUnits are the own units in the last report.
	reportedUnits uint64

	// lift is a local lower bound of the virtual service that holds until the home
	// has answered.
	lift            float64
	liftReportsSent int

	backlogged         bool
	backloggedSince    time.Time // start of the backlog; short breaks are ignored
	backlogEndedAt     time.Time
	reportedBacklogged bool // value of backlogged in the last report
	active             bool // whether it is among the table's accounts to report
	reportedAt         time.Time

	home              ids.Instance
	homeVersion       int    // version of the table's routers for which home was picked
	syncedIncarnation uint32 // of the home that answered last
	// isSynced is false while the home's total may be less than the account's level
	// at this router, the sum of reportedUnits and othersUnits. The level is then
	// sent with each report.
	isSynced       bool
	lastResponseAt time.Time
	usedAt         time.Time

	costs [classCount]mean
}

// Charge adds service units, which may be negative when an estimate is settled.
func (a *Account) Charge(units float64) { a.ownUnits = math.Max(0, a.ownUnits+units) }

// VirtualService returns the virtual service in service units per weight, not
// less than the current lift.
func (a *Account) VirtualService() float64 {
	return math.Max((a.ownUnits+a.othersUnits)/a.Weight, a.lift)
}

// Units returns the service units charged over the fleet: those of this router,
// and those of the others as of the home's last response. It includes lifts that
// the home has answered.
func (a *Account) Units() float64 { return a.ownUnits + a.othersUnits }

// IsBacklogged reports whether requests of the account wait at this router.
func (a *Account) IsBacklogged() bool { return a.backlogged }

// BackloggedSince returns the time since which requests of the account have
// waited at this router, and whether any wait.
func (a *Account) BackloggedSince() (since time.Time, on bool) {
	return a.backloggedSince, a.backlogged
}

// Lift raises the virtual service to a level until the home has answered.
func (a *Account) Lift(level float64) {
	if level <= a.VirtualService() {
		return
	}
	a.lift = level
	a.liftReportsSent = 0
}

// Raise raises the virtual service to a level permanently: the level is sent to
// the home with the next report.
func (a *Account) Raise(level float64) {
	a.othersUnits = math.Max(a.othersUnits, level*a.Weight-a.ownUnits)
	a.isSynced = false
}

// reportUnits updates and returns the cumulative units to report.
func (a *Account) reportUnits() uint64 {
	a.reportedUnits = max(a.reportedUnits, uint64(math.Round(a.ownUnits)))
	return a.reportedUnits
}
