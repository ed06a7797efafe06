package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Times of trials.
const (
	// SettleTime is how long a trial is announced before it may run, so that
	// two routers that begin at once hear of each other.
	SettleTime = 300 * time.Millisecond
	// TrialTimeout is the silence after which another router's trial is taken
	// for ended.
	TrialTimeout = 5 * time.Second
	// pendingTimeout is how long an own trial waits for a request to use it.
	pendingTimeout = 3 * time.Second
)

// maxTrials bounds the trials that are remembered.
const maxTrials = 4096

// Owner is one run of a router's process.
type Owner struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
}

// rank orders the owners that want the same trial; the least goes first.
func (o Owner) rank(fp uint64) uint64 {
	raw := make([]byte, 0, 16+len(o.Instance))
	for i := range 8 {
		raw = append(raw, byte(fp>>(8*i)), byte(uint64(o.Incarnation)>>(8*i)))
	}
	return xxhash.Sum64(append(raw, o.Instance...))
}

// Trials holds who runs which suspect alone. At most one router at a time runs
// a suspect among the routers that hear each other.
type Trials struct {
	self Owner
	own  map[uint64]*ownTrial
	// others by fingerprint and owner.
	others map[uint64]map[Owner]*otherTrial
}

type ownTrial struct {
	since   time.Time
	used    time.Time
	running bool
	// started is set once the request has been dispatched.
	started bool
}

type otherTrial struct {
	heard   time.Time
	running bool
}

// NewTrials returns the trials as the given router sees them.
func NewTrials(self Owner) *Trials {
	return &Trials{self: self, own: map[uint64]*ownTrial{}, others: map[uint64]map[Owner]*otherTrial{}}
}

// Ask tries to get the right to run a suspect now. News tells that the own
// trial changed and must be told to the others.
func (t *Trials) Ask(fp uint64, now time.Time) (granted, news bool) {
	own := t.own[fp]
	if own != nil && own.running {
		return false, false
	}
	if t.taken(fp, now) {
		delete(t.own, fp)
		return false, own != nil
	}
	if own == nil {
		if len(t.own) >= maxTrials {
			return false, false
		}
		t.own[fp] = &ownTrial{since: now, used: now}
		return false, true
	}
	own.used = now
	if now.Sub(own.since) < SettleTime {
		return false, false
	}
	own.running = true
	return true, true
}

// taken tells whether another router goes first.
func (t *Trials) taken(fp uint64, now time.Time) bool {
	for o, other := range t.others[fp] {
		if now.Sub(other.heard) > TrialTimeout {
			continue
		}
		if other.running || o.rank(fp) < t.self.rank(fp) {
			return true
		}
	}
	return false
}

// End gives the right back; false where this router did not have it.
func (t *Trials) End(fp uint64) bool {
	_, ok := t.own[fp]
	delete(t.own, fp)
	return ok
}

// Start notes that the request of a trial is dispatched.
func (t *Trials) Start(fp uint64) {
	if own := t.own[fp]; own != nil {
		own.started = true
	}
}

// Withdraw gives back a right that was granted and not used. A trial that is
// still asked for, by a later request, stays.
func (t *Trials) Withdraw(fp uint64) bool {
	own := t.own[fp]
	if own == nil || !own.running || own.started {
		return false
	}
	return t.End(fp)
}

// Hear learns of another router's trial.
func (t *Trials) Hear(fp uint64, o Owner, running, ended bool, now time.Time) {
	if o == t.self {
		return
	}
	if ended {
		delete(t.others[fp], o)
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
	t.others[fp][o] = &otherTrial{heard: now, running: running}
}

// OwnTrial is a trial of this router as others must hear of it.
type OwnTrial struct {
	Fingerprint uint64
	Running     bool
}

// Own returns the own trials.
func (t *Trials) Own() []OwnTrial {
	out := make([]OwnTrial, 0, len(t.own))
	for fp, own := range t.own {
		out = append(out, OwnTrial{Fingerprint: fp, Running: own.running})
	}
	return out
}

// Expire forgets silent trials of others and returns the own ones that no
// request has used.
func (t *Trials) Expire(now time.Time) (ended []uint64) {
	for fp, own := range t.own {
		if !own.running && now.Sub(own.used) > pendingTimeout {
			delete(t.own, fp)
			ended = append(ended, fp)
		}
	}
	for fp, owners := range t.others {
		for o, other := range owners {
			if now.Sub(other.heard) > TrialTimeout {
				delete(owners, o)
			}
		}
		if len(owners) == 0 {
			delete(t.others, fp)
		}
	}
	return ended
}
