package peer

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
)

// Version of the peer protocol. Routers of different versions do not link.
const Version = 1

const (
	// helloTimeout bounds connecting, TLS and the exchange of greetings.
	helloTimeout = 3 * time.Second
	// maxName bounds the names and addresses in a Hello, in bytes.
	maxName = 256
)

// refusal says why a link was refused.
type refusal string

const (
	refusedMalformed refusal = "malformed"
	refusedVersion   refusal = "version"
	refusedFleet     refusal = "fleet"
	refusedInstance  refusal = "instance"
	refusedBusy      refusal = "busy"
)

// refusedError is a link that this router does not accept.
type refusedError struct{ reason refusal }

// Error implements error.
func (e *refusedError) Error() string { return "link refused: " + string(e.reason) }

func (m *Mesh) hello() *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Hello{Hello: &peerv1.Hello{
		Version:     Version,
		Fleet:       m.opts.Fleet,
		Instance:    string(m.opts.Self),
		Incarnation: uint64(m.opts.Incarnation),
		Domain:      string(m.opts.Domain),
		PeerAddress: m.opts.Advertise,
	}}}
}

func (m *Mesh) sendHello(conn net.Conn) error {
	frame, k, err := encode(m.hello())
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	if _, err := conn.Write(frame); err != nil {
		return errors.Wrap(err, "write hello")
	}
	m.traffic.sent[k].add(len(frame))
	return nil
}

// readHello reads and checks the other side's greeting. Dialled is the
// instance that this router meant to reach, or empty where it was called.
func (m *Mesh) readHello(conn net.Conn, dialled ids.Instance) (member.Info, error) {
	// Reading without a buffer leaves what follows the greeting to yamux.
	reader := &frameReader{r: unbuffered{conn}}
	payload, wire, err := reader.next(maxHello)
	if err != nil {
		return member.Info{}, errors.Wrap(err, "read hello")
	}
	hello, err := decodeHello(payload)
	if err != nil {
		return member.Info{}, err
	}
	m.traffic.received[kindHello].add(wire)
	return m.checkHello(hello, dialled)
}

func (m *Mesh) checkHello(hello *peerv1.Hello, dialled ids.Instance) (member.Info, error) {
	info := member.Info{
		Instance:    ids.Instance(hello.GetInstance()),
		Incarnation: ids.Incarnation(hello.GetIncarnation()),
		Domain:      ids.Domain(hello.GetDomain()),
		Address:     hello.GetPeerAddress(),
	}
	switch {
	case hello.GetVersion() != Version:
		return info, &refusedError{refusedVersion}
	case hello.GetFleet() != m.opts.Fleet:
		return info, &refusedError{refusedFleet}
	case !validName(hello.GetInstance()), !validName(hello.GetDomain()), len(info.Address) > maxName:
		return info, &refusedError{refusedMalformed}
	case dialled != "" && info.Instance != dialled:
		return info, &refusedError{refusedInstance}
	case info.Instance == m.opts.Self:
		return info, &refusedError{refusal(member.RefusedSelf)}
	}
	return info, nil
}

func validName(name string) bool { return name != "" && len(name) <= maxName }
