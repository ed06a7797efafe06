// Package member decides which routers are live. It is a deterministic state
// machine without I/O, clock or goroutines: the links' events go in with their
// time, and verdicts, expired links and the live set come out.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// MaxMembers bounds the routers that a Set holds at a time.
const MaxMembers = 4096

// Info is what a router says of itself when a link opens.
type Info struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
	Domain      ids.Domain
	// Address at which the router accepts links.
	Address string
}

// Beat is the state that a heartbeat carries.
type Beat struct {
	// Revision of the configuration held.
	Revision uint64
	// Draining is set once the router is stopping.
	Draining bool
	// Watcher is set while the router watches the platform itself.
	Watcher bool
}

// LinkID names one link of this router.
type LinkID uint64

// Member is a live router.
type Member struct {
	Info
	Beat
	// Link over which it is heard.
	Link LinkID
	// Dialer is the end that opened the link.
	Dialer ids.Instance
	// Since is when this incarnation was first heard.
	Since time.Time
	// LastHeard is when the last message came.
	LastHeard time.Time
}

// Reason says why a link is refused; empty where it is accepted.
type Reason string

// The reasons.
const (
	// RefusedSelf: the other side carries this router's own name.
	RefusedSelf Reason = "self"
	// RefusedOld: a newer incarnation of the instance is live.
	RefusedOld Reason = "old_incarnation"
	// RefusedDuplicate: the instance has a better link.
	RefusedDuplicate Reason = "duplicate"
	// RefusedFull: the set holds MaxMembers routers.
	RefusedFull Reason = "full"
)

// Verdict is the answer to a new link.
type Verdict struct {
	// Refused is empty where the link is accepted.
	Refused Reason
	// Replaces is the link that the new one takes the place of; zero for none.
	Replaces LinkID
}

// Set is the live set of one router, itself excluded.
type Set struct {
	self     ids.Instance
	timeout  time.Duration
	members  map[ids.Instance]*Member
	lastTick time.Time
}

// New returns an empty set. A member that is silent for longer than timeout is
// taken for dead.
func New(self ids.Instance, timeout time.Duration) *Set {
	return &Set{self: self, timeout: timeout, members: make(map[ids.Instance]*Member)}
}

// Join decides on a link that has just exchanged its greetings. Both ends of
// a pair reach the same verdict on duplicates: the link that the lower instance
// name dialled stays, and of two dialled by the same end the newer one stays,
// because an end dials again only once it has lost its link.
func (s *Set) Join(now time.Time, link LinkID, info Info, dialer ids.Instance) Verdict {
	if info.Instance == s.self {
		return Verdict{Refused: RefusedSelf}
	}
	old, known := s.members[info.Instance]
	if !known && len(s.members) >= MaxMembers {
		return Verdict{Refused: RefusedFull}
	}
	fresh := &Member{Info: info, Link: link, Dialer: dialer, Since: now, LastHeard: now}
	if !known {
		s.members[info.Instance] = fresh
		return Verdict{}
	}
	// An older incarnation is refused only while the newer one is live, so
	// that a clock set back on a restarted instance cannot lock it out.
	if info.Incarnation < old.Incarnation {
		return Verdict{Refused: RefusedOld}
	}
	if info.Incarnation == old.Incarnation {
		if dialer != old.Dialer && dialer > old.Dialer {
			return Verdict{Refused: RefusedDuplicate}
		}
		fresh.Since = old.Since
		fresh.Beat = old.Beat
	}
	s.members[info.Instance] = fresh
	return Verdict{Replaces: old.Link}
}

// Heard notes a message over a link at a time; times never go back.
func (s *Set) Heard(at time.Time, instance ids.Instance, link LinkID) {
	m := s.on(instance, link)
	if m != nil && at.After(m.LastHeard) {
		m.LastHeard = at
	}
}

// Beat notes a heartbeat and tells whether the state of the member changed in
// more than its revision.
func (s *Set) Beat(at time.Time, instance ids.Instance, link LinkID, beat Beat) bool {
	m := s.on(instance, link)
	if m == nil {
		return false
	}
	s.Heard(at, instance, link)
	changed := m.Draining != beat.Draining || m.Watcher != beat.Watcher
	m.Beat = beat
	return changed
}

// Leave removes the member whose link has ended and tells whether it was live
// over this link. The end of a replaced link changes nothing.
func (s *Set) Leave(instance ids.Instance, link LinkID) bool {
	if s.on(instance, link) == nil {
		return false
	}
	delete(s.members, instance)
	return true
}

// Tick removes the members that have been silent for longer than the timeout
// and returns them. After a pause of this process as long as the timeout it
// removes none, as messages may lie unread: the next tick decides.
func (s *Set) Tick(now time.Time) []Member {
	paused := !s.lastTick.IsZero() && now.Sub(s.lastTick) >= s.timeout
	s.lastTick = now
	if paused {
		return nil
	}
	var expired []Member
	for name, m := range s.members {
		if now.Sub(m.LastHeard) <= s.timeout {
			continue
		}
		expired = append(expired, *m)
		delete(s.members, name)
	}
	sortMembers(expired)
	return expired
}

// Get returns a live member.
func (s *Set) Get(instance ids.Instance) (Member, bool) {
	m, ok := s.members[instance]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Live returns the live members by name.
func (s *Set) Live() []Member {
	live := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		live = append(live, *m)
	}
	sortMembers(live)
	return live
}

func (s *Set) on(instance ids.Instance, link LinkID) *Member {
	m, ok := s.members[instance]
	if !ok || m.Link != link {
		return nil
	}
	return m
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}
