package sock

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// ProgressInterval is the interval at which a write that is blocked looks for progress.
	ProgressInterval = 100 * time.Millisecond
	// MinProgressBytes is the number of bytes that count as progress of a transfer. Fewer do
	// not show that it will end.
	MinProgressBytes = 1 << 10
	// maxUnarmedBytes is the largest write that is first tried without a deadline. A timer for
	// each event of a stream would cost more than the event.
	maxUnarmedBytes = 4 << 10
)

// ErrWriteAborted is the error of a write that AbortWrites has ended.
var ErrWriteAborted = errors.New("write aborted")

// Unsent returns the number of bytes written to a connection that the remote side has not
// acknowledged.
func Unsent(conn syscall.Conn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) {
		n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return n, errors.CombineErrors(err, controlErr)
}

// WriteWatch says how writes to a peer are watched.
type WriteWatch struct {
	// Renewal is how long a write may go on after the peer has last taken MinProgressBytes,
	// also beyond its deadline.
	Renewal time.Duration
	// Until ends this, the zero time for never.
	Until time.Time
	// OnProgress is called within Write with each progress. It must not block.
	OnProgress func()

	// progressAt is when a blocked write last saw that the peer had taken MinProgressBytes, and
	// taken counts the bytes since then. They outlast the write, so that the renewal of a peer
	// that reads in bursts holds for the next write as well. Only Write uses them.
	progressAt time.Time
	taken      int
}

// Writer writes to a TCP connection. While it has a WriteWatch, a write whose deadline has
// passed goes on if the peer takes bytes, which a deadline alone cannot tell from a peer that
// takes none: a blocked write returns only once a large part of the kernel's buffer is free.
// A write looks at the peer for at least one ProgressInterval, so that a deadline that has
// passed while this process was suspended does not end it.
type Writer struct {
	Conn *net.TCPConn

	// raw is of Conn, nil until it is needed. Only Write uses it.
	raw syscall.RawConn

	mu       sync.Mutex
	watch    *WriteWatch
	deadline time.Time
	aborted  bool
	// armed is the deadline that the connection has.
	armed time.Time
}

// SetDeadline sets the deadline for writes, as SetWriteDeadline of a net.Conn does.
func (w *Writer) SetDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	if w.watch != nil {
		return nil
	}
	return w.Conn.SetWriteDeadline(t)
}

// Watch watches the writes from now on, nil for none.
func (w *Writer) Watch(watch *WriteWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch, w.armed = watch, time.Time{}
	if watch == nil && !w.aborted {
		_ = w.Conn.SetWriteDeadline(w.deadline)
	}
}

// AbortWrites ends a write that is blocked, and all later ones.
func (w *Writer) AbortWrites() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aborted = true
	_ = w.Conn.SetWriteDeadline(time.Unix(1, 0))
}

// arm sets the deadline of the next write of the connection to the next look for progress.
func (w *Writer) arm(now time.Time) (watch *WriteWatch, deadline time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.aborted {
		return nil, time.Time{}, ErrWriteAborted
	}
	if w.watch != nil && w.armed.Sub(now) < ProgressInterval/2 {
		w.armed = now.Add(ProgressInterval)
		err = w.Conn.SetWriteDeadline(w.armed)
	}
	return w.watch, w.deadline, err
}

// tryWrite writes what the kernel takes of p at once, if the writes are watched. It reports no
// error, since the write of the rest meets it again.
func (w *Writer) tryWrite(p []byte) (written int) {
	w.mu.Lock()
	watch, aborted := w.watch, w.aborted
	w.mu.Unlock()
	if watch == nil || aborted {
		return 0
	}
	if w.raw == nil {
		raw, err := w.Conn.SyscallConn()
		if err != nil {
			return 0
		}
		w.raw = raw
	}
	_ = w.raw.Write(func(fd uintptr) bool {
		n, err := unix.Write(int(fd), p)
		if err == nil {
			written = n
		}
		return true
	})
	if written == len(p) && written >= MinProgressBytes && watch.OnProgress != nil {
		watch.OnProgress()
	}
	return written
}

// Write writes all of p, or returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	if len(p) > 0 && len(p) <= maxUnarmedBytes {
		if written = w.tryWrite(p); written == len(p) {
			return written, nil
		}
	}
	// queued is the number of unacknowledged bytes at the last look, -1 before the first.
	queued := -1
	for {
		watch, deadline, err := w.arm(time.Now())
		if err != nil {
			return written, err
		}
		n, err := w.Conn.Write(p[written:])
		written += n
		if err == nil {
			if watch != nil && queued >= 0 {
				// The kernel may have enlarged its buffer without the peer having taken
				// anything.
				if left, err := Unsent(w.Conn); err == nil && watch.taken+queued+n-left >= MinProgressBytes {
					watch.taken, watch.progressAt = 0, time.Now()
				}
			}
			if watch != nil && watch.OnProgress != nil && (queued >= 0 || written >= MinProgressBytes) {
				watch.OnProgress()
			}
			return written, nil
		}
		if watch == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now := time.Now()
		left, unsentErr := Unsent(w.Conn)
		if unsentErr != nil {
			// Without the kernel's count no progress is seen, and the deadline alone counts.
			left = max(queued, 0) + n
		}
		if queued < 0 {
			// What has gone into the kernel's buffer until now shows nothing of the peer.
			queued = left
			continue
		}
		watch.taken += queued + n - left
		queued = left
		if watch.taken >= MinProgressBytes {
			watch.taken, watch.progressAt = 0, now
			if watch.OnProgress != nil {
				watch.OnProgress()
			}
		}
		if !watch.progressAt.IsZero() {
			if renewed := watch.progressAt.Add(watch.Renewal); renewed.After(deadline) {
				deadline = renewed
			}
			if !watch.Until.IsZero() && watch.Until.Before(deadline) {
				deadline = watch.Until
			}
		}
		if !deadline.IsZero() && !now.Before(deadline) {
			return written, err
		}
	}
}
