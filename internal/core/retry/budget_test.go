package retry

import "testing"

func TestBudget(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		burst int
		first int
		want  int // retries granted of 1,000 asked for after the first tries
	}{
		{"starts full", 0.1, 3, 0, 3},
		{"holds no more than the burst", 0.1, 3, 1000, 3},
		{"no burst, no retries", 0.5, 0, 1000, 0},
		{"negative values are none", -1, -1, 10, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := New(tc.share, tc.burst)
			for range tc.first {
				b.First()
			}
			got := 0
			for range 1000 {
				if b.Take() {
					got++
				}
			}
			if got != tc.want {
				t.Fatalf("got %d retries, want %d", got, tc.want)
			}
		})
	}
}

func TestShareBoundsRetries(t *testing.T) {
	b := New(0.125, 4)
	got := 0
	for range 8000 {
		b.First()
		if b.Take() {
			got++
		}
	}
	if got > 8000/8+4 || got < 8000/8 {
		t.Fatalf("%d retries for 8000 first tries at a share of 1/8", got)
	}
}
