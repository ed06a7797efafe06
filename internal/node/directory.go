package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/revision"
	"github.com/umberhill/umberhill/internal/core/roster"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// missingCheckInterval is how often missing entries are checked for expiry.
	missingCheckInterval = 100 * time.Millisecond
	// peerReportTTL is for how long a report shows that peers tell this router what they read. Reports are
	// sent at least each 80 ms, and arrive 300 ms late at most.
	peerReportTTL = time.Second
	// changeQueueSize is the number of changes that may be queued for the roster.
	changeQueueSize = 64
)

// Directory is the controller of the list of targets. One goroutine owns the
// roster. Changes are received from the platform's store and from peers.
type Directory struct {
	node    *Node
	roster  *roster.Roster
	changes chan rosterChange
	done    chan struct{}
	// missingUse is for how long targets were used although their entries were missing.
	missingUse tally.Histogram
}

// rosterChange is a change of the roster.
type rosterChange struct {
	// source is sourceStore or the peer from which the change comes, empty for neither.
	source string
	apply  func(now time.Time) (changed bool)
}

// targetsUpdate says where a list of targets comes from, for the log.
type targetsUpdate struct {
	source string
	// age is the time since the list before was complete.
	age  time.Duration
	news roster.News
}

func newDirectory(n *Node) *Directory {
	return &Directory{
		node:    n,
		roster:  roster.New(n.settings.DrainTimeout, roster.WithCheckInInterval(n.settings.CheckInInterval)),
		changes: make(chan rosterChange, changeQueueSize),
		done:    make(chan struct{}),

		missingUse: n.scope.Histogram("target_missing_use_seconds", stateDelayBuckets),
	}
}

// run applies queued changes to the roster until ctx ends.
func (d *Directory) run(ctx context.Context) {
	defer close(d.done)
	missing := d.node.scope.Gauge("targets_missing")
	ticker := time.NewTicker(missingCheckInterval)
	defer ticker.Stop()
	for {
		var changed bool
		var source string
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case change := <-d.changes:
			now = time.Now()
			source, changed = change.source, change.apply(now)
		case now = <-ticker.C:
			d.roster.RecordRead(now.Add(-d.node.targetsState.age(now)))
			d.roster.RecordPeers(d.node.targetsState.sinceReport(now) < peerReportTTL)
			changed = d.roster.DropMissing(now)
			missing.Update(float64(d.roster.MissingCount()))
		}
		update := targetsUpdate{source: source, age: d.node.targetsState.age(now), news: d.roster.TakeNews()}
		d.recordNews(update)
		if changed {
			d.node.setTargets(d.roster.Targets(), update)
			d.node.targetsState.recordHeld(d.roster.AsOf())
		}
	}
}

// recordNews logs which entries are missing, and for how long the targets that are not used any
// more were used so.
func (d *Directory) recordNews(u targetsUpdate) {
	for _, m := range u.news.Missing {
		d.node.logger.WithFields(logrus.Fields{
			"target": m.ID, "service": m.Service, "source": u.source, "max_delay_ms": u.age.Milliseconds(),
		}).Info("target's entry is missing; the target is kept")
	}
	for _, drop := range u.news.Drops {
		d.missingUse.RecordDuration(drop.MissingFor)
	}
}

// enqueue queues a change. It blocks while the queue is full, and drops the change
// if run has returned.
func (d *Directory) enqueue(source string, apply func(now time.Time) (changed bool)) {
	select {
	case d.changes <- rosterChange{source, apply}:
	case <-d.done:
	}
}

// Apply applies changes from the store, which are complete up to revision asOf.
func (d *Directory) Apply(changes []roster.Change, asOf uint64) {
	d.enqueue(sourceStore, func(now time.Time) bool {
		d.roster.MarkStoreUp(now)
		d.roster.Apply(now, changes, asOf)
		return true
	})
}

// Replace replaces the list by the store's full list at revision asOf.
func (d *Directory) Replace(list []roster.Entry, asOf uint64) {
	d.enqueue(sourceStore, func(now time.Time) bool {
		d.roster.MarkStoreUp(now)
		d.roster.Replace(now, list, asOf)
		return true
	})
}

// recordComplete records that the list, with all changes queued so far, is complete as of a
// time. It returns once these are in force.
func (d *Directory) recordComplete(at time.Time) {
	d.wait()
	d.node.streamOrigins.recordComplete(at)
}

// wait returns once all changes queued so far are in force.
func (d *Directory) wait() {
	done := make(chan struct{})
	d.enqueue("", func(time.Time) bool {
		close(done)
		return false
	})
	select {
	case <-done:
	case <-d.done:
	}
}

// MarkStoreDown records that the store does not respond.
func (d *Directory) MarkStoreDown() {
	d.enqueue("", func(time.Time) bool { d.roster.MarkStoreDown(); return false })
}

// MarkStoreUp records that the store responds, with or without changes.
func (d *Directory) MarkStoreUp() {
	d.enqueue("", func(now time.Time) bool { d.roster.MarkStoreUp(now); return false })
}

// merge merges a peer's list. Unlike Apply and Replace it does not mark the store
// as up, because this router itself may not reach it.
func (d *Directory) merge(from ids.Instance, list *fleetv1.TargetList) {
	entries := make([]roster.Entry, 0, len(list.GetTargets()))
	for _, e := range list.GetTargets() {
		if slots := e.GetSlots(); slots < 1 || slots > routing.MaxSlots {
			// A router of an earlier release takes such entries of the store for targets.
			d.node.logger.WithFields(logrus.Fields{"target": e.GetId(), "slots": slots}).Warn("target entry of a peer is invalid; ignoring it")
			continue
		}
		entries = append(entries, roster.Entry{ColdLeft: time.Duration(e.GetColdMs()) * time.Millisecond, Revision: revision.Join(e.GetEra(), e.GetRevision()), Seq: e.GetSeq(), Target: routing.Target{
			ID:          ids.Target(e.GetId()),
			Address:     e.GetAddress(),
			Service:     e.GetService(),
			Domain:      ids.Domain(e.GetDomain()),
			Slots:       int(e.GetSlots()),
			Draining:    e.GetLeaving(),
			StartTimeMS: e.GetBorn(),

			SoftwareVersion: e.GetSoftwareVersion(),
			StatesCold:      e.ColdMs != nil,
		}})
	}
	asOf := revision.Join(list.GetEra(), list.GetAsOf())
	d.enqueue(string(from), func(now time.Time) bool {
		lacks := make([]roster.Lack, 0, len(list.GetMissing()))
		for _, m := range list.GetMissing() {
			lacks = append(lacks, roster.Lack{ID: ids.Target(m.GetId()), Since: now.Add(-time.Duration(m.GetMissingMs()) * time.Millisecond)})
		}
		d.roster.MergeLacks(lacks, asOf)
		d.roster.Merge(now, entries, asOf, list.GetSettled())
		return true
	})
}

// list returns the list to send to peers, or nil if ctx or run has ended.
func (d *Directory) list(ctx context.Context) *fleetv1.TargetList {
	result := make(chan *fleetv1.TargetList, 1)
	d.enqueue("", func(now time.Time) bool {
		era, asOf := revision.Split(d.roster.AsOf())
		out := &fleetv1.TargetList{Era: era, AsOf: asOf, Settled: d.roster.IsSettled(now)}
		for _, e := range d.roster.Entries() {
			entryEra, entryRevision := revision.Split(e.Revision)
			var coldMS *uint32
			if e.StatesCold {
				coldMS = proto.Uint32(ageMS(e.ColdUntil.Sub(now)))
			}
			out.Targets = append(out.Targets, &fleetv1.TargetEntry{
				Id:       string(e.ID),
				Address:  e.Address,
				Service:  e.Service,
				Domain:   string(e.Domain),
				Slots:    uint32(e.Slots),
				Leaving:  e.Draining,
				Born:     e.StartTimeMS,
				Revision: entryRevision,
				Era:      entryEra,
				Seq:      e.Seq,

				SoftwareVersion: e.SoftwareVersion,
				ColdMs:          coldMS,
			})
		}
		for _, l := range d.roster.Lacks() {
			out.Missing = append(out.Missing, &fleetv1.MissingTarget{Id: string(l.ID), MissingMs: ageMS(now.Sub(l.Since))})
		}
		result <- out
		return false
	})
	select {
	case list := <-result:
		return list
	case <-ctx.Done():
	case <-d.done:
	}
	return nil
}
