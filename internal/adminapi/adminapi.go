// Package adminapi serves the operators' calls that read and change contracts
// and drains. It writes to the platform, from which the routers receive the
// change.
//
// A write is conditional if the call has If-Match or If-None-Match; if the
// condition doesn't hold, the response is 409 with the current object. If the
// platform's response to a write is lost, the object is read back to find out
// whether the write took effect.
package adminapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/platform"
)

// maxBodyBytes bounds the body of a request. It exceeds the limit of a contract
// by one byte, so that a contract that is too large is recognized as such.
const maxBodyBytes = contract.MaxBytes + 1

// DefaultTimeout bounds a call for which Deps sets no timeout.
const DefaultTimeout = 10 * time.Second

// Store is the part of the platform that the calls use.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (platform.Object, error)
	List(ctx context.Context, kind api.Kind) ([]platform.Object, uint64, error)
	Put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond platform.Condition) (platform.Object, error)
	Delete(ctx context.Context, kind api.Kind, name string, cond platform.Condition) (uint64, error)
}

// Config provides the configuration in force.
type Config interface {
	Snapshot() *configsync.Snapshot
}

// Deps holds the dependencies and options of the calls.
type Deps struct {
	// Platform holds the objects. Required.
	Platform Store
	// Config provides the configuration in force, against which writes are
	// checked. Required.
	Config Config
	// Token is the bearer token that callers must present. Required.
	Token string
	// Status returns the fleet's status, which is encoded as JSON. The status
	// call is not registered if Status is nil.
	Status func(ctx context.Context) (any, error)
	// Timeout bounds a call. Default DefaultTimeout.
	Timeout time.Duration
}

// Objects is the response of a call that lists objects.
type Objects struct {
	Revision uint64            `json:"revision"`
	Objects  []platform.Object `json:"objects"`
}

// Deletion is the response of a call that deletes an object.
type Deletion struct {
	// Version is the version of the deletion, or 0 if it is unknown because the
	// platform's response was lost.
	Version uint64 `json:"version"`
}

// Register adds the routes of the calls to r.
func Register(r *httprouter.Router, deps Deps) {
	if deps.Timeout <= 0 {
		deps.Timeout = DefaultTimeout
	}
	h := &handler{deps}
	add := func(method, path string, handle operation) {
		r.Handle(method, path, Authorize(deps.Token, h.serve(handle)))
	}
	add(http.MethodGet, "/admin/v1/contracts", h.listContracts)
	add(http.MethodGet, "/admin/v1/contracts/:workspace", h.getContract)
	add(http.MethodPut, "/admin/v1/contracts/:workspace", h.putContract)
	add(http.MethodDelete, "/admin/v1/contracts/:workspace", h.deleteContract)
	add(http.MethodGet, "/admin/v1/drains", h.listDrains)
	add(http.MethodPut, "/admin/v1/drains/:of/:id", h.putDrain)
	add(http.MethodDelete, "/admin/v1/drains/:of/:id", h.deleteDrain)
	if deps.Status != nil {
		add(http.MethodGet, "/admin/v1/status", h.status)
	}
}

// Authorize passes calls that carry the bearer token to next and answers others
// with 401. The comparison takes the same time for all wrong tokens.
func Authorize(token string, next httprouter.Handle) httprouter.Handle {
	want := sha256.Sum256([]byte(token))
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(bearer))
		if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &Error{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Message: "the operators' token is missing or wrong"})
			return
		}
		next(w, r, p)
	}
}

// operation serves a call and returns the value of its response.
type operation func(ctx context.Context, r *http.Request, p httprouter.Params) (any, error)

type handler struct {
	deps Deps
}

func (h *handler) serve(next operation) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), h.deps.Timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		response, err := next(ctx, r, p)
		if err != nil {
			writeError(w, asError(err))
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

func (h *handler) status(ctx context.Context, _ *http.Request, _ httprouter.Params) (any, error) {
	return h.deps.Status(ctx)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
