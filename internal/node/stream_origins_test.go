package node

import (
	"context"
	"testing"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/streams"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/routing"
)

// newMixedOrigins returns the origins of a router without peers that lists two versions.
func newMixedOrigins() *streamOrigins {
	o := newStreamOrigins(&Node{})
	o.setTargets([]routing.Target{{ID: "a", Service: "llm", SoftwareVersion: "v1"}, {ID: "b", Service: "llm", SoftwareVersion: "v2"}})
	return o
}

// Guards against origins that get lost or mixed up in reports.
func TestReportsCarryOriginsOfStreams(t *testing.T) {
	sender, receiver := newMixedOrigins(), newMixedOrigins()
	want := map[string]streams.Origin{
		"x": {Service: "llm", Version: "v1"}, "y": {Service: "llm", Version: "v2"}, "z": {Service: "llm", Version: "v1"},
	}
	for request, origin := range want {
		sender.Record(request, origin, false)
	}
	var report fleetv1.Report
	sender.addTo(&report)
	if len(report.GetOrigins()) != 2 {
		t.Errorf("got %d origins in the report, want each of 2 once", len(report.GetOrigins()))
	}
	receiver.receive(&report)
	for request, origin := range want {
		if got, evidence, known := receiver.Find(context.Background(), request, "llm", false); !known || evidence != edge.EvidenceNote || got != origin {
			t.Errorf("stream %s: got origin %+v, known %t by %q, want %+v by a note", request, got, known, evidence, origin)
		}
	}
	if got, _, known := receiver.Find(context.Background(), "unheard", "llm", false); known {
		t.Errorf("stream of which no router knows: got origin %+v, want none", got)
	}
}

// Guards against a report of a faulty peer that ends the router.
func TestMalformedOriginsAreDropped(t *testing.T) {
	for _, r := range []*fleetv1.Report{
		{StreamIds: []uint64{1}},
		{StreamIds: []uint64{1}, StreamOrigins: []uint32{7}, Origins: []*fleetv1.Origin{{Service: "llm"}}},
		{StreamOrigins: []uint32{0}},
	} {
		o := newMixedOrigins()
		o.receive(r)
		if _, known := o.table.Origin(time.Now(), 1); known {
			t.Errorf("report %v: an origin was recorded", r)
		}
	}
}
