package targetlimit

import (
	"maps"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

// Roles states which routers are the lessors of cold runs.
type Roles struct {
	// Routers are those of a full mesh. The one with the highest rendezvous weight for a run
	// is its lessor.
	Routers []ids.Instance
	// Hubs are the preferred live hubs by failure domain, in a fleet with hubs, "" if none of
	// a domain is live. Each is the
	// lessor of the runs in its domain, and the one with the highest rendezvous weight that
	// of a run in a domain without hubs.
	Hubs map[ids.Domain]ids.Instance
}

func (r *Roles) equal(o *Roles) bool {
	return slices.Equal(r.Routers, o.Routers) && maps.Equal(r.Hubs, o.Hubs)
}

// lessor returns the lessor of a run in a domain, "" for none.
func (r *Roles) lessor(run Run, domain ids.Domain) ids.Instance {
	if r.Hubs == nil {
		return rendezvous.New(r.Routers).Pick(uint64(run))
	}
	if h, ok := r.Hubs[domain]; ok {
		return h
	}
	hubs := slices.DeleteFunc(slices.Collect(maps.Values(r.Hubs)), func(h ids.Instance) bool { return h == "" })
	return rendezvous.New(hubs).Pick(uint64(run))
}

// roles are the roles in force, and those that were within the last LeaseDuration.
type roles struct {
	self    ids.Instance
	current Roles
	former  []formerRoles
}

type formerRoles struct {
	Roles
	replacedAt time.Time
}

func (r *roles) set(now time.Time, current Roles) {
	r.former = slices.DeleteFunc(r.former, func(f formerRoles) bool { return now.Sub(f.replacedAt) >= LeaseDuration })
	if !r.current.equal(&current) {
		r.former = append(r.former, formerRoles{r.current, now})
		r.current = current
	}
}

// isLessor reports whether this router is the lessor of a run, and has been for LeaseDuration.
func (r *roles) isLessor(now time.Time, run Run, domain ids.Domain) bool {
	if r.current.lessor(run, domain) != r.self {
		return false
	}
	for _, f := range r.former {
		if now.Sub(f.replacedAt) < LeaseDuration && f.lessor(run, domain) != r.self {
			return false
		}
	}
	return true
}
