package edge

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/admit"
)

const (
	// firstStall and nextStall bound the silence of a target before and between
	// the events of a stream that can be resumed elsewhere: well below the two
	// seconds after which callers give up.
	firstStall = 1200 * time.Millisecond
	nextStall  = 800 * time.Millisecond
	// predictedStall is how many times the expected time a first event may take.
	predictedStall = 3
	// streamBuffer is the size of one read from a stream in bytes.
	streamBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

// streamState is what the caller has of a stream.
type streamState struct {
	started bool
	lastID  string
	events  int
}

func (a *attempt) stallFirst() time.Duration {
	if !a.resumable() {
		return 0
	}
	return max(firstStall, predictedStall*a.verdict.Inputs.Predicted)
}

func (a *attempt) stallNext() time.Duration {
	if !a.resumable() {
		return 0
	}
	return max(nextStall, 4*a.route.GapObjective)
}

// relay passes whole events on as they come. What a broken stream leaves of an
// event is dropped.
func (a *attempt) relay(resp *http.Response) (ending, error) {
	var pending []byte
	buf := make([]byte, streamBuffer)
	stall := a.stallFirst()
	for {
		if err := a.conn.SetReadDeadline(a.readBy(stall)); err != nil {
			return a.broken(err)
		}
		n, err := resp.Body.Read(buf)
		if n > 0 {
			stall = a.stallNext()
			a.noteBegan()
			pending = append(pending, buf[:n]...)
			kept, perr := a.pass(resp, pending)
			if perr != nil {
				return a.callerGone(perr)
			}
			pending = kept
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			return a.complete(resp)
		case errors.Is(err, io.EOF):
			return a.broken(errors.New("the stream ended within an event"))
		case err != nil:
			return a.broken(err)
		case len(pending) > maxEvent:
			return a.broken(errors.Newf("an event is over %d bytes", maxEvent))
		}
	}
}

func (a *attempt) noteBegan() {
	if a.began {
		return
	}
	a.began = true
	a.entry.First = time.Since(a.sent)
	a.server.opts.Scheduler.Began(a.verdict.ID)
}

// pass sends the whole events at the head of pending and returns the rest.
func (a *attempt) pass(resp *http.Response, pending []byte) ([]byte, error) {
	end := bytes.LastIndex(pending, []byte("\n\n"))
	if end < 0 {
		return pending, nil
	}
	whole := pending[:end+2]
	a.start(resp)
	for rest := whole; len(rest) > 0; {
		i := bytes.Index(rest, []byte("\n\n"))
		if id := eventID(rest[:i+1]); id != "" {
			a.stream.lastID = id
			a.stream.events++
		}
		rest = rest[i+2:]
	}
	if _, err := a.w.Write(whole); err != nil {
		return nil, err
	}
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return nil, err
	}
	return append(pending[:0], pending[end+2:]...), nil
}

// start sends the head of the answer, once: a resumed stream keeps the first.
func (a *attempt) start(resp *http.Response) {
	if a.stream.started {
		return
	}
	a.stream.started = true
	a.server.opts.Dialect.Answer(a.w.Header(), resp.Header)
	a.w.Header().Del("Content-Length")
	a.w.WriteHeader(resp.StatusCode)
	a.exchange.entry.Status = resp.StatusCode
	a.exchange.entry.First = time.Since(a.arrived)
	a.server.counts.first.Record(a.exchange.entry.First)
}

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		event = rest
	}
	return ""
}

func (a *attempt) complete(resp *http.Response) (ending, error) {
	a.start(resp)
	a.server.opts.Pool.Finish(a.conn)
	a.result = admit.Served
	a.exchange.entry.Outcome = "served"
	return delivered, nil
}

func (a *attempt) broken(err error) (ending, error) {
	a.conn.Close()
	a.result, a.brokeOff = admit.Failed, true
	return unknown, errors.Wrap(err, "read the stream")
}

// callerGone ends an attempt whose events the caller does not take.
func (a *attempt) callerGone(err error) (ending, error) {
	a.conn.Close()
	a.result = admit.Left
	return over, errors.Wrap(err, "write to the caller")
}
