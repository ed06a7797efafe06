package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/umberhill/umberhill/internal/filter"
)

// serviceBufferBytes is how much of a plain service's response is read before
// any of it is forwarded, so that a shorter one can still be retried.
const serviceBufferBytes = 1 << 20

// relayFullResponse forwards an engine's response that is not streamed, after it
// was read in full and checked.
func (a *attempt) relayFullResponse(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(a.watchedBody(resp), maxResponseBytes+1))
	if err != nil {
		return a.endTruncated()
	}
	if len(body) > maxResponseBytes {
		return a.endFailed("the answer is too large")
	}
	if resp.StatusCode == http.StatusOK && !a.isOwnBody(body) {
		a.client.counts.mismatched.Inc(1)
		return a.endFailed("the answer belongs to another request")
	}
	a.commit(resp)
	return a.write(body)
}

// isOwnBody reports whether an engine's response body belongs to this attempt, and
// records its usage.
func (a *attempt) isOwnBody(body []byte) bool {
	var c chunk
	if err := json.Unmarshal(body, &c); err != nil {
		return false
	}
	a.usage = c.usage()
	return c.ID == a.call.AttemptID
}

// relayServiceResponse forwards a plain service's response, whatever its status.
func (a *attempt) relayServiceResponse(resp *http.Response) error {
	source := a.watchedBody(resp)
	head, err := io.ReadAll(io.LimitReader(source, serviceBufferBytes))
	if err != nil {
		return a.endTruncated()
	}
	a.commit(resp)
	if err := a.write(head); err != nil {
		return err
	}
	if len(head) < serviceBufferBytes {
		return nil
	}
	return a.copyRemainder(source)
}

// copyRemainder forwards the rest of a response whose first serviceBufferBytes
// were forwarded.
func (a *attempt) copyRemainder(source io.Reader) error {
	buf := make([]byte, 64<<10)
	for {
		n, err := source.Read(buf)
		if writeErr := a.write(buf[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return a.endTruncated()
		}
	}
}

// write sends bytes to the caller. A once-only request continues without its
// caller, so a write error does not end its attempt.
func (a *attempt) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := a.out.Write(p)
	if err != nil && !a.call.OnceOnly {
		return filter.ErrIncomplete
	}
	return nil
}

// hopByHopHeaders are those response headers that apply to one connection only,
// and AttemptHeader. They are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	AttemptHeader:         true,
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !hopByHopHeaders[name] {
			dst[name] = values
		}
	}
}
