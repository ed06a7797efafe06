// Package callers serves HTTP requests from callers. It creates an exchange for each
// request, runs the filter chain, and writes error responses. A response that was
// started and can't be completed ends with a closed connection, so that a caller
// never takes it for a complete one.
package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

// ServicePrefix is the path prefix of plain services, followed by a service's name.
const ServicePrefix = "/services/"

const (
	// step is the name of the step in errors of this package.
	step = "callers"
	// maxNameBytes limits the length of a service's name.
	maxNameBytes = 128
	paramName    = "name"
	paramPath    = "path"
)

// errNoResponse is the error of a filter chain that returns neither a response nor an
// error.
var errNoResponse = errors.New("no response was written")

// Handler serves callers' requests by a filter chain.
type Handler struct {
	chain  filter.Handler
	logger *logrus.Entry
}

// New returns the HTTP handler for the callers' listener.
func New(chain filter.Handler, logger *logrus.Entry) http.Handler {
	h := &Handler{chain: chain, logger: logger}
	r := httprouter.New()
	r.HandleMethodNotAllowed = true
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.POST("/v1/completions", h.serveModel)
	r.POST("/v1/chat/completions", h.serveModel)
	for _, method := range serviceMethods {
		r.Handle(method, ServicePrefix+":"+paramName+"/*"+paramPath, h.serveService)
	}
	r.NotFound = http.HandlerFunc(notFound)
	r.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	r.PanicHandler = nil
	return r
}

var serviceMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
	http.MethodOptions,
}

func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	x := newExchange(w, r)
	x.Path = r.URL.Path
	h.serve(w, x)
}

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	x := newExchange(w, r)
	x.Service = p.ByName(paramName)
	x.Path = servicePath(r)
	if len(x.Service) > maxNameBytes {
		writeError(w, badRequest("the service's name is too long"))
		return
	}
	h.serve(w, x)
}

// servicePath returns the path and query after the service's name, with the escaping
// that the caller sent.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), ServicePrefix)
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func newExchange(w http.ResponseWriter, r *http.Request) *filter.Exchange {
	x := &filter.Exchange{
		ID:        uuid.NewString(),
		Request:   r,
		Response:  filter.NewResponseWriter(w),
		ArrivedAt: time.Now(),
	}
	w.Header().Set(outcome.RequestIDHeader, x.ID)
	return x
}

func (h *Handler) serve(w http.ResponseWriter, x *filter.Exchange) {
	err := h.chain(x)
	if err == nil && x.Response.IsCommitted() {
		return
	}
	if err == nil {
		// net/http would send an empty response with status 200.
		err = errNoResponse
	}
	var failure *outcome.Error
	if errors.As(err, &failure) && !x.Response.IsCommitted() {
		writeError(w, failure)
		return
	}
	if !x.Response.IsCommitted() {
		h.logger.WithError(err).WithField("request", x.ID).Error("request failed: filter chain returned neither a response nor a typed error")
		writeError(w, internalError(x))
		return
	}
	abortResponse(x)
}

// abortResponse ends a response that can't be completed so that the caller detects
// it: it sends an error event in a stream, and closes the connection within the
// response.
func abortResponse(x *filter.Exchange) {
	if x.Stream {
		e := &outcome.Error{
			Code:    outcome.CodeTargetFailed,
			Message: "the answer is not complete",
			Outcome: outcome.Unknown,
			Step:    "relay",
		}
		body, _ := json.Marshal(errorBody{Error: e})
		_, _ = x.Response.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		_ = x.Response.Flush()
	}
	panic(http.ErrAbortHandler)
}

type errorBody struct {
	Error *outcome.Error `json:"error"`
}

func writeError(w http.ResponseWriter, failure *outcome.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(outcome.Header, string(failure.Outcome))
	if failure.RetryAfter > 0 {
		seconds := math.Ceil(failure.RetryAfter.Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(failure.Status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: failure})
}

func internalError(x *filter.Exchange) *outcome.Error {
	requestOutcome := outcome.NotRun
	if x.Attempts > 0 {
		requestOutcome = outcome.Unknown
	}
	return &outcome.Error{
		Code:    outcome.CodeInternal,
		Message: "the router failed",
		Outcome: requestOutcome,
		Status:  http.StatusInternalServerError,
		Step:    step,
	}
}

func badRequest(message string) *outcome.Error {
	return outcome.Refuse(step, http.StatusBadRequest, outcome.CodeBadRequest, message)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	e := badRequest("no such path")
	e.Status = http.StatusNotFound
	writeError(w, e)
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	e := badRequest("no such method here")
	e.Status = http.StatusMethodNotAllowed
	writeError(w, e)
}
