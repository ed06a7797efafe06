package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/sock"
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
	// body, and lateWriteTimeout the same after the request's deadline, so that a caller
	// that doesn't read holds neither a part of the budget nor a stop of the router.
	chunkWriteTimeout = 10 * time.Second
	lateWriteTimeout  = time.Second
	// maxHeldResponseBytes bounds what one request holds of responses: an error response that
	// is kept while another target is tried, and that target's.
	maxHeldResponseBytes = 2 * (maxResponseBytes + maxChunkBytes)
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
// request has reserved held so far, and returns what it has reserved now. If there is no room,
// it waits up to patience. The request holds it until releaseResponse or its end.
func (e *exchange) reserveResponse(held int64, n int, patience time.Duration) (int64, error) {
	need := int64(max(0, n-unbudgetedResponseBytes)+minChunkBytes-1) / minChunkBytes * minChunkBytes
	if need <= held {
		return held, nil
	}
	err := e.responseHeld.reserve(need-held, patience)
	switch {
	case err == nil:
		return need, nil
	case errors.Is(err, errYielded):
		return held, err
	default:
		e.server.counts.responsesFull.Inc(1)
		return held, errors.Wrapf(errors.Mark(err, errResponsesFull), "%d bytes read", n)
	}
}

func (e *exchange) releaseResponse(n int64) { e.responseHeld.release(n) }

// responsePatience is how long a whole response may wait for room.
func (e *exchange) responsePatience() time.Duration {
	return max(0, min(responseRoomWait, time.Until(e.deadline)))
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
	counted := *resp
	counted.Body = struct {
		io.Reader
		io.Closer
	}{&progressReader{read: resp.Body.Read, holding: &e.responseHeld}, resp.Body}
	err := body.readFrom(&counted, func(size int) (err error) {
		held, err = e.reserveResponse(held, size, e.responsePatience())
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

// writeBody writes a body to the caller. net/http clears the write deadline when the
// request has ended. A caller that reads slowly gets all of it, also after its deadline.
func (e *exchange) writeBody(b *responseBody) error {
	controller := http.NewResponseController(e.w)
	if e.responseHeld.bytes == 0 {
		return e.writeChunks(controller, b)
	}
	end := e.watchWrites(sock.WriteWatch{Renewal: chunkWriteTimeout})
	err := e.writeChunks(controller, b)
	if err == nil {
		// What net/http has buffered is written within the watch, too.
		err = ignoreNotSupported(controller.Flush())
	}
	if end() && err != nil {
		return errors.CombineErrors(errYielded, err)
	}
	return err
}

func (e *exchange) writeChunks(controller *http.ResponseController, b *responseBody) error {
	for _, chunk := range b.chunks {
		// Writers without support for deadlines are written to without one.
		_ = controller.SetWriteDeadline(e.chunkDeadline(time.Now()))
		if _, err := e.w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// chunkDeadline returns the time until which the caller must have accepted a chunk.
func (e *exchange) chunkDeadline(now time.Time) time.Time {
	deadline := now.Add(chunkWriteTimeout)
	last := e.deadline
	if last.Before(now) {
		last = now
	}
	if last = last.Add(lateWriteTimeout); last.Before(deadline) {
		return last
	}
	return deadline
}
