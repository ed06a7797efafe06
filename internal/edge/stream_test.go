package edge

import "testing"

func TestAdvanceStopsAtARepeat(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for _, c := range []struct {
		name, last, events string
		good               int
		lastID             string
		wrong              bool
	}{
		{"in order", "", one + two, len(one + two), "2", false},
		{"a gap is the target's", "1", three, len(three), "3", false},
		{"a repeat after good ones", "1", two + one + three, len(two), "2", true},
		{"the last again", "2", two, 0, "2", true},
		{"without an id", "2", "data: x\n\n" + three, len("data: x\n\n" + three), "3", false},
		{"no numbers", "b", "id: a\n\n", len("id: a\n\n"), "a", false},
	} {
		s := streamState{lastID: c.last}
		good, err := s.advance([]byte(c.events))
		if good != c.good || s.lastID != c.lastID || (err != nil) != c.wrong {
			t.Errorf("%s: %d bytes up to %q, %v", c.name, good, s.lastID, err)
		}
	}
}

func TestWholeEventsLeavesThePartOfOne(t *testing.T) {
	for in, want := range map[string]string{"": "", "id: 1": "", "id: 1\n\n": "id: 1\n\n", "id: 1\n\nid: 2\n": "id: 1\n\n"} {
		whole, rest := wholeEvents([]byte(in))
		if string(whole) != want || string(whole)+string(rest) != in {
			t.Errorf("%q: %q and %q", in, whole, rest)
		}
	}
}
