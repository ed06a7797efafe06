package node

import (
	"context"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/roster"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// settleCheck is how often lapsed entries are looked at.
	settleCheck = 100 * time.Millisecond
	// changesRing is the number of changes that may wait for the roster.
	changesRing = 64
)

// Directory is the controller of the targets' list. One goroutine owns the
// roster; changes come from the platform's store and from peers.
type Directory struct {
	node    *Node
	roster  *roster.Roster
	changes chan func(now time.Time) (changed bool)
	done    chan struct{}
}

func newDirectory(n *Node) *Directory {
	return &Directory{
		node:    n,
		roster:  roster.New(n.settings.DrainWithin),
		changes: make(chan func(time.Time) bool, changesRing),
		done:    make(chan struct{}),
	}
}

// run owns the roster until ctx ends.
func (t *Directory) run(ctx context.Context) {
	defer close(t.done)
	ticker := time.NewTicker(settleCheck)
	defer ticker.Stop()
	for {
		var changed bool
		select {
		case <-ctx.Done():
			return
		case change := <-t.changes:
			changed = change(time.Now())
		case now := <-ticker.C:
			changed = t.roster.DropMissing(now)
		}
		if changed {
			t.node.setTargets(t.roster.Targets())
			t.node.targetsAsOf.Store(t.roster.AsOf())
		}
	}
}

func (t *Directory) do(change func(now time.Time) bool) {
	select {
	case t.changes <- change:
	case <-t.done:
	}
}

// Apply takes changes that the store tells, up to a revision.
func (t *Directory) Apply(changes []roster.Change, asOf uint64) {
	t.do(func(now time.Time) bool {
		t.roster.StoreReturned(now)
		t.roster.Apply(now, changes, asOf)
		return true
	})
}

// Replace takes the full list that the store tells.
func (t *Directory) Replace(list []roster.Entry, asOf uint64) {
	t.do(func(now time.Time) bool {
		t.roster.StoreReturned(now)
		t.roster.Replace(now, list, asOf)
		return true
	})
}

// Lost tells that the store does not answer, Back that it does again.
func (t *Directory) Lost() { t.do(func(time.Time) bool { t.roster.StoreLost(); return false }) }

// Back tells that the store answers again.
func (t *Directory) Back() {
	t.do(func(now time.Time) bool { t.roster.StoreReturned(now); return false })
}

// merge takes a peer's list, which says nothing of this router's own reach of
// the store.
func (t *Directory) merge(list *fleetv1.TargetList) {
	entries := make([]roster.Entry, 0, len(list.GetTargets()))
	for _, e := range list.GetTargets() {
		entries = append(entries, roster.Entry{Revision: e.GetRevision(), Target: routing.Target{
			ID:      ids.Target(e.GetId()),
			Address: e.GetAddress(),
			Service: e.GetService(),
			Domain:  ids.Domain(e.GetDomain()),
			Slots:   int(e.GetSlots()),
			Leaving: e.GetLeaving(),
			Born:    e.GetBorn(),
		}})
	}
	t.do(func(now time.Time) bool {
		t.roster.Merge(now, entries, list.GetAsOf(), list.GetSettled())
		return true
	})
}

// list returns the list for peers.
func (t *Directory) list(ctx context.Context) *fleetv1.TargetList {
	answer := make(chan *fleetv1.TargetList, 1)
	t.do(func(now time.Time) bool {
		out := &fleetv1.TargetList{AsOf: t.roster.AsOf(), Settled: t.roster.Settled(now)}
		for _, e := range t.roster.Entries() {
			out.Targets = append(out.Targets, &fleetv1.TargetEntry{
				Id:       string(e.ID),
				Address:  e.Address,
				Service:  e.Service,
				Domain:   string(e.Domain),
				Slots:    uint32(e.Slots),
				Leaving:  e.Leaving,
				Born:     e.Born,
				Revision: e.Revision,
			})
		}
		answer <- out
		return false
	})
	select {
	case list := <-answer:
		return list
	case <-ctx.Done():
	case <-t.done:
	}
	return nil
}
