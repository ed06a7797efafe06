package edge

import (
	"context"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/quarantine"
)

// isQuarantined reports whether requests with the fingerprint of this one are known
// to crash the targets that run them.
func (e *exchange) isQuarantined() bool {
	q := e.server.opts.Quarantine
	if q == nil {
		return false
	}
	e.fingerprint = quarantine.Fingerprint(e.workspace, ids.Pool(e.r.Method+" "+requestURI(e.r)), e.body)
	return !q.Admit(e.fingerprint).Run
}

// hasQuarantinedPart reports whether a part of the request's prompt is known to crash the
// targets that begin an answer on it.
func (e *exchange) hasQuarantinedPart() bool {
	q := e.server.opts.Quarantine
	return q != nil && len(e.meta.SharedParts) > 0 && !q.AdmitParts(e.meta.SharedParts)
}

// reportOutcome reports the outcome of an attempt to the quarantine. If the
// connection broke, it first checks in the background whether the target still
// accepts connections, so that the caller does not wait for the check.
func (a *attempt) reportOutcome(outcome attemptOutcome) {
	q := a.server.opts.Quarantine
	if q == nil {
		return
	}
	id := uint64(a.verdict.ID)
	switch {
	case outcome == outcomeDelivered:
		q.Finish(id, quarantine.OK)
	case outcome == outcomeUnknown && a.connBroken:
		pool, target := a.server.opts.Pool, endpoint(a.verdict.Target)
		go func() {
			crashOutcome := quarantine.Canceled
			if pool.IsConnectionRefused(context.Background(), target) {
				crashOutcome = quarantine.Crashed
			}
			q.Finish(id, crashOutcome)
		}()
	default:
		q.Finish(id, quarantine.Canceled)
	}
}
