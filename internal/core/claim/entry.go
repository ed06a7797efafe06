package claim

import (
	"strings"

	"github.com/umberhill/umberhill/internal/ids"
)

// State is the state of a claim. A released claim has no entry and no state.
type State uint8

// The states.
const (
	// Granted means that the owner may dispatch the request, or has done so.
	Granted State = iota + 1
	// Unknown means that the request may have run and that its outcome is not
	// known.
	Unknown
	// Finished means that the request ran and that its outcome is recorded.
	Finished
)

// Owner is one incarnation of a router's process.
type Owner struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
}

// size returns an upper bound of the owner's encoded size in bytes.
func (o Owner) size() int { return ownerFixedSize + maxEscapeFactor*len(o.Instance) }

// ID identifies one claim. IDs are never reused: no two claims share an ID, not
// even two claims of the same key.
type ID struct {
	Owner Owner
	// Seq increases with each claim of the owner.
	Seq uint64
}

// Record is the recorded outcome of a finished request.
type Record struct {
	// Status is the HTTP status of the response.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the response body, up to the configured length.
	Body []byte
	// Truncated is set if Body is not the whole response body.
	Truncated bool
}

// Entry is the claim that holds one key.
type Entry struct {
	Key Key
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// ID identifies the claim that holds the key.
	ID ID
	// RequestID is the ID of the request that made the claim, for operators.
	RequestID string
	// ClaimedAtMS is the time of the claim in Unix milliseconds.
	ClaimedAtMS int64
	State       State
	// Record is set if State is Finished.
	Record *Record
}

// Bounds of the variable parts of an entry in bytes. Longer request IDs and
// content types are omitted; an owner with a longer instance is granted no claim.
const (
	maxRequestIDBytes   = 64
	maxContentTypeBytes = 64
	maxInstanceBytes    = 128
)

// Upper bounds, in bytes, of the sizes that the codec writes.
const (
	// entryFixedSize covers an entry's fixed fields and a record without its
	// body and content type, so that a granted claim can always be finished.
	entryFixedSize = 176
	// ownerFixedSize covers the fixed part of an owner or a clock.
	ownerFixedSize = 48
	// headerSize covers the fields of the bucket itself.
	headerSize = 256
	// maxEscapeFactor is the greatest number of bytes that JSON needs for one
	// byte of text.
	maxEscapeFactor = 6
)

// size returns an upper bound of the entry's encoded size in bytes, without
// the response body.
func (e *Entry) size() int {
	n := entryFixedSize + len(e.RequestID)
	if e.Record != nil {
		n += len(e.Record.ContentType)
	}
	return n
}

// bodySize returns the size in bytes of the response body in base64.
func (e *Entry) bodySize() int {
	if e.Record == nil {
		return 0
	}
	return (len(e.Record.Body) + 2) / 3 * 4
}

// dropBody removes the recorded response body and marks the record truncated.
// It copies the record, because copies of the entry share it.
func (e *Entry) dropBody() {
	r := *e.Record
	r.Body, r.Truncated = nil, true
	e.Record = &r
}

// unescapedOrEmpty returns the text if it has at most maxBytes bytes and JSON
// encodes it without escapes, and an empty string otherwise.
func unescapedOrEmpty(s string, maxBytes int) string {
	if len(s) > maxBytes {
		return ""
	}
	for _, c := range []byte(s) {
		if !isUnescapedByte(c) {
			return ""
		}
	}
	return s
}

func isUnescapedByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte(" -_.:;=/+*,", c) >= 0
}
