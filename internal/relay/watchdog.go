package relay

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// errStalled is the cause of a context ended by a watchdog.
var errStalled = errors.New("target silent for too long")

// watchdog ends an attempt whose target has been silent for a limit.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
}

func newWatchdog(limit time.Duration, expire func()) *watchdog {
	return &watchdog{limit: limit, timer: time.AfterFunc(limit, expire)}
}

func (w *watchdog) touch() { w.timer.Reset(w.limit) }

func (w *watchdog) stop() { w.timer.Stop() }

// watched touches the watchdog with each read.
type watched struct {
	io.Reader
	watch *watchdog
}

func (r watched) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.touch()
	}
	return n, err
}
