package sched

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"
)

// send emits the messages put together: those of a round always, others while
// the budget lasts.
func (s *Scheduler) send() {
	s.budget.refill(s.now)
	keep := s.pending[:0]
	for _, p := range s.pending {
		switch {
		case !s.isLive(p.name):
			p.out, p.round = nil, false
		case p.round || s.budget.open():
			s.sendTo(p)
		default:
			keep = append(keep, p)
		}
	}
	clear(s.pending[len(keep):])
	s.pending = keep
}

func (s *Scheduler) sendTo(p *peer) {
	p.sent++
	p.out.Sequence = p.sent
	if !p.round {
		s.budget.take(proto.Size(p.out) + frameBytes)
	}
	s.emit(Send{To: p.name, Msg: p.out})
	p.out, p.round = nil, false
}

// budget is a token bucket of bytes that may go below zero once.
type budget struct {
	bytes float64
	last  time.Time
}

func (b *budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.bytes = edgeBurst
	} else {
		b.bytes = math.Min(edgeBurst, b.bytes+now.Sub(b.last).Seconds()*edgeBytesPerSecond)
	}
	b.last = now
}

func (b *budget) open() bool { return b.bytes > 0 }

func (b *budget) take(n int) { b.bytes -= float64(n) }
