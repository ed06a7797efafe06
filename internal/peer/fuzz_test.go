package peer

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
)

// FuzzEnvelope reads arbitrary bytes as frames. Reading must not panic, must keep
// memory within the bounds, and must return only envelopes that can be encoded
// again.
func FuzzEnvelope(f *testing.F) {
	for _, env := range []*peerv1.Envelope{
		{Body: &peerv1.Envelope_Heartbeat{Heartbeat: &peerv1.Heartbeat{Revision: 1, Sequence: 2}}},
		schedMessage(7),
		{},
	} {
		frame, _, err := encode(env)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add(helloFrame(nil))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newFrameReader(bytes.NewReader(data))
		for {
			env, k, _, err := reader.readEnvelope()
			if cap(reader.buf) > 2*MaxFrameBytes {
				t.Fatalf("read buffer has %d bytes, want at most twice MaxFrameBytes", cap(reader.buf))
			}
			if err != nil {
				requireKnownError(t, err)
				return
			}
			encoded, encodedKind, err := encode(env)
			if err != nil && !errors.Is(err, errTooLarge) {
				t.Fatalf("encode the envelope that was read: %v", err)
			}
			if err == nil && encodedKind != k {
				t.Fatalf("envelope of kind %d has kind %d when encoded again, in %d bytes", k, encodedKind, len(encoded))
			}
		}
	})
}

// requireKnownError fails the test unless err is a protocol violation or an end
// of the stream.
func requireKnownError(t *testing.T, err error) {
	if isProtocolViolation(err) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	t.Fatalf("got error %v, want a protocol violation or an end of the stream", err)
}

// FuzzHello decodes and checks arbitrary bytes as a hello. A hello of another
// fleet, of this router itself or without an instance must not be accepted.
func FuzzHello(f *testing.F) {
	f.Add(helloFrame(nil)[1:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		mesh := New(Options{Fleet: "f", Self: "a", Domain: "d1", Logger: discardLogger()})
		hello, err := decodeHello(data)
		if err != nil {
			requireKnownError(t, err)
			return
		}
		info, err := mesh.checkHello(hello, "")
		if err == nil && (info.Instance == "a" || info.Instance == "" || hello.GetFleet() != "f") {
			t.Fatalf("accepted an invalid hello: %v", hello)
		}
	})
}

// FuzzCall reads arbitrary bytes as a call request. Reading must not panic, and a
// request that is read must be encodable.
func FuzzCall(f *testing.F) {
	call, err := appendFrame(nil, &peerv1.CallRequest{Method: "status", Body: []byte("{}")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(call)
	f.Fuzz(func(t *testing.T, data []byte) {
		request := new(peerv1.CallRequest)
		if _, err := newFrameReader(bytes.NewReader(data)).readMessage(request, MaxCallRequestBytes); err != nil {
			requireKnownError(t, err)
			return
		}
		if _, err := proto.Marshal(request); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzLink sends arbitrary bytes after a valid hello, to be read by yamux and the
// control stream. The router must keep running and close the link.
func FuzzLink(f *testing.F) {
	a := start(f, "a")
	f.Add(controlStreamData(lengthPrefixed(nil)))
	f.Add(yamuxHeader(1, 1, 1, 0))
	f.Add(yamuxHeader(3, 0, 0, 1))
	f.Add(append(controlStreamData([]byte{5}), yamuxHeader(0, 4, 1, 0)...))
	f.Add(append(controlStreamData(nil), controlStreamData(nil)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", a.seed.Address)
		if err != nil {
			t.Fatalf("dial the router: %v", err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(2 * handshakeTimeout))
		if _, err := conn.Write(helloFrame(nil)); err != nil {
			t.Fatal(err)
		}
		reader := &frameReader{r: unbufferedReader{conn}}
		if _, _, err := reader.next(maxHelloBytes); err != nil {
			t.Fatalf("read the router's hello: %v", err)
		}
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
}
