package relay

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// errStalled is the cause of a context canceled by a watchdog.
var errStalled = errors.New("target sent no bytes within the stall timeout")

// watchdog calls a function once it has not been reset for its timeout.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
}

func newWatchdog(timeout time.Duration, onExpire func()) *watchdog {
	return &watchdog{timeout: timeout, timer: time.AfterFunc(timeout, onExpire)}
}

func (w *watchdog) reset() { w.timer.Reset(w.timeout) }

func (w *watchdog) stop() { w.timer.Stop() }

// watchedReader resets the watchdog with each read that returns bytes.
type watchedReader struct {
	io.Reader
	watch *watchdog
}

func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.reset()
	}
	return n, err
}
