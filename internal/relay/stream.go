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
	// maxResumes without a further event before a stream is given up.
	maxResumes = 3
	// progressEvery events the scheduler is told of the service used.
	progressEvery = 32
)

var doneData = []byte("[DONE]")

// errGap says that an event is missing.
var errGap = errors.New("an event is missing")

// chunk holds the fields of an answer or of a part that the relay checks.
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

// stream is the state of one streamed answer over its resumes.
type stream struct {
	attempt *attempt
	last    uint64
	// counted is set once the event before the end marker, which carries the
	// usage, was passed on. An end marker names no request: one that comes
	// earlier ends another stream.
	counted bool
	done    bool
}

// passStream passes on server-sent events up to and with the end marker. A
// stream that breaks off is resumed after the last event passed on.
func (a *attempt) passStream(resp *http.Response) error {
	s := &stream{attempt: a}
	err := s.pass(resp)
	for tries := 0; !s.done && tries < maxResumes; tries++ {
		if errors.Is(err, filter.ErrIncomplete) || a.ctx.Err() != nil {
			break
		}
		before := s.last
		err = s.resume()
		if s.last > before {
			tries = 0
		}
	}
	if s.done {
		return nil
	}
	return s.giveUp(err)
}

func (s *stream) giveUp(err error) error {
	a := s.attempt
	a.client.counts.cut.Inc(1)
	if errors.Is(err, filter.ErrIncomplete) {
		a.client.cancel(a.call)
		return filter.ErrIncomplete
	}
	return a.unread()
}

// resume asks the engine for the events after the last one.
func (s *stream) resume() error {
	a := s.attempt
	req, err := http.NewRequestWithContext(a.ctx, http.MethodGet, streamURL(a.call), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build the resume")
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(s.last, 10))
	resp, err := a.client.shared.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "resume at %s", a.call.Target)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("resume at %s: %s", a.call.Target, resp.Status)
	}
	a.client.counts.resumed.Inc(1)
	return s.pass(resp)
}

// pass reads events until the end marker or an error.
func (s *stream) pass(resp *http.Response) error {
	reader := newEventReader(s.attempt.body(resp))
	for !s.done {
		ev, err := reader.next()
		if err != nil {
			return err
		}
		if err := s.take(resp, ev); err != nil {
			return err
		}
	}
	return nil
}

// take checks one event and passes it on. Events must come without a gap;
// those seen before and those of other requests are dropped.
func (s *stream) take(resp *http.Response, ev event) error {
	if ev.id <= s.last {
		return nil
	}
	if ev.id != s.last+1 {
		return errGap
	}
	end := bytes.Equal(ev.data, doneData)
	if end && !s.counted || !end && !s.own(ev.data) {
		return errGap
	}
	s.last = ev.id
	if err := s.forward(resp, ev.data); err != nil {
		return err
	}
	s.done = end
	return nil
}

func (s *stream) own(data []byte) bool {
	a := s.attempt
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false
	}
	if c.ID != a.call.Attempt {
		a.client.counts.crossed.Inc(1)
		return false
	}
	if c.Usage != nil {
		a.usage = *c.Usage
		s.counted = true
	}
	return true
}

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
	if a.events%progressEvery == 0 && a.call.Progress != nil {
		a.call.Progress(float64(a.events))
	}
	return nil
}
