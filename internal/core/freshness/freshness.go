// Package freshness tracks as of when state is complete, that is, has all changes that its source
// had acknowledged by then. Evidence is a read of the source, by this process or by a peer that claims it. It is a
// deterministic state machine without I/O or clock.
//
// A claim arrives later than it was true, by what its way took and is not known, so that its time seems
// later than that of the read. Processes pass claims on and get them back. Invariant: of all claims about
// one read the earliest counts, so that a read does not grow younger while it is passed on.
package freshness

import "time"

// forgetAfter is how much older than the latest read the last read of a process is forgotten. It is far
// above the age at which state is read again.
const forgetAfter = time.Minute

// Read identifies a read of the source.
type Read struct {
	// Origin identifies the process that read, 0 if that is unknown.
	Origin uint64
	// Number orders the reads of the process.
	Number uint64
}

// Claim says that state is complete as of a time, by a read.
type Claim struct {
	Read
	At time.Time
}

// Later returns the later of two claims, and the earlier one if both are about the same read.
func Later(a, b Claim) Claim {
	if a.Origin != 0 && a.Read == b.Read {
		if b.At.Before(a.At) {
			return b
		}
		return a
	}
	if b.At.After(a.At) {
		return b
	}
	return a
}

// Freshness is the evidence of one process about one kind of state. The zero value has none. It is
// not safe for concurrent use.
type Freshness struct {
	// reads has the latest read of each process, with the earliest time claimed for it.
	reads map[uint64]Claim
	// unnamed is the latest claim that does not name its read.
	unnamed Claim
	latest  Claim
}

// Latest returns the latest claim, the zero Claim if there is none.
func (f *Freshness) Latest() Claim { return f.latest }

// Record records a claim.
func (f *Freshness) Record(c Claim) {
	if c.Origin == 0 {
		f.unnamed = Later(f.unnamed, c)
		f.latest = Later(f.latest, f.unnamed)
		return
	}
	known, isKnown := f.reads[c.Origin]
	if isKnown && (c.Number < known.Number || c.Number == known.Number && !c.At.Before(known.At)) {
		return
	}
	if !isKnown {
		f.forget(c.At)
	}
	f.reads[c.Origin] = c
	if isKnown && f.latest.Origin == c.Origin {
		// The time of the latest read may have become an earlier one.
		f.latest = f.unnamed
		for _, r := range f.reads {
			f.latest = Later(f.latest, r)
		}
		return
	}
	f.latest = Later(f.latest, c)
}

// forget makes room for the reads of another process.
func (f *Freshness) forget(now time.Time) {
	if f.reads == nil {
		f.reads = make(map[uint64]Claim)
	}
	for origin, r := range f.reads {
		if now.Sub(r.At) > forgetAfter {
			delete(f.reads, origin)
		}
	}
}
