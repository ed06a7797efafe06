// Package member tracks which routers of the fleet are live, and selects the
// routers that each router links to. It detects routers that crash or become
// unreachable by missing messages. It is a deterministic state machine without
// I/O, clock or goroutines: the caller passes in link events with their time,
// and reads join results, expired members and the live set.
//
// Invariants: a Set holds at most one member per instance and at most MaxMembers
// members, and events of a link that has been replaced do not change it.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// MaxMembers is the maximum number of routers in a Set.
const MaxMembers = 4096

// Info is the identity that a router sends when a link opens.
type Info struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
	Domain      ids.Domain
	// Address is the address at which the router accepts links.
	Address string
}

// Heartbeat is the state that a heartbeat carries.
type Heartbeat struct {
	// Revision is the revision of the configuration that the router holds.
	Revision uint64
	// Draining is true once the router is stopping.
	Draining bool
	// Watcher is true while the router watches the platform itself.
	Watcher bool
}

// LinkID identifies a link of this router.
type LinkID uint64

// Member is a live router.
type Member struct {
	Info
	Heartbeat
	// Link is the link over which its messages are accepted.
	Link LinkID
	// Dialer is the instance that opened the link.
	Dialer ids.Instance
	// JoinedAt is when this incarnation joined.
	JoinedAt time.Time
	// LastMessageAt is when the last message was received.
	LastMessageAt time.Time
}

// Reason is why a link is refused. It is empty for an accepted link.
type Reason string

// Reasons for which Join refuses a link.
const (
	// RefusedSelf means that the peer has this router's own instance name.
	RefusedSelf Reason = "self"
	// RefusedOldIncarnation means that a newer incarnation of the instance is live.
	RefusedOldIncarnation Reason = "old_incarnation"
	// RefusedDuplicate means that the instance has another link that is kept.
	RefusedDuplicate Reason = "duplicate"
	// RefusedFull means that the set holds MaxMembers routers.
	RefusedFull Reason = "full"
)

// JoinResult is the decision on a new link.
type JoinResult struct {
	// Refused is the reason for refusing the link, empty if it is accepted.
	Refused Reason
	// Replaces is the link that the new link replaces, zero for none.
	Replaces LinkID
}

// Set is the set of live routers as seen by one router, itself excluded.
type Set struct {
	self       ids.Instance
	timeout    time.Duration
	members    map[ids.Instance]*Member
	lastTickAt time.Time
}

// New returns an empty set. A member from which no message has been received for
// longer than timeout expires.
func New(self ids.Instance, timeout time.Duration) *Set {
	return &Set{self: self, timeout: timeout, members: make(map[ids.Instance]*Member)}
}

// Join accepts or refuses a link whose handshake has just completed. Both ends
// of a pair decide alike on duplicate links: the link dialled by the lower
// instance name is kept, and of two links dialled by the same end the newer one
// is kept, because an end dials again only after it has lost its link.
func (s *Set) Join(now time.Time, link LinkID, info Info, dialer ids.Instance) JoinResult {
	if info.Instance == s.self {
		return JoinResult{Refused: RefusedSelf}
	}
	old, known := s.members[info.Instance]
	if !known && len(s.members) >= MaxMembers {
		return JoinResult{Refused: RefusedFull}
	}
	joined := &Member{Info: info, Link: link, Dialer: dialer, JoinedAt: now, LastMessageAt: now}
	if !known {
		s.members[info.Instance] = joined
		return JoinResult{}
	}
	// An older incarnation is refused only while the newer one is live, so that
	// an instance whose clock was set back before a restart can join again.
	if info.Incarnation < old.Incarnation {
		return JoinResult{Refused: RefusedOldIncarnation}
	}
	if info.Incarnation == old.Incarnation {
		if dialer != old.Dialer && dialer > old.Dialer {
			return JoinResult{Refused: RefusedDuplicate}
		}
		joined.JoinedAt = old.JoinedAt
		joined.Heartbeat = old.Heartbeat
	}
	s.members[info.Instance] = joined
	return JoinResult{Replaces: old.Link}
}

// RecordMessage records that a message was received over a link at the given time.
// An earlier time than the recorded one is ignored.
func (s *Set) RecordMessage(at time.Time, instance ids.Instance, link LinkID) {
	m := s.memberOnLink(instance, link)
	if m != nil && at.After(m.LastMessageAt) {
		m.LastMessageAt = at
	}
}

// ApplyHeartbeat records a heartbeat and reports whether the state of the member
// changed in anything other than its revision.
func (s *Set) ApplyHeartbeat(at time.Time, instance ids.Instance, link LinkID, heartbeat Heartbeat) bool {
	m := s.memberOnLink(instance, link)
	if m == nil {
		return false
	}
	s.RecordMessage(at, instance, link)
	changed := m.Draining != heartbeat.Draining || m.Watcher != heartbeat.Watcher
	m.Heartbeat = heartbeat
	return changed
}

// Leave removes the member whose link has closed and reports whether it was live
// over this link. Closing a replaced link does not change the set.
func (s *Set) Leave(instance ids.Instance, link LinkID) bool {
	if s.memberOnLink(instance, link) == nil {
		return false
	}
	delete(s.members, instance)
	return true
}

// Tick removes and returns the members from which no message has been received
// for longer than the timeout. If this process was paused for at least the
// timeout since the last tick, Tick removes none, because received messages may
// still be unread. The next tick checks again.
func (s *Set) Tick(now time.Time) []Member {
	paused := !s.lastTickAt.IsZero() && now.Sub(s.lastTickAt) >= s.timeout
	s.lastTickAt = now
	if paused {
		return nil
	}
	var expired []Member
	for name, m := range s.members {
		if now.Sub(m.LastMessageAt) <= s.timeout {
			continue
		}
		expired = append(expired, *m)
		delete(s.members, name)
	}
	sortMembers(expired)
	return expired
}

// Get returns the live member with the given name, and false if there is none.
func (s *Set) Get(instance ids.Instance) (Member, bool) {
	m, ok := s.members[instance]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Live returns the live members, sorted by name.
func (s *Set) Live() []Member {
	live := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		live = append(live, *m)
	}
	sortMembers(live)
	return live
}

// memberOnLink returns the live member if link is its current link, otherwise nil.
func (s *Set) memberOnLink(instance ids.Instance, link LinkID) *Member {
	m, ok := s.members[instance]
	if !ok || m.Link != link {
		return nil
	}
	return m
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}
