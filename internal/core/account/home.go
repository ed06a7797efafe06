package account

import (
	"math"
	"sort"
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// ExpireAfter is the time without a report after which a home folds a
	// reporter's part into the base. It is less than EvictAfter, so that a router
	// never restarts a counter while its home still has the old one.
	ExpireAfter = 40 * time.Second
	// backlogTimeout is how long a reported backlog is considered current.
	backlogTimeout = 3 * time.Second
)

// Reporter identifies an incarnation of a router.
type Reporter struct {
	Instance    ids.Instance
	Incarnation uint32
}

// Home sums the reported units of the accounts whose home is this router.
type Home struct {
	accounts map[Key]*fleetAccount
	// pendingResponses are the accounts to include in the next response to each router.
	pendingResponses map[ids.Instance]*pendingResponse
}

// pendingResponse lists the accounts of one response to a router's incarnation.
type pendingResponse struct {
	incarnation uint32
	keys        []Key
}

// fleetAccount is one account summed over the fleet: the base plus the growth of
// each part since its first report.
type fleetAccount struct {
	base         float64
	parts        map[Reporter]*reporterPart
	growth       float64
	lastReportAt time.Time
}

// reporterPart is the units that one incarnation of a router has reported.
// startUnits is the value in its first report, which the base already includes.
type reporterPart struct {
	units, startUnits uint64
	backlogged        bool
	lastReportAt      time.Time
	// queuedIn is the pending response that already has the account.
	queuedIn *pendingResponse
}

// NewHome returns a home without accounts.
func NewHome() *Home {
	return &Home{accounts: map[Key]*fleetAccount{}, pendingResponses: map[ids.Instance]*pendingResponse{}}
}

// Len returns the number of accounts.
func (h *Home) Len() int { return len(h.accounts) }

// Total returns the service units of an account over the fleet, including lifts.
func (h *Home) Total(k Key) float64 {
	s := h.accounts[k]
	if s == nil {
		return 0
	}
	return s.total()
}

func (s *fleetAccount) total() float64 { return s.base + s.growth }

// raise makes the total at least level. It is a maximum and therefore idempotent.
func (s *fleetAccount) raise(level float64) {
	s.base = math.Max(s.base, level-s.growth)
}

// Merge merges a report. Malformed reports are ignored.
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
	s := h.accounts[k]
	if s == nil {
		s = &fleetAccount{parts: map[Reporter]*reporterPart{}}
		h.accounts[k] = s
	}
	s.lastReportAt = now
	p := s.parts[from]
	sync := state&schedv1.AccountState_SYNC != 0
	if p == nil {
		p = &reporterPart{units: units, startUnits: units}
		s.parts[from] = p
		if sync && level <= units {
			// No home has answered this router about the account, so no other
			// router's level includes these units.
			p.startUnits = 0
			s.growth += float64(units)
		}
	}
	if units > p.units {
		s.growth += float64(units - p.units)
		p.units = units
	}
	lift := state&schedv1.AccountState_LIFT != 0 && !s.isBackloggedElsewhere(now, from)
	if sync || lift {
		s.raise(float64(level))
	}
	p.backlogged = state&schedv1.AccountState_BACKLOGGED != 0
	p.lastReportAt = now
	if state != schedv1.AccountState_IDLE {
		h.queueResponse(from, k, p)
	}
}

// isBackloggedElsewhere reports whether requests of the account wait at another
// router. In that case the account is not idle over the fleet and must not be
// lifted.
func (s *fleetAccount) isBackloggedElsewhere(now time.Time, excluded Reporter) bool {
	for r, p := range s.parts {
		if r != excluded && p.backlogged && now.Sub(p.lastReportAt) < backlogTimeout {
			return true
		}
	}
	return false
}

// Responses returns the totals for each router that has reported since the last
// call. Only the incarnation that reported last is answered.
func (h *Home) Responses() map[ids.Instance]*schedv1.Totals {
	out := make(map[ids.Instance]*schedv1.Totals, len(h.pendingResponses))
	for name, a := range h.pendingResponses {
		out[name] = h.totalsFor(Reporter{Instance: name, Incarnation: a.incarnation}, a.keys)
	}
	clear(h.pendingResponses)
	return out
}

func (h *Home) totalsFor(r Reporter, keys []Key) *schedv1.Totals {
	t := &schedv1.Totals{To: r.Incarnation}
	for _, k := range keys {
		s := h.accounts[k]
		if s == nil || s.parts[r] == nil {
			continue
		}
		p := s.parts[r]
		t.Keys = append(t.Keys, uint64(k))
		t.Others = append(t.Others, uint64(math.Round(math.Max(0, s.total()-float64(p.units)))))
	}
	return t
}

// queueResponse includes an account in the next response to a reporter.
func (h *Home) queueResponse(r Reporter, k Key, p *reporterPart) {
	a := h.pendingResponses[r.Instance]
	if a == nil || a.incarnation != r.Incarnation {
		a = &pendingResponse{incarnation: r.Incarnation}
		h.pendingResponses[r.Instance] = a
	}
	if p.queuedIn != a {
		p.queuedIn = a
		a.keys = append(a.keys, k)
	}
}

// Expire folds the parts of reporters without a report for ExpireAfter into the
// base, and drops accounts without any report for as long.
func (h *Home) Expire(now time.Time) {
	for k, s := range h.accounts {
		if now.Sub(s.lastReportAt) > ExpireAfter {
			delete(h.accounts, k)
			continue
		}
		s.foldExpired(now)
	}
}

// foldExpired folds the parts of expired reporters into the base in a fixed order, so
// that sums of fractions do not depend on the order of the map.
func (s *fleetAccount) foldExpired(now time.Time) {
	var expired []Reporter
	for r, p := range s.parts {
		if now.Sub(p.lastReportAt) > ExpireAfter {
			expired = append(expired, r)
		}
	}
	sort.Slice(expired, func(i, j int) bool {
		if expired[i].Instance != expired[j].Instance {
			return expired[i].Instance < expired[j].Instance
		}
		return expired[i].Incarnation < expired[j].Incarnation
	})
	for _, r := range expired {
		p := s.parts[r]
		d := float64(p.units - p.startUnits)
		s.growth -= d
		s.base += d
		delete(s.parts, r)
	}
}
