package obs_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/obs"
)

func TestAsyncWritesInOrder(t *testing.T) {
	var out bytes.Buffer
	a := obs.NewAsync(&out, 8)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := io.WriteString(a, line); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	if out.String() != "a\nb\nc\n" || a.Dropped() != 0 {
		t.Errorf("%q, %d dropped", out.String(), a.Dropped())
	}
}

func TestAsyncNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	a := obs.NewAsync(w, 2)
	began := time.Now()
	for range 100 {
		if _, err := io.WriteString(a, "line\n"); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("100 lines took %v", took)
	}
	if a.Dropped() < 90 {
		t.Errorf("%d lines dropped", a.Dropped())
	}
	r.Close()
	a.Close()
}
