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

var claimTime = time.UnixMilli(1_800_000_000_000)

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
		t.Fatalf("got %d results, want 1", len(results))
	}
	return results[0], changed
}

func TestTransitions(t *testing.T) {
	mine, other := testID("r1", 1), testID("r2", 1)
	key := KeyOf("ledus", "k")
	grant := testGrant("k", mine)
	finish := Finish{Key: key, ID: mine, Record: Record{Status: 201, ContentType: "text/plain", Body: []byte("ok")}}
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
		{"granting the same claim again changes nothing", []Op{grant}, grant, Applied, false, Granted},
		{"another claim of a granted key is refused", []Op{grant}, testGrant("k", other), Held, false, Granted},
		{"another fingerprint is refused", []Op{grant}, reused, Reused, false, Granted},
		{"finish", []Op{grant}, finish, Applied, true, Finished},
		{"a second finish has no effect", []Op{grant, finish}, finish, NoEffect, false, Finished},
		{"a finished key is held", []Op{grant, finish}, testGrant("k", other), Held, false, Finished},
		{"finish by a claim that does not hold the key has no effect", []Op{grant}, Finish{Key: key, ID: other}, NoEffect, false, Granted},
		{"unknown", []Op{grant}, MarkUnknown{Key: key, ID: mine}, Applied, true, Unknown},
		{"an unknown claim can still be finished", []Op{grant, MarkUnknown{Key: key, ID: mine}}, finish, Applied, true, Finished},
		{"an unknown key is held", []Op{grant, MarkUnknown{Key: key, ID: mine}}, testGrant("k", other), Held, false, Unknown},
		{"a finished claim is not marked unknown", []Op{grant, finish}, MarkUnknown{Key: key, ID: mine}, NoEffect, false, Finished},
		{"release", []Op{grant}, Release{Key: key, ID: mine}, Applied, true, 0},
		{"release by a claim that does not hold the key has no effect", []Op{grant}, Release{Key: key, ID: other}, NoEffect, false, Granted},
		{"an unknown claim is not released", []Op{grant, MarkUnknown{Key: key, ID: mine}}, Release{Key: key, ID: mine}, NoEffect, false, Unknown},
		{"a finished claim is not released", []Op{grant, finish}, Release{Key: key, ID: mine}, NoEffect, false, Finished},
		{"a released key is free", []Op{grant, Release{Key: key, ID: mine}}, testGrant("k", other), Applied, true, Granted},
		{"a released claim is not finished", []Op{grant, Release{Key: key, ID: mine}}, finish, NoEffect, false, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBucket()
			w := testWriter("r1", claimTime)
			b.Apply(w, tc.before)
			got, changed := applyOne(t, b, w, tc.op)
			if got.Verdict != tc.want || changed != tc.changed {
				t.Errorf("got verdict %d, changed %v; want verdict %d, changed %v", got.Verdict, changed, tc.want, tc.changed)
			}
			if e, _ := b.Lookup(key); e.State != tc.state {
				t.Errorf("got state %d, want %d", e.State, tc.state)
			}
		})
	}
}

func TestExpiryNeedsTwoClocks(t *testing.T) {
	pastWindow := testWindow + ClockSkewMargin + time.Second
	tests := []struct {
		name string
		// otherClock is another instance's clock, relative to the claim; 0 if
		// no other instance has written the bucket.
		otherClock time.Duration
		// writerClock is the writer's clock, relative to the claim.
		writerClock time.Duration
		want        bool // the key is granted again
	}{
		{"inside the window", testWindow - time.Second, testWindow - time.Second, false},
		{"inside the margin", testWindow + ClockSkewMargin, testWindow + ClockSkewMargin, false},
		{"both clocks past the margin", pastWindow, pastWindow, true},
		{"only the writer's clock past the margin", testWindow - time.Hour, 365 * 24 * time.Hour, false},
		{"only the other clock past the margin", 365 * 24 * time.Hour, testWindow, false},
		{"no other clock", 0, pastWindow, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBucket()
			applyOne(t, b, testWriter("r1", claimTime), testGrant("k", testID("r1", 1)))
			if tc.otherClock > 0 {
				applyOne(t, b, testWriter("r2", claimTime.Add(tc.otherClock)), testGrant("w", testID("r2", 1)))
			}
			got, _ := applyOne(t, b, testWriter("r1", claimTime.Add(tc.writerClock)), testGrant("k", testID("r1", 2)))
			if (got.Verdict == Applied) != tc.want {
				t.Errorf("got verdict %d, want the key granted again: %v", got.Verdict, tc.want)
			}
		})
	}
}

// A fleet of one router never has a second clock in the bucket. Claims must still
// expire, or the bucket would fill up.
func TestSoleWriterExpiresAfterTwiceTheWindow(t *testing.T) {
	b := NewBucket()
	applyOne(t, b, testWriter("r1", claimTime), testGrant("k", testID("r1", 1)))
	for i := range soleWriterThreshold {
		applyOne(t, b, testWriter("r1", claimTime.Add(time.Minute)), testGrant(fmt.Sprint(i), testID("r1", uint64(i+2))))
	}
	repeat := testGrant("k", testID("r1", 1000))
	got, _ := applyOne(t, b, testWriter("r1", claimTime.Add(2*testWindow)), repeat)
	if got.Verdict != Held {
		t.Fatalf("got verdict %d before twice the window and the margin, want Held", got.Verdict)
	}
	got, _ = applyOne(t, b, testWriter("r1", claimTime.Add(2*testWindow+ClockSkewMargin+time.Minute)), repeat)
	if got.Verdict != Applied {
		t.Fatalf("got verdict %d after twice the window and the margin, want Applied", got.Verdict)
	}
}

// A writer with a shorter window must not expire a claim within the window of the
// router that made it.
func TestLongestWindowApplies(t *testing.T) {
	b := NewBucket()
	applyOne(t, b, testWriter("r1", claimTime), testGrant("k", testID("r1", 1)))
	later := claimTime.Add(2 * time.Hour)
	for i, name := range []ids.Instance{"r2", "r3", "r2"} {
		w := Writer{Instance: name, Now: later, Window: time.Minute}
		applyOne(t, b, w, testGrant(fmt.Sprint(i), testID(name, uint64(i))))
	}
	if _, ok := b.Lookup(KeyOf("ledus", "k")); !ok {
		t.Fatal("the key expired within the window of the router that claimed it")
	}
}

// A writer with a slow clock must not make a claim that looks old, since other
// routers would expire it at once and grant the key again.
func TestSlowClockDoesNotBackdateClaim(t *testing.T) {
	b := NewBucket()
	for i, name := range []ids.Instance{"r1", "r2"} {
		applyOne(t, b, testWriter(name, claimTime), testGrant(fmt.Sprint(i), testID(name, 1)))
	}
	got, _ := applyOne(t, b, testWriter("r3", time.UnixMilli(0)), testGrant("k", testID("r3", 1)))
	if got.Entry.ClaimedAtMS != claimTime.UnixMilli() {
		t.Fatalf("claim dated at %d, want the time of the other clocks", got.Entry.ClaimedAtMS)
	}
}

func fillBucket(t *testing.T, b *Bucket, body []byte) (grants int) {
	t.Helper()
	for i := range 20_000 {
		id := testID(ids.Instance(fmt.Sprintf("router-%d", i%8)), uint64(i))
		op := testGrant(fmt.Sprint(i), id)
		op.RequestID = strings.Repeat("q", 36)
		now := claimTime.Add(time.Duration(i) * time.Millisecond)
		got, _ := applyOne(t, b, testWriter(id.Owner.Instance, now), op)
		if got.Verdict == Full {
			return grants
		}
		grants++
		record := Record{Status: 200, ContentType: "application/json; charset=utf-8", Body: body}
		if got, _ := applyOne(t, b, testWriter(id.Owner.Instance, now), Finish{Key: op.Key, ID: id, Record: record}); got.Verdict != Applied {
			t.Fatalf("finish of claim %d: got verdict %d, want Applied", i, got.Verdict)
		}
		if i%500 == 0 {
			mustEncodeWithinBounds(t, b)
		}
	}
	t.Fatal("bucket not full after 20000 claims")
	return 0
}

func mustEncodeWithinBounds(t *testing.T, b *Bucket) []byte {
	t.Helper()
	raw, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > b.Size() || len(raw) > MaxBytes {
		t.Fatalf("encoded bucket has %d bytes, bound %d", len(raw), b.Size())
	}
	return raw
}

func TestFullBucketRefusesNewKeysAndKeepsExisting(t *testing.T) {
	b := NewBucket()
	n := fillBucket(t, b, bytes.Repeat([]byte{0xff}, 2048))
	mustEncodeWithinBounds(t, b)
	if n != b.Len() {
		t.Fatalf("bucket has %d of %d granted keys", b.Len(), n)
	}
	first, _ := b.Lookup(KeyOf("ledus", "0"))
	if first.State != Finished || first.Record.Body != nil || !first.Record.Truncated {
		t.Errorf("the oldest body was not dropped: %+v", first.Record)
	}
	last, _ := b.Lookup(KeyOf("ledus", fmt.Sprint(n-1)))
	if len(last.Record.Body) != 2048 {
		t.Errorf("the newest body was dropped")
	}
	got, changed := applyOne(t, b, testWriter("r1", claimTime), testGrant("0", testID("r1", 1)))
	if got.Verdict != Held || changed {
		t.Errorf("got verdict %d for a repeat in a full bucket, want Held", got.Verdict)
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	b := NewBucket()
	w := testWriter("r1", claimTime)
	b.Apply(w, []Op{
		testGrant("a", testID("r1", 1)),
		testGrant("b", testID("r2", 1<<63)),
		Finish{Key: KeyOf("ledus", "a"), ID: testID("r1", 1), Record: Record{Status: 201, Body: []byte{0, 255}}},
		MarkUnknown{Key: KeyOf("ledus", "b"), ID: testID("r2", 1<<63)},
	})
	raw := mustEncodeWithinBounds(t, b)
	got, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	encodedAgain, err := got.Encode()
	if err != nil || !bytes.Equal(raw, encodedAgain) {
		t.Fatalf("encoding after decoding differs (error %v):\n%s\n%s", err, raw, encodedAgain)
	}
	if got.Size() != b.Size() || got.Window() != testWindow {
		t.Fatalf("decoded bucket has size %d and window %v, want those of the encoded one", got.Size(), got.Window())
	}
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	entry := `{"k":"AAAAAAAAAAAAAAAAAAAAAA","s":1}`
	for _, raw := range []string{
		``, `null`, `[]`, `{"v":2}`,
		`{"v":1,"e":[` + entry + `]}`,
		`{"v":1,"o":[{"i":"r"}],"e":[{"k":"AA","s":1}]}`,
		`{"v":1,"o":[{"i":"r"}],"e":[{"k":"AAAAAAAAAAAAAAAAAAAAAA","s":4}]}`,
		`{"v":1,"o":[{"i":"r"}],"e":[` + entry + `,` + entry + `]}`,
	} {
		if _, err := Decode(json.RawMessage(raw)); err == nil {
			t.Errorf("no error for %s", raw)
		}
	}
}
