package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberhill/umberhill/internal/standin"
)

// Down says how an unreachable platform behaves.
type Down string

// The ways of being down.
const (
	// Up serves.
	Up Down = ""
	// DownClose drops each connection without an answer.
	DownClose Down = "close"
	// DownRefuse answers 503 and says that nothing was applied.
	DownRefuse Down = "refuse"
)

// Faults are the faults in force; POST /faults replaces them all.
type Faults struct {
	// Down makes the platform unreachable.
	Down Down `json:"down,omitempty"`
	// DelayMS delays each call in ms.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseEvery drops the answer of each nth write after it was applied.
	LoseEvery int `json:"lose_every,omitempty"`
	// LoseNext drops the answers of the next n writes after they were applied.
	LoseNext int `json:"lose_next,omitempty"`
	// Stale serves reads and watches from the content at the time it was set, or
	// from the marked content.
	Stale bool `json:"stale,omitempty"`
	// Mark keeps the content of now for Stale to serve later.
	Mark bool `json:"mark,omitempty"`
	// Cut drops the connections of the clients with these tokens.
	Cut []string `json:"cut,omitempty"`
	// ReadsPerSecond above which reads are refused with 429; 0 is unlimited.
	ReadsPerSecond int `json:"reads_per_second,omitempty"`
	// WritesPerSecond above which writes are refused with 429; 0 is unlimited.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

// faultState holds the faults and what they count.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	writes int
	reads  *rate.Limiter
	limit  *rate.Limiter
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
	f.reads = limiter(faults.ReadsPerSecond)
	f.limit = limiter(faults.WritesPerSecond)
}

func limiter(perSecond int) *rate.Limiter {
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

// allow takes from the rate limit of reads or writes.
func (f *faultState) allow(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write {
		return f.limit.Allow()
	}
	return f.reads.Allow()
}

// lose says whether the answer of the write that was just applied is lost.
func (f *faultState) lose() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.faults.LoseNext > 0 {
		f.faults.LoseNext--
		return true
	}
	return f.faults.LoseEvery > 0 && f.writes%f.faults.LoseEvery == 0
}

// reachable drops or refuses the call where the faults say so.
func (f *faultState) reachable(w http.ResponseWriter, token string) bool {
	faults := f.get()
	if faults.Down == DownClose || slices.Contains(faults.Cut, token) {
		standin.Abort()
	}
	if faults.Down == DownRefuse {
		refuse(w, http.StatusServiceUnavailable, "down")
		return false
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	return true
}

// refuse answers that a call was certainly not applied.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(appliedHeader, "no")
	standin.WriteError(w, status, message)
}
