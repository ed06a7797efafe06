package edge

import (
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

// RequestMeta is the information about a request in the caller's header.
type RequestMeta struct {
	// ID identifies the request. It differs between the caller's retries.
	ID string
	// Key is the caller's API key, empty for none.
	Key string
	// Timeout is how long the caller waits for the response, 0 if it sets none.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, and OutputTokens is the largest
	// number of tokens to generate.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt, for the lookup in prefix caches.
	Parts []admit.Part
	// SharedParts are the fingerprints of the prompt's parts for the quarantine, without the
	// last one, which belongs to the request or its session alone.
	SharedParts []uint64
	// LastEventID is the id of the last event that the caller received of a stream
	// that it resumes. It is empty if the caller does not resume a stream.
	LastEventID string
	// ResumedID is the ID of the caller's request whose response had the first event of
	// the stream that the caller resumes. It is empty if the caller names none.
	ResumedID string
}

// EarlyMeta is the information about a request that an early refusal is based on. Its slices
// are valid as long as the buffer that the request was read into.
type EarlyMeta struct {
	ID, Key []byte
	// PromptTokens and OutputTokens are those of RequestMeta.
	PromptTokens, OutputTokens int
	// ResumesStream is set if the caller resumes a stream.
	ResumesStream bool
}

// OutgoingRequest is the information about a request that the router adds to the
// header for a target.
type OutgoingRequest struct {
	Target    ids.Target
	Workspace ids.Workspace
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// LastEventID is the id of the event after which the target resumes a stream.
	// It is empty for a stream from its start.
	LastEventID string
	// FetchFrom is the address of the engine from whose prefix cache the target
	// fetches the parts of the prompt that it has not cached. It is empty for none.
	FetchFrom string
}

// ResponseMeta is the information about a response in the target's header.
type ResponseMeta struct {
	// ID is the id of the request that the response belongs to, empty if the target
	// sets none.
	ID string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Replaced is set if the response comes from another target than the one that
	// the request was meant for.
	Replaced bool
	// Leaving is set if the target states that it is about to exit.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this router, 0 if it does
	// not say so.
	RetryAfter time.Duration
	// Limit is what the response says of the rate that the target takes.
	Limit targetlimit.Statement
	// Signed is set if the response carries the target's signature.
	Signed bool
}

// HeaderCodec translates between HTTP headers and the router's types.
type HeaderCodec interface {
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest(h http.Header) RequestMeta
	// DecodeField adds a field of a request's head to what an early refusal needs to know.
	// It must keep no reference to the name and value other than in the fields of m.
	DecodeField(name, value []byte, m *EarlyMeta)
	// EncodeRequest returns the header to send to a target, built from the caller's
	// header and the router's information.
	EncodeRequest(caller http.Header, o OutgoingRequest) http.Header
	// DecodeResponse decodes the status and header of a target's response.
	DecodeResponse(resp *http.Response) ResponseMeta
	// CopyResponse copies to dst the fields of a target's header that the caller
	// receives.
	CopyResponse(dst, target http.Header)
}
