package edge

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// chunkedReserve, untuned, is what a body of unknown length is taken to need until it
	// has been read.
	chunkedReserve = 64 << 10
	// bodiesRetry is the Retry-After where no more bodies are held: about the
	// time that a request is held for.
	bodiesRetry = 500 * time.Millisecond
)

// bodies bounds the memory of all bodies that are held at a time.
type bodies struct {
	limit int64
	held  atomic.Int64
}

// take reserves room for n bytes, and tells whether there was any.
func (b *bodies) take(n int64) bool {
	if b.held.Add(n) <= b.limit || b.limit <= 0 {
		return true
	}
	b.held.Add(-n)
	return false
}

func (b *bodies) give(n int64) { b.held.Add(-n) }

// readBody reads the whole body, within the limit for one and that for all.
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
		reserve = chunkedReserve
	}
	if !e.server.bodies.take(reserve) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: bodiesRetry}
	}
	e.reserved = reserve
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
