package edge

import (
	"fmt"
	"strings"
	"testing"
)

// numbered returns events with the ids.
func numbered(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %s\ndata: x\n\n", id)
	}
	return b.String()
}

// Guards against a further part of a stream that repeats events, leaves some out or belongs to
// another run, and against a sound one that is not accepted.
func TestFurtherPartFollowsTheLastEvent(t *testing.T) {
	const plain = "data: x\n\n"
	for name, c := range map[string]struct {
		// callerHas is the caller's Last-Event-Id.
		callerHas           string
		first, next, forged string
	}{
		"numbered from 1":                         {first: numbered("1", "2"), next: numbered("3", "4")},
		"numbered from 0":                         {first: numbered("0", "1"), next: numbered("2")},
		"one event":                               {first: numbered("1"), next: numbered("2"), forged: numbered("3")},
		"begins again":                            {first: numbered("1", "2"), forged: numbered("1", "2", "3")},
		"repeats the last event":                  {first: numbered("1", "2"), forged: numbered("2", "3")},
		"leaves out an event":                     {first: numbered("1", "2"), forged: numbered("4")},
		"numbered with gaps":                      {first: numbered("1", "5", "9"), next: numbered("12"), forged: numbered("9")},
		"first id with a gap":                     {first: numbered("4", "5"), next: numbered("8"), forged: numbered("5")},
		"goes on after the caller's event":        {callerHas: "7", first: numbered("8", "9"), next: numbered("10"), forged: numbered("11")},
		"gap after the caller's event":            {callerHas: "7", first: numbered("9", "10"), next: numbered("12"), forged: numbered("10")},
		"no event after the caller's":             {callerHas: "7", first: ": alive\n\n", next: numbered("8"), forged: numbered("7")},
		"only a comment":                          {first: ": alive\n\n", next: numbered("1")},
		"ids that are not numbers":                {first: numbered("a", "b"), next: numbered("a"), forged: numbered("b")},
		"from numbers to others":                  {first: numbered("1", "2"), forged: numbered("c")},
		"from others to numbers":                  {first: numbered("a"), forged: numbered("2")},
		"number beyond 64 bits":                   {first: numbered("1", "2"), forged: numbered("18446744073709551617")},
		"largest number":                          {first: numbered("18446744073709551615"), forged: numbered("0")},
		"comment first":                           {first: numbered("1"), next: ": alive\n\n" + numbered("2")},
		"reconnection time first":                 {first: numbered("1"), next: "retry: 100\n\n" + numbered("2")},
		"event without an id first":               {first: numbered("1"), forged: plain + numbered("2")},
		"event without an id later":               {first: numbered("1"), next: numbered("2") + plain},
		"lines that are no fields":                {first: numbered("1"), forged: "HTTP/1.1 500 Error\nContent-Length: 0\n\n"},
		"event without an id between, then an id": {first: numbered("1") + plain + numbered("2"), next: numbered("3")},
	} {
		for _, part := range []struct {
			name, events string
			wantErr      bool
		}{{"next", c.next, false}, {"forged", c.forged, true}} {
			if part.events == "" {
				continue
			}
			s := streamState{lastID: c.callerHas}
			s.beginPart()
			if _, err := s.advance([]byte(c.first)); err != nil {
				t.Fatalf("%s: got error %v in the first part, want none", name, err)
			}
			s.started, s.status = true, 200
			if !s.canContinue() {
				t.Errorf("%s: got a stream that can't be continued", name)
			}
			s.beginPart()
			if err := s.checkEnd(); err == nil {
				t.Errorf("%s: got a complete stream after a further part without events", name)
			}
			valid, err := s.advance([]byte(part.events))
			if (err != nil) != part.wantErr || part.wantErr && valid != 0 {
				t.Errorf("%s: got %d bytes of the %s part, error %v", name, valid, part.name, err)
			}
			if err := s.checkEnd(); (err != nil) != part.wantErr {
				t.Errorf("%s: got error %v at the end of the %s part", name, err, part.name)
			}
		}
	}
}

// Guards against a repetition of what the caller of a resumed stream has already, and against
// a resumption that is refused for what the caller can judge itself.
func TestResumedCallerGetsOnlyLaterEvents(t *testing.T) {
	for _, c := range []struct {
		last, events string
		wantErr      bool
	}{
		{"7", numbered("8"), false},
		{"7", numbered("20"), false},
		{"7", numbered("a"), false},
		{"7", "data: x\n\n", false},
		{"7", "", false},
		{"7", numbered("1"), true},
		{"7", numbered("7"), true},
		{"a", numbered("a"), true},
		{"a", numbered("b"), false},
		{"a", numbered("1"), false},
	} {
		s := streamState{lastID: c.last}
		s.beginPart()
		_, err := s.advance([]byte(c.events))
		if (err != nil) != c.wantErr || s.checkEnd() != nil {
			t.Errorf("%q after event %q: got error %v, want one: %v", c.events, c.last, err, c.wantErr)
		}
	}
}

// Guards against a request for the rest of a stream that no target can know.
func TestOnlyAKnownPositionIsContinued(t *testing.T) {
	for _, c := range []struct {
		status int
		events string
		want   bool
	}{
		{200, numbered("1"), true},
		{200, ": alive\n\n", true},
		{200, numbered("1") + "data: x\n\n", false},
		{200, "data: x\n\n", false},
		{206, numbered("1"), false},
		{202, numbered("1"), false},
	} {
		s := streamState{}
		if _, err := s.advance([]byte(c.events)); err != nil {
			t.Fatal(err)
		}
		if s.started, s.status = true, c.status; s.canContinue() != c.want {
			t.Errorf("status %d, %q: got %v, want %v", c.status, c.events, !c.want, c.want)
		}
	}
}

// Guards against a response that is joined to a stream by its events alone.
func TestHeadOfAFurtherPart(t *testing.T) {
	for _, c := range []struct {
		first, next      int
		isStream, signed bool
		want             bool
	}{
		{200, 200, true, true, true},
		{200, 200, false, true, false},
		{200, 200, true, false, false},
		{200, 206, true, true, false},
		{200, 204, true, true, false},
		{200, 500, true, true, false},
		{206, 206, true, true, false},
	} {
		s := streamState{started: true, status: c.first}
		if err := s.checkHead(c.next, c.isStream, c.signed); (err == nil) != c.want {
			t.Errorf("%+v: got error %v", c, err)
		}
		if err := new(streamState).checkHead(c.next, c.isStream, c.signed); err != nil {
			t.Errorf("%+v: got error %v for the first part, want none", c, err)
		}
	}
}
