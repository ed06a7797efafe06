// Package account keeps the service that workspaces received. Each router
// charges its own part; the home router of an account sums the parts over the
// fleet. Virtual service is the fleet's sum divided by the weight.
package account

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Key names an account.
type Key uint64

// KeyOf returns the key of a workspace's account for a set of targets that
// share pools. The weight is part of the key: a changed weight starts a new
// account, which is lifted like any other, instead of rescaling history.
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
// Invariants: own and others never fall but for the settlement of an estimate
// in own; reported never falls, as homes merge it by maximum.
type Account struct {
	Key       Key
	Workspace ids.Workspace
	Weight    float64

	own      float64
	others   float64
	reported uint64

	// lift is a local lower bound of the virtual service that lasts until the
	// home has decided.
	lift     float64
	liftSent int

	backlogged bool
	since      time.Time // of the backlog, but for brief breaks
	ended      time.Time
	told       bool // backlogged in the last report
	active     bool
	sent       time.Time

	home     ids.Instance
	homeSet  int
	synced   uint32
	isSynced bool
	answered time.Time
	used     time.Time

	costs [classes]mean
}

// Charge adds units, which may be negative when an estimate is settled.
func (a *Account) Charge(units float64) { a.own = math.Max(0, a.own+units) }

// VS returns the virtual service in units per weight.
func (a *Account) VS() float64 {
	return math.Max((a.own+a.others)/a.Weight, a.lift)
}

// Units returns the fleet's service as known here, lifts included.
func (a *Account) Units() float64 { return a.own + a.others }

// Backlogged tells whether requests of the account wait here.
func (a *Account) Backlogged() bool { return a.backlogged }

// BackloggedSince returns since when requests of the account have waited here.
func (a *Account) BackloggedSince() (since time.Time, on bool) { return a.since, a.backlogged }

// Lift raises the virtual service to a level until the home has decided.
func (a *Account) Lift(vs float64) {
	if vs <= a.VS() {
		return
	}
	a.lift = vs
	a.liftSent = 0
}

// Raise makes the virtual service at least vs for good: the level goes to the
// home with the next report.
func (a *Account) Raise(vs float64) {
	a.others = math.Max(a.others, vs*a.Weight-a.own)
	a.isSynced = false
}

// reportUnits returns the cumulative units to report.
func (a *Account) reportUnits() uint64 {
	a.reported = max(a.reported, uint64(math.Round(a.own)))
	return a.reported
}
