package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// The record holds, outside of the routers' memory, the crashes that must outlast a restart
// of all routers. Two routers write it, so that one may fail. It is merged like the reports
// of routers, so that writers who do not know of each other's crashes lose none.

// Bounds of the record.
const (
	// recordedDeaths is the number of deaths from which the crashes of a fingerprint are
	// recorded, one less than are needed to refuse it: otherwise restarts after each second
	// death would never let it be refused.
	recordedDeaths = 2
	// maxRecordedCrashes bounds the crashes of the record, as those of a full sync.
	maxRecordedCrashes = 256
)

// Record returns the crashes to record: of the fingerprints with at least recordedDeaths
// deaths that count, those with the most deaths first, then the latest. Crashes that are
// cleared or have expired are not recorded.
func (t *Table) Record(now time.Time) []Crash {
	type candidate struct {
		fp      uint64
		deaths  int
		lastMS  int64
		crashes []Crash
	}
	isIgnored := func(c Crash) bool { return c.Cleared || t.isExpired(c.AtMS, now) }
	var candidates []candidate
	for fp, s := range t.suspects {
		deaths, _, lastMS := s.countDeaths(isIgnored)
		if deaths >= recordedDeaths {
			candidates = append(candidates, candidate{fp, deaths, lastMS, slices.DeleteFunc(slices.Clone(s.crashes), isIgnored)})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.deaths, x.deaths), cmp.Compare(y.lastMS, x.lastMS), cmp.Compare(x.fp, y.fp))
	})
	var out []Crash
	for _, c := range candidates {
		if len(out)+len(c.crashes) > maxRecordedCrashes {
			break
		}
		out = append(out, c.crashes...)
	}
	return out
}

// Unexpired returns the crashes that have not expired.
func (t *Table) Unexpired(crashes []Crash, now time.Time) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return t.isExpired(c.AtMS, now) })
}

// Timing of the record.
const (
	// recordSettleTime is how long a router must have been a writer before it acts as one,
	// so that it does not while a fleet that starts has few links.
	recordSettleTime = 500 * time.Millisecond
	// recordConfirmInterval is how often the first writer reads a record that is not empty,
	// in case the store has lost it or another router has changed it.
	recordConfirmInterval = 10 * time.Second
	// recordBackupDelay is how long the second writer leaves a change to the first.
	recordBackupDelay = time.Second
	// recordRetryDelay is the delay after a failed call.
	recordRetryDelay = time.Second
)

// RecordCall is a call of the store for the record.
type RecordCall int

// The calls.
const (
	NoCall RecordCall = iota
	ReadRecord
	WriteRecord
	DeleteRecord
)

// Recording decides when a router reads and writes the record. The zero value is ready for
// use. It is not safe for concurrent use.
type Recording struct {
	// writerSince is when the router became a writer, zero if it is none.
	writerSince time.Time
	// readAt is when the record was last read or written, zero if it is unknown.
	readAt time.Time
	stored []Crash
	// differsSince is when the crashes to record were first seen to differ from those stored.
	differsSince time.Time
	// retryAt is when the next call may be made after a failed one.
	retryAt time.Time
}

// Next returns the call to make now. Rank is the router's place among the writers, from 0.
func (r *Recording) Next(now time.Time, rank int, isWriter bool, t *Table) RecordCall {
	if !isWriter {
		*r = Recording{}
		return NoCall
	}
	if r.writerSince.IsZero() {
		r.writerSince = now
	}
	if now.Sub(r.writerSince) < recordSettleTime || now.Before(r.retryAt) {
		return NoCall
	}
	isOld := rank == 0 && len(r.stored) > 0 && now.Sub(r.readAt) >= recordConfirmInterval
	if r.readAt.IsZero() || isOld {
		return ReadRecord
	}
	wanted, stored := t.Record(now), t.Unexpired(r.stored, now)
	if digestOf(wanted) == digestOf(stored) {
		r.differsSince = time.Time{}
		if rank == 0 && len(r.stored) > 0 && len(wanted) == 0 {
			return DeleteRecord
		}
		return NoCall
	}
	if r.differsSince.IsZero() {
		r.differsSince = now
	}
	switch {
	case rank > 0 && now.Sub(r.differsSince) < recordBackupDelay:
		return NoCall
	case rank > 0 && r.readAt.Sub(r.differsSince) < recordBackupDelay:
		return ReadRecord
	case len(wanted) == 0:
		return DeleteRecord
	}
	return WriteRecord
}

// RecordState records the crashes that the store has after a successful call, none after a
// deletion. Those that were read must have been added to the table.
func (r *Recording) RecordState(now time.Time, stored []Crash) {
	r.readAt, r.stored = now, stored
}

// RecordFailure records a failed call. The record is read before it is written again.
func (r *Recording) RecordFailure(now time.Time) {
	r.readAt, r.retryAt = time.Time{}, now.Add(recordRetryDelay)
}

// RecordConflict records a write whose condition did not hold.
func (r *Recording) RecordConflict() { r.readAt = time.Time{} }

func digestOf(crashes []Crash) uint64 {
	var sum uint64
	for _, c := range crashes {
		sum ^= c.digest()
	}
	return sum
}
