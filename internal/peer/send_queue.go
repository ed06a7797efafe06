package peer

import "sync"

// Upper bounds of a link's send queue: the number of frames and their size in
// bytes.
const (
	maxQueuedFrames = 1024
	maxQueuedBytes  = 4 << 20
	// maxWriteBytes bounds the frames combined into one write; a single larger
	// frame is written alone.
	maxWriteBytes = 64 << 10
)

// frame is one encoded message.
type frame struct {
	kind  kind
	bytes []byte
}

// sendQueue is the FIFO queue of the frames to be sent on one link, bounded in
// number and bytes. When it is full, new frames are refused and the queued ones,
// which were sent earlier, are kept.
type sendQueue struct {
	// ready holds an element when frames may be queued.
	ready chan struct{}

	mu     sync.Mutex
	frames []frame
	bytes  int
	closed bool
}

func newSendQueue() *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1)}
}

// push adds a frame and reports whether there was room. It never blocks, and
// refuses every frame after close.
func (q *sendQueue) push(f frame) bool {
	q.mu.Lock()
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
