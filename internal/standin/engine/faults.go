package engine

import (
	"context"
	"sync"
)

// Faults are the active faults; POST /faults replaces all of them. A fault of every nth
// request or response is off where its number is 0.
type Faults struct {
	// Freeze stops all responses and all running requests.
	Freeze bool `json:"freeze,omitempty"`
	// CutEvery closes the connection in the middle of every nth response.
	CutEvery int `json:"cut_every,omitempty"`
	// CutAfter is the number of events of a stream that are sent before the cut.
	CutAfter int `json:"cut_after,omitempty"`
	// TruncateEvery ends every nth response early without an error of the connection: a body
	// at its half, a stream after CutAfter events, without usage and end marker.
	TruncateEvery int `json:"end_every,omitempty"`
	// RefuseResume makes every resume of a stream fail with 404.
	RefuseResume bool `json:"forget,omitempty"`
	// DelayEvery delays the first byte of every nth response by DelayMS.
	DelayEvery int `json:"late_every,omitempty"`
	// DelayMS is the delay in ms.
	DelayMS int `json:"late_ms,omitempty"`
	// CrossEvery gives every nth response the id and text of the previous request.
	CrossEvery int `json:"cross_every,omitempty"`
	// CrossBody keeps the response header of a crossed response correct.
	CrossBody bool `json:"cross_body,omitempty"`
	// CrossAfter is the number of correct events at the start of a crossed stream; if it
	// is not 0, the header is correct too.
	CrossAfter int `json:"cross_after,omitempty"`
	// RefuseEvery refuses every nth request with 429 before it runs.
	RefuseEvery int `json:"refuse_every,omitempty"`
	// FailEvery answers every nth request with 500 after it ran.
	FailEvery int `json:"fail_every,omitempty"`
}

// faultPlan holds the faults that apply to one response.
type faultPlan struct {
	refuse, fail, cut, truncate, delay, cross bool
	faults                                    Faults
}

// faultState holds the active faults and the number of requests since they were set.
type faultState struct {
	mu       sync.Mutex
	faults   Faults
	requests int
	// unfrozen is closed while the engine is not frozen.
	unfrozen chan struct{}
}

func newFaultState() *faultState {
	f := &faultState{unfrozen: make(chan struct{})}
	close(f.unfrozen)
	return f
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.Freeze && !f.faults.Freeze {
		f.unfrozen = make(chan struct{})
	}
	if !faults.Freeze && f.faults.Freeze {
		close(f.unfrozen)
	}
	f.faults = faults
	f.requests = 0
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// nextPlan counts a request and returns the faults that apply to it.
func (f *faultState) nextPlan() faultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	isDue := func(every int) bool { return every > 0 && f.requests%every == 0 }
	return faultPlan{
		refuse:   isDue(f.faults.RefuseEvery),
		fail:     isDue(f.faults.FailEvery),
		cut:      isDue(f.faults.CutEvery),
		truncate: isDue(f.faults.TruncateEvery),
		delay:    isDue(f.faults.DelayEvery),
		cross:    isDue(f.faults.CrossEvery),
		faults:   f.faults,
	}
}

// waitWhileFrozen returns once the engine is not frozen or ctx is done.
func (f *faultState) waitWhileFrozen(ctx context.Context) {
	f.mu.Lock()
	unfrozen := f.unfrozen
	f.mu.Unlock()
	select {
	case <-unfrozen:
	case <-ctx.Done():
	}
}
