// Package partition_test separates failure domains from one another and from the
// platform. It checks that each domain serves what it can during the partition
// and that all domains agree after it.
package partition_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/status"
)

const (
	model   = "m"
	service = "orders"
	// eventualTimeout is a generous deadline for conditions that must become true.
	eventualTimeout = 20 * time.Second
	// inForceTimeout is the deadline for an accepted configuration to be in force.
	inForceTimeout = 6 * time.Second
	// concurrency is the number of requests that each engine runs at a time.
	concurrency = 4
	// tokenRate is the tokens per second that an engine generates for each request.
	tokenRate = 500
	// reportMS is the interval of service reports between routers.
	reportMS = 100
	// timeoutMS is the time without messages after which a peer counts as dead.
	timeoutMS = 600
)

func TestPartition(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "partition")
}

var (
	fleet            *harness.Fleet
	domainA, domainB []*harness.Router
	client           = &http.Client{Timeout: eventualTimeout}
)

var _ = BeforeSuite(func(ctx context.Context) {
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	domain := func(name string) harness.Domain {
		return harness.Domain{
			Name: name, Routers: 2,
			Engines:  []harness.Engine{{Models: []string{model}, Concurrency: concurrency, TokensPerSecond: tokenRate}},
			Services: []harness.Service{{Name: service}},
		}
	}
	fleet, err = harness.Start(ctx, binaries, harness.Spec{
		Domains:   []harness.Domain{domain("a"), domain("b")},
		UseRelays: true,
		EditSettings: func(s *settings.Settings) {
			s.Peer.HeartbeatMS = timeoutMS / 4
			s.Peer.TimeoutMS = timeoutMS
			s.Targets.StallMS = 1000
			s.Platform.TimeoutMS = 500
			s.Fairness.ReportMS = reportMS
		},
	})
	Expect(err).NotTo(HaveOccurred())
	domainA, domainB = fleet.Routers[:2], fleet.Routers[2:]
	Expect(fleet.ApplyContracts(ctx, harness.Contract("w1", 1), harness.Contract("w2", 1))).To(Succeed())
})

var _ = AfterSuite(func() {
	client.CloseIdleConnections()
	if fleet != nil {
		fleet.Close()
	}
	Expect(harness.Clean()).To(Succeed())
})

// A failed spec reports the relays, the engines and the targets as a router sees them,
// before the faults are removed: this tells a target that stopped from one that its
// connections don't reach.
var _ = JustAfterEach(func(ctx context.Context) {
	if fleet == nil || !CurrentSpecReport().Failed() {
		return
	}
	GinkgoWriter.Println(fleet.Links.Report())
	for _, e := range fleet.Engines {
		stats, err := e.EngineStats(ctx)
		GinkgoWriter.Printf("%s: %+v %v\n", e.Object.ID, stats, err)
	}
	for _, r := range fleet.Routers {
		failures := InterceptGomegaFailures(func() {
			GinkgoWriter.Printf("targets at %s: %+v\n", r.ID, fleetStatus(Default, r).Targets)
		})
		if len(failures) > 0 {
			GinkgoWriter.Println("status of", r.ID, "not read:", failures)
		}
	}
	GinkgoWriter.Println(fleet.Logs())
})

// heal removes all link faults and waits until every router is linked to all
// others, reaches the platform and has the same configuration in force.
func heal() {
	GinkgoHelper()
	fleet.Links.Clear()
	Eventually(func(g Gomega) {
		for _, r := range fleet.Routers {
			v := fleetStatus(g, r)
			g.Expect(v.Unresponsive).To(BeEmpty())
			g.Expect(v.Routers).To(HaveLen(len(fleet.Routers)))
			g.Expect(v.InForce).To(BeTrue())
			for _, x := range v.Routers {
				g.Expect(x.Links).To(HaveLen(len(fleet.Routers) - 1))
				g.Expect(x.Platform.Up).To(BeTrue())
			}
		}
	}).WithTimeout(eventualTimeout).WithPolling(50 * time.Millisecond).Should(Succeed())
}

// fleetStatus returns the status of the fleet as reported by a router.
func fleetStatus(g Gomega, r *harness.Router) status.Fleet {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.AdminAddress+"/admin/v1/status", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+harness.AdminToken)
	resp, err := client.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var out status.Fleet
	g.Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
	return out
}

// ownStatus returns the status of a router as reported by itself.
func ownStatus(g Gomega, r *harness.Router) status.Router {
	GinkgoHelper()
	for _, x := range fleetStatus(g, r).Routers {
		if x.Instance == r.ID {
			return x
		}
	}
	g.Expect(r.ID).To(BeEmpty(), "the fleet status of this router has no entry for itself")
	return status.Router{}
}

// waitLinked waits until each router of the group has links to exactly the other
// routers of the group.
func waitLinked(group ...*harness.Router) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, r := range group {
			var names []string
			for _, l := range ownStatus(g, r).Links {
				names = append(names, l.Instance)
			}
			var want []string
			for _, other := range group {
				if other != r {
					want = append(want, other.ID)
				}
			}
			g.Expect(names).To(ConsistOf(want))
		}
	}).WithTimeout(eventualTimeout).WithPolling(50 * time.Millisecond).Should(Succeed())
}

func request() harness.CompletionRequest {
	return harness.CompletionRequest{Model: model, Prompt: "stock", MaxTokens: 20, Stream: true}
}

// expectServes checks that each router of the group answers idempotent work.
func expectServes(ctx context.Context, group ...*harness.Router) {
	GinkgoHelper()
	for _, r := range group {
		caller := r.Caller("w1")
		defer caller.Close()
		Eventually(func(g Gomega) {
			resp := caller.Complete(ctx, request())
			g.Expect(harness.CheckResponse(request(), resp)).To(Equal(harness.VerdictCorrect), "%s: %v: %+v", r.ID, resp.Refusal, resp)
		}).WithTimeout(eventualTimeout).Should(Succeed())
	}
}

// order sends once-only work to a router.
func order(ctx context.Context, r *harness.Router, key string) harness.Response {
	caller := r.Caller("w1")
	defer caller.Close()
	return caller.Call(ctx, http.MethodPost, service, "/order", key, []byte(`{"ice":1}`))
}

// runs returns how many times all services together ran an idempotency key.
func runs(key string) int {
	GinkgoHelper()
	n := 0
	for _, s := range fleet.Services {
		list, err := s.Runs()
		Expect(err).NotTo(HaveOccurred())
		for _, run := range list {
			if run.IdempotencyKey == key {
				n++
			}
		}
	}
	return n
}

// putContract writes the contract of a workspace to the platform.
func putContract(ctx context.Context, workspace ids.Workspace, weight float64) {
	GinkgoHelper()
	Expect(fleet.Platform.Put(ctx, api.KindContract, string(workspace), harness.Contract(string(workspace), weight))).To(Succeed())
}

// newestRevision returns the newest configuration revision of the platform.
func newestRevision(ctx context.Context) uint64 {
	GinkgoHelper()
	var newest uint64
	for _, kind := range api.ConfigKinds {
		list, err := fleet.Platform.List(ctx, kind)
		Expect(err).NotTo(HaveOccurred())
		for _, o := range list.Objects {
			newest = max(newest, o.Version)
		}
	}
	return newest
}

// waitRevision waits until the routers of the group have revision want, or a newer
// one, in force.
func waitRevision(want uint64, group ...*harness.Router) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, r := range group {
			g.Expect(ownStatus(g, r).Revision).To(BeNumerically(">=", want), r.ID)
		}
	}).WithTimeout(inForceTimeout).WithPolling(50 * time.Millisecond).Should(Succeed())
}

// expectPermitsWithinConcurrency checks that no target has more permits granted,
// or requests in flight, than its concurrency.
func expectPermitsWithinConcurrency() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, t := range fleetStatus(g, domainA[0]).Targets {
			g.Expect(t.Permits).To(BeNumerically("<=", t.Concurrency), t.Target)
			g.Expect(t.InFlight).To(BeNumerically("<=", t.Concurrency), t.Target)
		}
	}).WithTimeout(eventualTimeout).Should(Succeed())
}

// expectRefusedNotRun checks that a response states that the request did not
// run and when to retry it.
func expectRefusedNotRun(resp harness.Response) {
	GinkgoHelper()
	Expect(resp.Err).NotTo(HaveOccurred())
	Expect(resp.Outcome()).To(Equal(outcome.NotRun), "%+v", resp)
	Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
}
