package peer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
)

// kind is the kind of a message on a link.
type kind int

const (
	kindUnknown kind = iota
	kindHello
	kindHeartbeat
	kindSched
	kindConfig
	kindQuarantine
	kindFleet
	kindCall
	kindCount
)

var kindNames = [kindCount]string{
	kindUnknown:    "unknown",
	kindHello:      "hello",
	kindHeartbeat:  "heartbeat",
	kindSched:      "sched",
	kindConfig:     "config",
	kindQuarantine: "quarantine",
	kindFleet:      "fleet",
	kindCall:       "call",
}

func kindOf(env *peerv1.Envelope) kind {
	switch env.GetBody().(type) {
	case *peerv1.Envelope_Hello:
		return kindHello
	case *peerv1.Envelope_Heartbeat:
		return kindHeartbeat
	case *peerv1.Envelope_Sched:
		return kindSched
	case *peerv1.Envelope_Config:
		return kindConfig
	case *peerv1.Envelope_Quarantine:
		return kindQuarantine
	case *peerv1.Envelope_Fleet:
		return kindFleet
	default:
		return kindUnknown
	}
}

// KindTraffic is the traffic of one kind since the mesh was created.
type KindTraffic struct {
	MessagesSent     uint64 `json:"messages_sent"`
	MessagesReceived uint64 `json:"messages_received"`
	// BytesSent and BytesReceived count the frames' bytes, without the overhead
	// of yamux, TLS and TCP.
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	// Dropped counts the messages that were too large, that were sent to a peer
	// without a link, that found the send queue full, or that were still queued
	// when their link ended.
	Dropped uint64 `json:"dropped"`
}

// Traffic is the traffic of all links of a router since its mesh was created.
type Traffic struct {
	// Kinds is the traffic by kind: hello, heartbeat, sched, config, quarantine,
	// fleet, call, unknown.
	Kinds map[string]KindTraffic `json:"kinds"`
	// WireSent and WireReceived count the bytes written to and read from the
	// connections, including yamux and TLS.
	WireSent     uint64 `json:"wire_sent"`
	WireReceived uint64 `json:"wire_received"`
}

// meter counts the messages of one kind in one direction, both for snapshots and
// as metrics.
type meter struct {
	messages, bytes             atomic.Uint64
	messagesMetric, bytesMetric tally.Counter
}

func newMeter(scope tally.Scope, kind, direction string) *meter {
	tagged := scope.Tagged(map[string]string{"kind": kind, "direction": direction})
	return &meter{messagesMetric: tagged.Counter("messages"), bytesMetric: tagged.Counter("bytes")}
}

func (m *meter) add(bytes int) {
	m.messages.Add(1)
	m.bytes.Add(uint64(bytes))
	m.messagesMetric.Inc(1)
	m.bytesMetric.Inc(int64(bytes))
}

// traffic counts the traffic of all links of a router, both for snapshots and as
// metrics.
type traffic struct {
	sent, received [kindCount]*meter
	dropped        [kindCount]atomic.Uint64
	droppedMetric  [kindCount]tally.Counter

	wireSent, wireReceived             atomic.Uint64
	wireSentMetric, wireReceivedMetric tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	t := &traffic{
		wireSentMetric:     scope.Tagged(map[string]string{"direction": "sent"}).Counter("wire_bytes"),
		wireReceivedMetric: scope.Tagged(map[string]string{"direction": "received"}).Counter("wire_bytes"),
	}
	for k, name := range kindNames {
		t.sent[k] = newMeter(scope, name, "sent")
		t.received[k] = newMeter(scope, name, "received")
		t.droppedMetric[k] = scope.Tagged(map[string]string{"kind": name}).Counter("dropped")
	}
	return t
}

func (t *traffic) drop(k kind) {
	t.dropped[k].Add(1)
	t.droppedMetric[k].Inc(1)
}

func (t *traffic) snapshot() Traffic {
	out := Traffic{
		Kinds:        make(map[string]KindTraffic, kindCount),
		WireSent:     t.wireSent.Load(),
		WireReceived: t.wireReceived.Load(),
	}
	for k, name := range kindNames {
		out.Kinds[name] = KindTraffic{
			MessagesSent:     t.sent[k].messages.Load(),
			MessagesReceived: t.received[k].messages.Load(),
			BytesSent:        t.sent[k].bytes.Load(),
			BytesReceived:    t.received[k].bytes.Load(),
			Dropped:          t.dropped[k].Load(),
		}
	}
	return out
}
