package streams_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/streams"
)

var start = time.Unix(1000, 0)

const maxListAge = 2 * time.Second

func note(request, version string) streams.Note {
	return streams.Note{Stream: streams.NewID(request), Origin: streams.Origin{Service: "llm", Version: version}}
}

func listed(versions ...string) map[string]map[string]bool {
	set := make(map[string]bool)
	for _, v := range versions {
		set[v] = true
	}
	return map[string]map[string]bool{"llm": set}
}

// Guards against an origin that is forgotten while callers may resume the stream, and
// against one that is kept for good.
func TestOriginIsKnownForTTL(t *testing.T) {
	table, n := streams.New(start, maxListAge), note("a", "v1")
	table.Record(start, n)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {streams.TTL, true}, {streams.TTL + 1, false}} {
		if origin, known := table.Origin(start.Add(c.after), n.Stream); known != c.want || known && origin != n.Origin {
			t.Errorf("after %v: got origin %+v, known %t, want known %t", c.after, origin, known, c.want)
		}
	}
}

// Guards against a table that grows without bound, and against a later note of a stream that
// is forgotten with the first one.
func TestStreamsAreBoundedAndTheLatestNoteIsKept(t *testing.T) {
	table := streams.New(start, maxListAge)
	table.Record(start, note("again", "v1"))
	const added = 40000
	for i := range added {
		at := start.Add(time.Duration(i+1) * time.Microsecond)
		if i == added/2 {
			table.Record(at, note("again", "v1"))
		}
		table.Record(at, note(fmt.Sprint(i), "v1"))
	}
	now := start.Add(time.Second)
	if origin, known := table.Origin(now, streams.NewID("again")); !known || origin.Version != "v1" {
		t.Errorf("stream noted twice: got %+v, known %t, want v1", origin, known)
	}
	if _, known := table.Origin(now, streams.NewID("0")); known {
		t.Errorf("the oldest of %d streams is still known, want it forgotten", added)
	}
	if _, known := table.Origin(now, streams.NewID(fmt.Sprint(added-1))); !known {
		t.Error("the newest stream is unknown")
	}
}

// Guards against the note of an earlier attempt that arrives late, and is taken for the origin
// of a stream that began elsewhere (ORDER).
func TestNotesThatDifferTellNoOrigin(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2"}, {"v2", "v1"}, {"v1", "v2", "v2"}, {"v1", "v2", "v1"}} {
		table := streams.New(start, maxListAge)
		for i, version := range versions {
			table.Record(start.Add(time.Duration(i)*time.Second), note("a", version))
		}
		now := start.Add(streams.TTL)
		if origin, known := table.Origin(now, streams.NewID("a")); known {
			t.Errorf("notes of %v: got origin %+v, want none", versions, origin)
		}
		later := now.Add(streams.TTL)
		table.Record(later, note("a", "v2"))
		if origin, known := table.Origin(later, streams.NewID("a")); !known || origin.Version != "v2" {
			t.Errorf("note of v2 after those have expired: got origin %+v, known %t, want v2", origin, known)
		}
	}
}

// Guards against notes that peers never receive: those of streams that began before a second
// version was listed.
func TestNotesAreSentOnceTheServiceIsMixed(t *testing.T) {
	table := streams.New(start, maxListAge)
	table.SetListed(start, listed("v1"))
	table.RecordOwn(start, note("a", "v1"), false)
	if got := table.TakeNotes(start); len(got) > 0 || table.IsMixed(start, "llm") {
		t.Fatalf("one version listed: got notes %v, mixed %t, want none", got, table.IsMixed(start, "llm"))
	}
	later := start.Add(streams.TTL / 2)
	table.SetListed(later, listed("v1", "v2"))
	if got := table.TakeNotes(later); len(got) != 1 || got[0] != note("a", "v1") {
		t.Fatalf("second version listed: got notes %v, want that of the stream in progress", got)
	}
	if got := table.TakeNotes(later); len(got) > 0 {
		t.Errorf("got notes %v again, want each once", got)
	}
}

// Guards against notes that are held back although the route has several services.
func TestNotesOfSplitRoutesAreSentAtOnce(t *testing.T) {
	table := streams.New(start, maxListAge)
	table.SetListed(start, listed("v1"))
	table.RecordOwn(start, note("a", "v1"), true)
	if got := table.TakeNotes(start); len(got) != 1 {
		t.Errorf("got %d notes, want 1", len(got))
	}
}

// Guards against a service that counts as of one version while streams of another one may
// still be resumed, and against one that stays mixed for good.
func TestServiceIsMixedForTTLAfterAVersionHasLeft(t *testing.T) {
	table := streams.New(start, maxListAge)
	table.SetListed(start, listed("v1"))
	table.SetListed(start.Add(time.Second), listed("v2"))
	left := start.Add(time.Second)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {streams.TTL, true}, {streams.TTL + 1, false}} {
		if got := table.IsMixed(left.Add(c.after), "llm"); got != c.want {
			t.Errorf("%v after v1 has left: got mixed %t, want %t", c.after, got, c.want)
		}
	}
	table.SetListed(left.Add(time.Hour), listed("v2", "v3"))
	if !table.IsMixed(left.Add(2*time.Hour), "llm") {
		t.Error("two versions listed for an hour: got mixed false, want true")
	}
}

// Guards against a router that takes the versions it has listed for all there were, although
// its list was old for a while (ORDER).
func TestListThatWasOldDoesNotTellAllVersions(t *testing.T) {
	seconds := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	table := streams.New(start.Add(-streams.TTL), maxListAge)
	for _, c := range []struct {
		now, completeAt            float64 // completeAt < 0: nothing is heard
		wantCurrent, wantRemembers bool
	}{
		{0, -1, false, false},
		{0.1, 0, true, true},
		{1, 0.9, true, true},
		{1.5, 0.2, true, true}, // an older report that arrives late
		{2.9, -1, true, true},
		{3, -1, false, false},
		{9, -1, false, false},
		{9.1, 9, true, false},
		{20, 19.9, true, false},
		{38, 38, true, false},
		{39.2, 39.1, true, true},
	} {
		if c.completeAt >= 0 {
			for at := 9.5; at < c.now && c.now > 10; at++ {
				table.RecordComplete(seconds(at), seconds(at))
			}
			table.RecordComplete(seconds(c.now), seconds(c.completeAt))
		}
		now := seconds(c.now)
		if table.IsCurrent(now) != c.wantCurrent || table.RemembersListed(now) != c.wantRemembers {
			t.Errorf("at %v s: got current %t, remembers %t, want %t, %t", c.now, table.IsCurrent(now), table.RemembersListed(now), c.wantCurrent, c.wantRemembers)
		}
	}
}

// Guards against a first start that counts as an interruption, and a router that is told so
// with each report, since a peer without a list reports a read of long ago.
func TestEvidenceOfLongAgoIsNone(t *testing.T) {
	table := streams.New(start.Add(-streams.TTL), maxListAge)
	table.RecordComplete(start, start.Add(-time.Hour))
	now := start.Add(time.Second)
	table.RecordComplete(now, now)
	if !table.RemembersListed(now) {
		t.Error("first evidence that the list is current, after one of long ago: counts as an interruption")
	}
	later := now.Add(2 * maxListAge)
	table.RecordComplete(later, now)
	if got := table.RemembersSince(); got.After(start) {
		t.Errorf("old evidence while the list is old: remembers since %v after the start, want the interruption to be recorded at its end", got.Sub(start))
	}
	table.RecordComplete(later, later)
	if table.RemembersListed(later) || !table.IsCurrent(later) {
		t.Error("end of an interruption: the versions listed count as remembered")
	}
}

// Guards against a table that takes the one listed version for the only one although a peer's
// note names another, whose targets were never listed here (ORDER).
func TestVersionOfANoteCountsAsListed(t *testing.T) {
	table := streams.New(start, maxListAge)
	table.SetListed(start, listed("v1"))
	table.Record(start, note("a", "v2"))
	table.Record(start, streams.Note{Stream: 1, Origin: streams.Origin{Service: "unheard", Version: "v3"}})
	if got := table.Versions(start.Add(streams.TTL), "llm"); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("v1 listed, note of v2: got versions %v, want both", got)
	}
	if got := table.Versions(start.Add(streams.TTL+1), "llm"); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("after TTL: got versions %v, want the listed one", got)
	}
	if got := table.Versions(start, "unheard"); len(got) > 0 {
		t.Errorf("service that lists no target: got versions %v, want none", got)
	}
}
