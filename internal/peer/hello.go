package peer

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
)

// Version is the version of the peer protocol. Routers whose versions differ
// refuse links to each other.
const Version = 1

const (
	// handshakeTimeout bounds connecting, the TLS handshake and the exchange of
	// hello messages.
	handshakeTimeout = 3 * time.Second
	// maxNameBytes bounds each name and address in a Hello.
	maxNameBytes = 256
)

// refusalReason is the reason for which a link was refused, as in the metric's
// label.
type refusalReason string

const (
	refusedMalformed refusalReason = "malformed"
	refusedVersion   refusalReason = "version"
	refusedFleet     refusalReason = "fleet"
	refusedInstance  refusalReason = "instance"
	refusedBusy      refusalReason = "busy"
)

// refusedError is the error of a handshake after which this router refuses the
// link.
type refusedError struct{ reason refusalReason }

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

// readHello reads and checks the peer's hello. dialed is the instance that this
// router dialed, or empty for an incoming connection.
func (m *Mesh) readHello(conn net.Conn, dialed ids.Instance) (member.Info, error) {
	// An unbuffered reader leaves the bytes after the hello to yamux.
	reader := &frameReader{r: unbufferedReader{conn}}
	payload, wire, err := reader.next(maxHelloBytes)
	if err != nil {
		return member.Info{}, errors.Wrap(err, "read hello")
	}
	hello, err := decodeHello(payload)
	if err != nil {
		return member.Info{}, err
	}
	m.traffic.received[kindHello].add(wire)
	return m.checkHello(hello, dialed)
}

// checkHello returns the sender of a hello, or a *refusedError if this router does not
// accept it.
func (m *Mesh) checkHello(hello *peerv1.Hello, dialed ids.Instance) (member.Info, error) {
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
	case !isValidName(hello.GetInstance()), !isValidName(hello.GetDomain()), len(info.Address) > maxNameBytes:
		return info, &refusedError{refusedMalformed}
	case dialed != "" && info.Instance != dialed:
		return info, &refusedError{refusedInstance}
	case info.Instance == m.opts.Self:
		return info, &refusedError{refusalReason(member.RefusedSelf)}
	}
	return info, nil
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }
