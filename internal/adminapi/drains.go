package adminapi

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// DrainRequest is the optional body of a call that drains a target or instance.
type DrainRequest struct {
	// Reason is free text for other operators.
	Reason string `json:"reason,omitempty" jsonschema:"maxLength=1024"`
}

func (h *handler) listDrains(ctx context.Context, _ *http.Request, _ httprouter.Params) (any, error) {
	return h.list(ctx, api.KindDrain)
}

func (h *handler) putDrain(ctx context.Context, r *http.Request, p httprouter.Params) (any, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	var req DrainRequest
	if len(body) > 0 {
		if err := strictjson.Decode(body, &req); err != nil {
			return nil, err
		}
	}
	d := api.Drain{Of: api.DrainOf(p.ByName("of")), ID: p.ByName("id"), Reason: req.Reason}
	if err := checkDrainSubjectExists(h.deps.Config.Snapshot(), d); err != nil {
		return nil, err
	}
	value, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode drain")
	}
	if _, err := contract.ParseDrain(value); err != nil {
		return nil, err
	}
	return h.put(ctx, api.KindDrain, contract.DrainName(d.Of, d.ID), value, platform.Condition{})
}

func (h *handler) deleteDrain(ctx context.Context, _ *http.Request, p httprouter.Params) (any, error) {
	name := contract.DrainName(api.DrainOf(p.ByName("of")), p.ByName("id"))
	return h.remove(ctx, api.KindDrain, name, platform.Condition{})
}

// checkDrainSubjectExists returns a not-found error if the target or instance of a
// drain isn't in the configuration in force, so that a mistyped id isn't accepted.
func checkDrainSubjectExists(s *configsync.Snapshot, d api.Drain) error {
	ok := true
	switch d.Of {
	case api.DrainTarget:
		_, ok = s.Targets[ids.Target(d.ID)]
	case api.DrainInstance:
		_, ok = s.Routers[ids.Instance(d.ID)]
	}
	if !ok {
		return &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "there is no " + string(d.Of) + " " + d.ID}
	}
	return nil
}
