package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/member"
)

// TestLastReceivedUsesMonotonicClock guards against timing out every peer when
// the wall clock of an instance is set while it runs. That happens if the arrival
// time of the last message loses its monotonic clock reading.
func TestLastReceivedUsesMonotonicClock(t *testing.T) {
	m := New(Options{Self: "a", Address: "127.0.0.1:0"})
	l := newLink(m, 1, member.Info{Instance: "b"}, nil, false)
	l.markReceived(time.Now())
	// String appends a monotonic clock reading as "m=".
	if got := l.lastReceived().String(); !strings.Contains(got, " m=") {
		t.Errorf("last received at %s, want a time with a monotonic clock reading", got)
	}
}
