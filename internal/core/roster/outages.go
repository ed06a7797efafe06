package roster

import "time"

// lapseIntervals is the number of check-in intervals in the shortest outage of the store in which
// the entry of a live target can lapse: the three after which it does, less the one since its last
// write, and less 0.4 since targets write only approximately at the interval.
const lapseIntervals = 1.6

// outages tells outages of the store from losses of this router's own contact with it. Both show
// as calls that fail; in an outage no router reads the store.
type outages struct {
	// minSilence is the shortest time without a read by any router that counts as an outage.
	minSilence time.Duration
	// contactLost is set while the store does not respond to this router.
	contactLost bool
	// lastReadAt is when any router last read the store, as far as this one knows.
	lastReadAt time.Time
	// endedAt is when the store was first read after the last outage, zero if there was none.
	endedAt time.Time
}

// recordRead records that a router read the store at a time.
func (o *outages) recordRead(at time.Time) {
	if !at.After(o.lastReadAt) {
		return
	}
	// A silence without a failed call only means that no router called the store.
	if o.contactLost && at.Sub(o.lastReadAt) >= o.minSilence {
		o.recordEnd(at)
	}
	o.lastReadAt = at
}

// recordEnd records the end of an outage.
func (o *outages) recordEnd(at time.Time) { o.endedAt = at }

// isSettling reports whether entries of live targets may be missing in the store, because it is
// unavailable or recovered less than SettleTime ago.
func (o *outages) isSettling(now time.Time) bool {
	return o.contactLost || !o.endedAt.IsZero() && now.Sub(o.endedAt) < SettleTime
}
