package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
)

// Upper bounds of a frame's payload in bytes, by kind.
const (
	maxHelloBytes      = 4 << 10
	maxHeartbeatBytes  = 256
	maxSchedBytes      = 256 << 10
	maxQuarantineBytes = 256 << 10
	maxFleetBytes      = 256 << 10
	// MaxFrameBytes bounds the payload of any frame on the control stream. A
	// configuration push carries objects of up to 1 MiB each; the sender splits
	// a push that does not fit.
	MaxFrameBytes = 1<<20 + 64<<10
	// MaxCallResponseBytes bounds the payload of a call's response.
	MaxCallResponseBytes = 8 << 20
	// MaxCallRequestBytes bounds the payload of a call's request.
	MaxCallRequestBytes = 256 << 10
	// readChunkBytes is the largest step by which a read buffer grows. It bounds
	// the memory allocated ahead of the bytes received.
	readChunkBytes = 64 << 10
)

// Errors of the codec. They close the link if they occur while the control stream or
// an incoming call is read.
var (
	errTooLarge  = errors.New("frame over its bound")
	errMalformed = errors.New("malformed frame")
)

// maxPayloadBytes is the upper bound of the payload, by kind.
var maxPayloadBytes = [kindCount]int{
	kindHello:      maxHelloBytes,
	kindHeartbeat:  maxHeartbeatBytes,
	kindSched:      maxSchedBytes,
	kindConfig:     MaxFrameBytes,
	kindQuarantine: maxQuarantineBytes,
	kindFleet:      maxFleetBytes,
	kindCall:       MaxCallResponseBytes,
	kindUnknown:    maxHelloBytes,
}

// appendFrame appends the varint length and the encoding of a message to buf.
func appendFrame(buf []byte, msg proto.Message) ([]byte, error) {
	opts := proto.MarshalOptions{}
	buf = protowire.AppendVarint(buf, uint64(opts.Size(msg)))
	return opts.MarshalAppend(buf, msg)
}

// encode returns the frame of an envelope and its kind. It fails with
// errTooLarge above the kind's bound.
func encode(env *peerv1.Envelope) ([]byte, kind, error) {
	k := kindOf(env)
	size := proto.Size(env)
	if size > maxPayloadBytes[k] {
		return nil, k, errTooLarge
	}
	frame, err := appendFrame(make([]byte, 0, size+binary.MaxVarintLen32), env)
	return frame, k, err
}

type byteReader interface {
	io.Reader
	io.ByteReader
}

// unbufferedReader implements byteReader without reading ahead.
type unbufferedReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (u unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(u.Reader, b[:])
	return b[0], err
}

// frameReader reads length-delimited frames from an untrusted stream in bounded
// memory.
type frameReader struct {
	r   byteReader
	buf []byte
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReader(r)}
}

// next returns the payload of the next frame, valid until the following call,
// and the frame's size on the wire in bytes. The error is io.EOF when the stream
// ends between two frames, io.ErrUnexpectedEOF when it ends inside a frame, and
// errTooLarge when the payload is longer than bound bytes.
func (f *frameReader) next(bound int) (payload []byte, wire int, err error) {
	size, header, err := f.readLength()
	if err != nil {
		return nil, 0, err
	}
	if size > uint64(bound) {
		return nil, 0, errTooLarge
	}
	if err := f.fill(int(size)); err != nil {
		return nil, 0, err
	}
	return f.buf, header + int(size), nil
}

// readLength reads the varint length of a frame and returns it with the number
// of bytes it took. Lengths of more than binary.MaxVarintLen32 bytes are
// malformed.
func (f *frameReader) readLength() (size uint64, header int, err error) {
	for shift := 0; header < binary.MaxVarintLen32; shift += 7 {
		b, err := f.r.ReadByte()
		if err != nil {
			if header > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, 0, err
		}
		header++
		size |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return size, header, nil
		}
	}
	return 0, 0, errMalformed
}

// fill reads size bytes into the buffer. The buffer grows with the bytes
// received, not with the announced size, so that a peer cannot make this router
// allocate memory by announcing a large frame.
func (f *frameReader) fill(size int) error {
	if cap(f.buf) > readChunkBytes {
		f.buf = nil
	}
	f.buf = f.buf[:0]
	for len(f.buf) < size {
		at := len(f.buf)
		n := min(size-at, readChunkBytes)
		f.buf = append(f.buf, make([]byte, n)...)
		if _, err := io.ReadFull(f.r, f.buf[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// readEnvelope reads one envelope and returns it with its kind and its size on
// the wire in bytes. An envelope of an unknown kind, as a newer version may send,
// has no body and is not an error.
func (f *frameReader) readEnvelope() (*peerv1.Envelope, kind, int, error) {
	payload, wire, err := f.next(MaxFrameBytes)
	if err != nil {
		return nil, kindUnknown, 0, err
	}
	env := new(peerv1.Envelope)
	if err := proto.Unmarshal(payload, env); err != nil {
		return nil, kindUnknown, 0, errors.Mark(err, errMalformed)
	}
	k := kindOf(env)
	if len(payload) > maxPayloadBytes[k] {
		return nil, k, 0, errTooLarge
	}
	return env, k, wire, nil
}

// decodeHello decodes a frame that must be a Hello.
func decodeHello(payload []byte) (*peerv1.Hello, error) {
	env := new(peerv1.Envelope)
	if err := proto.Unmarshal(payload, env); err != nil {
		return nil, errors.Mark(err, errMalformed)
	}
	if env.GetHello() == nil {
		return nil, errors.Wrap(errMalformed, "first frame is not a hello")
	}
	return env.GetHello(), nil
}

// readMessage reads one frame into msg and returns the frame's size on the wire
// in bytes.
func (f *frameReader) readMessage(msg proto.Message, bound int) (int, error) {
	payload, wire, err := f.next(bound)
	if err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(payload, msg); err != nil {
		return 0, errors.Mark(err, errMalformed)
	}
	return wire, nil
}

// isProtocolViolation reports whether err can only be caused by a faulty or
// hostile sender.
func isProtocolViolation(err error) bool {
	return errors.IsAny(err, errTooLarge, errMalformed,
		yamux.ErrInvalidVersion, yamux.ErrInvalidMsgType, yamux.ErrDuplicateStream,
		yamux.ErrRecvWindowExceeded, yamux.ErrUnexpectedFlag)
}
