package pressure

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// Untuned first values.
const (
	// shedWindow is the time over which a workspace's requests are counted.
	shedWindow = time.Second
	// levelLife is how long a level holds, so that a flood does not cost one each.
	levelLife = 50 * time.Millisecond
)

// Shedder decides whose requests an instance that can't keep up refuses: those of
// the workspaces that ask it for most, so that the others beside them are served.
// The zero value is ready.
type Shedder struct {
	// current and previous count the requests of this half of the window, which
	// began then, and of the one before it.
	current, previous map[ids.Workspace]float64
	began             time.Time

	// level is the number of requests in the window up to which all of a
	// workspace's are taken, as of levelAt.
	level   float64
	levelAt time.Time
}

// ShouldRefuse counts a request and tells whether it is to be refused, where refused is the
// share of all requests that is. Draw is a random number in [0, 1).
func (s *Shedder) ShouldRefuse(now time.Time, ws ids.Workspace, refused, draw float64) bool {
	s.turn(now)
	s.current[ws]++
	if refused <= 0 {
		return false
	}
	if now.Sub(s.levelAt) > levelLife {
		s.level, s.levelAt = s.levelOf(1-refused), now
	}
	return draw < 1-s.level/(s.current[ws]+s.previous[ws])
}

// levelOf is the number of requests up to which a workspace's are all taken, where
// that share of all is.
func (s *Shedder) levelOf(taken float64) float64 {
	demands := make([]float64, 0, len(s.current)+len(s.previous))
	total := 0.0
	for ws, n := range s.current {
		demands = append(demands, n+s.previous[ws])
		total += n + s.previous[ws]
	}
	for ws, n := range s.previous {
		if _, known := s.current[ws]; !known {
			demands = append(demands, n)
			total += n
		}
	}
	return share.MaxMinLevel(demands, taken*total)
}

func (s *Shedder) turn(now time.Time) {
	switch age := now.Sub(s.began); {
	case s.current == nil || age >= shedWindow:
		s.current, s.previous, s.began = make(map[ids.Workspace]float64), nil, now
	case age >= shedWindow/2:
		s.current, s.previous, s.began = make(map[ids.Workspace]float64), s.current, now
	}
}
