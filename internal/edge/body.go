package edge

import (
	"io"
	"net/http"
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
	var err error
	if length > 0 {
		e.body = make([]byte, length)
		_, err = io.ReadFull(body, e.body)
	} else {
		e.body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	default:
		return &refusal{status: http.StatusBadRequest, reason: "body_cut", detail: err.Error()}
	}
}
