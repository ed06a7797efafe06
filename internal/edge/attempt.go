package edge

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// maxAnswer, twice the usual bound of a request, bounds an answer that is not a stream, in bytes.
	maxAnswer = 8 << 20
	eventType = "text/event-stream"
)

// attempt is one try at a target.
type attempt struct {
	*exchange
	verdict admit.Verdict
	conn    *upstream.Conn
	sent    time.Time
	result  admit.Result
	began   bool
	// brokeOff is set where the connection ended before the answer did.
	brokeOff bool
	record   AttemptRecord
}

func (e *exchange) attempt(ctx context.Context, v admit.Verdict, waited time.Duration) ending {
	a := &attempt{exchange: e, verdict: v, sent: time.Now(), result: admit.Abandoned}
	a.record = AttemptRecord{Target: v.Target.ID, Inputs: v.Inputs, Waited: waited}
	defer func() {
		a.record.Took = time.Since(a.sent)
		e.record.Attempts = append(e.record.Attempts, a.record)
		e.server.opts.Scheduler.Ended(v.ID, a.result)
	}()
	if e.stream.started {
		e.server.counts.resumed.Inc(1)
	}
	if s := e.server.opts.Suspects; s != nil {
		s.TryStart(uint64(v.ID), e.fingerprint, v.Target.ID, false)
	}
	end, err := a.run(ctx)
	if err != nil {
		a.record.Error = err.Error()
	}
	// A read's deadline may tell of the request's end before the context does.
	if end.unfinished() && (ctx.Err() != nil || !time.Now().Before(e.deadline)) {
		end = e.interruption()
		a.result = admit.Abandoned
	}
	a.record.End = endingNames[end]
	a.suspect(end)
	if end.unfinished() {
		e.exclude = append(e.exclude, v.Target.ID)
	}
	return end
}

// run carries the attempt out. The error explains an ending other than
// delivered.
func (a *attempt) run(ctx context.Context) (ending, error) {
	conn, err := a.server.opts.Pool.Get(ctx, endpoint(a.verdict.Target))
	if err != nil {
		a.result = admit.Unreachable
		return notSent, err
	}
	a.conn = conn
	if a.callerClosed() {
		a.server.opts.Pool.Put(conn)
		return callerLeft, nil
	}
	stop := context.AfterFunc(ctx, conn.Break)
	defer stop()
	if err := conn.Send(a.outgoing()); err != nil {
		conn.Close()
		a.result = admit.Unreachable
		if !conn.Sent() {
			return notSent, err
		}
		return unknown, err
	}
	if err := conn.SetReadDeadline(a.readBy(a.stallFirst())); err != nil {
		conn.Close()
		return unknown, err
	}
	resp, err := conn.Receive(a.r.Method) //nolint:bodyclose // the body ends with the connection, which the pool or Close takes
	if err != nil {
		conn.Close()
		a.result, a.brokeOff = admit.Unreachable, true
		if errors.Is(err, upstream.ErrGarbage) {
			a.result, a.brokeOff = admit.Failed, false
		}
		return unknown, err
	}
	return a.answered(resp)
}

func (a *attempt) outgoing() *upstream.Request {
	last := a.stream.lastID
	if last == "" {
		last = a.meta.LastEvent
	}
	return &upstream.Request{
		Method: a.r.Method,
		URI:    requestURI(a.r),
		Host:   a.r.Host,
		Header: a.server.opts.Dialect.Outgoing(a.r.Header, Outgoing{
			Target:    a.verdict.Target.ID,
			Workspace: a.workspace,
			Left:      time.Until(a.deadline),
			LastEvent: last,
			FetchFrom: a.verdict.FetchFrom.Address,
		}),
		Body: a.body,
	}
}

// requestURI is the path and query as the caller sent them.
func requestURI(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// answered passes an answer on whose head has come.
func (a *attempt) answered(resp *http.Response) (ending, error) {
	reply := a.server.opts.Dialect.Reply(resp)
	if reply.ID != "" && reply.ID != a.meta.ID {
		return a.garbage("the answer belongs to another request")
	}
	success := resp.StatusCode/100 == 2
	switch {
	case reply.NotRun && !success:
		return a.refusedByTarget(resp, reply)
	case reply.ID == "" && a.meta.ID != "":
		return a.garbage("the answer names no request")
	case success && !reply.Signed:
		return a.garbage("a success without the target's signature")
	case success && isEvents(resp):
		return a.relay(resp)
	default:
		return a.whole(resp)
	}
}

func isEvents(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == eventType
}

func (a *attempt) garbage(message string) (ending, error) {
	a.conn.Close()
	a.result = admit.Failed
	return unknown, errors.Mark(errors.New(message), upstream.ErrGarbage)
}

// refusedByTarget ends an attempt that the target says it did not run.
func (a *attempt) refusedByTarget(resp *http.Response, reply Reply) (ending, error) {
	a.result = admit.Rejected
	if reply.Replaced {
		a.result = admit.Replaced
	}
	body, err := readBody(resp)
	if err != nil {
		a.conn.Close()
	} else {
		a.server.opts.Pool.Finish(a.conn)
	}
	if resp.StatusCode == http.StatusBadRequest && err == nil && !a.stream.started {
		// The request itself is at fault; another target would say the same.
		a.deliver(&answer{resp: resp, body: body})
		return delivered, nil
	}
	return rejected, errors.Newf("the target answered %d without running the request", resp.StatusCode)
}

// whole passes on an answer in one piece once all of it is there.
func (a *attempt) whole(resp *http.Response) (ending, error) {
	body, err := readBody(resp)
	if err != nil {
		a.conn.Close()
		a.result = admit.Failed
		return unknown, errors.Wrap(err, "read the answer's body")
	}
	a.server.opts.Pool.Finish(a.conn)
	a.record.First = time.Since(a.sent)
	got := &answer{resp: resp, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.result = admit.Failed
		a.held = got
		if a.stream.started {
			return unknown, errors.Newf("the target answered %d to a resumed stream", resp.StatusCode)
		}
		return failedWhole, errors.Newf("the target answered %d", resp.StatusCode)
	}
	if a.stream.started {
		a.result = admit.Failed
		return unknown, errors.New("a resumed stream was answered in one piece")
	}
	a.result = admit.Served
	a.deliver(got)
	return delivered, nil
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Newf("the answer is over %d bytes", maxAnswer)
	}
	return body, err
}

// readBy is the deadline of a read: that of the request, or the end of the
// silence after which the target is taken for hung. A stall of 0 is none.
func (a *attempt) readBy(stall time.Duration) time.Time {
	if stall <= 0 {
		return a.deadline
	}
	if by := time.Now().Add(stall); by.Before(a.deadline) {
		return by
	}
	return a.deadline
}
