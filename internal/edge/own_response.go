package edge

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// maxExtraResponses bounds the responses of other requests that are skipped before the
	// one that is waited for. A sound target writes none.
	maxExtraResponses = 3
	// maxExtraBodyBytes bounds the body of each. A longer one is not worth reading for a
	// connection.
	maxExtraBodyBytes = 64 << 10
)

// errIncompleteExtra is the reason for which the response behind an extra one is not read.
var errIncompleteExtra = errors.New("extra response has no end on the connection, or a long body")

// receiveOwn receives the head of the response to this request, unless that is done. On a connection that has
// carried other requests, it skips extra responses, which may arrive where the next response
// is expected. If it fails, it closes the connection.
func (a *attempt) receiveOwn() (ResponseMeta, error) {
	if a.resp != nil {
		return a.server.opts.Headers.DecodeResponse(a.resp), nil
	}
	for extra := 0; ; extra++ {
		if err := a.receive(); err != nil {
			return ResponseMeta{}, err
		}
		meta := a.server.opts.Headers.DecodeResponse(a.resp)
		a.reportStatement(a.resp.StatusCode, meta)
		if a.isOwn(meta) {
			a.record.Status = a.resp.StatusCode
			return meta, nil
		}
		message := "response carries the id of another request"
		if meta.ID == "" {
			message = "response without a request id"
		}
		if !a.conn.IsReused() || extra >= maxExtraResponses {
			return ResponseMeta{}, a.rejectResponse(message)
		}
		a.server.counts.responsesExtra.Inc(1)
		a.record.ExtraResponses++
		a.conn.DisableReuse()
		if err := skipBody(a.resp); err != nil {
			return ResponseMeta{}, errors.CombineErrors(a.rejectResponse(message), err)
		}
	}
}

// isOwn reports whether a response is that to this request, by its id. Without an id, a
// refusal that promises that the request did not run is its own only on a connection that has
// carried no other request: it may be an earlier one once more.
func (a *attempt) isOwn(meta ResponseMeta) bool {
	if meta.ID == a.meta.ID {
		return true
	}
	return meta.ID == "" && meta.NotRun && !a.conn.IsReused()
}

// skipBody reads the body of a response up to its end, after which another response may
// follow.
func skipBody(resp *http.Response) error {
	if resp.Close || upstream.EndsWithConn(resp) {
		return errIncompleteExtra
	}
	n, err := io.CopyN(io.Discard, resp.Body, maxExtraBodyBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil || n > maxExtraBodyBytes:
		return errIncompleteExtra
	}
	return errors.Wrap(err, "skip an extra response")
}
