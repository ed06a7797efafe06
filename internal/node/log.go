package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/edge"
)

const (
	// logRing is the number of request lines that may wait to be written.
	logRing = 512
	// servedPerSecond bounds the lines of requests that went well; the others
	// are bounded by troublePerSecond.
	servedPerSecond  = 20
	troublePerSecond = 100
)

// requestLog writes a line for each request, bounded in rate. Requests that
// failed or were refused go before served ones.
type requestLog struct {
	logger  *logrus.Entry
	ring    chan edge.Entry
	dropped atomic.Int64

	// served and trouble are the lines left in the current second.
	served, trouble atomic.Int64
}

func newRequestLog(logger *logrus.Entry) *requestLog {
	l := &requestLog{logger: logger, ring: make(chan edge.Entry, logRing)}
	l.refill()
	return l
}

func (l *requestLog) refill() {
	l.served.Store(servedPerSecond)
	l.trouble.Store(troublePerSecond)
}

// Request implements edge.RequestLog.
func (l *requestLog) Request(e edge.Entry) {
	left := &l.trouble
	if e.Outcome == "served" && len(e.Attempts) <= 1 {
		left = &l.served
	}
	if left.Add(-1) < 0 {
		l.dropped.Add(1)
		return
	}
	select {
	case l.ring <- e:
	default:
		l.dropped.Add(1)
	}
}

func (l *requestLog) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.ring:
			l.write(e)
		case <-ticker.C:
			l.refill()
			if n := l.dropped.Swap(0); n > 0 {
				l.logger.WithField("lines", n).Info("request lines left out")
			}
		}
	}
}

// flush writes what is left at the end.
func (l *requestLog) flush() {
	for {
		select {
		case e := <-l.ring:
			l.write(e)
		default:
			return
		}
	}
}

func (l *requestLog) write(e edge.Entry) {
	fields := logrus.Fields{
		"request": e.ID, "route": e.Route, "version": e.Version, "status": e.Status,
		"outcome": e.Outcome, "first_ms": e.First.Milliseconds(), "took_ms": e.Took.Milliseconds(),
	}
	if e.Workspace != "" {
		fields["workspace"] = e.Workspace
	}
	if e.Reason != "" {
		fields["reason"] = e.Reason
	}
	if e.Events > 0 {
		fields["events"] = e.Events
	}
	if e.RetryAfter > 0 {
		fields["retry_after_ms"] = e.RetryAfter.Milliseconds()
	}
	if len(e.Attempts) > 0 {
		fields["attempts"] = attempts(e.Attempts)
	}
	l.logger.WithFields(fields).Info("request")
}

// attemptFields is an attempt as it stands in the log.
type attemptFields struct {
	Target    string `json:"target,omitempty"`
	End       string `json:"end"`
	Error     string `json:"error,omitempty"`
	WaitedMS  int64  `json:"waited_ms"`
	FirstMS   int64  `json:"first_ms"`
	TookMS    int64  `json:"took_ms"`
	Running   int    `json:"running"`
	Pending   int    `json:"pending_tokens"`
	Uncached  int    `json:"uncached_tokens"`
	Predicted int64  `json:"predicted_ms"`
	LineWait  int64  `json:"line_wait_ms"`
	Rank      int    `json:"rank"`
}

func attempts(entries []edge.AttemptEntry) []attemptFields {
	out := make([]attemptFields, 0, len(entries))
	for _, a := range entries {
		out = append(out, attemptFields{
			Target:    string(a.Target),
			End:       a.End,
			Error:     a.Error,
			WaitedMS:  a.Waited.Milliseconds(),
			FirstMS:   a.First.Milliseconds(),
			TookMS:    a.Took.Milliseconds(),
			Running:   a.Inputs.Running,
			Pending:   a.Inputs.Pending,
			Uncached:  a.Inputs.Uncached,
			Predicted: a.Inputs.Predicted.Milliseconds(),
			LineWait:  a.Inputs.LineWait.Milliseconds(),
			Rank:      int(a.Inputs.Rank),
		})
	}
	return out
}
