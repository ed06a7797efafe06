package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/core/membudget"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// transferStall is the time without progress after which a transfer yields its memory if
	// there is none for others. It is above the pauses of sound connections (a lost segment is
	// sent again after 200 to 400 ms) and not above the Retry-After of bodies, so that a
	// refused request finds room.
	transferStall = 500 * time.Millisecond
	// perTargetShare is the part of a budget above which stalled transfers with one target
	// yield although there is room.
	perTargetShare = 0.5
	// yieldWait bounds the wait for a transfer that was ended to release its memory.
	yieldWait = 100 * time.Millisecond
	// responseRoomWait bounds the wait of a whole response for room. It is enough for others
	// to count as stalled, also those that have taken the last bytes for which the kernel had
	// room when the wait began; a target does not cut a response that stays unread for this long.
	responseRoomWait = 2*transferStall + yieldWait
)

var (
	// errNoRoom is the error of a reservation beyond the limits.
	errNoRoom = errors.New("no memory left")
	// errYielded is the error of a transfer that was ended since it made no progress while
	// others needed its memory.
	errYielded = errors.New("transfer made no progress and others needed its memory")
)

// memoryPool is the memory of one kind, such as request bodies. It serializes access to its
// budget and ends the transfers that yield.
type memoryPool struct {
	limit   int64
	yielded tally.Counter

	mu       sync.Mutex
	budget   *membudget.Budget
	holdings map[membudget.ID]*holding
	lastID   membudget.ID
	// freed is closed when memory is released, nil if nobody waits for that.
	freed chan struct{}
	// yields counts the transfers that were ended since takeStats.
	yields int
}

func newMemoryPool(limit, perHolder int64, yielded tally.Counter) *memoryPool {
	return &memoryPool{
		limit: limit, yielded: yielded, holdings: make(map[membudget.ID]*holding),
		budget: membudget.New(membudget.Limits{
			Total: limit, PerHolder: perHolder, PerTarget: int64(perTargetShare * float64(limit)), Stall: transferStall,
		}),
	}
}

// reserved returns the sum of all reservations.
func (p *memoryPool) reserved() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Held()
}

// holding is what one request holds of a pool. Its methods other than markProgress must be
// called by one goroutine at a time.
type holding struct {
	pool *memoryPool
	// progressAt is when the transfer last made progress, as the time since epoch.
	progressAt atomic.Int64
	// bytes is what is held. The pool knows the holding while it is not 0.
	bytes int64
	id    membudget.ID
	// transfer is what the memory is held for, nil if no peer is waited for. It and the fields
	// below are guarded by pool.mu.
	transfer *transfer
	// waits is set while a reservation waits. The peer is not to blame for that.
	waits   bool
	target  ids.Target
	yielded bool
}

// transfer is one transfer with a peer. abort ends it.
type transfer struct{ abort func() }

// reserve reserves n more bytes. If there is no room, it waits until the transfers that yield
// have released theirs, and up to patience until others may count as stalled.
func (h *holding) reserve(n int64, patience time.Duration) error {
	p := h.pool
	started := time.Now()
	for {
		now := time.Now()
		p.mu.Lock()
		v := p.tryReserve(now, h, n)
		if v.Granted {
			p.mu.Unlock()
			return nil
		}
		waitUntil := started.Add(max(yieldWait, patience))
		if !v.Waits {
			if waitUntil = started.Add(patience); v.RetryAt.After(now) && v.RetryAt.Before(waitUntil) {
				waitUntil = v.RetryAt
			} else {
				waitUntil = now
			}
		}
		if h.yielded || !now.Before(waitUntil) {
			err := errNoRoom
			if h.yielded {
				err = errYielded
			}
			err = errors.Wrapf(err, "%d bytes held, %d of %d bytes of the budget reserved", h.bytes, p.budget.Held(), p.limit)
			p.mu.Unlock()
			return err
		}
		if p.freed == nil {
			p.freed = make(chan struct{})
		}
		freed := p.freed
		h.waits = true
		p.mu.Unlock()
		timer := time.NewTimer(waitUntil.Sub(now))
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
		h.markProgress()
		p.mu.Lock()
		h.waits = false
		p.mu.Unlock()
	}
}

// tryReserve decides on a reservation and ends the transfers that yield. p.mu must be held.
func (p *memoryPool) tryReserve(now time.Time, h *holding, n int64) membudget.Verdict {
	if h.id == 0 {
		p.lastID++
		h.id = p.lastID
	}
	for id, other := range p.holdings {
		p.budget.SetTransfer(id, other.transfer != nil && !other.waits, epoch.Add(time.Duration(other.progressAt.Load())))
	}
	v := p.budget.Reserve(now, h.id, n)
	for _, id := range v.Yield {
		victim := p.holdings[id]
		victim.yielded = true
		victim.transfer.abort()
		p.yields++
		p.yielded.Inc(1)
	}
	if v.Granted {
		h.bytes += n
		p.holdings[h.id] = h
		p.budget.SetTarget(h.id, h.target)
	}
	return v
}

// release releases n bytes.
func (h *holding) release(n int64) {
	if n == 0 {
		return
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Release(h.id, n)
	if h.bytes -= n; h.bytes == 0 {
		delete(p.holdings, h.id)
		h.yielded = false
	}
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// hasYielded reports whether a transfer of what is held has yielded.
func (h *holding) hasYielded() bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.yielded
}

// setTarget records for which target the memory is held.
func (h *holding) setTarget(target ids.Target) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.target = target
	h.pool.budget.SetTarget(h.id, target)
}

// startTransfer records that the memory is held until a peer sends or reads. abort ends that
// from another goroutine; it must not block. end, which may be called from any goroutine, must
// be called before abort may no longer be, and reports whether the transfer has yielded.
func (h *holding) startTransfer(abort func()) (end func() (yielded bool)) {
	h.markProgress()
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	t := &transfer{abort}
	h.transfer = t
	return func() bool {
		h.pool.mu.Lock()
		defer h.pool.mu.Unlock()
		if h.transfer == t {
			h.transfer = nil
		}
		return h.yielded
	}
}

// markProgress records that the peer has sent or taken bytes.
func (h *holding) markProgress() { h.progressAt.Store(int64(time.Since(epoch))) }

// progressReader marks progress of a holding for each minProgressBytes read.
type progressReader struct {
	read    func(p []byte) (int, error)
	holding *holding
	bytes   int
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.read(p)
	if r.bytes += n; r.bytes >= minProgressBytes {
		r.bytes = 0
		r.holding.markProgress()
	}
	return n, err
}

// MemoryStats describes what a server holds for transfers.
type MemoryStats struct {
	// BodyBytes and ResponseBytes are held for request bodies and for responses, by
	// BodyHolders and ResponseHolders.
	BodyBytes, ResponseBytes     int64
	BodyHolders, ResponseHolders int
	// BodiesTarget is the target at which most bytes of bodies are outstanding, which are
	// BodiesTargetBytes.
	BodiesTarget      ids.Target
	BodiesTargetBytes int64
	// BodyYields and ResponseYields count the transfers that were ended since the last call
	// to make room for others, StalledStreams the streams whose callers did not read.
	BodyYields, ResponseYields, StalledStreams int
}

// TakeMemoryStats returns what the server holds and what has ended since the last call.
func (s *Server) TakeMemoryStats() MemoryStats {
	var m MemoryStats
	take := func(p *memoryPool) (bytes int64, holders, yields int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		bytes, holders, yields = p.budget.Held(), p.budget.Holders(), p.yields
		p.yields = 0
		return bytes, holders, yields
	}
	m.BodyBytes, m.BodyHolders, m.BodyYields = take(s.bodyBytes)
	m.ResponseBytes, m.ResponseHolders, m.ResponseYields = take(s.responseBytes)
	s.bodyBytes.mu.Lock()
	m.BodiesTarget, m.BodiesTargetBytes = s.bodyBytes.budget.LargestTarget()
	s.bodyBytes.mu.Unlock()
	m.StalledStreams = int(s.stalledStreams.Swap(0))
	return m
}
