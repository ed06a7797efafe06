package claim

import (
	"strings"

	"github.com/umberhill/umberhill/internal/ids"
)

// State is the state of a claim. A released claim has no entry.
type State uint8

// The states.
const (
	// Granted: the claimant may dispatch the request, or has done so.
	Granted State = iota + 1
	// Unknown: the request may have run, and nobody will find out.
	Unknown
	// Finished: the request ran and its outcome is recorded.
	Finished
)

// Owner is one run of a router's process.
type Owner struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
}

// size bounds the encoded size of the owner.
func (o Owner) size() int { return ownerSize + escape*len(o.Instance) }

// ID names one claim for all time: no two claims share an ID, also not two of
// the same key.
type ID struct {
	Owner Owner
	// Seq rises with each claim of the owner.
	Seq uint64
}

// Record is the recorded outcome of a finished request.
type Record struct {
	// Status is the HTTP status of the answer.
	Status int
	// ContentType of the body.
	ContentType string
	// Body of the answer, at most the configured length.
	Body []byte
	// Truncated is set where Body is not the whole answer.
	Truncated bool
}

// Entry is what a bucket knows about one key.
type Entry struct {
	Key Key
	// Fingerprint of the request's content.
	Fingerprint uint64
	// ID of the claim that holds the key.
	ID ID
	// RequestID of the claimant's request, for operators.
	RequestID string
	// At is the time of the claim in Unix milliseconds.
	At    int64
	State State
	// Record is set where State is Finished.
	Record *Record
}

// Bounds of the parts of an entry in bytes. Longer ones are left out.
const (
	maxRequestID   = 64
	maxContentType = 64
	maxInstance    = 128
)

// Encoded sizes in bytes, upper bounds of what the codec writes.
const (
	// entrySize covers an entry's fixed fields and a record without its body
	// and content type, so that a claim that was granted can always be
	// finished.
	entrySize = 176
	// ownerSize covers the fixed part of an owner or clock.
	ownerSize = 48
	// headerSize covers the bucket's own fields.
	headerSize = 256
	// escape is the most that the encoding of any text lengthens it.
	escape = 6
)

// size bounds the encoded size of the entry, its body apart.
func (e *Entry) size() int {
	n := entrySize + len(e.RequestID)
	if e.Record != nil {
		n += len(e.Record.ContentType)
	}
	return n
}

// bodySize bounds the encoded size of the entry's body.
func (e *Entry) bodySize() int {
	if e.Record == nil {
		return 0
	}
	return (len(e.Record.Body) + 2) / 3 * 4
}

// dropBody forgets the body of the recorded answer.
func (e *Entry) dropBody() {
	r := *e.Record
	r.Body, r.Truncated = nil, true
	e.Record = &r
}

// plain returns the text if it is short and its encoding is no longer than
// itself, and nothing otherwise.
func plain(s string, n int) string {
	if len(s) > n {
		return ""
	}
	for _, c := range []byte(s) {
		if !plainByte(c) {
			return ""
		}
	}
	return s
}

func plainByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte(" -_.:;=/+*,", c) >= 0
}
