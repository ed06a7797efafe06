package quarantine

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/ids"
)

// TestMain fixes the seed, so that each run has the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testDuration = 10 * time.Minute

var testTime = time.UnixMilli(1_800_000_000_000)

func crashAt(id, target string, after time.Duration, solo bool) Crash {
	return Crash{
		Fingerprint: 1, Target: ids.Target(target), ID: id, Solo: solo,
		At: testTime.Add(after).UnixMilli(),
	}
}

func TestStanding(t *testing.T) {
	cleared := crashAt("a", "t1", 0, false)
	cleared.Cleared = true
	one := crashAt("a", "t1", 0, false)
	tests := []struct {
		name    string
		crashes []Crash
		after   time.Duration
		want    Level
	}{
		{"nothing", nil, 0, Clean},
		{"one death", []Crash{one}, 0, Suspect},
		{"the same death told twice", []Crash{one, one}, 0, Suspect},
		{"the same death told by two routers", []Crash{one, crashAt("b", "t1", time.Second, false)}, time.Second, Suspect},
		{"a second death of the same target", []Crash{one, crashAt("b", "t1", 6*time.Second, false)}, 6 * time.Second, Quarantined},
		{"two targets", []Crash{one, crashAt("b", "t2", time.Second, false)}, time.Second, Quarantined},
		{"two targets, a tenth later", []Crash{one, crashAt("b", "t2", 0, false)}, testDuration/10 + time.Second, Suspect},
		{"alone", []Crash{one, crashAt("b", "t1", time.Second, true)}, time.Second, Quarantined},
		{"alone, before the end", []Crash{one, crashAt("b", "t2", 0, true)}, testDuration - time.Second, Quarantined},
		{"alone, after the end", []Crash{one, crashAt("b", "t2", 0, true)}, testDuration + time.Second, Suspect},
		{"cleared", []Crash{cleared}, 0, Clean},
		{"cleared before it was told", []Crash{cleared, one}, 0, Clean},
		{"cleared, and another", []Crash{cleared, crashAt("b", "t2", 0, false)}, 0, Suspect},
		{"forgotten", []Crash{one}, 2*testDuration + time.Second, Clean},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tab := New(testDuration)
			for _, c := range tc.crashes {
				tab.Add(c, testTime)
			}
			now := testTime.Add(tc.after)
			if got := tab.Standing(1, now); got.Level != tc.want {
				t.Errorf("level %d, want %d", got.Level, tc.want)
			}
		})
	}
}

// Tables that learn the same in any order, any number of times, are equal.
func TestMergesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "crashes")
		var all []Crash
		for range n {
			id := rapid.IntRange(0, 15).Draw(t, "id")
			all = append(all, Crash{
				Fingerprint: uint64(id % 2),
				Target:      ids.Target(fmt.Sprint("t", id%3)),
				ID:          fmt.Sprint("c", id),
				Solo:        rapid.Bool().Draw(t, "solo"),
				At:          testTime.Add(time.Duration(id) * time.Minute / 2).UnixMilli(),
				Cleared:     rapid.Bool().Draw(t, "cleared"),
			})
		}
		now := testTime.Add(10 * time.Minute)
		one, two := New(testDuration), New(testDuration)
		for _, c := range all {
			one.Add(c, now)
		}
		for _, i := range rapid.Permutation(index(len(all))).Draw(t, "order") {
			two.Add(all[i], now)
			two.Add(all[rapid.IntRange(0, i).Draw(t, "again")], now)
		}
		for _, c := range all {
			two.Add(c, now)
		}
		if one.Digest() != two.Digest() {
			t.Fatalf("digests differ: %v %v", one.Crashes(99), two.Crashes(99))
		}
		for fp := range uint64(2) {
			if a, b := one.Standing(fp, now), two.Standing(fp, now); a != b {
				t.Fatalf("standing %v and %v", a, b)
			}
		}
	})
}

func index(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestTableIsBounded(t *testing.T) {
	tab := New(testDuration)
	for i := range 2 * MaxSuspects {
		c := crashAt("c", "t", time.Duration(i)*time.Millisecond, false)
		c.Fingerprint = uint64(i)
		tab.Add(c, testTime)
	}
	for i := range 100 {
		tab.Add(crashAt(fmt.Sprint(i), "t", time.Duration(i)*time.Hour, false), testTime)
	}
	if tab.Len() != MaxSuspects || len(tab.Crashes(1<<20)) > MaxSuspects+maxCrashes {
		t.Fatalf("%d fingerprints, %d crashes", tab.Len(), len(tab.Crashes(1<<20)))
	}
	tab.Expire(testTime.Add(1000 * time.Hour))
	if tab.Len() != 0 {
		t.Fatalf("%d fingerprints after all have expired", tab.Len())
	}
}

// Two routers that want the same trial: exactly one gets it, whoever asks
// first, once they have heard of each other.
func TestTrialsOfTwoRouters(t *testing.T) {
	for fp := range uint64(50) {
		owners := []Owner{{"r1", 1}, {"r2", 1}}
		trials := []*Trials{NewTrials(owners[0]), NewTrials(owners[1])}
		granted := 0
		now := testTime
		for range 10 {
			for i, tr := range trials {
				ok, _ := tr.Ask(fp, now)
				if ok {
					granted++
				}
				trials[1-i].Hear(fp, owners[i], ok, false, now)
			}
			now = now.Add(SettleTime / 2)
		}
		if granted != 1 {
			t.Fatalf("fingerprint %d: %d grants", fp, granted)
		}
	}
}

func TestTrialOfARouterThatFellSilent(t *testing.T) {
	tr := NewTrials(Owner{"r1", 1})
	tr.Hear(1, Owner{"r2", 1}, true, false, testTime)
	if ok, _ := tr.Ask(1, testTime); ok {
		t.Fatal("two trials at once")
	}
	later := testTime.Add(TrialTimeout + time.Second)
	tr.Ask(1, later)
	if ok, _ := tr.Ask(1, later.Add(SettleTime)); !ok {
		t.Fatal("the silent router's trial stands")
	}
	if ok, _ := tr.Ask(1, later.Add(SettleTime)); ok {
		t.Fatal("granted twice")
	}
}

func TestTargetThatIsBackAtOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, tc := range []struct {
		name  string
		began int64
		want  Level
	}{
		{"ran beside the first", -10, Suspect},
		{"began after the first death", 20, Quarantined},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New(10 * time.Minute)
			at := now.UnixMilli()
			table.Add(Crash{Fingerprint: 1, Target: "t", ID: "a/1", Began: at - 100, At: at}, now)
			table.Add(Crash{Fingerprint: 1, Target: "t", ID: "b/1", Began: at + tc.began, At: at + 30}, now)
			if got := table.Standing(1, now.Add(time.Second)).Level; got != tc.want {
				t.Errorf("level %v, want %v", got, tc.want)
			}
		})
	}
}
