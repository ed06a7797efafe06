package edge

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// chunkedReserveBytes is the memory reserved for a body of unknown length.
	chunkedReserveBytes = 64 << 10
	// bodiesFullRetryAfter is the Retry-After of a request that is refused because
	// the bodies held use up the budget. A request is held for about this long.
	bodiesFullRetryAfter = 500 * time.Millisecond
	// unreadBodyTimeout and maxUnreadBytes bound the rest of a body that is read and dropped
	// before a refusal, so that the connection can be used again.
	unreadBodyTimeout = 250 * time.Millisecond
	maxUnreadBytes    = 256 << 10
)

// byteBudget limits the memory of all bodies that are held at the same time. A
// limit of zero means no limit.
type byteBudget struct {
	limit    int64
	reserved atomic.Int64
}

// tryReserve reserves n bytes and reports whether they were within the limit.
func (b *byteBudget) tryReserve(n int64) bool {
	if b.reserved.Add(n) <= b.limit || b.limit <= 0 {
		return true
	}
	b.reserved.Add(-n)
	return false
}

func (b *byteBudget) release(n int64) { b.reserved.Add(-n) }

// readBody reads the whole body, within the limit in bytes of one body and the
// budget of all bodies.
func (e *exchange) readBody(limit int64) *refusal {
	length := e.r.ContentLength
	if length == 0 {
		e.bodyRead = true
		return nil
	}
	if limit > 0 && length > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	reserve := length
	if reserve < 0 {
		reserve = chunkedReserveBytes
	}
	if !e.server.bodyBytes.tryReserve(reserve) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: bodiesFullRetryAfter}
	}
	e.reservedBytes = reserve
	body := e.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(e.w, body, limit)
	}
	err := e.receiveBody(body, length)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		e.bodyRead = true
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "body_timeout"}
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	default:
		return &refusal{status: http.StatusBadRequest, reason: "body_cut", detail: err.Error()}
	}
}

// receiveBody reads a body of the given length, negative if unknown, until the request's
// deadline.
func (e *exchange) receiveBody(body io.Reader, length int64) error {
	if err := e.setReadDeadline(e.deadline); err != nil {
		return err
	}
	var err error
	if length > 0 {
		e.body = make([]byte, length)
		_, err = io.ReadFull(body, e.body)
	} else {
		e.body, err = io.ReadAll(body)
	}
	if err != nil {
		return err
	}
	return e.setReadDeadline(time.Time{})
}

// setReadDeadline sets the deadline for reads from the caller. It does nothing if the
// response writer has no connection.
func (e *exchange) setReadDeadline(t time.Time) error {
	return ignoreNotSupported(http.NewResponseController(e.w).SetReadDeadline(t))
}

// limitWrites bounds the time for which a refusal or a stream may wait for its caller.
// net/http ends the limit with the response.
func (e *exchange) limitWrites() error {
	from := e.deadline
	if now := time.Now(); now.After(from) {
		from = now
	}
	return ignoreNotSupported(http.NewResponseController(e.w).SetWriteDeadline(from.Add(lateWriteTimeout)))
}

func ignoreNotSupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return errors.Wrap(err, "set a deadline of the caller's connection")
}

// discardBody drops the rest of the body and reports whether the connection can carry
// another request. Otherwise the rest would be taken for one.
func (e *exchange) discardBody() bool {
	if e.bodyRead || e.r.ContentLength == 0 {
		return true
	}
	if e.r.ContentLength > maxUnreadBytes || e.r.Header.Get("Expect") != "" {
		return false
	}
	if err := e.setReadDeadline(time.Now().Add(unreadBodyTimeout)); err != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, e.r.Body, maxUnreadBytes+1)
	if resetErr := e.setReadDeadline(time.Time{}); resetErr != nil {
		return false
	}
	// net/http starts to read ahead at the end of a body. If the deadline ended that read,
	// the context of all further requests on the connection is done.
	return errors.Is(err, io.EOF) && e.r.Context().Err() == nil
}
