package edge

import (
	"context"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/quarantine"
)

// quarantined tells whether requests like this one crash the targets that run
// them.
func (e *exchange) quarantined() bool {
	s := e.server.opts.Suspects
	if s == nil {
		return false
	}
	e.fingerprint = quarantine.Fingerprint(e.workspace, ids.Pool(e.r.Method+" "+requestURI(e.r)), e.body)
	return !s.Admit(e.fingerprint).Run
}

// suspect tells how an attempt ended. Where the connection broke, the target is
// asked whether it lives; that must not hold up the caller.
func (a *attempt) suspect(end ending) {
	s := a.server.opts.Suspects
	if s == nil {
		return
	}
	id := uint64(a.verdict.ID)
	switch {
	case end == delivered:
		s.Finish(id, quarantine.OK)
	case end == unknown && a.brokeOff:
		pool, target := a.server.opts.Pool, endpoint(a.verdict.Target)
		go func() {
			how := quarantine.Canceled
			if pool.Refuses(context.Background(), target) {
				how = quarantine.Crashed
			}
			s.Finish(id, how)
		}()
	default:
		s.Finish(id, quarantine.Canceled)
	}
}
