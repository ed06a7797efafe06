// Package adminapi serves the operators' calls that read and change contracts
// and drains. It writes to the platform; routers take the change from there.
//
// A write is conditional where the call has If-Match or If-None-Match. The loser
// of a race gets 409 with the object as it stands. A write whose answer from the
// platform is lost is settled by reading the object back.
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

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = contract.MaxBytes + 1

// DefaultTimeout bounds a call.
const DefaultTimeout = 10 * time.Second

// Store is the part of the platform that the calls use.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (platform.Object, error)
	List(ctx context.Context, kind api.Kind) ([]platform.Object, uint64, error)
	Put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond platform.Condition) (platform.Object, error)
	Delete(ctx context.Context, kind api.Kind, name string, cond platform.Condition) (uint64, error)
}

// Config has the configuration in force.
type Config interface {
	Snapshot() *configsync.Snapshot
}

// Deps are what the calls need.
type Deps struct {
	// Platform holds the objects. Required.
	Platform Store
	// Config has the configuration in force, against which writes are checked.
	// Required.
	Config Config
	// Token that callers carry as a bearer token. Required.
	Token string
	// Status returns the fleet's status as JSON; the call is left out where nil.
	Status func(ctx context.Context) (any, error)
	// Timeout of a call. Default DefaultTimeout.
	Timeout time.Duration
}

// Objects is a list of objects.
type Objects struct {
	Revision uint64            `json:"revision"`
	Objects  []platform.Object `json:"objects"`
}

// Deletion answers the removal of an object.
type Deletion struct {
	// Version of the deletion; 0 where it isn't known, since its answer was lost.
	Version uint64 `json:"version"`
}

// Register adds the calls to the router.
func Register(r *httprouter.Router, deps Deps) {
	if deps.Timeout <= 0 {
		deps.Timeout = DefaultTimeout
	}
	h := &handler{deps}
	add := func(method, path string, handle handle) {
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

// Authorize lets calls with the bearer token through. The comparison takes the
// same time for all wrong tokens.
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

// handle serves a call and returns its answer.
type handle func(ctx context.Context, r *http.Request, p httprouter.Params) (any, error)

type handler struct {
	deps Deps
}

func (h *handler) serve(next handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), h.deps.Timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		answer, err := next(ctx, r, p)
		if err != nil {
			writeError(w, asError(err))
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

func (h *handler) status(ctx context.Context, _ *http.Request, _ httprouter.Params) (any, error) {
	return h.deps.Status(ctx)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller is gone where this fails.
	_ = json.NewEncoder(w).Encode(value)
}
