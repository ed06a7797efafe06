package edge

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// streamState is the part of a stream that the caller has, and decides what may follow it.
//
// Invariant: the events of a response with several parts are those of one run. A part is
// joined only if its first event is known to follow the last one of the part before, and the
// response ends as complete only if its last part has such an event: a stream that is cut can
// be resumed by its caller, one that is joined wrongly can't be told from a sound one.
type streamState struct {
	// started is set once the head of the response was sent to the caller, and status is
	// the status that it had.
	started bool
	status  int
	// lastID is the id of the last event that the caller has, of this response or of the one
	// that it resumes. It is empty for none.
	lastID string
	// isConsecutive is set if each id so far was one greater than the id before, which
	// shows that the target numbers events without gaps.
	isConsecutive bool
	// endsUnnumbered is set if the caller has events without an id after lastID. No target
	// can be asked to go on after them.
	endsUnnumbered bool
	// isJoining is set from the start of a further part up to its first event.
	isJoining bool
	// events is the number of events with an id that were sent to the caller.
	events int
}

// canContinue reports whether another target can be asked for the rest of the stream.
func (s *streamState) canContinue() bool {
	return !s.started || s.status == http.StatusOK && !s.endsUnnumbered
}

// checkHead returns an error if a response can't be the rest of the stream, by its head. A
// stream that has not started may begin with each response.
func (s *streamState) checkHead(status int, isEventStream, isSigned bool) error {
	switch {
	case !s.started:
		return nil
	case status != http.StatusOK || s.status != http.StatusOK:
		return errors.Newf("target answered status %d to the continuation of a stream with status %d", status, s.status)
	case !isSigned:
		return errors.New("continuation of a stream without the target's signature")
	case !isEventStream:
		return errors.New("continuation of a stream is not an event stream")
	}
	return nil
}

// beginPart records that a response which checkHead has accepted follows.
func (s *streamState) beginPart() { s.isJoining = s.started }

// checkEnd returns an error if the stream is not complete although its last part has ended
// properly. A part without an event does not show that it belongs to the stream: its target
// may have lost the run, or the one before may have failed after the last event.
func (s *streamState) checkEnd() error {
	if s.isJoining {
		return errors.Newf("continuation of a stream after event %q has no events", s.lastID)
	}
	return nil
}

// advance records complete events and returns the number of bytes that may be sent to the
// caller. It returns an error at an event that can't follow.
func (s *streamState) advance(events []byte) (valid int, err error) {
	for valid < len(events) {
		i := bytes.Index(events[valid:], []byte("\n\n"))
		event := events[valid : valid+i+1]
		if id := eventID(event); id != "" {
			if err := s.follow(id); err != nil {
				return valid, err
			}
			s.events++
		} else if err := s.followUnnumbered(event); err != nil {
			return valid, err
		}
		valid += i + 2
	}
	return valid, nil
}

// follow records an event with an id. Ids that are not numbers can't be compared: among them
// only a repetition of the last event is found.
func (s *streamState) follow(id string) error {
	number, isNumber := parseEventID(id)
	last, lastIsNumber := parseEventID(s.lastID)
	isFirst := s.events == 0
	// Targets that number events without gaps begin at 0 or 1.
	isNext := isNumber && (lastIsNumber && number == last+1 || s.lastID == "" && number <= 1)
	switch {
	case isNumber && lastIsNumber && number <= last:
		return errors.Newf("event id %s is not greater than the last id %s", id, s.lastID)
	case s.lastID == "":
	case (s.isJoining || isFirst) && id == s.lastID:
		return errors.Newf("event id %s is the last one once more", id)
	case s.isJoining && isNumber != lastIsNumber:
		return errors.Newf("event id %s can't be compared with the last id %s", id, s.lastID)
	case s.isJoining && s.isConsecutive && !isNext:
		return errors.Newf("events between the ids %s and %s are missing", s.lastID, id)
	}
	s.isConsecutive = isNext && (isFirst || s.isConsecutive)
	s.lastID, s.isJoining, s.endsUnnumbered = id, false, false
	return nil
}

func parseEventID(id string) (number uint64, isNumber bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

// followUnnumbered records an event without an id. At the start of a further part it may be a
// repetition, or no event at all, unless it is one that has no effect at the caller.
func (s *streamState) followUnnumbered(event []byte) error {
	if isInert(event) {
		return nil
	}
	if s.isJoining {
		return errors.Newf("event without an id follows the id %q in the continuation of a stream", s.lastID)
	}
	s.endsUnnumbered = true
	return nil
}

// isInert reports whether an event has only comments and fields that cause no event at the
// caller by themselves.
func isInert(event []byte) bool {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		isInertLine := len(line) == 0 || line[0] == ':' || bytes.HasPrefix(line, []byte("retry:")) || bytes.HasPrefix(line, []byte("event:"))
		if !isInertLine {
			return false
		}
		event = rest
	}
	return true
}

// eventID returns the id of an event, empty for none. Of several events it is the first id.
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
