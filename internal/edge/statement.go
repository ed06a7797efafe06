package edge

import (
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/routing"
)

// StatementRecord is the log record of something new that a target said of itself.
type StatementRecord struct {
	// Statement holds only what is new.
	admit.Statement
	Target routing.Target
	// Request is the id of the request in whose response the target said so, Status the
	// status of that response.
	Request string
	Status  int
}

// reportStatement reports what the target says of itself in a response. It is called
// with the head of every response, also of one that is then rejected as invalid.
func (a *attempt) reportStatement(status int, m ResponseMeta) {
	a.turnedAway = m.RetryAfter > 0
	st := admit.Statement{Leaving: m.Leaving, RetryAfter: m.RetryAfter, Limit: m.Limit}
	if st.IsEmpty() && !a.server.opts.Scheduler.HasLimits() {
		return
	}
	news := a.server.opts.Scheduler.RecordStatement(a.verdict.ID, st)
	if !news.IsEmpty() {
		a.server.opts.Log.Statement(StatementRecord{Statement: news, Target: a.verdict.Target, Request: a.meta.ID, Status: status})
	}
}
