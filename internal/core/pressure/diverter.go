package pressure

import "time"

const (
	// reliefShare is the refused share from which an instance asks for relief: half of
	// its load or more would be better off elsewhere. Untuned.
	reliefShare = 0.5
	// reliefAfter is how long it must have refused that much: several observations, so
	// that a short burst is just refused. Untuned.
	reliefAfter = time.Second
	// reliefFor is how long it takes no new connections then, and longer while it still
	// refuses that much: several times the one or two seconds that a balancer's health
	// checks take to notice. Untuned.
	reliefFor = 5 * time.Second
)

// Diverter decides when an instance that falls behind takes no new connections, so
// that callers come to others. The zero value takes them.
//
// It answers the load where callers who stay with one instance ask it for many times
// what it carries: refusing them costs it most of its processor, and those who come
// back on a new connection come to it again.
type Diverter struct {
	// over is when the refused share rose above the bound, zero while it is below.
	over  time.Time
	until time.Time
}

// Observe takes the share of requests that is refused, and tells whether new
// connections should go elsewhere.
func (r *Diverter) Observe(now time.Time, refused float64) bool {
	switch {
	case refused < reliefShare:
		r.over = time.Time{}
	case r.over.IsZero():
		r.over = now
	}
	if now.Before(r.until) {
		return true
	}
	if r.over.IsZero() || now.Sub(r.over) < reliefAfter {
		return false
	}
	r.until = now.Add(reliefFor)
	return true
}
