package adminapi

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/strictjson"
)

func (h *handler) listContracts(ctx context.Context, _ *http.Request, _ httprouter.Params) (any, error) {
	return h.list(ctx, api.KindContract)
}

func (h *handler) list(ctx context.Context, kind api.Kind) (any, error) {
	objs, revision, err := h.deps.Platform.List(ctx, kind)
	return Objects{Revision: revision, Objects: objs}, err
}

func (h *handler) getContract(ctx context.Context, _ *http.Request, p httprouter.Params) (any, error) {
	return h.deps.Platform.Get(ctx, api.KindContract, p.ByName("workspace"))
}

func (h *handler) putContract(ctx context.Context, r *http.Request, p httprouter.Params) (any, error) {
	cond, err := condition(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	c, err := contract.Parse(body)
	if err != nil {
		return nil, err
	}
	if err := checkPathAndKeys(h.deps.Config.Snapshot(), c, p.ByName("workspace")); err != nil {
		return nil, err
	}
	return h.put(ctx, api.KindContract, c.Workspace, body, cond)
}

func (h *handler) deleteContract(ctx context.Context, r *http.Request, p httprouter.Params) (any, error) {
	cond, err := condition(r)
	if err != nil {
		return nil, err
	}
	return h.remove(ctx, api.KindContract, p.ByName("workspace"), cond)
}

// checkPathAndKeys checks what can't be validated within a contract: that its
// workspace is the one in the path, and that its keys belong to no other
// workspace.
func checkPathAndKeys(s *configsync.Snapshot, c *api.Contract, name string) error {
	var errs strictjson.Errors
	if c.Workspace != name {
		errs.Add("workspace", "does not fit the path, which names %q", name)
	}
	for i, k := range c.Keys {
		if owner := keyOwner(s, k.SHA256); owner != "" && owner != ids.Workspace(c.Workspace) {
			errs.Add(fmt.Sprintf("keys[%d].sha256", i), "belongs to workspace %s", owner)
		}
	}
	return errs.Err()
}

func keyOwner(s *configsync.Snapshot, hash string) ids.Workspace {
	for ws, c := range s.Contracts {
		if slices.ContainsFunc(c.Keys, func(k api.KeyHash) bool { return k.SHA256 == hash }) {
			return ws
		}
	}
	return ""
}
