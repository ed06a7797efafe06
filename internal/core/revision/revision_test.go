package revision_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/core/revision"
)

func TestOrderIsByEraThenRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, other := rapid.Uint64Range(0, 1000).Draw(t, "era"), rapid.Uint64Range(0, 1000).Draw(t, "other era")
		rev, otherRev := rapid.Uint64Range(0, 1<<44-1).Draw(t, "revision"), rapid.Uint64Range(0, 1<<44-1).Draw(t, "other revision")
		a, b := revision.Join(era, rev), revision.Join(other, otherRev)
		want := era < other || era == other && rev < otherRev
		if (a < b) != want {
			t.Fatalf("%d/%d before %d/%d: got %v, want %v", era, rev, other, otherRev, a < b, want)
		}
		if revision.IsLaterEra(b, a) != (other > era) {
			t.Fatalf("era %d later than %d: got %v", other, era, revision.IsLaterEra(b, a))
		}
		if gotEra, gotRev := revision.Split(a); gotEra != era || gotRev != rev {
			t.Fatalf("got %d/%d, want %d/%d", gotEra, gotRev, era, rev)
		}
	})
}
