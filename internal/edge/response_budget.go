package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// unbudgetedResponseBytes is the part of each response that takes nothing from the
	// budget, so that small responses get through while large ones hold all of it.
	unbudgetedResponseBytes = 8 << 10
	// minChunkBytes and maxChunkBytes are the least and largest size of one chunk of a
	// body of unknown length. The budget is reserved in steps of minChunkBytes.
	minChunkBytes = 4 << 10
	maxChunkBytes = 64 << 10
	// chunkWriteTimeout is the time within which a caller must accept one chunk of a
	// body, so that a caller that doesn't read can't hold a part of the budget.
	chunkWriteTimeout = 10 * time.Second
)

// errResponsesFull is the error of a response for which the budget has no room. It says
// nothing about the target.
var errResponsesFull = errors.New("responses of targets exceed the limit of all requests")

// responseBody is a whole body in chunks, which are not copied while it grows.
type responseBody struct {
	chunks [][]byte
	size   int
}

// reserveResponse reserves memory for n bytes of the current response, of which the
// request has reserved held so far, and returns what it has reserved now. The request
// holds it until releaseResponse or its end.
func (e *exchange) reserveResponse(held int64, n int) (int64, error) {
	need := int64(max(0, n-unbudgetedResponseBytes)+minChunkBytes-1) / minChunkBytes * minChunkBytes
	if need <= held {
		return held, nil
	}
	budget := &e.server.responseBytes
	if !budget.tryReserve(need - held) {
		e.server.counts.responsesFull.Inc(1)
		return held, errors.Wrapf(errResponsesFull, "%d bytes read, %d of %d bytes of the budget reserved", n, budget.reserved.Load(), budget.limit)
	}
	e.responseReserved += need - held
	return need, nil
}

func (e *exchange) releaseResponse(n int64) {
	e.server.responseBytes.release(n)
	e.responseReserved -= n
}

// readResponseBody reads a whole body, within maxResponseBytes and the budget of all
// responses. If it fails, the budget has back what it reserved.
func (e *exchange) readResponseBody(resp *http.Response) (*responseBody, error) {
	body := &responseBody{}
	if resp.Body == http.NoBody {
		return body, nil
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errors.Mark(errors.Newf("response body of %d bytes exceeds the limit of %d bytes", resp.ContentLength, maxResponseBytes), upstream.ErrMalformedResponse)
	}
	var held int64
	err := body.readFrom(resp, func(size int) (err error) {
		held, err = e.reserveResponse(held, size)
		return err
	})
	if err != nil {
		e.releaseResponse(held)
		return nil, err
	}
	return body, nil
}

// readFrom reads up to the end of a response's body. It calls reserve with the size that
// the body will have before it allocates a chunk.
func (b *responseBody) readFrom(resp *http.Response, reserve func(size int) error) error {
	next := minChunkBytes
	for {
		if resp.ContentLength > 0 {
			next = max(1, min(int(resp.ContentLength)-b.size, maxChunkBytes))
		}
		if err := reserve(b.size + next); err != nil {
			return err
		}
		chunk := make([]byte, next)
		n, err := readChunk(resp.Body, chunk)
		b.chunks = append(b.chunks, chunk[:n])
		b.size += n
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case b.size > maxResponseBytes:
			return errors.Mark(errors.Newf("response body exceeds the limit of %d bytes (%d bytes read)", maxResponseBytes, b.size), upstream.ErrMalformedResponse)
		}
		next = min(2*next, maxChunkBytes)
	}
}

// readChunk reads until the chunk is full or an error. Other than io.ReadFull it returns
// the error of the reader, which tells a whole body from a truncated one.
func readChunk(r io.Reader, chunk []byte) (n int, err error) {
	for n < len(chunk) && err == nil {
		var m int
		m, err = r.Read(chunk[n:])
		n += m
	}
	return n, err
}

// writeBody writes a body to the caller.
func (e *exchange) writeBody(b *responseBody) error {
	controller := http.NewResponseController(e.w)
	for _, chunk := range b.chunks {
		if b.size > unbudgetedResponseBytes {
			// Writers without support for deadlines are written to without one.
			_ = controller.SetWriteDeadline(time.Now().Add(chunkWriteTimeout))
		}
		if _, err := e.w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}
