package status_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/status"
)

func router(name string, revision uint64, vs float64) *status.Router {
	return &status.Router{
		Instance: name, Domain: "d1", Ready: true, Revision: revision,
		Targets: []status.Target{{Target: "e1", Domain: "d1", Owner: "a", Concurrency: 8, Permits: 3, InFlight: 2, Ejected: name == "b"}},
		Workspaces: []status.Workspace{
			{Workspace: "w1", Pool: "model/m", Waiting: 1, VirtualService: vs, Units: 10},
			{Workspace: "w2", Pool: "model/m", Waiting: 2, VirtualService: vs + 40, Units: 20},
			{Workspace: "w3", Pool: "model/m", Running: 1, VirtualService: 1},
		},
		Quarantine: []status.Quarantined{{Fingerprint: "ff", State: "quarantined", Crashes: 2}},
		Conditions: []status.Condition{{Type: status.ConditionPlatformDown, Message: "no answer"}},
	}
}

func TestMergeSumsRoutersAndListsUnresponsive(t *testing.T) {
	g := NewWithT(t)
	fleet := status.Merge([]status.Response{
		{Instance: "b", Router: router("b", 6, 100)},
		{Instance: "c", Error: "peer is not linked"},
		{Instance: "a", Router: router("a", 7, 90)},
	}, time.Unix(1, 0))
	g.Expect(fleet.Unresponsive).To(Equal([]status.UnresponsiveRouter{{Instance: "c", Error: "peer is not linked"}}))
	g.Expect(fleet.Revision).To(Equal(uint64(7)))
	g.Expect(fleet.InForce).To(BeFalse())
	g.Expect(fleet.Targets).To(HaveLen(1))
	g.Expect(fleet.Targets[0].Permits).To(Equal(6))
	g.Expect(fleet.Targets[0].EjectedBy).To(Equal([]string{"b"}))
	g.Expect(fleet.Workspaces[0].Waiting).To(Equal(2))
	// Each router reports the units of the whole fleet, so they are not summed.
	g.Expect(fleet.Workspaces[0].Units).To(BeEquivalentTo(10))
	g.Expect(fleet.Workspaces[1].Gap).To(BeEquivalentTo(40))
	g.Expect(fleet.Workspaces[2].Gap).To(BeZero())
	g.Expect(fleet.Quarantine).To(HaveLen(1))
	g.Expect(fleet.Conditions[0].Routers).To(Equal([]string{"a", "b"}))

	encoded, err := json.Marshal(fleet)
	g.Expect(err).NotTo(HaveOccurred())
	var back status.Fleet
	g.Expect(json.Unmarshal(encoded, &back)).To(Succeed())
	g.Expect(back.Workspaces).To(Equal(fleet.Workspaces))

	var out bytes.Buffer
	g.Expect(status.RenderFleet(&out, fleet)).To(Succeed())
	for _, want := range []string{"2 routers answered, 1 did not", "peer is not linked", "ejected by b", "platform-down", "w2"} {
		g.Expect(out.String()).To(ContainSubstring(want))
	}
}

func TestRenderRouter(t *testing.T) {
	g := NewWithT(t)
	r := router("a", 7, 90)
	r.Links = []status.Link{{Instance: "b", Domain: "d1", Revision: 7, LastSeenAgeSeconds: 0.2}}
	var out bytes.Buffer
	g.Expect(status.RenderRouter(&out, *r)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("200ms"))
}
