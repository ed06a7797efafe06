package targetlimit

import (
	"math/rand/v2"
	"time"
)

const (
	// permitLifetime is how long a permit is valid.
	permitLifetime = 200 * time.Millisecond
	// maxPermits bounds the permits that a router holds for one target.
	maxPermits = 64
)

// permits are the permits of one router for one target. They arrive as a Poisson process.
type permits struct {
	updatedAt time.Time
	// untilNext is the expected number of permits that pass until the next one arrives, of
	// which passed have.
	untilNext, passed float64
	// expireAt holds when the valid permits expire, the earliest first.
	expireAt []time.Time
}

// advance adds the permits that have arrived at the given rate since the last call, and
// removes the expired ones.
func (p *permits) advance(now time.Time, perSecond float64, random *rand.Rand) {
	elapsed := min(now.Sub(p.updatedAt), permitLifetime)
	p.updatedAt = now
	if p.untilNext == 0 {
		p.untilNext = random.ExpFloat64()
	}
	p.passed += perSecond * elapsed.Seconds()
	for p.passed >= p.untilNext {
		p.passed -= p.untilNext
		p.untilNext = random.ExpFloat64()
		if len(p.expireAt) == maxPermits {
			p.passed = 0
			break
		}
		arrivedAt := now.Add(-time.Duration(p.passed / perSecond * float64(time.Second)))
		p.expireAt = append(p.expireAt, arrivedAt.Add(permitLifetime))
	}
	expired := 0
	for expired < len(p.expireAt) && !p.expireAt[expired].After(now) {
		expired++
	}
	p.expireAt = append(p.expireAt[:0], p.expireAt[expired:]...)
}

// take removes the permit that expires first, if there is one.
func (p *permits) take() {
	if len(p.expireAt) > 0 {
		p.expireAt = append(p.expireAt[:0], p.expireAt[1:]...)
	}
}
