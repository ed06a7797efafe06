package peer

import (
	"bytes"
	"testing"
	"time"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
)

func BenchmarkEncodeReport100(b *testing.B) {
	env := sched(1)
	env.GetSched().GetReport().Keys = make([]uint64, 100)
	env.GetSched().GetReport().Units = make([]uint64, 100)
	for b.Loop() {
		if _, _, err := encode(env); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeHeartbeat(b *testing.B) {
	frame, _, err := encode(&peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{
		Heartbeat: &peerv1.Heartbeat{Revision: 1 << 40, Sequence: 1 << 20},
	}})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, _, _, err := newFrameReader(bytes.NewReader(frame)).readEnvelope(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSend sends small scheduler messages over one link, both ends in this
// process, and reports the wire bytes of each.
func BenchmarkSend(b *testing.B) {
	a, other := start(b, "a"), start(b, "b")
	linkAll(a, other)
	for len(a.Live()) == 0 {
		time.Sleep(time.Millisecond)
	}
	before := a.Traffic()
	env := sched(1)
	sent := 0
	for b.Loop() {
		for !a.Send("b", env) {
			time.Sleep(time.Millisecond)
		}
		sent++
	}
	for other.count("a") < sent {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(a.Traffic().WireSent-before.WireSent)/float64(sent), "wire-B/op")
}
