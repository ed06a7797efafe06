// Package burn_test checks that the burn report names the right workspace and fault
// class, with figures that agree with the counts of the callers.
package burn_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/platform"
	"github.com/umberhill/umberhill/internal/standin/service"
)

const (
	requests        = 200
	eventualTimeout = 20 * time.Second
	// tolerance is the allowed relative difference between the report and the counts
	// of the callers.
	tolerance = 0.01
	// availability is the availability objective of each workspace.
	availability = 0.99
	// dropEvery makes the faulty service drop the response of every fourth call.
	dropEvery = 4
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

// contract returns the contract of a workspace with an availability objective.
func contract(workspace string) api.Contract {
	c := harness.Contract(workspace, 1)
	c.Objectives = &api.Objectives{Availability: availability}
	return c
}

// count holds the numbers of requests that a caller sent and that failed.
type count struct{ total, failed int }

// sendOrders sends once-only work to all routers in turn, with an idempotency key if
// keyed is set, and counts the requests that did not end with the outcome done.
func sendOrders(ctx context.Context, fleet *harness.Fleet, workspace, service string, keyed bool) count {
	var sent count
	for i := range requests {
		caller := fleet.Routers[i%len(fleet.Routers)].Caller(workspace)
		key := ""
		if keyed {
			key = fmt.Sprintf("%s-%d", workspace, i)
		}
		resp := caller.Call(ctx, http.MethodPost, service, "/order", key, []byte("{}"))
		sent.total++
		if resp.Err != nil || resp.Outcome() != outcome.Done {
			sent.failed++
		}
		caller.Close()
	}
	return sent
}

var _ = It("agrees with the callers on the workspaces that burn budget, the fault class and the rate", func(ctx context.Context) {
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	fleet, err := harness.Start(ctx, binaries, harness.Spec{Domains: []harness.Domain{{
		Name: "a", Routers: 2, Services: []harness.Service{{Name: "good"}, {Name: "bad"}},
	}}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Close)
	Expect(fleet.ApplyContracts(ctx, contract("healthy"), contract("failing"), contract("no-store"))).To(Succeed())

	Expect(fleet.Services[1].SetFaults(ctx, service.Faults{DropResponseEvery: dropEvery})).To(Succeed())
	healthy := sendOrders(ctx, fleet, "healthy", "good", false)
	failing := sendOrders(ctx, fleet, "failing", "bad", false)
	Expect(fleet.Platform.SetFaults(ctx, platform.Faults{Down: platform.DownRefuse})).To(Succeed())
	noStore := sendOrders(ctx, fleet, "no-store", "good", true)
	Expect(healthy.failed).To(BeZero())
	Expect(failing.failed).To(BeNumerically(">", 0))
	Expect(noStore.failed).To(BeNumerically(">", 0))

	htmlPath := filepath.Join(fleet.Dir, "burn.html")
	_, err = fleet.CLI(ctx, fleet.Routers[0], "report", "burn", "--html", htmlPath)
	Expect(err).NotTo(HaveOccurred())
	out, err := fleet.CLI(ctx, fleet.Routers[0], "-o", "json", "report", "burn")
	Expect(err).NotTo(HaveOccurred())
	var report burn.Report
	Expect(json.Unmarshal([]byte(out), &report)).To(Succeed(), out)
	Expect(report.Routers).To(HaveLen(2))
	expectAgrees(report, "healthy", healthy, burn.FaultNone)
	expectAgrees(report, "failing", failing, burn.FaultTarget)
	expectAgrees(report, "no-store", noStore, burn.FaultPlatform)
	Expect(report.Workspaces[len(report.Workspaces)-1].Workspace).To(Equal(ids.Workspace("healthy")))

	html, err := os.ReadFile(htmlPath)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(html)).To(And(ContainSubstring("<svg"), ContainSubstring("failing")))

	// The report names a router that does not answer.
	Expect(fleet.Routers[1].Kill()).To(Succeed())
	Eventually(func(g Gomega) {
		out, err := fleet.CLI(ctx, fleet.Routers[0], "-o", "json", "report", "burn")
		g.Expect(err).NotTo(HaveOccurred())
		var partial burn.Report
		g.Expect(json.Unmarshal([]byte(out), &partial)).To(Succeed())
		g.Expect(partial.Routers).To(Equal([]string{fleet.Routers[0].ID}))
		g.Expect(partial.Unresponsive).To(Equal([]string{fleet.Routers[1].ID}))
	}).WithTimeout(eventualTimeout).Should(Succeed())
})

// expectAgrees checks the report on a workspace against the count of its callers
// and the expected fault class.
func expectAgrees(report burn.Report, workspace ids.Workspace, sent count, fault burn.Fault) {
	GinkgoHelper()
	for _, w := range report.Workspaces {
		if w.Workspace != workspace {
			continue
		}
		o := w.Objectives[0]
		longest := o.Windows[len(o.Windows)-1]
		within := tolerance * requests
		Expect(float64(longest.Total)).To(BeNumerically("~", sent.total, within), "%s: %+v", workspace, o)
		Expect(float64(longest.Missed)).To(BeNumerically("~", sent.failed, within), "%s: %+v", workspace, o)
		wantBurn := float64(sent.failed) / float64(sent.total) / (1 - availability)
		Expect(longest.BurnRate).To(BeNumerically("~", wantBurn, tolerance*wantBurn+1e-9))
		Expect(o.Fault).To(Equal(fault))
		return
	}
	Fail("the report has no entry for workspace " + string(workspace))
}
