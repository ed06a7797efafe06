package admit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// evacuatedRetryAfter is the Retry-After of a request that only evacuated targets could
// serve. Evacuations last for minutes; the longest Retry-After keeps the callers' retries
// rare.
const evacuatedRetryAfter = maxRetryAfter

// SetEvacuated replaces the set of failure domains that the operator has evacuated. Their
// targets get no requests, not even for lack of others, and no engine fetches parts of
// prompts from them. What runs there may end.
func (ac *Controller) SetEvacuated(_ time.Time, domains []ids.Domain) {
	ac.evacuated = make(map[ids.Domain]bool, len(domains))
	for _, d := range domains {
		ac.evacuated[d] = true
	}
	for _, t := range ac.targets {
		t.isEvacuated = ac.evacuated[t.Domain]
	}
}

// isEvacuatedFor reports whether the request could be sent to targets of evacuated domains
// only.
func (s *service) isEvacuatedFor(r *Request) bool {
	return !s.hasOpenTarget(r) && slices.ContainsFunc(s.targets, func(t *target) bool { return t.isEvacuated && r.accepts(t.Target) })
}

// hasOpenTarget reports whether the request could be sent to a target that is not draining
// and whose domain is not evacuated.
func (s *service) hasOpenTarget(r *Request) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return !t.Draining && !t.isEvacuated && r.accepts(t.Target) })
}
