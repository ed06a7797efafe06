package account

import (
	"math"
	"sort"
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// ForgetAfter is the silence after which a home folds a reporter's part
	// into the base; less than EvictAfter, so that a router never starts a
	// counter anew while its home still knows the old one.
	ForgetAfter = 40 * time.Second
	// backlogFor is how long a report of a backlog counts.
	backlogFor = 3 * time.Second
)

// Reporter names an incarnation of a router.
type Reporter struct {
	Instance    ids.Instance
	Incarnation uint32
}

// Home sums the accounts whose home this router is.
type Home struct {
	keys map[Key]*sum
	// asked are the accounts about which each router is to be answered.
	asked map[ids.Instance]*asks
}

type asks struct {
	incarnation uint32
	keys        []Key
}

// sum is one account over the fleet: base plus the parts' growth since each
// was first heard.
type sum struct {
	base  float64
	parts map[Reporter]*part
	grown float64
	heard time.Time
}

// part is what one incarnation reported. start is what it had when first heard
// and is counted in the base already.
type part struct {
	units, start uint64
	backlogged   bool
	heard        time.Time
	// asked is the round of answers that has the account already.
	asked *asks
}

// NewHome returns a home that knows nothing.
func NewHome() *Home {
	return &Home{keys: map[Key]*sum{}, asked: map[ids.Instance]*asks{}}
}

// Len returns the number of accounts known.
func (h *Home) Len() int { return len(h.keys) }

// Total returns the service of an account over the fleet, lifts included.
func (h *Home) Total(k Key) float64 {
	s := h.keys[k]
	if s == nil {
		return 0
	}
	return s.total()
}

func (s *sum) total() float64 { return s.base + s.grown }

// raise makes the total at least level. Being a maximum it is idempotent.
func (s *sum) raise(level float64) {
	s.base = math.Max(s.base, level-s.grown)
}

// Merge takes in a report; malformed ones are ignored.
func (h *Home) Merge(now time.Time, from Reporter, r *schedv1.Report) {
	n := len(r.GetKeys())
	if len(r.GetUnits()) != n || len(r.GetStates()) != n {
		return
	}
	levels := r.GetLevels()
	for i, k := range r.GetKeys() {
		state := schedv1.AccountState(r.GetStates()[i])
		level := uint64(0)
		if state&(schedv1.AccountState_LIFT|schedv1.AccountState_SYNC) != 0 {
			if len(levels) == 0 {
				return
			}
			level, levels = levels[0], levels[1:]
		}
		h.merge(now, from, Key(k), r.GetUnits()[i], state, level)
	}
}

func (h *Home) merge(now time.Time, from Reporter, k Key, units uint64, state schedv1.AccountState, level uint64) {
	s := h.keys[k]
	if s == nil {
		s = &sum{parts: map[Reporter]*part{}}
		h.keys[k] = s
	}
	s.heard = now
	p := s.parts[from]
	sync := state&schedv1.AccountState_SYNC != 0
	if p == nil {
		p = &part{units: units, start: units}
		s.parts[from] = p
		if sync && level <= units {
			// Never answered by any home: nothing of it is in another's level.
			p.start = 0
			s.grown += float64(units)
		}
	}
	if units > p.units {
		s.grown += float64(units - p.units)
		p.units = units
	}
	lift := state&schedv1.AccountState_LIFT != 0 && !s.backloggedElsewhere(now, from)
	if sync || lift {
		s.raise(float64(level))
	}
	p.backlogged = state&schedv1.AccountState_BACKLOGGED != 0
	p.heard = now
	if state != schedv1.AccountState_IDLE {
		h.ask(from, k, p)
	}
}

// backloggedElsewhere tells whether another router has requests waiting; then
// the account is not idle over the fleet and must not be lifted.
func (s *sum) backloggedElsewhere(now time.Time, but Reporter) bool {
	for r, p := range s.parts {
		if r != but && p.backlogged && now.Sub(p.heard) < backlogFor {
			return true
		}
	}
	return false
}

// Answers returns the totals for each router heard since the last call. Only
// the incarnation heard last is answered.
func (h *Home) Answers() map[ids.Instance]*schedv1.Totals {
	out := make(map[ids.Instance]*schedv1.Totals, len(h.asked))
	for name, a := range h.asked {
		out[name] = h.answer(Reporter{Instance: name, Incarnation: a.incarnation}, a.keys)
	}
	clear(h.asked)
	return out
}

func (h *Home) answer(r Reporter, keys []Key) *schedv1.Totals {
	t := &schedv1.Totals{To: r.Incarnation}
	for _, k := range keys {
		s := h.keys[k]
		if s == nil || s.parts[r] == nil {
			continue
		}
		p := s.parts[r]
		t.Keys = append(t.Keys, uint64(k))
		t.Others = append(t.Others, uint64(math.Round(math.Max(0, s.total()-float64(p.units)))))
	}
	return t
}

// ask notes that a reporter is to be answered about an account.
func (h *Home) ask(r Reporter, k Key, p *part) {
	a := h.asked[r.Instance]
	if a == nil || a.incarnation != r.Incarnation {
		a = &asks{incarnation: r.Incarnation}
		h.asked[r.Instance] = a
	}
	if p.asked != a {
		p.asked = a
		a.keys = append(a.keys, k)
	}
}

// Forget folds silent reporters into the base and drops idle accounts.
func (h *Home) Forget(now time.Time) {
	for k, s := range h.keys {
		if now.Sub(s.heard) > ForgetAfter {
			delete(h.keys, k)
			continue
		}
		s.fold(now)
	}
}

func (s *sum) fold(now time.Time) {
	var gone []Reporter
	for r, p := range s.parts {
		if now.Sub(p.heard) > ForgetAfter {
			gone = append(gone, r)
		}
	}
	sort.Slice(gone, func(i, j int) bool {
		if gone[i].Instance != gone[j].Instance {
			return gone[i].Instance < gone[j].Instance
		}
		return gone[i].Incarnation < gone[j].Incarnation
	})
	for _, r := range gone {
		p := s.parts[r]
		d := float64(p.units - p.start)
		s.grown -= d
		s.base += d
		delete(s.parts, r)
	}
}
