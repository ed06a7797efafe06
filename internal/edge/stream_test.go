package edge

import (
	"strings"
	"testing"
)

// A target that resumes a stream may send events again that the caller already
// has. They must not reach the caller a second time.
func TestAdvanceStopsAtDuplicateEvent(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for _, c := range []struct {
		name, last, events string
		valid              int
		lastID             string
		wantErr            bool
	}{
		{"in order", "", one + two, len(one + two), "2", false},
		{"skipped id is accepted", "1", three, len(three), "3", false},
		{"duplicate after valid events", "1", two + one + three, len(two), "2", true},
		{"duplicate of the last event", "2", two, 0, "2", true},
		{"event without an id", "2", "data: x\n\n" + three, len("data: x\n\n" + three), "3", false},
		{"ids that are not numbers", "b", "id: a\n\n", len("id: a\n\n"), "a", false},
	} {
		s := streamState{lastID: c.last}
		valid, err := s.advance([]byte(c.events))
		if valid != c.valid || s.lastID != c.lastID || (err != nil) != c.wantErr {
			t.Errorf("%s: got %d bytes up to id %q, error %v", c.name, valid, s.lastID, err)
		}
	}
}

// A read may end within an event. Its part must be kept until the rest arrives.
func TestSplitEventsKeepsPartialEvent(t *testing.T) {
	for in, want := range map[string]string{"": "", "id: 1": "", "id: 1\n\n": "id: 1\n\n", "id: 1\n\nid: 2\n": "id: 1\n\n"} {
		// The event before the last byte that was scanned is partial.
		for unscanned := range max(1, strings.Index(in, "\n\n")+1) {
			complete, partial := splitEvents([]byte(in), unscanned)
			if string(complete) != want || string(complete)+string(partial) != in {
				t.Errorf("splitEvents(%q, %d): got complete events %q and partial event %q", in, unscanned, complete, partial)
			}
		}
	}
}

// BenchmarkSplitLargeEvent splits an event that arrives in reads of streamBufferBytes.
func BenchmarkSplitLargeEvent(b *testing.B) {
	event := make([]byte, maxEventBytes)
	for b.Loop() {
		for n := streamBufferBytes; n <= len(event); n += streamBufferBytes {
			if complete, _ := splitEvents(event[:n], max(0, n-streamBufferBytes-1)); len(complete) > 0 {
				b.Fatal("got an event, want none")
			}
		}
	}
}
