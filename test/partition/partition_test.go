// Package partition_test separates failure domains from one another and from the
// platform, and proves that each serves what it can and that all agree after.
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
	// patience is a generous limit for things that must happen at all.
	patience = 20 * time.Second
	// inForce is how soon a configuration must be in force.
	inForce = 6 * time.Second
	// concurrency of each engine, and its tokens a second for each request.
	concurrency = 4
	tokenRate   = 500
	// reportMS is the interval of reports of service.
	reportMS = 100
	// timeoutMS is the silence after which a peer is dead.
	timeoutMS = 600
)

func TestPartition(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "partition")
}

var (
	fleet  *harness.Fleet
	a, b   []*harness.Router
	client = &http.Client{Timeout: patience}
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
	a, b = fleet.Routers[:2], fleet.Routers[2:]
	Expect(fleet.ApplyContracts(ctx, harness.Contract("w1", 1), harness.Contract("w2", 1))).To(Succeed())
})

var _ = AfterSuite(func() {
	client.CloseIdleConnections()
	if fleet != nil {
		fleet.Close()
	}
	Expect(harness.Clean()).To(Succeed())
})

// healed lifts all cuts and waits until all routers see each other, the
// platform and one configuration.
func healed() {
	GinkgoHelper()
	fleet.Links.Clear()
	Eventually(func(g Gomega) {
		for _, r := range fleet.Routers {
			v := view(g, r)
			g.Expect(v.Silent).To(BeEmpty())
			g.Expect(v.Routers).To(HaveLen(len(fleet.Routers)))
			g.Expect(v.InForce).To(BeTrue())
			for _, x := range v.Routers {
				g.Expect(x.Links).To(HaveLen(len(fleet.Routers) - 1))
				g.Expect(x.Platform.Up).To(BeTrue())
			}
		}
	}).WithTimeout(patience).WithPolling(50 * time.Millisecond).Should(Succeed())
}

// view asks a router for the status of the fleet.
func view(g Gomega, r *harness.Router) status.Fleet {
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

// own returns what a router says of itself.
func own(g Gomega, r *harness.Router) status.Router {
	GinkgoHelper()
	for _, x := range view(g, r).Routers {
		if x.Instance == r.ID {
			return x
		}
	}
	g.Expect(r.ID).To(BeEmpty(), "no status of its own")
	return status.Router{}
}

// linked waits until each of the routers has links to exactly the others of
// the group.
func linked(group ...*harness.Router) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, r := range group {
			var names []string
			for _, l := range own(g, r).Links {
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
	}).WithTimeout(patience).WithPolling(50 * time.Millisecond).Should(Succeed())
}

func ask() harness.CompletionRequest {
	return harness.CompletionRequest{Model: model, Prompt: "stock", MaxTokens: 20, Stream: true}
}

// serves proves that each of the routers answers idempotent work.
func serves(ctx context.Context, group ...*harness.Router) {
	GinkgoHelper()
	for _, r := range group {
		caller := r.Caller("w1")
		defer caller.Close()
		Eventually(func(g Gomega) {
			answer := caller.Complete(ctx, ask())
			g.Expect(harness.CheckResponse(ask(), answer)).To(Equal(harness.VerdictCorrect), "%s: %+v", r.ID, answer)
		}).WithTimeout(patience).Should(Succeed())
	}
}

// order sends once-only work.
func order(ctx context.Context, r *harness.Router, key string) harness.Response {
	caller := r.Caller("w1")
	defer caller.Close()
	return caller.Call(ctx, http.MethodPost, service, "/order", key, []byte(`{"ice":1}`))
}

// runs counts the runs of a key over all services.
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

// change writes a contract at the platform and returns the revision.
func change(ctx context.Context, workspace ids.Workspace, weight float64) {
	GinkgoHelper()
	Expect(fleet.Platform.Put(ctx, api.KindContract, string(workspace), harness.Contract(string(workspace), weight))).To(Succeed())
}

// revision returns the newest revision of the configuration at the platform.
func revision(ctx context.Context) uint64 {
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

// holds waits until the routers have a revision in force.
func holds(want uint64, group ...*harness.Router) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, r := range group {
			g.Expect(own(g, r).Revision).To(BeNumerically(">=", want), r.ID)
		}
	}).WithTimeout(inForce).WithPolling(50 * time.Millisecond).Should(Succeed())
}

// permitsWithin proves that no target has more permits out than it can run.
func permitsWithin() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, t := range view(g, a[0]).Targets {
			g.Expect(t.Permits).To(BeNumerically("<=", t.Concurrency), t.Target)
			g.Expect(t.InFlight).To(BeNumerically("<=", t.Concurrency), t.Target)
		}
	}).WithTimeout(patience).Should(Succeed())
}

// refusedNotRun proves that an answer is a true and useful refusal.
func refusedNotRun(answer harness.Response) {
	GinkgoHelper()
	Expect(answer.Err).NotTo(HaveOccurred())
	Expect(answer.Outcome()).To(Equal(outcome.NotRun), "%+v", answer)
	Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
}
