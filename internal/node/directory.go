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
func (d *Directory) run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(settleCheck)
	defer ticker.Stop()
	for {
		var changed bool
		select {
		case <-ctx.Done():
			return
		case change := <-d.changes:
			changed = change(time.Now())
		case now := <-ticker.C:
			changed = d.roster.DropMissing(now)
		}
		if changed {
			d.node.setTargets(d.roster.Targets())
			d.node.targetsAsOf.Store(d.roster.AsOf())
		}
	}
}

func (d *Directory) do(change func(now time.Time) bool) {
	select {
	case d.changes <- change:
	case <-d.done:
	}
}

// Apply takes changes that the store tells, up to a revision.
func (d *Directory) Apply(changes []roster.Change, asOf uint64) {
	d.do(func(now time.Time) bool {
		d.roster.MarkStoreUp(now)
		d.roster.Apply(now, changes, asOf)
		return true
	})
}

// Replace takes the full list that the store tells.
func (d *Directory) Replace(list []roster.Entry, asOf uint64) {
	d.do(func(now time.Time) bool {
		d.roster.MarkStoreUp(now)
		d.roster.Replace(now, list, asOf)
		return true
	})
}

// MarkStoreDown tells that the store does not answer.
func (d *Directory) MarkStoreDown() {
	d.do(func(time.Time) bool { d.roster.MarkStoreDown(); return false })
}

// MarkStoreUp tells that the store answers, with or without changes.
func (d *Directory) MarkStoreUp() {
	d.do(func(now time.Time) bool { d.roster.MarkStoreUp(now); return false })
}

// merge takes a peer's list, which says nothing of this router's own reach of
// the store.
func (d *Directory) merge(list *fleetv1.TargetList) {
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
	d.do(func(now time.Time) bool {
		d.roster.Merge(now, entries, list.GetAsOf(), list.GetSettled())
		return true
	})
}

// list returns the list for peers.
func (d *Directory) list(ctx context.Context) *fleetv1.TargetList {
	answer := make(chan *fleetv1.TargetList, 1)
	d.do(func(now time.Time) bool {
		out := &fleetv1.TargetList{AsOf: d.roster.AsOf(), Settled: d.roster.IsSettled(now)}
		for _, e := range d.roster.Entries() {
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
	case <-d.done:
	}
	return nil
}
