package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
	// maxEventBytes bounds the data of one event, which may have several lines.
	maxEventBytes = 1 << 20
)

// event is one server-sent event.
type event struct {
	id   uint64
	data []byte
}

// eventReader reads server-sent events.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &eventReader{lines: lines}
}

// next returns the next event that has data. If the stream ends, within an event
// or between two, it returns io.ErrUnexpectedEOF: a stream is complete only with
// its end marker, after which next is not called.
func (e *eventReader) next() (event, error) {
	var ev event
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			if ev.data == nil {
				continue
			}
			return ev, nil
		}
		if err := ev.setField(line); err != nil {
			return event{}, err
		}
	}
	if err := e.lines.Err(); err != nil {
		return event{}, errors.Wrap(err, "read event stream")
	}
	return event{}, io.ErrUnexpectedEOF
}

// setField parses one line of the event. Fields other than id and data are
// ignored.
func (ev *event) setField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return errors.Wrap(err, "parse event id")
		}
		ev.id = id
	case "data":
		if ev.data != nil {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, value...)
		if len(ev.data) > maxEventBytes {
			return errors.Newf("event exceeds the limit of %d bytes (%d bytes read)", maxEventBytes, len(ev.data))
		}
	}
	return nil
}
