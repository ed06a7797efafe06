package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/filter"
)

const (
	// maxResumes bounds the consecutive resumes that yield no further event; after
	// them the stream ends incomplete.
	maxResumes = 3
	// progressIntervalEvents is the number of events between two reports of the
	// service used to the scheduler.
	progressIntervalEvents = 32
)

// doneData is the data of the end marker.
var doneData = []byte("[DONE]")

// errUnexpectedEvent is returned for an event that is out of sequence, belongs to
// another request or ends the stream before the usage was received.
var errUnexpectedEvent = errors.New("event out of sequence, of another request, or end marker before usage")

// chunk holds the fields that the relay checks of a full response or of one
// event's data.
type chunk struct {
	ID    string `json:"id"`
	Usage *usage `json:"usage"`
}

type usage struct {
	TotalTokens float64 `json:"total_tokens"`
}

func (c *chunk) usage() usage {
	if c.Usage == nil {
		return usage{}
	}
	return *c.Usage
}

// stream is the state of one streamed response across its resumes.
type stream struct {
	attempt *attempt
	// lastEventID is the ID of the last event forwarded.
	lastEventID uint64
	// usageReceived is set once the event before the end marker, which carries the
	// usage, was accepted. An end marker carries no request ID: one that arrives
	// earlier belongs to another stream.
	usageReceived bool
	// done is set once the end marker was forwarded.
	done bool
}

// relayStream forwards server-sent events up to and including the end marker. A
// stream that is interrupted is resumed after the last event forwarded.
func (a *attempt) relayStream(resp *http.Response) error {
	s := &stream{attempt: a}
	err := s.readEvents(resp)
	for resumes := 0; !s.done && resumes < maxResumes; resumes++ {
		if errors.Is(err, filter.ErrIncomplete) || a.ctx.Err() != nil {
			break
		}
		before := s.lastEventID
		err = s.resume()
		if s.lastEventID > before {
			resumes = 0
		}
	}
	if s.done {
		return nil
	}
	return s.endIncomplete(err)
}

// endIncomplete ends a stream whose end marker was not received and returns the
// attempt's error.
func (s *stream) endIncomplete(err error) error {
	a := s.attempt
	a.client.counts.truncated.Inc(1)
	if errors.Is(err, filter.ErrIncomplete) {
		a.client.cancelAsync(a.call)
		return filter.ErrIncomplete
	}
	return a.endTruncated()
}

// resume requests from the engine the events after the last one forwarded, and
// forwards them.
func (s *stream) resume() error {
	a := s.attempt
	req, err := http.NewRequestWithContext(a.ctx, http.MethodGet, streamURL(a.call), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build resume request")
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(s.lastEventID, 10))
	resp, err := a.client.shared.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "resume stream at target %s", a.call.Target)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("resume stream at target %s: got status %s, want 200 OK", a.call.Target, resp.Status)
	}
	a.client.counts.resumed.Inc(1)
	return s.readEvents(resp)
}

// readEvents reads and forwards events until the end marker or an error.
func (s *stream) readEvents(resp *http.Response) error {
	reader := newEventReader(s.attempt.watchedBody(resp))
	for !s.done {
		ev, err := reader.next()
		if err != nil {
			return err
		}
		if err := s.handleEvent(resp, ev); err != nil {
			return err
		}
	}
	return nil
}

// handleEvent checks one event and forwards it. Events must arrive without a gap.
// An event that was forwarded before is dropped. One after a gap or of another
// request is dropped with errUnexpectedEvent, after which the stream is resumed.
func (s *stream) handleEvent(resp *http.Response, ev event) error {
	if ev.id <= s.lastEventID {
		return nil
	}
	if ev.id != s.lastEventID+1 {
		return errUnexpectedEvent
	}
	isEnd := bytes.Equal(ev.data, doneData)
	if isEnd && !s.usageReceived || !isEnd && !s.isOwnChunk(ev.data) {
		return errUnexpectedEvent
	}
	s.lastEventID = ev.id
	if err := s.forward(resp, ev.data); err != nil {
		return err
	}
	s.done = isEnd
	return nil
}

// isOwnChunk reports whether an event's data belongs to this attempt, and records
// the usage that it carries.
func (s *stream) isOwnChunk(data []byte) bool {
	a := s.attempt
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false
	}
	if c.ID != a.call.AttemptID {
		a.client.counts.mismatched.Inc(1)
		return false
	}
	if c.Usage != nil {
		a.usage = *c.Usage
		s.usageReceived = true
	}
	return true
}

// forward sends an event's data to the caller without the event's ID.
func (s *stream) forward(resp *http.Response, data []byte) error {
	a := s.attempt
	a.commit(resp)
	frame := make([]byte, 0, len(data)+len("data: \n\n"))
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	if err := a.write(frame); err != nil {
		return err
	}
	if err := a.out.Flush(); err != nil && !a.call.OnceOnly {
		return filter.ErrIncomplete
	}
	a.events++
	if a.events%progressIntervalEvents == 0 && a.call.Progress != nil {
		a.call.Progress(float64(a.events))
	}
	return nil
}
