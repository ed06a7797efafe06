package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/platform"
)

// condition returns the condition of a write from the If-Match and If-None-Match
// headers; the zero Condition if the call has neither.
func condition(r *http.Request) (platform.Condition, error) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return platform.Condition{}, badRequest("If-Match and If-None-Match exclude each other")
	case none == "*":
		return platform.Condition{Absent: true}, nil
	case none != "":
		return platform.Condition{}, badRequest(`If-None-Match must be *`)
	case match == "":
		return platform.Condition{}, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || version == 0 {
		return platform.Condition{}, badRequest(`If-Match must be a version in quotes, such as "7"`)
	}
	return platform.Condition{Version: version}, nil
}

func badRequest(message string) error {
	return &Error{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: message}
}

// readBody returns the body, or a 413 error if it exceeds maxBodyBytes.
func readBody(r *http.Request) (json.RawMessage, error) {
	data, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &Error{Status: http.StatusRequestEntityTooLarge, Code: CodeBadRequest, Message: "the body is too large"}
	}
	return data, errors.Wrap(err, "read body")
}

// put writes an object. If the platform's response is lost, it reads the object
// back.
func (h *handler) put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond platform.Condition) (platform.Object, error) {
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return platform.Object{}, errors.Wrap(err, "compact")
	}
	value = compact.Bytes()
	obj, err := h.deps.Platform.Put(ctx, kind, name, value, cond)
	var unconfirmed *platform.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		return h.resolvePut(ctx, kind, name, value, cond, err)
	}
	return obj, asConflict(err, cond)
}

// resolvePut reads an object back after the response to its write was lost. If
// it has the value, this write or one with an equal value took effect. If it
// still has the version on which the write was conditional, the write has not
// been applied yet but may still be in flight, so the result is CodeUnconfirmed
// and the operator has to read the object again.
func (h *handler) resolvePut(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond platform.Condition, cause error) (platform.Object, error) {
	obj, err := h.deps.Platform.Get(ctx, kind, name)
	if err != nil {
		return platform.Object{}, cause
	}
	if bytes.Equal(obj.Value, value) && obj.Version > cond.Version {
		return obj, nil
	}
	return platform.Object{}, &Error{
		Status: http.StatusBadGateway, Code: CodeUnconfirmed, RetryAfter: minRetryAfter,
		Message: cause.Error(), Expected: cond.Version, Current: &obj,
	}
}

// remove deletes an object. If the platform's response is lost, it reads the
// object back, and reports a deletion with version 0 if there is none.
func (h *handler) remove(ctx context.Context, kind api.Kind, name string, cond platform.Condition) (Deletion, error) {
	version, err := h.deps.Platform.Delete(ctx, kind, name, cond)
	var unconfirmed *platform.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		if _, readErr := h.deps.Platform.Get(ctx, kind, name); errors.Is(readErr, platform.ErrNotFound) {
			return Deletion{}, nil
		}
	}
	return Deletion{Version: version}, asConflict(err, cond)
}

// asConflict converts the conflict of a conditional write to an Error with the
// expected version and the current object. It returns other errors unchanged.
func asConflict(err error, cond platform.Condition) error {
	var c *platform.ConflictError
	if !errors.As(err, &c) {
		return err
	}
	return &Error{
		Status: http.StatusConflict, Code: CodeConflict, Message: conflictMessage(c.Current, cond),
		Expected: cond.Version, Current: c.Current,
	}
}

func conflictMessage(current *platform.Object, cond platform.Condition) string {
	switch {
	case current == nil:
		return "the object was deleted; version " + strconv.FormatUint(cond.Version, 10) + " was expected"
	case cond.Absent:
		return "the object exists already, at version " + strconv.FormatUint(current.Version, 10)
	}
	return "the object is at version " + strconv.FormatUint(current.Version, 10) +
		"; version " + strconv.FormatUint(cond.Version, 10) + " was expected"
}
