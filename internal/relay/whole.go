package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/umberhill/umberhill/internal/filter"
)

// bufferedService is how much of a plain service's answer is read before any
// of it is passed on, in bytes, so that a short one can still be retried.
const bufferedService = 1 << 20

// passWhole passes on an engine's answer that is not streamed: read in full,
// checked, then sent.
func (a *attempt) passWhole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(a.body(resp), maxWhole+1))
	if err != nil {
		return a.unread()
	}
	if len(body) > maxWhole {
		return a.broken("the answer is too large")
	}
	if resp.StatusCode == http.StatusOK && !a.ownBody(body) {
		a.client.counts.crossed.Inc(1)
		return a.broken("the answer belongs to another request")
	}
	a.commit(resp)
	return a.write(body)
}

func (a *attempt) ownBody(body []byte) bool {
	var answer chunk
	if err := json.Unmarshal(body, &answer); err != nil {
		return false
	}
	a.usage = answer.usage()
	return answer.ID == a.call.Attempt
}

// passService passes on a plain service's answer, whatever its status.
func (a *attempt) passService(resp *http.Response) error {
	source := a.body(resp)
	head, err := io.ReadAll(io.LimitReader(source, bufferedService))
	if err != nil {
		return a.unread()
	}
	a.commit(resp)
	if err := a.write(head); err != nil {
		return err
	}
	if len(head) < bufferedService {
		return nil
	}
	return a.copyRest(source)
}

func (a *attempt) copyRest(source io.Reader) error {
	buf := make([]byte, 64<<10)
	for {
		n, err := source.Read(buf)
		if werr := a.write(buf[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return a.unread()
		}
	}
}

// write sends bytes to the caller. Once-only work goes on without its caller,
// so there a lost caller ends only the answer.
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

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
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
		if !hopHeaders[name] {
			dst[name] = values
		}
	}
}
