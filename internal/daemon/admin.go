package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/adminapi"
	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/explain"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/status"
)

const (
	// peerCallTimeout bounds the wait for the responses of the other routers.
	peerCallTimeout = 2 * time.Second
	// maxParallelPeerCalls bounds the concurrent calls to other routers.
	maxParallelPeerCalls = 64
	// maxExplainedRequests bounds the requests that one router returns for a
	// workspace.
	maxExplainedRequests = 20
)

func (d *Daemon) adminHandler() http.Handler {
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, "/healthz", d.healthz)
	r.HandlerFunc(http.MethodGet, "/readyz", d.readyz)
	r.Handler(http.MethodGet, "/metrics", d.metrics)
	adminapi.Register(r, adminapi.Deps{
		Platform: d.platform,
		Config:   d.config,
		Token:    d.settings.Admin.Token,
	})
	r.HandlerFunc(http.MethodGet, "/admin/v1/status", d.authorized(d.getStatus))
	r.HandlerFunc(http.MethodGet, "/admin/v1/burn", d.authorized(d.getBurn))
	r.HandlerFunc(http.MethodGet, "/admin/v1/explain/:id", d.authorized(d.getExplain))
	return r
}

// authorized passes only requests that carry the operators' token. The
// comparison takes constant time for tokens of equal length.
func (d *Daemon) authorized(next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + d.settings.Admin.Token)
	return func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, `{"error":"the operators' token is missing or wrong"}`, http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (d *Daemon) getStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("local") != "" {
		writeJSON(w, d.localStatus(r.Context()))
		return
	}
	own := d.localStatus(r.Context())
	responses := []status.Response{{Instance: own.Instance, Router: &own}}
	for _, resp := range d.callPeers(r.Context(), callStatus, nil) {
		responses = append(responses, statusResponse(resp))
	}
	writeJSON(w, status.Merge(responses, time.Now()))
}

func statusResponse(resp peerResponse) status.Response {
	response := status.Response{Instance: string(resp.from), Error: resp.errorText}
	if resp.errorText != "" {
		return response
	}
	var router status.Router
	if err := json.Unmarshal(resp.body, &router); err != nil {
		response.Error = err.Error()
		return response
	}
	response.Router = &router
	return response
}

func (d *Daemon) getBurn(w http.ResponseWriter, r *http.Request) {
	snapshots := []burn.Snapshot{d.burn.Snapshot()}
	var unresponsive []string
	for _, resp := range d.callPeers(r.Context(), callBurn, nil) {
		var snapshot burn.Snapshot
		if resp.errorText != "" || json.Unmarshal(resp.body, &snapshot) != nil {
			unresponsive = append(unresponsive, string(resp.from))
			continue
		}
		snapshots = append(snapshots, snapshot)
	}
	report := burn.NewReport(burn.Merge(snapshots), d.config.Snapshot().Contracts, time.Now())
	report.Unresponsive = unresponsive
	if r.URL.Query().Get("format") != "html" {
		writeJSON(w, report)
		return
	}
	page, err := report.HTML()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_, _ = w.Write(page)
}

// explanation is the response of the explain call: why requests wait or were
// refused.
type explanation struct {
	Requests []explain.Entry `json:"requests"`
	// Unresponsive names the routers that did not answer.
	Unresponsive []string `json:"silent,omitempty"`
}

func (d *Daemon) getExplain(w http.ResponseWriter, r *http.Request) {
	id := httprouter.ParamsFromContext(r.Context()).ByName("id")
	response := explanation{Requests: d.localExplain(id)}
	for _, resp := range d.callPeers(r.Context(), callExplain, []byte(id)) {
		var entries []explain.Entry
		if resp.errorText != "" || json.Unmarshal(resp.body, &entries) != nil {
			response.Unresponsive = append(response.Unresponsive, string(resp.from))
			continue
		}
		response.Requests = append(response.Requests, entries...)
	}
	if len(response.Requests) == 0 {
		w.WriteHeader(http.StatusNotFound)
	}
	writeJSON(w, response)
}

// localExplain returns the entry of a request with this id, or else the most
// recent entries of a workspace with this name.
func (d *Daemon) localExplain(id string) []explain.Entry {
	if entry, ok := d.recentRequests.Get(id); ok {
		return []explain.Entry{entry}
	}
	return d.recentRequests.OfWorkspace(ids.Workspace(id), maxExplainedRequests)
}

// peerResponse is the result of a call to another router.
type peerResponse struct {
	from ids.Instance
	body []byte
	// errorText says why the call failed; empty if it succeeded.
	errorText string
}

// callPeers calls all routers that have a link to this one. For each router of the
// platform's list without a link, it returns a response with the error text "no link".
func (d *Daemon) callPeers(ctx context.Context, method string, body []byte) []peerResponse {
	ctx, stop := context.WithTimeout(ctx, peerCallTimeout)
	defer stop()
	var mu sync.Mutex
	var responses []peerResponse
	calls := pool.New().WithMaxGoroutines(maxParallelPeerCalls)
	for _, p := range d.mesh.Live() {
		calls.Go(func() {
			resp := d.callPeer(ctx, p.Instance, method, body)
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, resp)
		})
	}
	calls.Wait()
	for _, name := range d.unlinkedRouters(d.config.Snapshot()) {
		responses = append(responses, peerResponse{from: ids.Instance(name), errorText: "no link"})
	}
	return responses
}

func (d *Daemon) callPeer(ctx context.Context, to ids.Instance, method string, body []byte) peerResponse {
	response, err := d.mesh.Call(ctx, to, method, body)
	if err != nil {
		return peerResponse{from: to, errorText: err.Error()}
	}
	return peerResponse{from: to, body: response}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
