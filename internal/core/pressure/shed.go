package pressure

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// countWindow is the time over which a workspace's requests are counted. It moves
	// on by half its length at a time.
	countWindow = time.Second
	// levelTTL is how long a computed level is used, so that under a flood it is not
	// recomputed with each request.
	levelTTL = 50 * time.Millisecond
)

// Shedder decides which requests an overloaded instance refuses: those of the
// workspaces with the most requests, so that the other workspaces are served. The zero
// value is ready for use.
type Shedder struct {
	// current and previous count the requests in this half of the window, which started
	// at currentSince, and in the half before it.
	current, previous map[ids.Workspace]float64
	currentSince      time.Time

	// level is the number of requests in the window up to which all of a workspace's
	// requests are accepted, as of levelAt.
	level   float64
	levelAt time.Time
}

// ShouldRefuse counts a request and reports whether to refuse it, where refused is the
// share of all requests to refuse. Draw is a random number in [0, 1).
func (s *Shedder) ShouldRefuse(now time.Time, ws ids.Workspace, refused, draw float64) bool {
	s.rotate(now)
	s.current[ws]++
	if refused <= 0 {
		return false
	}
	if now.Sub(s.levelAt) > levelTTL {
		s.level, s.levelAt = s.fairLevel(1-refused), now
	}
	return draw < 1-s.level/(s.current[ws]+s.previous[ws])
}

// fairLevel returns the number of requests up to which all requests of a workspace are
// accepted if the given share of all requests is.
func (s *Shedder) fairLevel(acceptedShare float64) float64 {
	demands := make([]float64, 0, len(s.current)+len(s.previous))
	total := 0.0
	for ws, n := range s.current {
		demands = append(demands, n+s.previous[ws])
		total += n + s.previous[ws]
	}
	for ws, n := range s.previous {
		if _, isCurrent := s.current[ws]; !isCurrent {
			demands = append(demands, n)
			total += n
		}
	}
	return share.MaxMinLevel(demands, acceptedShare*total)
}

// rotate starts a new half of the window when the current one is over.
func (s *Shedder) rotate(now time.Time) {
	switch age := now.Sub(s.currentSince); {
	case s.current == nil || age >= countWindow:
		s.current, s.previous, s.currentSince = make(map[ids.Workspace]float64), nil, now
	case age >= countWindow/2:
		s.current, s.previous, s.currentSince = make(map[ids.Workspace]float64), s.current, now
	}
}
