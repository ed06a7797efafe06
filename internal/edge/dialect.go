package edge

import (
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// Meta is what a caller says of a request.
type Meta struct {
	// ID of the request, unique for each try of a caller.
	ID string
	// Key is the caller's API key, empty for none.
	Key string
	// Patience is how long the caller waits, 0 where it does not say.
	Patience time.Duration
	// Prompt and Output are the tokens to read and the most to generate.
	Prompt, Output int
	// Parts of the prompt.
	Parts []admit.Part
	// LastEvent is the id of the last event that the caller has of a stream
	// that it resumes, empty where it does not.
	LastEvent string
}

// Outgoing is what the router says of a request to a target.
type Outgoing struct {
	Target    ids.Target
	Workspace ids.Workspace
	// Left is the time in which the target must be done.
	Left time.Duration
	// LastEvent is the id of the event after which a stream goes on.
	LastEvent string
	// FetchFrom is the address of the engine from whose cache the target takes what
	// it lacks of the prompt, empty for none.
	FetchFrom string
}

// Reply is what a target says of its answer.
type Reply struct {
	// ID of the request that is answered, empty where it does not say.
	ID string
	// NotRun is set where the target states that it did not run the request.
	NotRun bool
	// Replaced is set where another target than the one meant has answered.
	Replaced bool
	// Signed answers carry the target's signature.
	Signed bool
}

// Dialect translates between headers on the wire and the router's types.
type Dialect interface {
	// Meta decodes a caller's header.
	Meta(h http.Header) Meta
	// Outgoing returns the header that a target gets for a caller's.
	Outgoing(caller http.Header, o Outgoing) http.Header
	// Reply decodes the head of a target's answer.
	Reply(resp *http.Response) Reply
	// Answer copies what a caller gets of a target's header.
	Answer(dst, target http.Header)
}
