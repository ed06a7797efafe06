package edge

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstReserveBytes is the memory that a body gets before a byte of it has arrived, so that
	// a caller that states a length and sends nothing holds no more.
	firstReserveBytes = 64 << 10
	// bodiesFullRetryAfter is the Retry-After of a request that is refused because
	// the bodies held use up the budget. A request is held for about this long.
	bodiesFullRetryAfter = 500 * time.Millisecond
	// unreadBodyTimeout and maxUnreadBytes bound the rest of a body that is read and dropped
	// before a refusal, so that the connection can be used again.
	unreadBodyTimeout = 250 * time.Millisecond
	maxUnreadBytes    = 256 << 10
)

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
	case errors.Is(err, errYielded):
		return &refusal{status: http.StatusRequestTimeout, reason: "body_stalled", detail: err.Error(), closesConn: true}
	case errors.Is(err, errNoRoom):
		return &refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", detail: err.Error(), retryAfter: bodiesFullRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded) && !e.mayStart():
		return newStopRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "body_timeout"}
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	default:
		return &refusal{status: http.StatusBadRequest, reason: "body_cut", detail: err.Error()}
	}
}

// receiveBody reads a body of the given length, negative if unknown, until the request's
// deadline. A caller that sends too slowly yields its memory if others need it.
func (e *exchange) receiveBody(body io.Reader, length int64) error {
	if err := e.setReadDeadline(e.deadline); err != nil {
		return err
	}
	endNow := func() { _ = e.setReadDeadline(time.Unix(1, 0)) }
	defer e.whenTooLate(endNow)()
	end := e.bodyHeld.startTransfer(endNow)
	err := e.readIntoMemory(&progressReader{read: body.Read, holding: &e.bodyHeld}, length)
	yielded := end()
	switch {
	case yielded && err != nil:
		return errors.CombineErrors(errYielded, err)
	case err != nil:
		return err
	case yielded:
		e.bodyHeld.keep()
	}
	return e.setReadDeadline(time.Time{})
}

// readIntoMemory reads a body into memory that it reserves in two or more steps: the first
// firstReserveBytes, and the rest of a known length once those have arrived.
func (e *exchange) readIntoMemory(body io.Reader, length int64) error {
	size := int64(firstReserveBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if err := e.bodyHeld.reserve(size, 0); err != nil {
		return err
	}
	e.body = make([]byte, size)
	read := int64(0)
	for {
		n, err := io.ReadFull(body, e.body[read:])
		read += int64(n)
		switch {
		case length < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			e.body = e.body[:read]
			return nil
		case err != nil:
			return err
		case read == length:
			return nil
		}
		size = length
		if length < 0 {
			size = 2 * read
		}
		if err := e.bodyHeld.reserve(size-read, 0); err != nil {
			return err
		}
		e.body = append(make([]byte, 0, size), e.body...)[:size]
	}
}

// releaseBody drops the body once it is not needed any more.
func (e *exchange) releaseBody() {
	e.body = nil
	e.bodyHeld.release(e.bodyHeld.bytes)
}

// setReadDeadline sets the deadline for reads from the caller. It does nothing if the
// response writer has no connection.
func (e *exchange) setReadDeadline(t time.Time) error {
	return ignoreNotSupported(http.NewResponseController(e.w).SetReadDeadline(t))
}

// limitWrites bounds the time for which a refusal or a stream may wait for its caller.
// net/http ends the limit with the response.
func (e *exchange) limitWrites() error {
	return ignoreNotSupported(http.NewResponseController(e.w).SetWriteDeadline(e.lateDeadline()))
}

// lateDeadline returns the end of writes to the caller that the request's deadline allows.
func (e *exchange) lateDeadline() time.Time {
	from := e.deadline
	if now := time.Now(); now.After(from) {
		from = now
	}
	return from.Add(lateWriteTimeout)
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
