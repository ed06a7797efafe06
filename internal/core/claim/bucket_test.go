package claim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const testWindow = 24 * time.Hour

var testTime = time.UnixMilli(1_800_000_000_000)

func testWriter(instance ids.Instance, now time.Time) Writer {
	return Writer{Instance: instance, Now: now, Window: testWindow}
}

func testID(instance ids.Instance, seq uint64) ID {
	return ID{Owner: Owner{Instance: instance, Incarnation: 7}, Seq: seq}
}

func testGrant(key string, id ID) Grant {
	return Grant{Key: KeyOf("ledus", key), Fingerprint: 1, ID: id, RequestID: "req-1"}
}

func applyOne(t *testing.T, b *Bucket, w Writer, op Op) (Result, bool) {
	t.Helper()
	results, changed := b.Apply(w, []Op{op})
	if len(results) != 1 {
		t.Fatalf("%d results", len(results))
	}
	return results[0], changed
}

func TestTransitions(t *testing.T) {
	mine, other := testID("r1", 1), testID("r2", 1)
	key := KeyOf("ledus", "k")
	grant := testGrant("k", mine)
	done := Finish{Key: key, ID: mine, Record: Record{Status: 201, ContentType: "text/plain", Body: []byte("ok")}}
	reused := testGrant("k", other)
	reused.Fingerprint = 2
	tests := []struct {
		name    string
		before  []Op
		op      Op
		want    Verdict
		changed bool
		state   State // 0: no entry
	}{
		{"a free key is granted", nil, grant, Applied, true, Granted},
		{"the same claim again changes nothing", []Op{grant}, grant, Applied, false, Granted},
		{"another claim is refused", []Op{grant}, testGrant("k", other), Held, false, Granted},
		{"another content is refused", []Op{grant}, reused, Reused, false, Granted},
		{"finish", []Op{grant}, done, Applied, true, Finished},
		{"finish twice", []Op{grant, done}, done, Gone, false, Finished},
		{"a finished key is held", []Op{grant, done}, testGrant("k", other), Held, false, Finished},
		{"finish of another's claim", []Op{grant}, Finish{Key: key, ID: other}, Gone, false, Granted},
		{"unknown", []Op{grant}, MarkUnknown{Key: key, ID: mine}, Applied, true, Unknown},
		{"unknown, then the answer after all", []Op{grant, MarkUnknown{Key: key, ID: mine}}, done, Applied, true, Finished},
		{"an unknown key is held", []Op{grant, MarkUnknown{Key: key, ID: mine}}, testGrant("k", other), Held, false, Unknown},
		{"unknown after finish", []Op{grant, done}, MarkUnknown{Key: key, ID: mine}, Gone, false, Finished},
		{"release", []Op{grant}, Release{Key: key, ID: mine}, Applied, true, 0},
		{"release of another's claim", []Op{grant}, Release{Key: key, ID: other}, Gone, false, Granted},
		{"release after unknown", []Op{grant, MarkUnknown{Key: key, ID: mine}}, Release{Key: key, ID: mine}, Gone, false, Unknown},
		{"release after finish", []Op{grant, done}, Release{Key: key, ID: mine}, Gone, false, Finished},
		{"a released key is free", []Op{grant, Release{Key: key, ID: mine}}, testGrant("k", other), Applied, true, Granted},
		{"finish after release", []Op{grant, Release{Key: key, ID: mine}}, done, Gone, false, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBucket()
			w := testWriter("r1", testTime)
			b.Apply(w, tc.before)
			got, changed := applyOne(t, b, w, tc.op)
			if got.Verdict != tc.want || changed != tc.changed {
				t.Errorf("verdict %d changed %v, want %d %v", got.Verdict, changed, tc.want, tc.changed)
			}
			if e, _ := b.Lookup(key); e.State != tc.state {
				t.Errorf("state %d, want %d", e.State, tc.state)
			}
		})
	}
}

func TestExpiry(t *testing.T) {
	over := testWindow + Margin + time.Second
	tests := []struct {
		name string
		// witness is another instance's clock, relative to the claim.
		witness time.Duration
		// now is the writer's clock, relative to the claim.
		now  time.Duration
		want bool // the key is granted again
	}{
		{"inside the window", testWindow - time.Second, testWindow - time.Second, false},
		{"inside the margin", testWindow + Margin, testWindow + Margin, false},
		{"both clocks past", over, over, true},
		{"one fast clock reopens nothing", testWindow - time.Hour, 365 * 24 * time.Hour, false},
		{"a witness far ahead, the writer not", 365 * 24 * time.Hour, testWindow, false},
		{"no witness", 0, over, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBucket()
			applyOne(t, b, testWriter("r1", testTime), testGrant("k", testID("r1", 1)))
			if tc.witness > 0 {
				applyOne(t, b, testWriter("r2", testTime.Add(tc.witness)), testGrant("w", testID("r2", 1)))
			}
			got, _ := applyOne(t, b, testWriter("r1", testTime.Add(tc.now)), testGrant("k", testID("r1", 2)))
			if (got.Verdict == Applied) != tc.want {
				t.Errorf("verdict %d, want a grant: %v", got.Verdict, tc.want)
			}
		})
	}
}

// A fleet of one router has no second clock and must still forget.
func TestLoneWriterForgets(t *testing.T) {
	b := NewBucket()
	applyOne(t, b, testWriter("r1", testTime), testGrant("k", testID("r1", 1)))
	for i := range loneWrites {
		applyOne(t, b, testWriter("r1", testTime.Add(time.Minute)), testGrant(fmt.Sprint(i), testID("r1", uint64(i+2))))
	}
	again := testGrant("k", testID("r1", 1000))
	got, _ := applyOne(t, b, testWriter("r1", testTime.Add(2*testWindow)), again)
	if got.Verdict != Held {
		t.Fatalf("verdict %d before twice the window", got.Verdict)
	}
	got, _ = applyOne(t, b, testWriter("r1", testTime.Add(2*testWindow+Margin+time.Minute)), again)
	if got.Verdict != Applied {
		t.Fatalf("verdict %d after twice the window", got.Verdict)
	}
}

// The longest window that a writer ever stated counts.
func TestShorterWindowOfOneWriter(t *testing.T) {
	b := NewBucket()
	applyOne(t, b, testWriter("r1", testTime), testGrant("k", testID("r1", 1)))
	later := testTime.Add(2 * time.Hour)
	for i, name := range []ids.Instance{"r2", "r3", "r2"} {
		w := Writer{Instance: name, Now: later, Window: time.Minute}
		applyOne(t, b, w, testGrant(fmt.Sprint(i), testID(name, uint64(i))))
	}
	if _, ok := b.Lookup(KeyOf("ledus", "k")); !ok {
		t.Fatal("the key was forgotten inside the window of its claimant")
	}
}

// A writer with a slow clock must not make a claim that looks old.
func TestSlowClockOfTheClaimant(t *testing.T) {
	b := NewBucket()
	for i, name := range []ids.Instance{"r1", "r2"} {
		applyOne(t, b, testWriter(name, testTime), testGrant(fmt.Sprint(i), testID(name, 1)))
	}
	got, _ := applyOne(t, b, testWriter("r3", time.UnixMilli(0)), testGrant("k", testID("r3", 1)))
	if got.Entry.At != testTime.UnixMilli() {
		t.Fatalf("claim at %d", got.Entry.At)
	}
}

func fill(t *testing.T, b *Bucket, body []byte) (grants int) {
	t.Helper()
	for i := range 20_000 {
		id := testID(ids.Instance(fmt.Sprintf("router-%d", i%8)), uint64(i))
		op := testGrant(fmt.Sprint(i), id)
		op.RequestID = strings.Repeat("q", 36)
		now := testTime.Add(time.Duration(i) * time.Millisecond)
		got, _ := applyOne(t, b, testWriter(id.Owner.Instance, now), op)
		if got.Verdict == Full {
			return grants
		}
		grants++
		rec := Record{Status: 200, ContentType: "application/json; charset=utf-8", Body: body}
		if got, _ := applyOne(t, b, testWriter(id.Owner.Instance, now), Finish{Key: op.Key, ID: id, Record: rec}); got.Verdict != Applied {
			t.Fatalf("claim %d could not be finished: %d", i, got.Verdict)
		}
		if i%500 == 0 {
			checkSize(t, b)
		}
	}
	t.Fatal("never full")
	return 0
}

func checkSize(t *testing.T, b *Bucket) []byte {
	t.Helper()
	raw, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > b.Size() || len(raw) > MaxBytes {
		t.Fatalf("%d bytes, bound %d", len(raw), b.Size())
	}
	return raw
}

func TestFullBucketRefusesAndKeepsItsKeys(t *testing.T) {
	b := NewBucket()
	n := fill(t, b, bytes.Repeat([]byte{0xff}, 2048))
	checkSize(t, b)
	if n != b.Len() {
		t.Fatalf("%d of %d keys", b.Len(), n)
	}
	first, _ := b.Lookup(KeyOf("ledus", "0"))
	if first.State != Finished || first.Record.Body != nil || !first.Record.Truncated {
		t.Errorf("the oldest body stands: %+v", first.Record)
	}
	last, _ := b.Lookup(KeyOf("ledus", fmt.Sprint(n-1)))
	if len(last.Record.Body) != 2048 {
		t.Errorf("the newest body is gone")
	}
	got, changed := applyOne(t, b, testWriter("r1", testTime), testGrant("0", testID("r1", 1)))
	if got.Verdict != Held || changed {
		t.Errorf("verdict %d for a repeat at a full bucket", got.Verdict)
	}
}

func TestCodec(t *testing.T) {
	b := NewBucket()
	w := testWriter("r1", testTime)
	b.Apply(w, []Op{
		testGrant("a", testID("r1", 1)),
		testGrant("b", testID("r2", 1<<63)),
		Finish{Key: KeyOf("ledus", "a"), ID: testID("r1", 1), Record: Record{Status: 201, Body: []byte{0, 255}}},
		MarkUnknown{Key: KeyOf("ledus", "b"), ID: testID("r2", 1<<63)},
	})
	raw := checkSize(t, b)
	got, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	again, err := got.Encode()
	if err != nil || !bytes.Equal(raw, again) {
		t.Fatalf("%v\n%s\n%s", err, raw, again)
	}
	if got.Size() != b.Size() || got.Window() != testWindow {
		t.Fatalf("size %d window %v", got.Size(), got.Window())
	}
}

func TestDecodeRefuses(t *testing.T) {
	entry := `{"k":"AAAAAAAAAAAAAAAAAAAAAA","s":1}`
	for _, raw := range []string{
		``, `null`, `[]`, `{"v":2}`,
		`{"v":1,"e":[` + entry + `]}`,
		`{"v":1,"o":[{"i":"r"}],"e":[{"k":"AA","s":1}]}`,
		`{"v":1,"o":[{"i":"r"}],"e":[{"k":"AAAAAAAAAAAAAAAAAAAAAA","s":4}]}`,
		`{"v":1,"o":[{"i":"r"}],"e":[` + entry + `,` + entry + `]}`,
	} {
		if _, err := Decode(json.RawMessage(raw)); err == nil {
			t.Errorf("%s was read", raw)
		}
	}
}
