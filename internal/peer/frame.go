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

// Bounds of a frame's payload in bytes, by kind.
const (
	maxHello      = 4 << 10
	maxHeartbeat  = 256
	maxSched      = 256 << 10
	maxQuarantine = 256 << 10
	maxFleet      = 256 << 10
	// MaxFrame bounds any frame. A configuration push carries objects of up to
	// a megabyte each; a sender splits what does not fit.
	MaxFrame = 1<<20 + 64<<10
	// MaxCall bounds the payload of a call's response, MaxCallRequest that of
	// its request.
	MaxCall        = 8 << 20
	MaxCallRequest = 256 << 10
	// readChunk bounds how far memory runs ahead of the bytes received.
	readChunk = 64 << 10
)

// Errors of the codec. Each closes the link.
var (
	errTooLarge  = errors.New("frame over its bound")
	errMalformed = errors.New("malformed frame")
)

// bounds of each kind's payload.
var bounds = [kinds]int{
	kindHello:      maxHello,
	kindHeartbeat:  maxHeartbeat,
	kindSched:      maxSched,
	kindConfig:     MaxFrame,
	kindQuarantine: maxQuarantine,
	kindFleet:      maxFleet,
	kindCall:       MaxCall,
	kindUnknown:    maxHello,
}

// appendFrame appends the length and the encoding of a message.
func appendFrame(buf []byte, msg proto.Message) ([]byte, error) {
	opts := proto.MarshalOptions{}
	buf = protowire.AppendVarint(buf, uint64(opts.Size(msg)))
	return opts.MarshalAppend(buf, msg)
}

// encode returns the frame of an envelope and its kind.
func encode(env *peerv1.Envelope) ([]byte, kind, error) {
	k := kindOf(env)
	size := proto.Size(env)
	if size > bounds[k] {
		return nil, k, errTooLarge
	}
	frame, err := appendFrame(make([]byte, 0, size+binary.MaxVarintLen32), env)
	return frame, k, err
}

type byteReader interface {
	io.Reader
	io.ByteReader
}

// unbuffered reads no more than it is asked for.
type unbuffered struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (u unbuffered) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(u.Reader, b[:])
	return b[0], err
}

// frameReader reads frames from an untrusted stream in bounded memory.
type frameReader struct {
	r   byteReader
	buf []byte
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReader(r)}
}

// next returns the payload of the next frame, valid until the following call,
// and the frame's size on the wire. A clean end between frames is io.EOF.
func (f *frameReader) next(bound int) (payload []byte, wire int, err error) {
	size, header, err := f.length()
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

func (f *frameReader) length() (size uint64, header int, err error) {
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

// fill reads size bytes into the buffer, which grows with the bytes that have
// come and not with the size that was announced.
func (f *frameReader) fill(size int) error {
	if cap(f.buf) > readChunk {
		f.buf = nil
	}
	f.buf = f.buf[:0]
	for len(f.buf) < size {
		at := len(f.buf)
		n := min(size-at, readChunk)
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

// readEnvelope reads one envelope. An envelope of an unknown kind, as a newer
// version may send, has no body and is not an error.
func (f *frameReader) readEnvelope() (*peerv1.Envelope, kind, int, error) {
	payload, wire, err := f.next(MaxFrame)
	if err != nil {
		return nil, kindUnknown, 0, err
	}
	env := new(peerv1.Envelope)
	if err := proto.Unmarshal(payload, env); err != nil {
		return nil, kindUnknown, 0, errors.Mark(err, errMalformed)
	}
	k := kindOf(env)
	if len(payload) > bounds[k] {
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
		return nil, errors.Wrap(errMalformed, "first frame is no hello")
	}
	return env.GetHello(), nil
}

// readMessage reads one message of a known type, such as a call's.
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

// hostile tells errors that only a broken or hostile sender causes.
func hostile(err error) bool {
	return errors.IsAny(err, errTooLarge, errMalformed,
		yamux.ErrInvalidVersion, yamux.ErrInvalidMsgType, yamux.ErrDuplicateStream,
		yamux.ErrRecvWindowExceeded, yamux.ErrUnexpectedFlag)
}
