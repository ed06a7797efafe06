package peer

import (
	"slices"
	"sync"
	"time"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
)

// Upper bounds of a link's send queue: the number of frames and their size in
// bytes.
const (
	maxQueuedFrames = 1024
	maxQueuedBytes  = 4 << 20
	// maxWriteBytes bounds the frames combined into one write; a single larger
	// frame is written alone.
	maxWriteBytes = 64 << 10
	// maxReportAge is how long a report may wait in the queue. It is several intervals of
	// reports, and short beside the time within which what they tell must be known.
	maxReportAge = 300 * time.Millisecond
)

// frame is one encoded message.
type frame struct {
	kind  kind
	bytes []byte
	// expiresAt is when the frame is dropped instead of sent, zero for never.
	expiresAt time.Time
}

func (f frame) isExpired(now time.Time) bool { return !f.expiresAt.IsZero() && now.After(f.expiresAt) }

// newFrame encodes a message. Reports expire, since a later one replaces them, but not those with
// what is said only once.
func newFrame(env *peerv1.Envelope, now time.Time) (frame, error) {
	bytes, k, err := encode(env)
	f := frame{kind: k, bytes: bytes}
	if report := env.GetFleet(); report != nil && len(report.GetStreamIds()) == 0 {
		f.expiresAt = now.Add(maxReportAge)
	}
	return f, err
}

// sendQueue is the FIFO queue of the frames to be sent on one link, bounded in
// number and bytes. Frames that expire are dropped. When it is full, new frames are refused
// and the queued ones, which were sent earlier, are kept.
type sendQueue struct {
	// ready holds an element when frames may be queued.
	ready chan struct{}

	mu     sync.Mutex
	frames []frame
	bytes  int
	closed bool
	// onExpired is called with the kind of each frame that is dropped since it has expired.
	onExpired func(kind)
}

func newSendQueue(onExpired func(kind)) *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1), onExpired: onExpired}
}

// dropExpired removes the frames that have expired. The caller holds the lock.
func (q *sendQueue) dropExpired(now time.Time) {
	if !slices.ContainsFunc(q.frames, func(f frame) bool { return f.isExpired(now) }) {
		return
	}
	kept := make([]frame, 0, len(q.frames))
	for _, f := range q.frames {
		if f.isExpired(now) {
			q.bytes -= len(f.bytes)
			q.onExpired(f.kind)
			continue
		}
		kept = append(kept, f)
	}
	q.frames = kept
}

// push adds a frame and reports whether there was room. It never blocks, and
// refuses every frame after close.
func (q *sendQueue) push(f frame) bool {
	now := time.Now()
	q.mu.Lock()
	q.dropExpired(now)
	full := q.closed || len(q.frames) >= maxQueuedFrames || q.bytes+len(f.bytes) > maxQueuedBytes
	if !full {
		q.frames = append(q.frames, f)
		q.bytes += len(f.bytes)
	}
	q.mu.Unlock()
	if full {
		return false
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns the oldest frames: up to maxWriteBytes of them, but at
// least one if any is queued.
func (q *sendQueue) take() []frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropExpired(time.Now())
	n, size := 0, 0
	for n < len(q.frames) && (n == 0 || size+len(q.frames[n].bytes) <= maxWriteBytes) {
		size += len(q.frames[n].bytes)
		n++
	}
	taken := q.frames[:n:n]
	q.frames = q.frames[n:]
	q.bytes -= size
	return taken
}

// close makes push refuse all further frames and returns those still queued.
func (q *sendQueue) close() []frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	unsent := q.frames
	q.frames, q.bytes = nil, 0
	return unsent
}
