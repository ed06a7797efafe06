package replay_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/umberhill/umberhill/internal/replay"
)

func TestWriteHTMLShowsEachPatternAndPolicy(t *testing.T) {
	results := []replay.Result{
		{Pattern: "calm", Policy: replay.Admit, Requests: 10, OnTime: 8, Late: 1, Refused: 1, Worth: 0.83},
		{Pattern: "calm", Policy: replay.RoundRobin, Requests: 10, OnTime: 5, Late: 5, Worth: 0.65},
		{Pattern: "burst", Policy: replay.Admit, Requests: 0},
	}
	var out bytes.Buffer
	if err := replay.WriteHTML(&out, 7, results); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	for text, n := range map[string]int{
		"<h2>": 2, "<svg width=\"666\"": 2, "on-time: 8 of 10": 1, "worth 0.650": 1, "seed 7": 1, "<td>round-robin</td>": 1,
	} {
		if got := strings.Count(page, text); got != n {
			t.Errorf("page contains %q %d times, want %d", text, got, n)
		}
	}
	if strings.Contains(page, "NaN") {
		t.Error("page contains NaN, want finite coordinates for a pattern without requests")
	}
	expectWellFormed(t, page)
}

// expectWellFormed fails the test where the page's tags don't match.
func expectWellFormed(t *testing.T, page string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(page))
	d.Strict = false
	d.AutoClose = xml.HTMLAutoClose
	d.Entity = xml.HTMLEntity
	for {
		if _, err := d.Token(); err != nil {
			if !errors.Is(err, io.EOF) {
				t.Errorf("page is not well formed: %v", err)
			}
			return
		}
	}
}
