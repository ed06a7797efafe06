package obs

import (
	"io"
	"sync"
	"sync/atomic"
)

// Async is a writer that never blocks: lines wait in a bounded ring for one
// goroutine that writes them, and what finds no room is dropped and counted.
type Async struct {
	out     io.Writer
	ring    chan []byte
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{}
}

// NewAsync returns a writer of at most lines waiting lines. Close ends it.
func NewAsync(out io.Writer, lines int) *Async {
	a := &Async{out: out, ring: make(chan []byte, lines), done: make(chan struct{})}
	go a.run()
	return a
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.ring {
		if _, err := a.out.Write(line); err != nil {
			// There is nowhere to tell that logs can't be written.
			a.dropped.Add(1)
		}
	}
}

// Write implements io.Writer with one line. It must not be called after Close.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.ring <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits and ends the writer.
func (a *Async) Close() error {
	a.closing.Do(func() { close(a.ring) })
	<-a.done
	return nil
}
