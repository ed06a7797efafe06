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
	a := obs.NewAsyncWriter(&out, 8)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := io.WriteString(a, line); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	if out.String() != "a\nb\nc\n" || a.Dropped() != 0 {
		t.Errorf("wrote %q and dropped %d lines, want all 3 lines in order and 0 dropped", out.String(), a.Dropped())
	}
}

func TestAsyncNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // without a reader, a write blocks
	a := obs.NewAsyncWriter(w, 2)
	began := time.Now()
	for range 100 {
		if _, err := io.WriteString(a, "line\n"); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing 100 lines took %v, want at most 1 s", took)
	}
	if a.Dropped() < 90 {
		t.Errorf("%d lines dropped, want at least 90", a.Dropped())
	}
	r.Close()
	a.Close()
}
