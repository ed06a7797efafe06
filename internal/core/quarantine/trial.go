package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Timing of trials.
const (
	// SettleTime is the time between the announcement and the start of a trial,
	// so that two routers that announce at once receive each other's message.
	SettleTime = 300 * time.Millisecond
	// TrialTimeout is the time without an announcement after which another
	// router's trial counts as ended.
	TrialTimeout = 5 * time.Second
	// pendingTimeout is the time without a request after which this router's
	// announced trial ends.
	pendingTimeout = 3 * time.Second
)

// maxTrials bounds the fingerprints with own trials, and those with trials of other
// routers.
const maxTrials = 4096

// Owner is one incarnation of a router, which may own trials.
type Owner struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
}

// rank orders the owners that announce a trial of the same fingerprint. The lowest
// rank has precedence. Hashing the owner with the fingerprint spreads the trials
// over the routers.
func (o Owner) rank(fp uint64) uint64 {
	buf := make([]byte, 0, 16+len(o.Instance))
	for i := range 8 {
		buf = append(buf, byte(fp>>(8*i)), byte(uint64(o.Incarnation)>>(8*i)))
	}
	return xxhash.Sum64(append(buf, o.Instance...))
}

// Trials records which router runs which suspect alone. Invariant: among routers
// that receive each other's announcements, at most one at a time runs a given
// suspect. It is not safe for concurrent use.
type Trials struct {
	self Owner
	// own holds this router's trials by fingerprint.
	own map[uint64]*ownTrial
	// others holds the trials of other routers by fingerprint and owner.
	others map[uint64]map[Owner]*otherTrial
}

type ownTrial struct {
	announcedAt     time.Time
	lastRequestedAt time.Time
	running         bool
	// dispatched is set once the request has been dispatched.
	dispatched bool
}

type otherTrial struct {
	lastAnnouncedAt time.Time
	running         bool
}

// NewTrials returns the empty record of trials of the router self.
func NewTrials(self Owner) *Trials {
	return &Trials{self: self, own: map[uint64]*ownTrial{}, others: map[uint64]map[Owner]*otherTrial{}}
}

// Acquire requests the right to run a suspect solo. The first call announces the
// trial; a call at least SettleTime later is granted unless another router has
// precedence. If changed is true, this router's trial must be announced to the
// other routers.
func (t *Trials) Acquire(fp uint64, now time.Time) (granted, changed bool) {
	own := t.own[fp]
	if own != nil && own.running {
		return false, false
	}
	if t.isTakenByOther(fp, now) {
		delete(t.own, fp)
		return false, own != nil
	}
	if own == nil {
		if len(t.own) >= maxTrials {
			return false, false
		}
		t.own[fp] = &ownTrial{announcedAt: now, lastRequestedAt: now}
		return false, true
	}
	own.lastRequestedAt = now
	if now.Sub(own.announcedAt) < SettleTime {
		return false, false
	}
	own.running = true
	return true, true
}

// isTakenByOther reports whether another router runs the trial or has precedence.
func (t *Trials) isTakenByOther(fp uint64, now time.Time) bool {
	for owner, other := range t.others[fp] {
		if now.Sub(other.lastAnnouncedAt) > TrialTimeout {
			continue
		}
		if other.running || owner.rank(fp) < t.self.rank(fp) {
			return true
		}
	}
	return false
}

// Release ends this router's trial and reports whether there was one.
func (t *Trials) Release(fp uint64) bool {
	_, ok := t.own[fp]
	delete(t.own, fp)
	return ok
}

// MarkDispatched records that the request of this router's trial is dispatched.
func (t *Trials) MarkDispatched(fp uint64) {
	if own := t.own[fp]; own != nil {
		own.dispatched = true
	}
}

// ReleaseUndispatched ends a trial that was granted but whose request was not
// dispatched, and reports whether it did. A trial that is only announced, on
// behalf of a later request, stays.
func (t *Trials) ReleaseUndispatched(fp uint64) bool {
	own := t.own[fp]
	if own == nil || !own.running || own.dispatched {
		return false
	}
	return t.Release(fp)
}

// Observe records another router's announcement of a trial or of its end.
func (t *Trials) Observe(fp uint64, owner Owner, running, ended bool, now time.Time) {
	if owner == t.self {
		return
	}
	if ended {
		delete(t.others[fp], owner)
		if len(t.others[fp]) == 0 {
			delete(t.others, fp)
		}
		return
	}
	if t.others[fp] == nil {
		if len(t.others) >= maxTrials {
			return
		}
		t.others[fp] = map[Owner]*otherTrial{}
	}
	t.others[fp][owner] = &otherTrial{lastAnnouncedAt: now, running: running}
}

// OwnTrial is the state of one of this router's trials, to be announced.
type OwnTrial struct {
	Fingerprint uint64
	Running     bool
}

// OwnTrials returns this router's trials, in no particular order.
func (t *Trials) OwnTrials() []OwnTrial {
	out := make([]OwnTrial, 0, len(t.own))
	for fp, own := range t.own {
		out = append(out, OwnTrial{Fingerprint: fp, Running: own.running})
	}
	return out
}

// Expire deletes the trials of other routers that have not been announced within
// TrialTimeout. It also deletes and returns this router's announced trials that no
// request has requested within pendingTimeout; their end must be announced.
func (t *Trials) Expire(now time.Time) (ended []uint64) {
	for fp, own := range t.own {
		if !own.running && now.Sub(own.lastRequestedAt) > pendingTimeout {
			delete(t.own, fp)
			ended = append(ended, fp)
		}
	}
	for fp, owners := range t.others {
		for owner, other := range owners {
			if now.Sub(other.lastAnnouncedAt) > TrialTimeout {
				delete(owners, owner)
			}
		}
		if len(owners) == 0 {
			delete(t.others, fp)
		}
	}
	return ended
}
