package quarantine

import (
	"time"
)

// A part is a piece of a prompt that many requests can share. It has a fingerprint in the
// Table as a request has. Requests with a part in common are otherwise different, so that
// none of them crashes many targets itself.

// partBit is set in the fingerprints of parts and not in those of requests.
const partBit = 1 << 63

// PartFingerprint returns the fingerprint of a part from a hash of it.
func PartFingerprint(hash uint64) uint64 { return hash | partBit }

// RequestFingerprint returns the fingerprint of a request from a hash of it.
func RequestFingerprint(hash uint64) uint64 { return hash &^ partBit }

// IsPart reports whether a fingerprint is that of a part.
func IsPart(fp uint64) bool { return fp&partBit != 0 }

const (
	// partDeaths is the number of deaths from which requests with a part are refused. A part
	// without guilt is rarely at so many targets that die before an answer begins on it.
	partDeaths = 3
	// partBlockTime is how long these requests are refused after the last of partDeaths
	// deaths. Each further death doubles it.
	partBlockTime = time.Minute
	// SoundTime is how long a part counts as sound after an answer began on it.
	SoundTime = time.Second
	// maxSoundParts bounds the parts of which the last answer is remembered.
	maxSoundParts = 1 << 14
)

// IsPartBlocked reports whether requests with a part are to be refused. Spread, from 0 to 1,
// differs between routers and lengthens the time by up to half, so that they do not all let
// such requests pass again at once.
func (t *Table) IsPartBlocked(part uint64, now time.Time, spread float64) bool {
	s := t.suspects[part]
	if s == nil {
		return false
	}
	deaths, _, lastMS := s.countDeaths(func(c Crash) bool { return t.isExpired(c.AtMS, now) })
	if deaths < partDeaths {
		return false
	}
	block := partBlockTime << min(deaths-partDeaths, maxCrashesPerFingerprint)
	return now.Before(time.UnixMilli(lastMS).Add(block + time.Duration(spread*float64(block)/2)))
}

// Has reports whether a fingerprint has crashes that are not cleared.
func (t *Table) Has(fp uint64) bool {
	s := t.suspects[fp]
	if s == nil {
		return false
	}
	for _, c := range s.crashes {
		if !c.Cleared {
			return true
		}
	}
	return false
}

// SoundParts remembers when an answer last began on each part. The zero value is ready for
// use. It is not safe for concurrent use.
type SoundParts struct {
	lastAt map[uint64]time.Time
}

// Record records that an answer began on a part.
func (s *SoundParts) Record(part uint64, now time.Time) {
	if s.lastAt == nil {
		s.lastAt = make(map[uint64]time.Time)
	}
	if _, known := s.lastAt[part]; known || len(s.lastAt) < maxSoundParts {
		s.lastAt[part] = now
	}
}

// IsSound reports whether an answer began on a part within SoundTime.
func (s *SoundParts) IsSound(part uint64, now time.Time) bool {
	at, known := s.lastAt[part]
	return known && now.Sub(at) <= SoundTime
}

// Expire forgets the parts that do not count as sound any more.
func (s *SoundParts) Expire(now time.Time) {
	for part, at := range s.lastAt {
		if now.Sub(at) > SoundTime {
			delete(s.lastAt, part)
		}
	}
}
