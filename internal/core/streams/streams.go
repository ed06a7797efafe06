// Package streams remembers the service and the software version of the target at which
// each recent stream began, so that the stream goes on only there, also when its caller
// resumes it at another router. It is a deterministic state machine without I/O or clock.
//
// Invariants: an origin is forgotten, never guessed, when its time has passed or the table is
// full. That all streams of a service began at one version is claimed only if the list of
// versions has been current throughout TTL: while it is not, streams may begin at versions
// that were never listed here. The caller makes sure that the list is newer than the streams
// in question. All notes on a stream name the origin of its first event; if two differ, as
// those of routers of an earlier release may, the origin is unknown.
package streams

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long the origin of a stream is remembered. It is above the time for which
	// callers resume one.
	TTL = 30 * time.Second
	// maxStreams bounds the streams that are remembered.
	maxStreams = 32768
	// maxNotes bounds the notes that are returned at a time.
	maxNotes = 1024
)

// ID identifies a stream: a hash of the caller's request that began it.
type ID uint64

// NewID returns the ID of the stream that a caller's request began.
func NewID(request string) ID { return ID(xxhash.Sum64String(request)) }

// Origin is where a stream began, and where alone it may go on.
type Origin struct {
	Service string
	// Version is the software version of the target.
	Version string
}

// Note states where a stream began.
type Note struct {
	Stream ID
	Origin
}

type timedNote struct {
	Note
	at time.Time
	// isDisputed is set if another note on the stream names another origin.
	isDisputed bool
}

// Table holds the origins of the recent streams of this router and of those whose notes it
// receives.
type Table struct {
	// remembersSince is the time from which on the table knows which versions were listed.
	remembersSince time.Time
	// listedAt is the latest time as of which the list is known to be complete, zero if none.
	// A list that is older than maxListAge is not current.
	listedAt   time.Time
	maxListAge time.Duration
	origins    map[ID]timedNote
	// order holds the notes in the order in which they were added, from first on.
	order []timedNote
	first int
	// services holds the services with targets or with own streams.
	services map[string]*service
	// unsent are notes of own streams to send whatever their service lists.
	unsent []timedNote
}

type service struct {
	// listed are the software versions that are listed, lastListed those that were.
	listed     map[string]bool
	lastListed map[string]time.Time
	// unsent are the notes of own streams that are sent once the service lists a second
	// version.
	unsent []timedNote
}

// New returns an empty table that remembers the listed versions from a time on. A list older
// than maxListAge is not current.
func New(remembersSince time.Time, maxListAge time.Duration) *Table {
	return &Table{remembersSince: remembersSince, maxListAge: maxListAge, origins: make(map[ID]timedNote), services: make(map[string]*service)}
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{lastListed: make(map[string]time.Time)}
		t.services[name] = s
	}
	return s
}

// SetListed replaces the versions that are listed, by service.
func (t *Table) SetListed(now time.Time, listed map[string]map[string]bool) {
	for name := range listed {
		t.service(name)
	}
	for name, s := range t.services {
		for version := range s.listed {
			s.lastListed[version] = now
		}
		s.listed = listed[name]
	}
}

// Versions returns the software versions at which streams of the service may have begun: those
// that are listed, or were within TTL.
func (t *Table) Versions(now time.Time, name string) []string {
	s := t.services[name]
	if s == nil {
		return nil
	}
	versions := slices.Collect(maps.Keys(s.listed))
	for version, at := range s.lastListed {
		switch {
		case now.Sub(at) > TTL:
			delete(s.lastListed, version)
		case !s.listed[version]:
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// IsMixed reports whether streams of the service may have begun at different versions.
func (t *Table) IsMixed(now time.Time, name string) bool { return len(t.Versions(now, name)) > 1 }

// RecordComplete records that the list of versions is complete as of a time. If it has not
// been current until then, versions may have come and gone in between. A time of long ago
// does not make the list current and has no effect.
func (t *Table) RecordComplete(now, at time.Time) {
	if now.Sub(at) > t.maxListAge {
		return
	}
	if !t.listedAt.IsZero() && now.Sub(t.listedAt) > t.maxListAge {
		t.remembersSince = now
	}
	if at.After(t.listedAt) {
		t.listedAt = at
	}
}

// IsCurrent reports whether the list of versions is recent.
func (t *Table) IsCurrent(now time.Time) bool {
	return !t.listedAt.IsZero() && now.Sub(t.listedAt) <= t.maxListAge
}

// RemembersSince returns the time from which on the table knows which versions were listed.
func (t *Table) RemembersSince() time.Time { return t.remembersSince }

// RemembersListed reports whether the table knows all versions that were listed within TTL.
func (t *Table) RemembersListed(now time.Time) bool {
	return t.IsCurrent(now) && now.Sub(t.remembersSince) >= TTL
}

// Mixed returns the services of which streams may have begun at different versions.
func (t *Table) Mixed(now time.Time) []string {
	var mixed []string
	for name := range t.services {
		if t.IsMixed(now, name) {
			mixed = append(mixed, name)
		}
	}
	slices.Sort(mixed)
	return mixed
}

// RecordOwn records where a stream of this router began. Its note is sent at once
// if isSplit is set, which means that the route has several services, otherwise once the
// service is mixed.
func (t *Table) RecordOwn(now time.Time, n Note, isSplit bool) {
	t.Record(now, n)
	unsent := &t.service(n.Service).unsent
	if isSplit {
		unsent = &t.unsent
	}
	*unsent = dropExpired(*unsent, now)
	if len(*unsent) < maxStreams {
		*unsent = append(*unsent, timedNote{Note: n, at: now})
	}
}

// Record records a note of a peer. Its version counts as listed: the peer has listed it.
func (t *Table) Record(now time.Time, n Note) {
	if s := t.services[n.Service]; s != nil {
		s.lastListed[n.Version] = now
	}
	noted := timedNote{Note: n, at: now}
	if before, known := t.origins[n.Stream]; known && now.Sub(before.at) <= TTL {
		noted.isDisputed = before.isDisputed || before.Origin != n.Origin
	}
	t.origins[n.Stream] = noted
	t.order = append(t.order, noted)
	t.expire(now)
}

// expire forgets the streams that are older than TTL, and the oldest ones if there are too
// many.
func (t *Table) expire(now time.Time) {
	for t.first < len(t.order) {
		oldest := t.order[t.first]
		if len(t.order)-t.first <= maxStreams && now.Sub(oldest.at) <= TTL {
			break
		}
		t.first++
		if t.origins[oldest.Stream] == oldest {
			delete(t.origins, oldest.Stream)
		}
	}
	if t.first > len(t.order)/2 {
		t.order = append(t.order[:0], t.order[t.first:]...)
		t.first = 0
	}
}

// Origin returns where a stream began, or false if that is unknown.
func (t *Table) Origin(now time.Time, id ID) (Origin, bool) {
	n, ok := t.origins[id]
	if !ok || n.isDisputed || now.Sub(n.at) > TTL {
		return Origin{}, false
	}
	return n.Origin, true
}

// TakeNotes returns notes to send to peers, each once.
func (t *Table) TakeNotes(now time.Time) []Note {
	notes, rest := takeNotes(nil, t.unsent, now)
	t.unsent = rest
	for name, s := range t.services {
		if len(s.unsent) > 0 && t.IsMixed(now, name) {
			notes, s.unsent = takeNotes(notes, s.unsent, now)
		}
	}
	return notes
}

// takeNotes moves unsent notes to notes, which hold maxNotes at most.
func takeNotes(notes []Note, unsent []timedNote, now time.Time) (taken []Note, rest []timedNote) {
	unsent = dropExpired(unsent, now)
	n := min(len(unsent), maxNotes-len(notes))
	for _, u := range unsent[:n] {
		notes = append(notes, u.Note)
	}
	return notes, append(unsent[:0], unsent[n:]...)
}

// dropExpired removes the notes that are older than TTL. The oldest one comes first.
func dropExpired(notes []timedNote, now time.Time) []timedNote {
	n := 0
	for n < len(notes) && now.Sub(notes[n].at) > TTL {
		n++
	}
	if n == 0 {
		return notes
	}
	return append(notes[:0], notes[n:]...)
}
