package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/streams"
	"github.com/umberhill/umberhill/internal/routing"
)

// countedOrigins knows that all streams began at v1, and counts the lookups.
type countedOrigins struct{ finds int }

func (*countedOrigins) Record(string, streams.Origin, bool) {}
func (*countedOrigins) Publish()                            {}
func (o *countedOrigins) Find(_ context.Context, _, service string, _ bool) (streams.Origin, Evidence, bool) {
	o.finds++
	return streams.Origin{Service: service, Version: "v1"}, EvidenceRead, true
}

// Guards against resumptions that wait for a read of the store, and cost its calls, although
// they are refused anyway: at a router that refuses for its own load, one in a flood.
func TestRefusedResumptionNeedsNoEvidence(t *testing.T) {
	busy := &LoadShedder{draw: func() float64 { return 0 }}
	for range 100 {
		busy.Observe(time.Unix(1000, 0), time.Second)
	}
	for _, c := range []struct {
		name     string
		shedder  *LoadShedder
		services []routing.WeightedService
		finds    int
	}{
		{"busy router", busy, []routing.WeightedService{{Service: "llm", Weight: 1}}, 0},
		{"router with room", &LoadShedder{}, []routing.WeightedService{{Service: "llm", Weight: 1}}, 1},
		{"busy router, several services", busy, []routing.WeightedService{{Service: "llm", Weight: 1}, {Service: "other", Weight: 0}}, 1},
	} {
		origins := &countedOrigins{}
		s := New(Options{
			LoadShedder: c.shedder, StreamOrigins: origins, Log: discardLog{},
			Scheduler: NewScheduler(admit.Options{ShareWindow: time.Second}, func(admit.HealthChange) {}),
		})
		s.SetConfig(&routing.Config{
			Version:  1,
			Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{}}, "other": {Name: "other", Engine: &routing.Engine{}}},
			Routes:   []routing.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Stream, Resumable: true, Split: c.services}},
		})
		e := newTestExchange(s, httptest.NewRecorder())
		e.r, e.meta, e.arrivedAt = httptest.NewRequest(http.MethodPost, "http://h/chat/x", http.NoBody), RequestMeta{LastEventID: "7"}, time.Now()
		refused := e.prepare()
		if isBusy := c.shedder == busy; (refused != nil) != isBusy || origins.finds != c.finds {
			t.Errorf("%s: got refusal %+v after %d lookups of the origin, want refused %t after %d", c.name, refused, origins.finds, isBusy, c.finds)
		}
		if refused == nil && (e.origin == nil || e.origin.Version != "v1" || !e.admitRequest().KeepsVersion) {
			t.Errorf("%s: got origin %+v, want the resumption bound to v1", c.name, e.origin)
		}
	}
}
