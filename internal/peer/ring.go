package peer

import "sync"

// Bounds of what waits on one link.
const (
	ringFrames = 1024
	ringBytes  = 4 << 20
	// flushBytes bounds the frames that go out in one write.
	flushBytes = 64 << 10
)

// frame is one encoded message.
type frame struct {
	kind  kind
	bytes []byte
}

// ring holds the frames that wait for one link, bounded in number and bytes.
// Where it is full the newest is refused: what waits already was sent first.
type ring struct {
	// ready has an element while frames may wait.
	ready chan struct{}

	mu     sync.Mutex
	frames []frame
	bytes  int
	closed bool
}

func newRing() *ring {
	return &ring{ready: make(chan struct{}, 1)}
}

// push adds a frame and tells whether there was room. It never blocks.
func (r *ring) push(f frame) bool {
	r.mu.Lock()
	full := r.closed || len(r.frames) >= ringFrames || r.bytes+len(f.bytes) > ringBytes
	if !full {
		r.frames = append(r.frames, f)
		r.bytes += len(f.bytes)
	}
	r.mu.Unlock()
	if full {
		return false
	}
	select {
	case r.ready <- struct{}{}:
	default:
	}
	return true
}

// take removes the oldest frames, up to flushBytes of them and at least one
// where any wait.
func (r *ring) take() []frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, size := 0, 0
	for n < len(r.frames) && (n == 0 || size+len(r.frames[n].bytes) <= flushBytes) {
		size += len(r.frames[n].bytes)
		n++
	}
	taken := r.frames[:n:n]
	r.frames = r.frames[n:]
	r.bytes -= size
	return taken
}

// close refuses all further frames and returns those that still wait.
func (r *ring) close() []frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	left := r.frames
	r.frames, r.bytes = nil, 0
	return left
}
