package edge

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
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
	// predictedStall, untuned, is how many times the expected time a first event may take.
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
	return max(firstStall, predictedStall*a.verdict.Inputs.PredictedLatency)
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
			whole, rest := wholeEvents(pending)
			good, wrong := a.stream.advance(whole)
			if err := a.pass(resp, whole[:good]); err != nil {
				return a.callerGone(err)
			}
			if wrong != nil {
				return a.broken(wrong)
			}
			pending = append(pending[:0], rest...)
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
	a.record.First = time.Since(a.sent)
	a.server.opts.Scheduler.Began(a.verdict.ID)
}

// wholeEvents splits off what comes after the last whole event.
func wholeEvents(pending []byte) (whole, rest []byte) {
	end := bytes.LastIndex(pending, []byte("\n\n")) + 1
	if end > 0 {
		end++
	}
	return pending[:end], pending[end:]
}

// advance notes whole events, and returns the length of those that may be passed
// on: an event whose id is not beyond the last would be a repeat.
func (s *streamState) advance(events []byte) (good int, err error) {
	for good < len(events) {
		i := bytes.Index(events[good:], []byte("\n\n"))
		if id := eventID(events[good : good+i+1]); id != "" {
			if !follows(s.lastID, id) {
				return good, errors.Newf("event %s after event %s", id, s.lastID)
			}
			s.lastID = id
			s.events++
		}
		good += i + 2
	}
	return good, nil
}

// follows tells whether an event's id may come after the last one. Ids that are
// no numbers can't be compared.
func follows(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err != nil || n > before
}

// pass sends whole events to the caller.
func (a *attempt) pass(resp *http.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	a.start(resp)
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
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
	a.exchange.record.Status = resp.StatusCode
	a.exchange.record.First = time.Since(a.arrived)
	a.server.counts.first.Record(a.exchange.record.First)
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
	a.exchange.record.Outcome = "served"
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
	a.result = admit.Abandoned
	return callerLeft, errors.Wrap(err, "write to the caller")
}
