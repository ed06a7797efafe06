package contact_test

import (
	"testing"

	"github.com/umberhill/umberhill/internal/core/contact"
)

// Guards against a watch that is cut off and counts as an outage (DRAIN), and against an
// outage whose end shows only with the next change.
func TestContact(t *testing.T) {
	t.Parallel()
	type result struct {
		call string
		// changed is the result of the call, lost and mayWait the state after it.
		changed, lost, mayWait bool
	}
	for name, results := range map[string][]result{
		"cut, then a response":      {{"cut", false, false, false}, {"ok", false, false, true}, {"cut", false, false, false}},
		"cut, then a cut":           {{"cut", false, false, false}, {"cut", true, true, false}, {"cut", false, true, false}},
		"cut, then failed":          {{"cut", false, false, false}, {"failed", true, true, false}},
		"failed, then a response":   {{"failed", true, true, false}, {"failed", false, true, false}, {"ok", true, false, true}},
		"cut while it counts lost":  {{"failed", true, true, false}, {"cut", false, true, false}, {"ok", true, false, true}},
		"responses without failure": {{"ok", false, false, true}, {"ok", false, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var c contact.Contact
			for i, r := range results {
				var changed bool
				switch r.call {
				case "ok":
					changed = c.Succeed()
				case "cut":
					changed = c.Fail(contact.Cut)
				default:
					changed = c.Fail(contact.NoResponse)
				}
				if changed != r.changed || c.IsLost() != r.lost || c.MayWait() != r.mayWait {
					t.Errorf("call %d (%s): got changed %t, lost %t, may wait %t, want %t, %t, %t", i, r.call, changed, c.IsLost(), c.MayWait(), r.changed, r.lost, r.mayWait)
				}
			}
		})
	}
}
