package edge

import (
	"context"
	"mime"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// maxResponseBytes limits a response that is not a stream. It is twice the usual
	// limit of a request.
	maxResponseBytes = 8 << 20
	// eventStreamType is the media type of server-sent events.
	eventStreamType = "text/event-stream"
	// lateShare is the fraction of a time-out for which a router that was late itself does not
	// blame the target. Answers of sound targets take a few hundredths of the time-outs.
	lateShare = 0.25
	// minLateness is the least such delay. A router that keeps up has delays of some ms.
	minLateness = 15 * time.Millisecond
)

// attempt is one attempt to run a request at a target.
type attempt struct {
	*exchange
	verdict admit.Verdict
	conn    *upstream.Conn
	// resp is the response once its head has been read.
	resp            *http.Response
	startedAt       time.Time
	end             admit.End
	responseStarted bool
	// firstEventAt is when the first complete event of a stream arrived.
	firstEventAt time.Time
	// isRelayingStream is set once the head of a stream has been read.
	isRelayingStream bool
	// isWriting is set while a part of a stream is written to the caller.
	isWriting atomic.Bool
	// stopAbort ends the abort of the connection at the end of the request's context. It
	// returns false if that has begun.
	stopAbort func() bool
	// endSend records that the target has taken the body, nil for a small one.
	endSend func() (yielded bool)
	// ctx is the request's context with its deadline.
	ctx context.Context
	// hasBegun is set once the quarantine knows that the answer has begun.
	hasBegun bool
	// isWhole is set once the whole response has been read from the target.
	isWhole bool
	// turnedAway is set if the target said that it wants no requests for a time.
	turnedAway bool
	record     AttemptRecord
}

func (e *exchange) newAttempt(v admit.Verdict, waited time.Duration) *attempt {
	e.attempts++
	a := &attempt{exchange: e, verdict: v, startedAt: time.Now(), end: admit.End{Result: admit.Canceled}}
	a.record = AttemptRecord{Target: v.Target.ID, TargetVersion: v.Target.SoftwareVersion, Inputs: v.Inputs, Waited: waited}
	e.countLoad(func(l *WorkspaceLoad) {
		l.Attempts++
		l.ChargedTokens += int64(v.Inputs.ChargedTokens)
	})
	if e.stream.started {
		e.server.counts.resumed.Inc(1)
	}
	if q := e.server.opts.Quarantine; q != nil {
		q.TryStart(uint64(v.ID), e.fingerprint, e.meta.SharedParts, v.Target.ID, false)
	}
	return a
}

// attempt runs an attempt, which may have been sent already, to its end.
func (e *exchange) attempt(ctx context.Context, a *attempt) attemptOutcome {
	defer a.release()
	outcome, err := a.run(ctx)
	return a.finish(ctx, outcome, err)
}

// finish records the outcome of the attempt and returns it, or that of a request whose
// context has ended.
func (a *attempt) finish(ctx context.Context, outcome attemptOutcome, err error) attemptOutcome {
	if err != nil {
		a.record.Error = err.Error()
	}
	// A read deadline can expire slightly before the context does.
	if outcome.isRetryable() && (ctx.Err() != nil || !time.Now().Before(a.deadline)) {
		outcome = a.interruptedOutcome(ctx)
		a.end.Result = admit.Canceled
		if outcome == outcomeStopped && !a.end.NotRun {
			a.ranAttempts++
		}
	}
	a.record.Outcome = attemptOutcomeNames[outcome]
	a.reportOutcome(outcome)
	if outcome.isRetryable() {
		a.exclude = append(a.exclude, a.verdict.Target.ID)
	}
	return outcome
}

// release ends the attempt's use of its target.
func (a *attempt) release() {
	a.record.Duration, a.record.NotRun = time.Since(a.startedAt), a.end.NotRun
	a.end.SeenLate = a.server.wasLate(a.startedAt)
	a.countTokens()
	a.exchange.record.Attempts = append(a.exchange.record.Attempts, a.record)
	a.server.opts.Scheduler.AttemptEnded(a.verdict.ID, a.end)
}

func (a *attempt) countTokens() {
	tokens := int64(a.verdict.Inputs.ChargedTokens)
	a.server.counts.tokensCharged.Inc(tokens)
	if a.end.NotRun {
		a.server.counts.tokensNotRun.Inc(tokens)
	}
}

// run sends the request to the target, unless that is done, and relays the response. The
// error gives the reason of an outcome other than outcomeDelivered.
func (a *attempt) run(ctx context.Context) (attemptOutcome, error) {
	if a.conn == nil {
		if outcome, err := a.send(ctx); outcome != outcomeSent {
			return outcome, err
		}
	}
	defer a.stopAbort()
	a.limitSilence(ctx, a.firstEventTimeout())
	meta, err := a.receiveOwn()
	if err != nil {
		return outcomeUnknown, err
	}
	return a.handleResponse(a.resp, meta)
}

// send sends the request to the target. Its outcome is outcomeSent if that succeeded.
func (a *attempt) send(ctx context.Context) (attemptOutcome, error) {
	dialedAt := time.Now()
	conn, err := a.server.opts.Pool.Get(ctx, endpoint(a.verdict.Target))
	if err != nil {
		a.end = admit.End{Result: admit.Unreachable, NotRun: true, Refused: upstream.IsRefused(err)}
		if isTimeout(err) && a.server.wasLate(dialedAt) {
			a.end.Result = admit.Canceled
			err = errors.Wrap(err, "this router was late")
		}
		return outcomeNotSent, err
	}
	if a.hasCallerDisconnected() {
		a.end.NotRun = true
		a.server.opts.Pool.Put(conn)
		return outcomeCanceled, nil
	}
	a.conn = conn
	if a.bodyHeld.bytes > 0 {
		a.bodyHeld.setTarget(a.verdict.Target.ID)
	}
	if a.server.responseBytes.limit > 0 {
		a.responseHeld.setTarget(a.verdict.Target.ID)
	}
	a.stopAbort = context.AfterFunc(ctx, conn.Abort)
	request := a.outgoing()
	if len(a.body) > upstream.MaxInlineBodyBytes {
		// Until the target has taken the body, the body may yield.
		a.endSend = a.bodyHeld.startTransfer(conn.Abort)
		request.OnProgress, request.OnTaken = a.bodyHeld.markProgress, func() { a.endSend() }
	}
	if err := conn.Send(request); err != nil {
		a.stopAbort()
		conn.Close()
		if a.endSend != nil {
			a.endSend()
		}
		a.end.Result = admit.Unreachable
		if !conn.HasSentBytes() {
			a.end.NotRun = true
			return outcomeNotSent, err
		}
		return outcomeUnknown, err
	}
	return outcomeSent, nil
}

// isTimeout reports whether an error is that of a time-out.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// wasLate reports whether this router was late itself for much of the time since the given one, so
// that an answer which has not come by now says nothing of the target.
func (s *Server) wasLate(since time.Time) bool {
	shedder := s.opts.LoadShedder
	return shedder != nil && shedder.LatenessSince(since) >= max(minLateness, time.Duration(lateShare*float64(time.Since(since))))
}

// receive reads the head of the response. If it fails, it closes the connection.
func (a *attempt) receive() error {
	if a.endSend != nil {
		defer a.endSend()
	}
	resp, err := a.conn.Receive(a.r.Method) //nolint:bodyclose // the body ends with the connection, which the pool or Close takes
	if err == nil {
		a.resp = resp
		return nil
	}
	a.conn.Close()
	a.recordSilence(err)
	a.end.Result = admit.Unreachable
	if errors.Is(err, upstream.ErrMalformedResponse) {
		a.end.Result = admit.Failed
	}
	return err
}

func (a *attempt) outgoing() *upstream.Request {
	return &upstream.Request{
		Method: a.r.Method,
		URI:    requestURI(a.r),
		Host:   a.r.Host,
		Header: a.server.opts.Headers.EncodeRequest(a.r.Header, OutgoingRequest{
			Target:      a.verdict.Target.ID,
			Workspace:   a.workspace,
			Timeout:     time.Until(a.deadline),
			LastEventID: a.lastEventID(),
			FetchFrom:   a.verdict.FetchFrom.Address,
		}),
		Body: a.body,
	}
}

// releaseConn returns the connection to the pool. The end of this request must not abort it
// from then on, as another request may use it.
func (a *attempt) releaseConn() {
	if !a.stopAbort() {
		a.conn.Close()
		return
	}
	a.server.opts.Pool.Release(a.conn)
}

// lastEventID returns the id of the event after which a target is to resume the stream,
// empty for a stream from its start.
func (e *exchange) lastEventID() string {
	if e.stream.lastID != "" {
		return e.stream.lastID
	}
	return e.meta.LastEventID
}

// recordSilence records how long the target had sent nothing, if a read timed out.
func (a *attempt) recordSilence(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.record.Silence = time.Since(a.conn.LastReadAt())
	}
}

// requestURI returns the path and query as the caller sent them.
func requestURI(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// requestPath returns the path as the caller sent it, by which routes are found: it reaches the
// target unchanged, and a slash that is encoded separates nothing.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestURI(r), "?")
	return path
}

// handleResponse checks the status and header of the response to this request and relays
// the response to the caller if they are valid.
func (a *attempt) handleResponse(resp *http.Response, respMeta ResponseMeta) (attemptOutcome, error) {
	success := resp.StatusCode/100 == 2
	if respMeta.NotRun && !success {
		return a.rejectedByTarget(resp, respMeta)
	}
	if err := a.stream.checkHead(resp.StatusCode, isEventStream(resp), respMeta.Signed); err != nil {
		return a.invalidContinuation(err)
	}
	switch {
	case success && !respMeta.Signed:
		return a.invalidResponse("success response without the target's signature")
	case success && isEventStream(resp):
		return a.relayStream(resp)
	default:
		return a.relayFullResponse(resp)
	}
}

func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == eventStreamType
}

// invalidContinuation ends an attempt whose response does not continue the stream that the
// caller has. It does not wait for the body.
func (a *attempt) invalidContinuation(err error) (attemptOutcome, error) {
	a.conn.Close()
	a.end.Result = admit.Failed
	if a.turnedAway {
		a.end.Result = admit.Rejected
	}
	return outcomeUnknown, err
}

func (a *attempt) invalidResponse(message string) (attemptOutcome, error) {
	return outcomeUnknown, a.rejectResponse(message)
}

// rejectResponse closes the connection and returns the error of an invalid response.
func (a *attempt) rejectResponse(message string) error {
	a.conn.Close()
	a.end.Result = admit.Failed
	return errors.Mark(errors.New(message), upstream.ErrMalformedResponse)
}

// rejectedByTarget ends an attempt that the target states it did not run.
func (a *attempt) rejectedByTarget(resp *http.Response, respMeta ResponseMeta) (attemptOutcome, error) {
	a.end = admit.End{Result: admit.Rejected, NotRun: true}
	if respMeta.Replaced {
		a.end.Result = admit.Replaced
	}
	body, err := a.readResponseBody(resp)
	if a.isWhole = err == nil; a.isWhole {
		a.releaseConn()
	} else {
		a.conn.Close()
	}
	if resp.StatusCode == http.StatusBadRequest && err == nil && !a.stream.started {
		// The request itself is invalid. Other targets would reject it as well.
		a.deliver(&fullResponse{resp: resp, body: body})
		return outcomeDelivered, nil
	}
	return outcomeRejected, errors.Newf("target answered status %d without running the request", resp.StatusCode)
}

// relayFullResponse sends a response that is not a stream to the caller once it has
// been read completely.
func (a *attempt) relayFullResponse(resp *http.Response) (attemptOutcome, error) {
	end := a.responseHeld.startTransfer(a.conn.Abort)
	body, err := a.readResponseBody(resp)
	a.isWhole = err == nil
	switch yielded := end(); {
	case yielded && err != nil:
		err = errors.CombineErrors(errYielded, err)
	case yielded:
		a.responseHeld.keep()
		a.conn.Close()
	}
	if a.responseHeld.bytes > 0 {
		// From now on it is held for the caller.
		a.responseHeld.setTarget("")
	}
	if errors.Is(err, errResponsesFull) {
		return a.failForMemory(err)
	}
	if err != nil {
		a.conn.Close()
		a.end.Result = admit.Failed
		return outcomeUnknown, errors.Wrap(err, "read response body")
	}
	a.releaseConn()
	a.record.TimeToFirstByte = time.Since(a.startedAt)
	complete := &fullResponse{resp: resp, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.end.Result = admit.Failed
		if a.turnedAway {
			a.end.Result = admit.Rejected
		}
		a.targetError = complete
		return outcomeTargetError, errors.Newf("target answered status %d", resp.StatusCode)
	}
	a.end.Result = admit.Served
	a.deliver(complete)
	return outcomeDelivered, nil
}

// failForMemory ends an attempt whose response finds no room in the budget. Another
// target would not help.
func (a *attempt) failForMemory(err error) (attemptOutcome, error) {
	a.conn.Close()
	a.end.Result = admit.Canceled
	return outcomeNoMemory, err
}
