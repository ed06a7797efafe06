package retry

import "testing"

// Guards against a budget that holds more retries than its burst, or is empty at
// the start.
func TestBudgetHoldsAtMostBurst(t *testing.T) {
	tests := []struct {
		name          string
		share         float64
		burst         int
		firstAttempts int
		want          int // retries granted of 1,000 taken after the first attempts
	}{
		{"starts full", 0.1, 3, 0, 3},
		{"holds no more than the burst", 0.1, 3, 1000, 3},
		{"no burst, no retries", 0.5, 0, 1000, 0},
		{"negative values count as zero", -1, -1, 10, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := New(tc.share, tc.burst)
			for range tc.firstAttempts {
				b.RecordFirstAttempt()
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

// Guards against retries that exceed the share of the first attempts, and against
// attempts that are not counted.
func TestShareBoundsRetries(t *testing.T) {
	b := New(0.125, 4)
	got := 0
	for range 8000 {
		b.RecordFirstAttempt()
		if b.Take() {
			got++
		}
	}
	if got > 8000/8+4 || got < 8000/8 {
		t.Fatalf("got %d retries for 8000 first attempts at a share of 1/8 and a burst of 4, want 1000 to 1004", got)
	}
}
