package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/streams"
	"github.com/umberhill/umberhill/internal/routing"
)

// unknownOriginRetryAfter is the Retry-After of a caller that resumes a stream whose origin
// neither this router nor a peer knows. Another router may.
const unknownOriginRetryAfter = 300 * time.Millisecond

// Evidence is what tells where a stream began.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceNote is a note of the stream at this router.
	EvidenceNote Evidence = "note"
	// EvidencePeerNote is a note of the stream at another router.
	EvidencePeerNote Evidence = "peer_note"
	// EvidenceRead is a read of the list of targets by this router, which shows that the
	// service has had one software version only.
	EvidenceRead Evidence = "read"
	// EvidencePeerRead is such a read by another router.
	EvidencePeerRead Evidence = "peer_read"
)

// StreamOrigins knows at which service and software version recent streams began, also
// those of other routers. A stream may go on only there. isSplit is set if the route has
// several services, or had others within streams.TTL.
type StreamOrigins interface {
	// Record records where the stream began which a caller's request began. It is called once
	// its first event has arrived.
	Record(request string, origin streams.Origin, isSplit bool)
	// Publish sends the origins that other routers have not received yet. It does not wait
	// for them.
	Publish()
	// Find returns the origin of a stream at a service that is resumed, and what tells it, or
	// false if the stream may have begun at one of several origins. request is the caller's
	// request that began the stream, empty if unknown. Find may ask other routers and read the
	// list of targets until ctx ends.
	Find(ctx context.Context, request, service string, isSplit bool) (streams.Origin, Evidence, bool)
}

// isResumedByCaller reports whether the request resumes a stream of an earlier request.
func (e *exchange) isResumedByCaller() bool { return e.isResumable() && e.meta.LastEventID != "" }

// streamRequest returns the id of the caller's request that began the stream.
func (e *exchange) streamRequest() string {
	if e.isResumedByCaller() {
		return e.meta.ResumedID
	}
	return e.meta.ID
}

// findOrigin determines where a stream that the caller resumes has to go on.
func (e *exchange) findOrigin() *refusal {
	origins := e.server.opts.StreamOrigins
	if origins == nil || !e.isResumedByCaller() {
		return nil
	}
	origin, evidence, known := origins.Find(e.r.Context(), e.streamRequest(), e.service, e.hasSeveralServices)
	if !known {
		return &refusal{status: http.StatusServiceUnavailable, reason: "unknown_stream", retryAfter: unknownOriginRetryAfter}
	}
	isRead := evidence == EvidenceRead || evidence == EvidencePeerRead
	if isRead && e.hasRouteMoved() {
		// The stream may have begun at another router that had the configuration before.
		return &refusal{status: http.StatusServiceUnavailable, reason: "unknown_stream", retryAfter: unknownOriginRetryAfter}
	}
	e.record.OriginVersion, e.record.OriginEvidence = origin.Version, evidence
	if !slices.ContainsFunc(e.route.Split, func(s routing.WeightedService) bool { return s.Service == origin.Service }) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "stream_service_removed"}
	}
	e.service = origin.Service
	// The stream is bound to this version from now on: another one may be listed while the
	// request waits, or before it is sent again.
	e.origin = &origin
	return nil
}

// hasRouteMoved reports whether requests like this one go to other services in the configuration
// that is in force now, or went there a short time ago.
func (e *exchange) hasRouteMoved() bool {
	current := e.server.active.Load()
	r := current.table.Find(e.r.Host, requestPath(e.r))
	return r == nil || len(r.Split) > 1 || current.moves.HasMoved(time.Now(), r)
}

// bindOrigin records where the stream begins, or goes on, when its first event has arrived, and
// binds it to that. Attempts without events leave no note: the stream may begin elsewhere, and
// of two notes a peer may get the first one only.
func (a *attempt) bindOrigin() {
	if a.origin == nil {
		origin := a.streamOrigin()
		a.origin = &origin
	}
	origins := a.server.opts.StreamOrigins
	if origins == nil || !a.isResumable() {
		return
	}
	if request := a.streamRequest(); request != "" {
		origins.Record(request, *a.origin, a.hasSeveralServices)
	}
	// Once the caller has an event, it may resume the stream at another router.
	origins.Publish()
}

func (a *attempt) streamOrigin() streams.Origin {
	return streams.Origin{Service: a.service, Version: a.verdict.Target.SoftwareVersion}
}
