// Package explain keeps the state of recent requests, so that operators can find
// out why one waits or was refused, and finds the lines of a request in the logs
// of routers. It keeps no content of requests.
package explain

import (
	"sync"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// Entry is the recorded state of one request.
type Entry struct {
	ID        string          `json:"id"`
	Workspace ids.Workspace   `json:"workspace"`
	Pool      ids.Pool        `json:"pool"`
	Class     string          `json:"class"`
	Step      string          `json:"step"`
	Code      outcome.Code    `json:"code,omitempty"`
	Outcome   outcome.Outcome `json:"outcome,omitempty"`
	Target    ids.Target      `json:"target,omitempty"`
	Attempts  int             `json:"attempts"`
	ArrivedAt time.Time       `json:"arrived"`
	// QueuedMS is the queue time before the last dispatch in ms.
	QueuedMS int64 `json:"queued_ms"`
	// TotalMS is the total time at the router in ms, zero while the request runs.
	TotalMS int64 `json:"total_ms"`
	// Units is the service used.
	Units float64 `json:"units"`
}

// RecentRequests keeps the entries of the most recent requests in a ring buffer. It is
// safe for concurrent use.
type RecentRequests struct {
	mu    sync.Mutex
	ring  []string
	next  int
	byID  map[string]Entry
	limit int
}

// New returns a RecentRequests that keeps at most limit entries.
func New(limit int) *RecentRequests {
	return &RecentRequests{
		ring:  make([]string, limit),
		byID:  make(map[string]Entry, limit),
		limit: limit,
	}
}

// Put adds an entry, in place of the oldest one if the buffer is full, or replaces
// the entry with the same id.
func (r *RecentRequests) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.byID[e.ID]; !ok {
		delete(r.byID, r.ring[r.next])
		r.ring[r.next] = e.ID
		r.next = (r.next + 1) % r.limit
	}
	r.byID[e.ID] = e
}

// Get returns the entry of a request, and false if there is none.
func (r *RecentRequests) Get(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byID[id]
	return e, ok
}

// OfWorkspace returns up to limit entries of a workspace, newest first.
func (r *RecentRequests) OfWorkspace(ws ids.Workspace, limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Entry
	for i := range r.limit {
		id := r.ring[(r.next-1-i+2*r.limit)%r.limit]
		e, ok := r.byID[id]
		if !ok || e.Workspace != ws {
			continue
		}
		found = append(found, e)
		if len(found) == limit {
			break
		}
	}
	return found
}
