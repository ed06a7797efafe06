package filter

import (
	"net/http"
	"time"
)

// writeTimeout is the time within which a caller must accept one write.
const writeTimeout = 30 * time.Second

// ResponseWriter writes a target's response to the caller. It records the status, the
// time of the first byte and, after RecordBody, the start of the body. It must not
// be used concurrently.
type ResponseWriter struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	committed   bool
	status      int
	firstByteAt time.Time
	written     int64
	recorded    []byte
	recordLimit int
}

// NewResponseWriter returns a ResponseWriter that writes to w.
func NewResponseWriter(w http.ResponseWriter) *ResponseWriter {
	return &ResponseWriter{w: w, controller: http.NewResponseController(w)}
}

// Header returns the header that Commit sends.
func (rw *ResponseWriter) Header() http.Header { return rw.w.Header() }

// Commit sends the status and header. Calls after the first have no effect.
func (rw *ResponseWriter) Commit(status int) {
	if rw.committed {
		return
	}
	rw.committed = true
	rw.status = status
	rw.firstByteAt = time.Now()
	rw.w.WriteHeader(status)
}

// Write implements io.Writer.
func (rw *ResponseWriter) Write(p []byte) (int, error) {
	rw.Commit(http.StatusOK)
	rw.record(p)
	rw.extendWriteDeadline()
	rw.written += int64(len(p))
	return rw.w.Write(p)
}

// Flush sends buffered data to the caller.
func (rw *ResponseWriter) Flush() error {
	rw.extendWriteDeadline()
	return rw.controller.Flush()
}

// extendWriteDeadline sets the write deadline to writeTimeout from now, since a slow
// caller has that time for each write. Writers without support for deadlines, such
// as those of tests, are written to without one.
func (rw *ResponseWriter) extendWriteDeadline() {
	_ = rw.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// IsCommitted reports whether anything has been sent.
func (rw *ResponseWriter) IsCommitted() bool { return rw.committed }

// Status returns the status that was sent, zero if none was.
func (rw *ResponseWriter) Status() int { return rw.status }

// FirstByteAt returns the time at which the response started, zero if it did not.
func (rw *ResponseWriter) FirstByteAt() time.Time { return rw.firstByteAt }

// RecordBody makes the ResponseWriter record the first n bytes of the body.
func (rw *ResponseWriter) RecordBody(n int) { rw.recordLimit = n }

// RecordedBody returns the recorded bytes and whether they are the whole body.
func (rw *ResponseWriter) RecordedBody() (body []byte, whole bool) {
	return rw.recorded, int64(len(rw.recorded)) == rw.written
}

func (rw *ResponseWriter) record(p []byte) {
	room := rw.recordLimit - len(rw.recorded)
	if room <= 0 {
		return
	}
	rw.recorded = append(rw.recorded, p[:min(room, len(p))]...)
}
