package peer

import (
	"bytes"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/settings"
)

func BenchmarkEncodeReport100(b *testing.B) {
	env := schedMessage(1)
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

// BenchmarkSend sends small scheduler messages over one link, with both ends in
// this process, and reports the wire bytes of each message.
func BenchmarkSend(b *testing.B) {
	a, other := start(b, "a"), start(b, "b")
	linkAll(a, other)
	for len(a.Live()) == 0 {
		time.Sleep(time.Millisecond)
	}
	before := a.Traffic()
	env := schedMessage(1)
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

// BenchmarkHeartbeats runs a hub with idle links and reports the CPU time of both
// ends and the wire bytes for each heartbeat.
func BenchmarkHeartbeats(b *testing.B) {
	for _, peers := range []int{1, 7, 23} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) { benchmarkHeartbeats(b, peers) })
	}
}

func benchmarkHeartbeats(b *testing.B, peers int) {
	const interval = 20 * time.Millisecond
	opts := func(o *Options) {
		o.HeartbeatInterval = interval
		o.Timeout = 50 * interval
		o.NewHeartbeat = func() *peerv1.Heartbeat { return &peerv1.Heartbeat{Revision: 1 << 32} }
	}
	hub := start(b, "hub", opts)
	memoryBefore := memoryInUse()
	var seeds []settings.Seed
	for i := range peers {
		seeds = append(seeds, start(b, fmt.Sprintf("r%02d", i), opts).seed)
	}
	hub.SetPeers(seeds)
	for len(hub.Live()) < peers {
		time.Sleep(time.Millisecond)
	}
	// Each peer is a mesh with one link end; the hub holds the other ends.
	perLink := (memoryInUse() - memoryBefore) / float64(2*peers)
	before, cpuBefore := hub.Traffic(), cpuTime(b)
	for b.Loop() {
		time.Sleep(interval)
	}
	after, spent := hub.Traffic(), cpuTime(b)-cpuBefore
	sent := float64(after.Kinds["heartbeat"].MessagesSent - before.Kinds["heartbeat"].MessagesSent)
	b.ReportMetric(float64(after.WireSent-before.WireSent)/sent, "wire-B/beat")
	b.ReportMetric(perLink, "mem-B/link-end")
	// The hub receives as many heartbeats as it sends, and both ends run in this
	// process, so the CPU time covers twice the heartbeats counted.
	b.ReportMetric(float64(spent.Microseconds())/sent/2, "cpu-us/beat")
}

// memoryInUse returns the bytes of the live heap and the stacks.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLostLinks reports the CPU time of a router on one processor, and of the other
// ends in this process, from the loss of 20 links until they are reported lost.
func BenchmarkLostLinks(b *testing.B) {
	const links = 20
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var spent time.Duration
	for b.Loop() {
		b.StopTimer()
		hub := start(b, "hub")
		var seeds []settings.Seed
		var others []*node
		for i := range links {
			n := start(b, fmt.Sprintf("p%02d", i))
			others, seeds = append(others, n), append(seeds, n.seed)
		}
		hub.SetPeers(seeds)
		for len(hub.Live()) < links {
			time.Sleep(time.Millisecond)
		}
		before := cpuTime(b)
		b.StartTimer()
		for _, n := range others {
			go n.stop()
		}
		for len(hub.Live()) > 0 {
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
		spent += cpuTime(b) - before
		hub.stop()
		for _, n := range others {
			n.stop()
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/op")
}
