package replay

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
)

// An engine gets at most limitFactor times what its limit allows and limitExtra more
// requests within limitWindow, from limitLearnTime after it first named the limit.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitExtra     = 5
	limitLearnTime = 3 * time.Second
)

// engineLimit is the limit that an engine names, and when requests reach it.
type engineLimit struct {
	arrivedAt []time.Duration
	perSecond float64
	// firstNamedAt is when the engine first named the limit, lastNamedAt when it last did.
	firstNamedAt, lastNamedAt time.Duration
}

// nameLimit delivers to the router what the engine's response says of its limit.
func (s *simulation) nameLimit(j *job) {
	if s.pattern.Limit == nil {
		return
	}
	perSecond := s.pattern.Limit(j.engine, s.now)
	if l := &s.limits[j.engine]; perSecond > 0 {
		if l.perSecond == 0 {
			l.perSecond, l.firstNamedAt = perSecond, s.now
		}
		l.lastNamedAt = s.now
	}
	s.routers[j.req.router].targetStated(s.virtualTime(), j.req.ID, admit.Statement{Limit: targetlimit.Statement{PerSecond: perSecond}})
}

// mostOver returns the most requests beyond the allowed ones that the engine got within
// limitWindow.
func (l *engineLimit) mostOver() float64 {
	if l.perSecond == 0 {
		return 0
	}
	allowed, most := limitFactor*l.perSecond*limitWindow.Seconds()+limitExtra, 0.0
	for i, at := range l.arrivedAt {
		if at < l.firstNamedAt+limitLearnTime || at+limitWindow > l.lastNamedAt {
			continue
		}
		end, _ := slices.BinarySearch(l.arrivedAt, at+limitWindow)
		most = max(most, float64(end-i)-allowed)
	}
	return most
}
