package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/umberhill/umberhill/internal/standin"
)

const (
	requestIDHeader   = "X-Request-Id"
	lastEventIDHeader = "Last-Event-ID"
)

// request is the body of a completion or chat request.
type request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`

	attempt string
	prompt  string
	chat    bool
}

func (e *Engine) routes() {
	e.router.POST("/v1/completions", e.completeHandler(false))
	e.router.POST("/v1/chat/completions", e.completeHandler(true))
	e.router.GET("/v1/streams/:attempt", e.resume)
	e.router.DELETE("/v1/streams/:attempt", e.cancelRun)
	e.router.GET("/load", e.loadReport)
	e.router.GET("/stats", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		standin.WriteJSON(w, http.StatusOK, e.Stats())
	})
	e.router.POST("/faults", e.postFaults)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" && r.URL.Path != "/stats" {
		e.faults.waitWhileFrozen(r.Context())
	}
	e.router.ServeHTTP(w, r)
}

func (e *Engine) completeHandler(chat bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		req := request{attempt: r.Header.Get(requestIDHeader), chat: chat}
		w.Header().Set(requestIDHeader, req.attempt)
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			standin.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		if !slices.Contains(e.opts.Models, req.Model) {
			standin.WriteError(w, http.StatusNotFound, "model not loaded")
			return
		}
		req.prompt = req.Prompt
		if chat {
			req.prompt = ChatPrompt(req.Messages)
		}
		e.serve(w, r, req)
	}
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, req request) {
	p := e.faults.nextPlan()
	if e.hasStream(req.attempt) {
		standin.WriteError(w, http.StatusConflict, "attempt exists")
		return
	}
	if p.refuse {
		e.refuse(w)
		return
	}
	run := e.submit(req)
	if run == nil {
		e.refuse(w)
		return
	}
	out := &responseWriter{engine: e, run: run, sentRun: e.runToSend(run, p), plan: p, w: w, r: r}
	if p.delay {
		time.Sleep(time.Duration(p.faults.DelayMS) * time.Millisecond)
	}
	if req.Stream && !p.fail {
		out.writeStream(0)
		return
	}
	out.writeBody()
}

func (e *Engine) hasStream(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.streams[attempt]
	return ok
}

// runToSend returns the run whose response is sent for r: the run before it if the plan crosses
// responses, else r itself.
func (e *Engine) runToSend(r *run, p faultPlan) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.previousRun
	e.previousRun = r
	if p.cross && previous != nil {
		return previous
	}
	return r
}

func (e *Engine) refuse(w http.ResponseWriter) {
	e.batch.updateStats(func(s *Stats) { s.Refused++ })
	w.Header().Set("Retry-After", "1")
	standin.WriteError(w, http.StatusTooManyRequests, "full")
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e.mu.Lock()
	run := e.streams[p.ByName("attempt")]
	e.mu.Unlock()
	last, err := strconv.Atoi(r.Header.Get(lastEventIDHeader))
	if run == nil || e.faults.get().RefuseResume {
		standin.WriteError(w, http.StatusNotFound, "no such stream")
		return
	}
	if err != nil || last < 0 {
		standin.WriteError(w, http.StatusBadRequest, "bad Last-Event-ID")
		return
	}
	e.batch.updateStats(func(s *Stats) { s.Resumed++ })
	out := &responseWriter{engine: e, run: run, sentRun: run, w: w, r: r}
	out.writeStream(last)
}

func (e *Engine) cancelRun(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.mu.Lock()
	run := e.streams[p.ByName("attempt")]
	delete(e.streams, p.ByName("attempt"))
	e.mu.Unlock()
	if run == nil {
		standin.WriteError(w, http.StatusNotFound, "no such stream")
		return
	}
	if e.batch.removeQueued(run) {
		run.advance(0, true)
	}
	run.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) loadReport(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	load := e.load
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, load)
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !standin.ReadFaults(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}
