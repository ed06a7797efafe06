package obs

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter is a writer that does not block: one goroutine writes the lines from a
// bounded buffer, and lines for which the buffer has no room are dropped and
// counted.
type AsyncWriter struct {
	out       io.Writer
	buffer    chan []byte
	dropped   atomic.Int64
	closeOnce sync.Once
	done      chan struct{}
}

// NewAsyncWriter returns a writer that buffers at most lines lines. The caller must
// call Close to stop its goroutine.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	a := &AsyncWriter{out: out, buffer: make(chan []byte, lines), done: make(chan struct{})}
	go a.run()
	return a
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.buffer {
		if _, err := a.out.Write(line); err != nil {
			// A failure to write the log can't be logged, so it is only counted.
			a.dropped.Add(1)
		}
	}
}

// Write implements io.Writer for one line per call. It must not be called after
// Close.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.buffer <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the buffered lines and stops the writer.
func (a *AsyncWriter) Close() error {
	a.closeOnce.Do(func() { close(a.buffer) })
	<-a.done
	return nil
}
