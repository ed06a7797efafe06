package edge

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// fullResponse is a complete response of a target that is not a stream.
type fullResponse struct {
	resp *http.Response
	body *responseBody
}

// deliver sends a complete response of a target to the caller.
func (e *exchange) deliver(a *fullResponse) {
	h := e.w.Header()
	e.server.opts.Headers.CopyResponse(h, a.resp.Header)
	if e.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(a.body.size))
	}
	e.record.Status = a.resp.StatusCode
	e.record.TimeToFirstByte = time.Since(e.arrivedAt)
	e.record.Outcome = "served"
	if a.resp.StatusCode >= http.StatusInternalServerError {
		e.record.Outcome, e.record.Reason = "failed", "target_answer"
		e.server.counts.failed.Inc(1)
	}
	e.releaseBody()
	e.w.WriteHeader(a.resp.StatusCode)
	if err := e.writeBody(a.body); err != nil {
		if errors.Is(err, errYielded) {
			e.abort("caller_stalled: " + err.Error())
			return
		}
		e.record.Outcome, e.record.Reason = "left", err.Error()
		return
	}
	e.responseComplete = true
}

// refusal is an error response that the router itself sends.
type refusal struct {
	status     int
	reason     string
	detail     string
	retryAfter time.Duration
	// closesConn asks the caller to close its connection.
	closesConn bool
}

// refusalContentType is the media type of a refusal's body.
const refusalContentType = "text/plain; charset=utf-8"

func (f *refusal) body() string { return f.reason + "\n" }

// retryAfterValue returns the value of the Retry-After field, in seconds.
func (f *refusal) retryAfterValue() string {
	return strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64)
}

// refuse sends an error response of the router to the caller.
func (e *exchange) refuse(f *refusal) {
	e.releaseBody()
	h := e.w.Header()
	h.Set("Content-Type", refusalContentType)
	if f.retryAfter > 0 {
		h.Set("Retry-After", f.retryAfterValue())
		e.record.RetryAfter = f.retryAfter
	}
	closesConn := f.closesConn || !e.discardBody()
	if closesConn {
		h.Set("Connection", "close")
	}
	if e.usesEngine() {
		e.server.noteRefusal()
		e.countLoad(func(l *WorkspaceLoad) { l.countRefusal(f.reason, closesConn) })
	}
	e.record.Status, e.record.Reason = f.status, f.reason
	if f.detail != "" {
		e.record.Reason += ": " + f.detail
	}
	e.record.Outcome = "refused"
	if f.status == http.StatusBadGateway || f.status == http.StatusGatewayTimeout {
		e.record.Outcome = "failed"
		e.server.counts.failed.Inc(1)
	} else {
		e.server.counts.refused.Inc(1)
	}
	if err := e.limitWrites(); err != nil {
		e.record.Reason += ": " + err.Error()
	}
	e.w.WriteHeader(f.status)
	if _, err := io.WriteString(e.w, f.body()); err != nil {
		e.record.Reason += ": " + err.Error()
		return
	}
	e.responseComplete = true
}
