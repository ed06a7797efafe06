package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
)

// refusalLife is how long a refusal holds for requests of the same kind, so that
// a flood does not cost a choice each. Untuned; well below any objective.
const refusalLife = 5 * time.Millisecond

// refusalKind says which requests are alike: those over their workspace's share
// whatever their objective, the others by it and their priority.
type refusalKind struct {
	excess    bool
	objective time.Duration
	priority  int
}

// refusal is what the last refused request of a kind was told.
type refusal struct {
	until time.Time
	rank  share.Rank
	// wait is the expected wait in the queue.
	wait time.Duration
}

func kindOf(r *Request, rank share.Rank) refusalKind {
	if rank == share.Excess {
		return refusalKind{excess: true}
	}
	return refusalKind{objective: r.Objective, priority: r.Priority}
}

func (s *service) remember(now time.Time, r *Request, rank share.Rank, wait time.Duration) {
	s.refused[kindOf(r, rank)] = refusal{until: now.Add(refusalLife), rank: rank, wait: wait}
}

// RefuseEarly tells whether a request is refused without a look at the targets,
// because one like it just was.
func (ac *Controller) RefuseEarly(now time.Time, r Request) (Verdict, bool) {
	s := ac.services[r.Service]
	if s == nil {
		return Verdict{}, false
	}
	rank := ac.rank(now, s, &r)
	v, refused := ac.refuseAsBefore(now, s, &r, rank)
	if refused {
		ac.window.Ask(now, r.Workspace, r.tokens())
	}
	return v, refused
}

// refuseAsBefore refuses a request for an engine as the last one of its kind was,
// unless its workspace stands better.
func (ac *Controller) refuseAsBefore(now time.Time, s *service, r *Request, rank share.Rank) (Verdict, bool) {
	last := s.refused[kindOf(r, rank)]
	if !s.engine() || !now.Before(last.until) || rank < last.rank {
		return Verdict{}, false
	}
	return ac.refuse(now, r, Inputs{Rank: rank, QueueWait: last.wait}), true
}

// refuse refuses a request because its targets are busy.
func (ac *Controller) refuse(now time.Time, r *Request, in Inputs) Verdict {
	v := Verdict{ID: r.ID, Refused: Saturated, Inputs: in}
	back := in.QueueWait
	if in.Rank == share.Excess {
		v.Refused = OverShare
		back = ac.window.UntilFair(now, r.Workspace)
	}
	v.RetryAfter = ac.spread(back)
	return v
}
