package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberhill/umberhill/internal/standin"
)

// DownMode is the way in which the platform is unavailable.
type DownMode string

// The modes.
const (
	// Up means that calls are served.
	Up DownMode = ""
	// DownClose closes every connection without a response.
	DownClose DownMode = "close"
	// DownRefuse answers every call with 503 and states that it was not applied.
	DownRefuse DownMode = "refuse"
)

// Faults are the active faults; POST /faults replaces all of them.
type Faults struct {
	// Down makes the platform unavailable.
	Down DownMode `json:"down,omitempty"`
	// DelayMS is the delay of every call in ms.
	DelayMS int `json:"delay_ms,omitempty"`
	// DropResponseEvery drops the response of every nth write after it was applied; 0 drops none.
	DropResponseEvery int `json:"lose_every,omitempty"`
	// DropNextResponses drops the responses of the next n writes after they were applied.
	DropNextResponses int `json:"lose_next,omitempty"`
	// Stale serves reads and watches from the content that MarkContent kept, or without
	// one from the content at the time when Stale was set.
	Stale bool `json:"stale,omitempty"`
	// MarkContent keeps the current content, which Stale serves later.
	MarkContent bool `json:"mark,omitempty"`
	// CutTokens closes the connections of the clients with these tokens.
	CutTokens []string `json:"cut,omitempty"`
	// ReadsPerSecond is the rate above which reads and watches are refused with 429; 0 is
	// unlimited.
	ReadsPerSecond int `json:"reads_per_second,omitempty"`
	// WritesPerSecond is the rate above which writes are refused with 429; 0 is unlimited.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

// faultState holds the active faults, their rate limiters and the number of writes since
// they were set.
type faultState struct {
	mu           sync.Mutex
	faults       Faults
	writes       int
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

func newFaultState() *faultState {
	f := &faultState{}
	f.set(Faults{})
	return f
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.writes = 0
	f.readLimiter = newLimiter(faults.ReadsPerSecond)
	f.writeLimiter = newLimiter(faults.WritesPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// allow reports whether the rate limit of reads or writes admits a call.
func (f *faultState) allow(isWrite bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isWrite {
		return f.writeLimiter.Allow()
	}
	return f.readLimiter.Allow()
}

// dropsResponse counts a write that was applied and reports whether its response is dropped.
func (f *faultState) dropsResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.faults.DropNextResponses > 0 {
		f.faults.DropNextResponses--
		return true
	}
	return f.faults.DropResponseEvery > 0 && f.writes%f.faults.DropResponseEvery == 0
}

// passesFaults closes the connection or refuses the call if the faults require it, else
// delays the call and returns true.
func (f *faultState) passesFaults(w http.ResponseWriter, token string) bool {
	faults := f.get()
	if faults.Down == DownClose || slices.Contains(faults.CutTokens, token) {
		standin.AbortConnection()
	}
	if faults.Down == DownRefuse {
		refuse(w, http.StatusServiceUnavailable, "down")
		return false
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	return true
}

// refuse answers with an error and states that the call was not applied.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(appliedHeader, "no")
	standin.WriteError(w, status, message)
}
