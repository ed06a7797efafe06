package sched

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"
)

// send emits the outgoing messages. Messages of a round are always sent; others
// only while the byte budget is not exhausted, and remain pending until then.
// Messages to routers that are no longer live are dropped.
func (s *Scheduler) send() {
	s.byteBudget.refill(s.now)
	keep := s.pendingPeers[:0]
	for _, p := range s.pendingPeers {
		switch {
		case !s.isLive(p.name):
			p.outgoing, p.inRound = nil, false
		case p.inRound || s.byteBudget.hasBytes():
			s.sendTo(p)
		default:
			keep = append(keep, p)
		}
	}
	clear(s.pendingPeers[len(keep):])
	s.pendingPeers = keep
}

func (s *Scheduler) sendTo(p *peer) {
	p.lastSentSequence++
	p.outgoing.Sequence = p.lastSentSequence
	if !p.inRound {
		s.byteBudget.take(proto.Size(p.outgoing) + frameOverheadBytes)
	}
	s.emit(Send{To: p.name, Msg: p.outgoing})
	p.outgoing, p.inRound = nil, false
}

// byteBudget is a token bucket of bytes. A message may be sent while the bucket
// is above zero, and may take it below zero.
type byteBudget struct {
	availableBytes float64
	refilledAt     time.Time
}

func (b *byteBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.availableBytes = immediateBurstBytes
	} else {
		b.availableBytes = math.Min(immediateBurstBytes, b.availableBytes+now.Sub(b.refilledAt).Seconds()*immediateBytesPerSecond)
	}
	b.refilledAt = now
}

func (b *byteBudget) hasBytes() bool { return b.availableBytes > 0 }

func (b *byteBudget) take(n int) { b.availableBytes -= float64(n) }
