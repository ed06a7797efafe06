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
	// askTimeout bounds the wait for the other routers' answers.
	askTimeout = 2 * time.Second
	// askParallel calls at a time.
	askParallel = 64
	// explained requests of a workspace.
	explained = 20
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

// authorized lets only requests with the operators' token pass.
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
	if !d.ready() {
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
	answers := []status.Answer{{Instance: own.Instance, Router: &own}}
	for _, reply := range d.ask(r.Context(), callStatus, nil) {
		answers = append(answers, statusAnswer(reply))
	}
	writeJSON(w, status.Merge(answers, time.Now()))
}

func statusAnswer(reply reply) status.Answer {
	answer := status.Answer{Instance: string(reply.from), Error: reply.problem}
	if reply.problem != "" {
		return answer
	}
	var router status.Router
	if err := json.Unmarshal(reply.body, &router); err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Router = &router
	return answer
}

func (d *Daemon) getBurn(w http.ResponseWriter, r *http.Request) {
	snapshots := []burn.Snapshot{d.burn.Snapshot()}
	var silent []string
	for _, reply := range d.ask(r.Context(), callBurn, nil) {
		var snapshot burn.Snapshot
		if reply.problem != "" || json.Unmarshal(reply.body, &snapshot) != nil {
			silent = append(silent, string(reply.from))
			continue
		}
		snapshots = append(snapshots, snapshot)
	}
	report := burn.NewReport(burn.Merge(snapshots), d.config.Snapshot().Contracts, time.Now())
	report.Unresponsive = silent
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

// explanation answers the question why requests wait or were refused.
type explanation struct {
	Requests []explain.Entry `json:"requests"`
	// Silent routers did not answer.
	Silent []string `json:"silent,omitempty"`
}

func (d *Daemon) getExplain(w http.ResponseWriter, r *http.Request) {
	id := httprouter.ParamsFromContext(r.Context()).ByName("id")
	answer := explanation{Requests: d.localExplain(id)}
	for _, reply := range d.ask(r.Context(), callExplain, []byte(id)) {
		var entries []explain.Entry
		if reply.problem != "" || json.Unmarshal(reply.body, &entries) != nil {
			answer.Silent = append(answer.Silent, string(reply.from))
			continue
		}
		answer.Requests = append(answer.Requests, entries...)
	}
	if len(answer.Requests) == 0 {
		w.WriteHeader(http.StatusNotFound)
	}
	writeJSON(w, answer)
}

// localExplain finds a request by its id, or the last ones of a workspace.
func (d *Daemon) localExplain(id string) []explain.Entry {
	if entry, ok := d.recent.Get(id); ok {
		return []explain.Entry{entry}
	}
	return d.recent.OfWorkspace(ids.Workspace(id), explained)
}

// reply is what came of a call to another router.
type reply struct {
	from    ids.Instance
	body    []byte
	problem string
}

// ask calls all routers that have a link, and names those of the platform's
// list that have none.
func (d *Daemon) ask(ctx context.Context, method string, body []byte) []reply {
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	var mu sync.Mutex
	var replies []reply
	calls := pool.New().WithMaxGoroutines(askParallel)
	for _, p := range d.mesh.Live() {
		calls.Go(func() {
			answer := d.askOne(ctx, p.Instance, method, body)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, answer)
		})
	}
	calls.Wait()
	for _, name := range d.missing(d.config.Snapshot()) {
		replies = append(replies, reply{from: ids.Instance(name), problem: "no link"})
	}
	return replies
}

func (d *Daemon) askOne(ctx context.Context, to ids.Instance, method string, body []byte) reply {
	answer, err := d.mesh.Call(ctx, to, method, body)
	if err != nil {
		return reply{from: to, problem: err.Error()}
	}
	return reply{from: to, body: answer}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
