package admit

import "time"

// prospects tells in one poll which waiting requests no target will accept in time. The
// targets are examined once for each restriction: a queue may hold thousands of requests,
// and a service have thousands of targets.
type prospects struct {
	service *service
	now     time.Time
	// checksVersions is set if the targets of one software version may be evacuated while
	// others are not. Without evacuations and regions a request that requires a version is
	// treated like the others, until a scan reaches it.
	checksVersions bool
	unrestricted   prospect
	restricted     map[restriction]prospect
}

// restriction identifies the targets that a request may use. It is zero for all.
type restriction struct {
	keepsVersion    bool
	softwareVersion string
	// regions is a hash of the allowed regions, 0 for all.
	regions uint64
}

// prospect is when a target accepts requests of one restriction, if isPossible.
type prospect struct {
	isPossible  bool
	acceptsFrom time.Time
}

func (s *service) newProspects(now time.Time, hasEvacuations bool) *prospects {
	p := &prospects{service: s, now: now, checksVersions: hasEvacuations}
	p.unrestricted.acceptsFrom, p.unrestricted.isPossible = s.acceptsFrom(now, func(*target) bool { return true })
	return p
}

// isHopeless reports whether no target will accept the request before it is due to be
// refused.
func (p *prospects) isHopeless(e *entry) bool {
	found := p.of(e)
	return !found.isPossible || e.refuseAt.Before(found.acceptsFrom)
}

func (p *prospects) of(e *entry) prospect {
	key := restriction{regions: e.regions}
	if e.req.KeepsVersion && (p.checksVersions || e.req.Regions != nil) {
		key.keepsVersion, key.softwareVersion = true, e.req.SoftwareVersion
	}
	if key == (restriction{}) {
		return p.unrestricted
	}
	found, isKnown := p.restricted[key]
	if !isKnown {
		found = p.examine(e.req)
		if p.restricted == nil {
			p.restricted = make(map[restriction]prospect)
		}
		p.restricted[key] = found
	}
	return found
}

func (p *prospects) examine(r *Request) (found prospect) {
	found.acceptsFrom, found.isPossible = p.service.acceptsFrom(p.now, func(t *target) bool { return r.allowsRegionOf(t.Target) })
	found.isPossible = found.isPossible && p.service.hasOpenTarget(r)
	return found
}
