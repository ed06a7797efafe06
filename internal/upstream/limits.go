package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the bytes, and maxHeadFields the fields, of the head of a
	// response together with the 1xx responses before it. net/http has no bound for
	// them. It bounds trailing fields by readBufferBytes and a chunk's extension by
	// 4 KiB.
	maxHeadBytes  = 64 << 10
	maxHeadFields = 256
	// maxHeadLines bounds the lines of the same: the fields, and for each response the
	// status line and the empty line.
	maxHeadLines = maxHeadFields + 2*maxInterimResponses
)

// headLimiter is the reader below a connection's buffer. While it is armed, reads fail
// once the bounds of a head are reached.
type headLimiter struct {
	io.Reader
	armed bool
	// bytes and lines are those of the head that were read.
	bytes, lines int
}

// arm starts a head, of which a part may have been read into the buffer.
func (l *headLimiter) arm(buffer *bufio.Reader) {
	begun, _ := buffer.Peek(buffer.Buffered())
	l.armed, l.bytes, l.lines = true, len(begun), bytes.Count(begun, []byte{'\n'})
}

func (l *headLimiter) disarm() { l.armed = false }

// Read implements io.Reader. A buffered reader calls it only once it has consumed all
// complete lines, so those that were read before belong to the head.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.armed {
		return l.Reader.Read(p)
	}
	if l.bytes >= maxHeadBytes {
		return 0, errors.Newf("response head exceeds the limit of %d bytes (%d bytes, %d lines read)", maxHeadBytes, l.bytes, l.lines)
	}
	if l.lines > maxHeadLines {
		return 0, errors.Newf("response head exceeds the limit of %d lines (%d bytes, %d lines read)", maxHeadLines, l.bytes, l.lines)
	}
	n, err := l.Reader.Read(p[:min(len(p), maxHeadBytes-l.bytes)])
	l.bytes += n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// countFields returns the number of fields of a header.
func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// markedBody marks the errors of a response's body that did not arise at the connection
// with ErrMalformedResponse.
type markedBody struct{ io.ReadCloser }

func (b markedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !isConnError(err) {
		err = errors.Mark(errors.Wrap(err, "read response body"), ErrMalformedResponse)
	}
	return n, err
}
