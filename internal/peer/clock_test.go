package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/member"
)

// An instance's wall clock can be set while it runs. What a peer was last heard must go by
// the steady clock, or a jump would end all links.
func TestSilenceGoesByTheSteadyClock(t *testing.T) {
	m := New(Options{Self: "a", Address: "127.0.0.1:0"})
	l := newLink(m, 1, member.Info{Instance: "b"}, nil, false)
	l.heard(time.Now())
	// A time with a steady reading shows it as "m=".
	if got := l.lastHeard().String(); !strings.Contains(got, " m=") {
		t.Errorf("last heard at %s", got)
	}
}
