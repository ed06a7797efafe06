package admit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/core/share"
)

// refusalTTL is how long a refusal applies to requests of the same kind, so that under
// a flood not every request incurs the choice of a target. It is well below any
// objective. It is longer on an overloaded router, whose processor time it saves.
const (
	refusalTTL         = 5 * time.Millisecond
	overloadRefusalTTL = 25 * time.Millisecond
)

// noRegionRetryAfter is the Retry-After of a request for which no target is listed in a
// region that it may use. That lasts until targets register or the operator changes the
// configuration, so the longest Retry-After applies.
const noRegionRetryAfter = maxRetryAfter

// refusalKind groups requests that are refused alike: all those beyond their
// workspace's fair share, the others by objective and priority.
type refusalKind struct {
	excess    bool
	objective time.Duration
	priority  int
	// regions is a hash of the allowed regions, 0 for all. That the targets of some regions
	// are busy says nothing of the others.
	regions uint64
}

// refusal is the outcome of the last refused request of a kind.
type refusal struct {
	at   time.Time
	rank share.Rank
	// wait is the expected time in the queue.
	wait time.Duration
}

func refusalKindOf(r *Request, rank share.Rank) refusalKind {
	if rank == share.Excess {
		return refusalKind{excess: true, regions: hashRegions(r.Regions)}
	}
	return refusalKind{objective: r.Objective, priority: r.Priority, regions: hashRegions(r.Regions)}
}

// hashRegions returns a hash of allowed regions, which depends on their order, 0 for all
// regions.
func hashRegions(regions []string) uint64 {
	if regions == nil {
		return 0
	}
	hash := uint64(1)
	for _, region := range regions {
		hash = rendezvous.Mix(hash ^ hashString(region))
	}
	return hash
}

// recordRefusal records a refusal for requests of the same kind. One of a request that
// requires a software version says nothing about the other versions' targets.
func (s *service) recordRefusal(now time.Time, r *Request, rank share.Rank, wait time.Duration) {
	if r.KeepsVersion {
		return
	}
	s.recentRefusals[refusalKindOf(r, rank)] = refusal{at: now, rank: rank, wait: wait}
}

// RefuseEarly reports whether a request is refused without evaluating the targets
// because a request of the same kind has just been refused, and returns the verdict.
// On an overloaded router that holds for longer.
func (ac *Controller) RefuseEarly(now time.Time, r Request, isOverloaded bool) (Verdict, bool) {
	s := ac.services[r.Service]
	if s == nil {
		return Verdict{}, false
	}
	rank, ttl := ac.rank(now, s, &r), refusalTTL
	if isOverloaded {
		ttl = overloadRefusalTTL
	}
	v, refused := ac.refuseRepeated(now, s, &r, rank, ttl)
	if refused {
		ac.window.RecordRequested(now, r.Workspace, r.weightedTokens())
		s.limits.RecordRequest(now, demandOf(rank))
	}
	return v, refused
}

// refuseRepeated refuses a request for an engine as the last one of its kind was
// refused, less than ttl ago, unless the workspace has a better rank.
func (ac *Controller) refuseRepeated(now time.Time, s *service, r *Request, rank share.Rank, ttl time.Duration) (Verdict, bool) {
	last := s.recentRefusals[refusalKindOf(r, rank)]
	if !s.isEngine() || r.KeepsVersion || now.Sub(last.at) >= ttl || rank < last.rank {
		return Verdict{}, false
	}
	return ac.refuse(now, r, Inputs{Rank: rank, QueueWait: last.wait}), true
}

// refuse refuses a request because the targets are busy.
func (ac *Controller) refuse(now time.Time, r *Request, in Inputs) Verdict {
	v := Verdict{ID: r.ID, Refused: Saturated, Inputs: in}
	retryAfter := in.QueueWait
	if in.Limited {
		v.Refused = Limited
	}
	if in.Rank == share.Excess {
		v.Refused = OverShare
		retryAfter = ac.window.TimeUntilFair(now, r.Workspace)
	}
	v.RetryAfter = ac.jitteredRetryAfter(retryAfter)
	return v
}

// refuseWithoutTarget refuses a request for which no target is usable. One that requires a
// software version which no target has, while others serve, gets no Retry-After, since a retry
// would not help.
func (ac *Controller) refuseWithoutTarget(now time.Time, s *service, r *Request) Verdict {
	if r.Regions != nil && !s.hasRegion(r) {
		return Verdict{ID: r.ID, Refused: NoRegion, RetryAfter: ac.jitteredRetryAfter(noRegionRetryAfter)}
	}
	if r.KeepsVersion && !s.hasVersion(r) && s.hasOtherVersion(r) {
		return Verdict{ID: r.ID, Refused: NoVersion}
	}
	if s.isEvacuatedFor(r) {
		return Verdict{ID: r.ID, Refused: Evacuated, RetryAfter: ac.jitteredRetryAfter(evacuatedRetryAfter)}
	}
	return ac.refuseNoTarget(now, s, r)
}

// hasRegion reports whether a listed target is in a region that the request may use.
func (s *service) hasRegion(r *Request) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return r.allowsRegionOf(t.Target) })
}

// hasVersion reports whether a target that is not draining has the software version that
// the request requires, if it requires one, and is in a region that it may use.
func (s *service) hasVersion(r *Request) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return !t.Draining && r.accepts(t.Target) })
}

// hasOtherVersion reports whether a target that is not draining has another software version
// than the one that the request requires, and is in a region that it may use.
func (s *service) hasOtherVersion(r *Request) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		return !t.Draining && t.SoftwareVersion != r.SoftwareVersion && r.allowsRegionOf(t.Target)
	})
}
