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

// FuzzEnvelope reads arbitrary bytes as frames: no panic, memory within the
// bounds, and what is read can be written again.
func FuzzEnvelope(f *testing.F) {
	for _, env := range []*peerv1.Envelope{
		{Body: &peerv1.Envelope_Heartbeat{Heartbeat: &peerv1.Heartbeat{Revision: 1, Sequence: 2}}},
		sched(7),
		{},
	} {
		frame, _, err := encode(env)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add(greeting(nil))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newFrameReader(bytes.NewReader(data))
		for {
			env, k, _, err := reader.readEnvelope()
			if cap(reader.buf) > 2*MaxFrame {
				t.Fatalf("buffer of %d bytes", cap(reader.buf))
			}
			if err != nil {
				mustBeKnown(t, err)
				return
			}
			again, k2, err := encode(env)
			if err != nil && !errors.Is(err, errTooLarge) {
				t.Fatalf("encode: %v", err)
			}
			if err == nil && k2 != k {
				t.Fatalf("kind %d became %d in %d bytes", k, k2, len(again))
			}
		}
	})
}

func mustBeKnown(t *testing.T, err error) {
	if hostile(err) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	t.Fatalf("untyped error %v", err)
}

// FuzzHello reads arbitrary bytes as a greeting.
func FuzzHello(f *testing.F) {
	f.Add(greeting(nil)[1:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		mesh := New(Options{Fleet: "f", Self: "a", Domain: "d1", Logger: quiet()})
		hello, err := decodeHello(data)
		if err != nil {
			mustBeKnown(t, err)
			return
		}
		info, err := mesh.checkHello(hello, "")
		if err == nil && (info.Instance == "a" || info.Instance == "" || hello.GetFleet() != "f") {
			t.Fatalf("accepted %v", hello)
		}
	})
}

// FuzzCall reads arbitrary bytes as a call.
func FuzzCall(f *testing.F) {
	call, err := appendFrame(nil, &peerv1.CallRequest{Method: "status", Body: []byte("{}")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(call)
	f.Fuzz(func(t *testing.T, data []byte) {
		request := new(peerv1.CallRequest)
		if _, err := newFrameReader(bytes.NewReader(data)).readMessage(request, MaxCallRequest); err != nil {
			mustBeKnown(t, err)
			return
		}
		if _, err := proto.Marshal(request); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzLink sends arbitrary bytes after a good greeting, where yamux and the
// control stream read them: the router must stay up and let the link go.
func FuzzLink(f *testing.F) {
	a := start(f, "a")
	f.Add(controlled(framed(nil)))
	f.Add(yamuxHead(1, 1, 1, 0))
	f.Add(yamuxHead(3, 0, 0, 1))
	f.Add(append(controlled([]byte{5}), yamuxHead(0, 4, 1, 0)...))
	f.Add(append(controlled(nil), controlled(nil)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", a.seed.Address)
		if err != nil {
			t.Fatalf("router is gone: %v", err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(2 * helloTimeout))
		if _, err := conn.Write(greeting(nil)); err != nil {
			t.Fatal(err)
		}
		reader := &frameReader{r: unbuffered{conn}}
		if _, _, err := reader.next(maxHello); err != nil {
			t.Fatalf("no greeting: %v", err)
		}
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
}
