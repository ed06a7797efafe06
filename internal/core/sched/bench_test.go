package sched_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// fleetSize is the size of a benchmark's fleet. Most sizes vary one dimension at a
// time to show how costs grow with it.
type fleetSize struct{ workspaces, routers, targets int }

var sizes = []fleetSize{
	{16, 8, 12},
	{460, 8, 12},
	{4600, 8, 12},
	{46000, 8, 12},
	{460, 80, 12},
	{460, 1200, 12},
	{460, 8, 1000},
	{460, 8, 10000},
	{46000, 1200, 10000},
}

func (z fleetSize) String() string {
	return fmt.Sprintf("workspaces=%d/routers=%d/targets=%d", z.workspaces, z.routers, z.targets)
}

// newFleetScheduler returns a scheduler of a fleet in 8 failure domains, each
// workspace of which has a waiting request.
func newFleetScheduler(z fleetSize) *sched.Scheduler {
	s := sched.New(sched.Settings{Self: "r0", Domain: "d0"})
	var rs []sched.Router
	for i := range z.routers {
		rs = append(rs, sched.Router{Instance: ids.Instance(fmt.Sprintf("r%d", i)), Domain: ids.Domain(fmt.Sprintf("d%d", i%8))})
	}
	var ts []sched.Target
	for i := range z.targets {
		t := target(ids.Target(fmt.Sprintf("t%d", i)), 8)
		t.Domain = ids.Domain(fmt.Sprintf("d%d", i%8))
		ts = append(ts, t)
	}
	s.Step(t0, sched.SetTargets{Targets: ts})
	s.Step(t0, sched.SetRouters{Routers: rs})
	for i := range z.initialRequests() {
		submit(s, t0, sched.Request{ID: sched.RequestID(i + 1), Workspace: workspace(i % z.workspaces)})
	}
	return s
}

// initialRequests returns the number of requests submitted before a benchmark
// starts: one of each workspace, and more than can run.
func (z fleetSize) initialRequests() int { return max(z.workspaces, 1000) }

func workspace(i int) ids.Workspace { return ids.Workspace(fmt.Sprintf("w%d", i)) }

// grantAll answers the holds among the actions in place of the owners, with 8
// more permits for each target, and returns the resulting actions.
func grantAll(s *sched.Scheduler, now time.Time, as []sched.Action, seq *uint32) []sched.Action {
	var out []sched.Action
	for _, a := range as {
		m, ok := a.(sched.Send)
		if !ok {
			continue
		}
		for _, h := range m.Msg.GetHolds() {
			*seq++
			g := append([]uint32(nil), h.GetGranted()...)
			for i := range g {
				g[i] += 8
			}
			l := &schedv1.Lease{Group: h.GetGroup(), Session: h.GetSession(), Granted: g}
			msg := &schedv1.Message{Incarnation: 1, Sequence: *seq, Leases: []*schedv1.Lease{l}}
			out = append(out, s.Step(now, sched.Receive{From: m.To, Msg: msg})...)
		}
	}
	return out
}

// saturate grants all permits that a scheduler requests, and returns the time and
// the running requests.
func saturate(b *testing.B, s *sched.Scheduler) (time.Time, []sched.RequestID) {
	var seq uint32
	var running []sched.RequestID
	now := t0
	for range 100 {
		now = now.Add(sched.TickInterval)
		as := s.Step(now, sched.Tick{})
		running = append(running, dispatched(as)...)
		running = append(running, dispatched(grantAll(s, now, as, &seq))...)
	}
	if len(running) == 0 {
		b.Fatal("no request is running")
	}
	return now, running
}

// BenchmarkDecision measures the events of one request: the submission, the end
// of a running request, and the dispatch that follows.
func BenchmarkDecision(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			s := newFleetScheduler(z)
			now, running := saturate(b, s)
			next := sched.RequestID(z.initialRequests())
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				next++
				as := submit(s, now, sched.Request{ID: next, Workspace: workspace(i % z.workspaces)})
				running = append(running, dispatched(as)...)
				id := running[0]
				running = append(running[1:], dispatched(s.Step(now, sched.Finish{ID: id, Units: 50}))...)
				if len(running) == 0 {
					b.Fatal("no request is running")
				}
			}
		})
	}
}

// BenchmarkRound measures one router's exchange in a report interval: reports,
// responses and permits, with all workspaces backlogged. It also reports the number
// and the size in bytes of the messages sent.
func BenchmarkRound(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			s := newFleetScheduler(z)
			now := t0
			bytes, messages := 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(sched.DefaultReportInterval)
				for _, a := range s.Step(now, sched.Tick{}) {
					if m, ok := a.(sched.Send); ok {
						bytes += proto.Size(m.Msg)
						messages++
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "msg-bytes/op")
			b.ReportMetric(float64(messages)/float64(b.N), "msgs/op")
		})
	}
}

// BenchmarkMerge measures a home's merge of one router's report on 16 accounts.
func BenchmarkMerge(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			s := newFleetScheduler(z)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r := &schedv1.Report{}
				for k := range 16 {
					r.Keys = append(r.Keys, uint64((i*16+k)%z.workspaces))
					r.Units = append(r.Units, uint64(i))
					r.States = append(r.States, uint32(schedv1.AccountState_BACKLOGGED))
				}
				m := &schedv1.Message{Incarnation: 1, Sequence: uint32(i + 1), Report: r}
				s.Step(t0, sched.Receive{From: ids.Instance(fmt.Sprintf("r%d", 1+i%(z.routers-1))), Msg: m})
			}
		})
	}
}
