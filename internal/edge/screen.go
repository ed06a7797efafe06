package edge

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// earlyRequest is a request that has arrived whole and may be refused early.
type earlyRequest struct {
	meta      EarlyMeta
	route     *routing.Route
	service   string
	workspace ids.Workspace
}

// screenDuration is how long requests are screened after a refusal.
const screenDuration = time.Second

// Enabled implements connlimit.Screen: requests are screened while some are refused.
func (s *Server) Enabled() bool {
	return s.isOverloaded() || time.Since(epoch)-time.Duration(s.refusedAt.Load()) < screenDuration
}

// noteRefusal records that a request for an engine is refused now.
func (s *Server) noteRefusal() { s.refusedAt.Store(int64(time.Since(epoch))) }

// epoch is the origin of refusedAt and of the progress of transfers.
var epoch = time.Now().Add(-time.Hour)

// Screen implements connlimit.Screen. It refuses the requests that refuseEarly would refuse,
// as far as that can be seen from a head in its usual form; all others pass.
func (s *Server) Screen(data []byte, mustClose bool) (response []byte, closes bool) {
	now := time.Now()
	current := s.active.Load()
	if isNearLimit := s.opts.IsNearConnLimit; current == nil || isNearLimit != nil && isNearLimit() {
		return nil, false
	}
	r, ok := s.findEarly(current, data)
	if !ok {
		return nil, false
	}
	var f *refusal
	if s.isShed(r.workspace) {
		f = s.opts.LoadShedder.newRefusal()
	} else if f = s.refuseEarly(r.admitRequest(now, current.config)); f == nil {
		return nil, false
	}
	if share := s.opts.ConnCloseShare; mustClose || share != nil && rand.Float64() < share() {
		f.closesConn = true
	}
	s.recordEarly(now, current.config, &r, f)
	return f.encode(now), f.closesConn
}

// findEarly parses a request and looks up its route and workspace. It returns false if the
// request is not for an engine, or needs more than refuseEarly to be decided.
func (s *Server) findEarly(current *activeConfig, data []byte) (earlyRequest, bool) {
	var r earlyRequest
	head, ok := parseEarlyHead(data, func(name, value []byte) { s.opts.Headers.DecodeField(name, value, &r.meta) })
	limits := &current.config.Limits
	switch {
	case !ok, r.meta.ResumesStream,
		limits.MaxHeaderBytes > 0 && head.size > limits.MaxHeaderBytes,
		limits.MaxBodyBytes > 0 && int64(head.bodySize) > limits.MaxBodyBytes:
		return r, false
	}
	if r.route = current.table.Find(head.host, head.path); r.route == nil {
		return r, false
	}
	if current.config.KeysRequired && !r.route.Public {
		ws, known := current.config.Keys[string(r.meta.Key)]
		if !known {
			return r, false
		}
		r.workspace = ws
	}
	r.service = r.route.Pick(0)
	service := current.config.Services[r.service]
	return r, len(r.route.Split) == 1 && service != nil && service.Engine != nil
}

func (r *earlyRequest) admitRequest(now time.Time, c *routing.Config) admit.Request {
	return admit.Request{
		Service: r.service, Workspace: r.workspace, Priority: c.Priority(r.route, r.workspace),
		PromptTokens: r.meta.PromptTokens, OutputTokens: r.meta.OutputTokens,
		ArrivedAt: now, Objective: r.route.Objective, GapObjective: r.route.GapObjective, Regions: c.RegionsFor(r.route, r.workspace),
	}
}

// recordEarly writes the record of a request that was refused early to the log and metrics.
func (s *Server) recordEarly(now time.Time, c *routing.Config, r *earlyRequest, f *refusal) {
	s.counts.refused.Inc(1)
	s.counts.refusedEarly.Inc(1)
	s.noteRefusal()
	s.loads.update(r.workspace, func(l *WorkspaceLoad) {
		l.Requests++
		l.RequestedTokens += int64(r.meta.PromptTokens) + 2*int64(r.meta.OutputTokens)
		l.countRefusal(f.reason, f.closesConn)
	})
	duration := time.Since(now)
	s.counts.requestTime.Record(duration)
	s.opts.Log.Request(RequestRecord{
		ID: string(r.meta.ID), ArrivedAt: now, ConfigVersion: c.Version, Route: r.route.Name, Workspace: r.workspace,
		Status: f.status, Outcome: "refused", Reason: f.reason, RetryAfter: f.retryAfter, Duration: duration,
	})
}

// encode returns the refusal as a complete HTTP/1.1 response.
func (f *refusal) encode(now time.Time) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(f.status), 10)
	b = append(append(b, ' '), http.StatusText(f.status)...)
	b = append(b, "\r\nContent-Type: "+refusalContentType+"\r\n"...)
	if f.retryAfter > 0 {
		b = append(append(b, "Retry-After: "...), f.retryAfterValue()...)
		b = append(b, "\r\n"...)
	}
	if f.closesConn {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Date: "...)
	b = now.UTC().AppendFormat(b, http.TimeFormat)
	body := f.body()
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
