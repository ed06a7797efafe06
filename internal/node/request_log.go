package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/edge"
)

const (
	// logQueueSize is the number of lines that may be queued for writing.
	logQueueSize = 1024
	// normalLinesPerSecond bounds the lines of requests that succeed at the first
	// attempt and resume no stream, problemLinesPerSecond the lines of all other requests.
	normalLinesPerSecond  = 100
	problemLinesPerSecond = 200
)

// requestLog writes a line for each decision on a request and one for its end, with
// bounded rates. Lines of requests with problems have a separate and higher bound,
// so that lines of normal requests do not displace them.
type requestLog struct {
	logger  *logrus.Entry
	queue   chan any // edge.Decision, edge.RequestRecord or edge.StatementRecord
	dropped atomic.Int64

	// normalLeft and problemLeft are the lines that may still be written in the
	// current second.
	normalLeft, problemLeft atomic.Int64
}

func newRequestLog(logger *logrus.Entry) *requestLog {
	l := &requestLog{logger: logger, queue: make(chan any, logQueueSize)}
	l.refill()
	return l
}

func (l *requestLog) refill() {
	l.normalLeft.Store(normalLinesPerSecond)
	l.problemLeft.Store(problemLinesPerSecond)
}

// Decision implements edge.Log.
func (l *requestLog) Decision(d edge.Decision) {
	l.put(d, d.Step == "placed" && d.Attempt == 1 && d.LastEventID == "")
}

// Request implements edge.Log.
func (l *requestLog) Request(e edge.RequestRecord) {
	l.put(e, isNormal(e))
}

// Statement implements edge.Log. Statements are rare, so their rate is not bounded.
func (l *requestLog) Statement(s edge.StatementRecord) { l.enqueue(s) }

// isNormal reports whether a request was served with at most one attempt and resumes no
// stream.
func isNormal(e edge.RequestRecord) bool {
	return e.Outcome == "served" && len(e.Attempts) <= 1 && e.LastEventID == ""
}

// put queues a line. It drops and counts the line if the rate bound is reached or
// the queue is full.
func (l *requestLog) put(line any, normal bool) {
	left := &l.problemLeft
	if normal {
		left = &l.normalLeft
	}
	if left.Add(-1) < 0 {
		l.dropped.Add(1)
		return
	}
	l.enqueue(line)
}

// enqueue queues a line. It drops and counts the line if the queue is full.
func (l *requestLog) enqueue(line any) {
	select {
	case l.queue <- line:
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
		case line := <-l.queue:
			l.write(line)
		case <-ticker.C:
			l.refill()
			if n := l.dropped.Swap(0); n > 0 {
				l.logger.WithField("lines", n).Info("request lines left out")
			}
		}
	}
}

// flush writes the lines that are still queued when the router stops.
func (l *requestLog) flush() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

func (l *requestLog) write(line any) {
	switch line := line.(type) {
	case edge.Decision:
		l.logger.WithFields(decisionFields(line)).Info("request " + line.Step)
	case edge.RequestRecord:
		l.logger.WithFields(recordFields(line)).Info("request ended")
	case edge.StatementRecord:
		l.writeStatement(line)
	}
}

func (l *requestLog) writeStatement(s edge.StatementRecord) {
	entry := l.logger.WithFields(statementFields(s))
	if s.Leaving {
		entry.Info("target leaves")
	}
	if s.RetryAfter > 0 {
		entry.WithField("for_ms", s.RetryAfter.Milliseconds()).Info("target wants no requests")
	}
	if s.Limit.PerSecond > 0 {
		entry.WithField("per_second", s.Limit.PerSecond).Info("target names a limit")
	}
	if s.Limit.Malformed {
		entry.Warn("target names a limit that is not a positive decimal number")
	}
}

func decisionFields(d edge.Decision) logrus.Fields {
	f := inputFields(d.Inputs)
	f["request"], f["attempt"] = d.Request, d.Attempt
	if d.Workspace != "" {
		f["workspace"] = d.Workspace
	}
	if d.Target != "" {
		f["target"] = d.Target
		addStringField(f, "target_version", d.TargetVersion)
	}
	addStringField(f, "resumes", d.ResumedID)
	addStringField(f, "last_event", d.LastEventID)
	if d.Reason != "" {
		f["reason"] = d.Reason
	}
	if d.Waited >= time.Millisecond {
		f["waited_ms"] = d.Waited.Milliseconds()
	}
	return f
}

func inputFields(in admit.Inputs) logrus.Fields {
	f := logrus.Fields{
		"running":         in.Running,
		"pending_tokens":  in.PendingTokens,
		"uncached_tokens": in.UncachedTokens,
		"fetched_tokens":  in.FetchedTokens,
		"predicted_ms":    in.PredictedLatency.Milliseconds(),
		"queue_wait_ms":   in.QueueWait.Milliseconds(),
		"rank":            int(in.Rank),
	}
	if in.ChargedTokens > 0 {
		addStandingFields(f, in)
	}
	return f
}

// addStandingFields adds what the rank is based on, in tokens.
func addStandingFields(f logrus.Fields, in admit.Inputs) {
	st := in.Standing
	f["charged_tokens"] = in.ChargedTokens
	f["own_started"], f["peers_started"] = int64(st.Own.Started), int64(st.Peers.Started)
	f["own_requested"], f["peers_requested"] = int64(st.Own.Requested), int64(st.Peers.Requested)
	f["guaranteed_level"], f["fair_level"] = int64(st.GuaranteedLevel), int64(st.FairLevel)
	f["report_age_ms"], f["levels_age_ms"] = st.ReportAge.Milliseconds(), st.LevelsAge.Milliseconds()
}

// statementFields names the request as answer_to: the line is about the target, and not
// one of the request's lines.
func statementFields(s edge.StatementRecord) logrus.Fields {
	return logrus.Fields{
		"target": s.Target.ID, "service": s.Target.Service, "address": s.Target.Address, "born": s.Target.StartTimeMS,
		"answer_to": s.Request, "answer_status": s.Status,
	}
}

func recordFields(e edge.RequestRecord) logrus.Fields {
	f := logrus.Fields{
		"request": e.ID, "route": e.Route, "version": e.ConfigVersion, "status": e.Status,
		"outcome": e.Outcome, "first_ms": e.TimeToFirstByte.Milliseconds(), "took_ms": e.Duration.Milliseconds(),
	}
	if e.Workspace != "" {
		f["workspace"] = e.Workspace
	}
	if e.Reason != "" {
		f["reason"] = e.Reason
	}
	if e.Events > 0 {
		f["events"] = e.Events
	}
	if e.RetryAfter > 0 {
		f["retry_after_ms"] = e.RetryAfter.Milliseconds()
	}
	addStringField(f, "resumes", e.ResumedID)
	addStringField(f, "last_event", e.LastEventID)
	addStringField(f, "origin_version", e.OriginVersion)
	addStringField(f, "origin_evidence", string(e.OriginEvidence))
	if n := len(e.Attempts); n > 0 {
		addStringField(f, "target_version", e.Attempts[n-1].TargetVersion)
	}
	if len(e.Attempts) > 0 && !isNormal(e) {
		f["attempts"] = loggedAttempts(e.Attempts)
	}
	return f
}

// addStringField adds a field unless its value is empty.
func addStringField(f logrus.Fields, name, value string) {
	if value != "" {
		f[name] = value
	}
}

// loggedAttempt is an attempt at a target in the format of the log.
type loggedAttempt struct {
	Target        string `json:"target"`
	TargetVersion string `json:"target_version,omitempty"`
	End           string `json:"end"`
	Error         string `json:"error,omitempty"`
	WaitedMS      int64  `json:"waited_ms"`
	FirstMS       int64  `json:"first_ms"`
	TookMS        int64  `json:"took_ms"`
	ChargedTokens int    `json:"charged_tokens,omitempty"`
	NotRun        bool   `json:"not_run,omitempty"`
	SilenceMS     int64  `json:"silence_ms,omitempty"`

	ExtraResponses int    `json:"extra_responses,omitempty"`
	Status         int    `json:"status,omitempty"`
	FirstEvent     string `json:"first_event,omitempty"`
	LastEvent      string `json:"last_event,omitempty"`
}

func loggedAttempts(entries []edge.AttemptRecord) []loggedAttempt {
	out := make([]loggedAttempt, 0, len(entries))
	for _, a := range entries {
		out = append(out, loggedAttempt{
			Target:        string(a.Target),
			TargetVersion: a.TargetVersion,
			End:           a.Outcome,
			Error:         a.Error,
			WaitedMS:      a.Waited.Milliseconds(),
			FirstMS:       a.TimeToFirstByte.Milliseconds(),
			TookMS:        a.Duration.Milliseconds(),
			ChargedTokens: a.Inputs.ChargedTokens,
			NotRun:        a.NotRun,
			SilenceMS:     a.Silence.Milliseconds(),

			ExtraResponses: a.ExtraResponses,
			Status:         a.Status,
			FirstEvent:     a.FirstEventID,
			LastEvent:      a.LastEventID,
		})
	}
	return out
}
