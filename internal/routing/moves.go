package routing

import (
	"maps"
	"strings"
	"time"
)

// Moves remembers which routes had other services a short time ago: a stream that a request
// on such a route resumes may have begun at one of those. It is immutable.
type Moves struct {
	ttl time.Duration
	// movedAt is when a route last changed its services.
	movedAt map[routeKey]time.Time
}

// routeKey identifies a route across configurations.
type routeKey struct{ host, prefix string }

func (r *Route) key() routeKey { return routeKey{host: strings.ToLower(r.Host), prefix: r.Prefix} }

// NewMoves returns the moves of a first configuration, which are remembered for ttl.
func NewMoves(ttl time.Duration) *Moves { return &Moves{ttl: ttl} }

// After returns the moves after a configuration has been replaced.
func (m *Moves) After(now time.Time, before, after *Table) *Moves {
	next := &Moves{ttl: m.ttl, movedAt: maps.Clone(m.movedAt)}
	maps.DeleteFunc(next.movedAt, func(_ routeKey, at time.Time) bool { return now.Sub(at) > m.ttl })
	for old := range before.routes {
		r := after.Find(old.Host, old.Prefix)
		if r == nil {
			// It may return with other services.
			next.set(old.key(), now)
			continue
		}
		// Its requests go to another route if it was removed.
		next.record(now, old, r)
	}
	for r := range after.routes {
		// If it was added, its requests went to another route.
		next.record(now, before.Find(r.Host, r.Prefix), r)
	}
	return next
}

// record records that requests of an old route, nil for none, go to another one from now on.
func (m *Moves) record(now time.Time, old, r *Route) {
	if old == nil {
		return
	}
	at, moved := m.movedAt[old.key()]
	if !old.hasSameServices(r) {
		at, moved = now, true
	}
	if moved && at.After(m.movedAt[r.key()]) {
		m.set(r.key(), at)
	}
}

func (m *Moves) set(key routeKey, at time.Time) {
	if m.movedAt == nil {
		m.movedAt = make(map[routeKey]time.Time)
	}
	m.movedAt[key] = at
}

// HasMoved reports whether requests of the route may have gone to other services within the
// time for which moves are remembered.
func (m *Moves) HasMoved(now time.Time, r *Route) bool {
	at, moved := m.movedAt[r.key()]
	return moved && now.Sub(at) <= m.ttl
}

// hasSameServices reports whether both routes have the same services, whatever their weights.
func (r *Route) hasSameServices(other *Route) bool {
	return maps.Equal(r.services(), other.services())
}

func (r *Route) services() map[string]bool {
	names := make(map[string]bool, len(r.Split))
	for _, s := range r.Split {
		names[s.Service] = true
	}
	return names
}
