package peer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
)

// kind is the type of a message on a link.
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
	kinds
)

var kindNames = [kinds]string{
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

// Count is the traffic of one kind since the start of the process.
type Count struct {
	MessagesSent     uint64 `json:"messages_sent"`
	MessagesReceived uint64 `json:"messages_received"`
	// Bytes are those of the frames, without yamux, TLS and TCP.
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	// Dropped messages found no room in a link's ring, or no link.
	Dropped uint64 `json:"dropped"`
}

// Traffic is what all links of a router have carried.
type Traffic struct {
	// Kinds by name: hello, heartbeat, sched, config, quarantine, call, unknown.
	Kinds map[string]Count `json:"kinds"`
	// WireSent and WireReceived are the bytes written to and read from the
	// connections, yamux and TLS included.
	WireSent     uint64 `json:"wire_sent"`
	WireReceived uint64 `json:"wire_received"`
}

// meter counts one direction of one kind.
type meter struct {
	messages, bytes   atomic.Uint64
	tMessages, tBytes tally.Counter
}

func newMeter(scope tally.Scope, kind, direction string) *meter {
	tagged := scope.Tagged(map[string]string{"kind": kind, "direction": direction})
	return &meter{tMessages: tagged.Counter("messages"), tBytes: tagged.Counter("bytes")}
}

func (m *meter) add(bytes int) {
	m.messages.Add(1)
	m.bytes.Add(uint64(bytes))
	m.tMessages.Inc(1)
	m.tBytes.Inc(int64(bytes))
}

// traffic counts all links of a router.
type traffic struct {
	sent, received [kinds]*meter
	dropped        [kinds]atomic.Uint64
	tDropped       [kinds]tally.Counter

	wireSent, wireReceived   atomic.Uint64
	tWireSent, tWireReceived tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	t := &traffic{
		tWireSent:     scope.Tagged(map[string]string{"direction": "sent"}).Counter("wire_bytes"),
		tWireReceived: scope.Tagged(map[string]string{"direction": "received"}).Counter("wire_bytes"),
	}
	for k, name := range kindNames {
		t.sent[k] = newMeter(scope, name, "sent")
		t.received[k] = newMeter(scope, name, "received")
		t.tDropped[k] = scope.Tagged(map[string]string{"kind": name}).Counter("dropped")
	}
	return t
}

func (t *traffic) drop(k kind) {
	t.dropped[k].Add(1)
	t.tDropped[k].Inc(1)
}

func (t *traffic) snapshot() Traffic {
	out := Traffic{
		Kinds:        make(map[string]Count, kinds),
		WireSent:     t.wireSent.Load(),
		WireReceived: t.wireReceived.Load(),
	}
	for k, name := range kindNames {
		out.Kinds[name] = Count{
			MessagesSent:     t.sent[k].messages.Load(),
			MessagesReceived: t.received[k].messages.Load(),
			BytesSent:        t.sent[k].bytes.Load(),
			BytesReceived:    t.received[k].bytes.Load(),
			Dropped:          t.dropped[k].Load(),
		}
	}
	return out
}
