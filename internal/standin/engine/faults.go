package engine

import (
	"context"
	"sync"
)

// Faults are the faults in force; POST /faults replaces them all. A fault of
// "each nth" is off at 0.
type Faults struct {
	// Freeze stops all answers and all running requests.
	Freeze bool `json:"freeze,omitempty"`
	// CutEvery drops the connection of each nth answer.
	CutEvery int `json:"cut_every,omitempty"`
	// CutAfter is the number of events of a stream sent before the cut.
	CutAfter int `json:"cut_after,omitempty"`
	// EndEvery ends each nth answer early as if it were whole: a stream after
	// CutAfter events without usage and end marker.
	EndEvery int `json:"end_every,omitempty"`
	// Forget drops the streams that a cut left behind: a resume finds none.
	Forget bool `json:"forget,omitempty"`
	// LateEvery delays each nth answer's first byte by LateMS.
	LateEvery int `json:"late_every,omitempty"`
	// LateMS is the delay in ms.
	LateMS int `json:"late_ms,omitempty"`
	// CrossEvery gives each nth answer the id and text of another request.
	CrossEvery int `json:"cross_every,omitempty"`
	// CrossBody leaves the response header of a crossed answer right.
	CrossBody bool `json:"cross_body,omitempty"`
	// CrossAfter is the number of right events of a crossed stream; the header
	// is then right too.
	CrossAfter int `json:"cross_after,omitempty"`
	// RefuseEvery refuses each nth request with 429 before it runs.
	RefuseEvery int `json:"refuse_every,omitempty"`
	// FailEvery answers each nth request with 500 after it ran.
	FailEvery int `json:"fail_every,omitempty"`
}

// plan is what the faults do to one answer.
type plan struct {
	refuse, fail, cut, end, late, cross bool
	faults                              Faults
}

// faultState holds the faults and what they count.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	posts  int
	// thaw is closed while the engine is not frozen.
	thaw chan struct{}
}

func newFaultState() *faultState {
	f := &faultState{thaw: make(chan struct{})}
	close(f.thaw)
	return f
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.Freeze && !f.faults.Freeze {
		f.thaw = make(chan struct{})
	}
	if !faults.Freeze && f.faults.Freeze {
		close(f.thaw)
	}
	f.faults = faults
	f.posts = 0
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// next counts a request and returns what the faults do to it.
func (f *faultState) next() plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.posts++
	hit := func(every int) bool { return every > 0 && f.posts%every == 0 }
	return plan{
		refuse: hit(f.faults.RefuseEvery),
		fail:   hit(f.faults.FailEvery),
		cut:    hit(f.faults.CutEvery),
		end:    hit(f.faults.EndEvery),
		late:   hit(f.faults.LateEvery),
		cross:  hit(f.faults.CrossEvery),
		faults: f.faults,
	}
}

// wait returns once the engine is not frozen or ctx is done.
func (f *faultState) wait(ctx context.Context) {
	f.mu.Lock()
	thaw := f.thaw
	f.mu.Unlock()
	select {
	case <-thaw:
	case <-ctx.Done():
	}
}
