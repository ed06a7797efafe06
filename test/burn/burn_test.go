// Package burn_test proves that the burn report names the right workspace and
// class of fault, with figures that agree with the callers' own counts.
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
	requests = 200
	patience = 20 * time.Second
	// tolerance between the report and the callers' own counts.
	tolerance = 0.01
	share     = 0.99
	loseEvery = 4
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

func contract(workspace string) api.Contract {
	c := harness.Contract(workspace, 1)
	c.Objectives = &api.Objectives{Availability: share}
	return c
}

// count is what a caller saw.
type count struct{ total, failed int }

// orders sends once-only work over all routers in turn and counts what is not
// answered whole.
func orders(ctx context.Context, fleet *harness.Fleet, workspace, service string, keyed bool) count {
	var seen count
	for i := range requests {
		caller := fleet.Routers[i%len(fleet.Routers)].Caller(workspace)
		key := ""
		if keyed {
			key = fmt.Sprintf("%s-%d", workspace, i)
		}
		answer := caller.Call(ctx, http.MethodPost, service, "/order", key, []byte("{}"))
		seen.total++
		if answer.Err != nil || answer.Outcome() != outcome.Done {
			seen.failed++
		}
		caller.Close()
	}
	return seen
}

var _ = It("agrees with the callers on who burns, why and how much", func(ctx context.Context) {
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	fleet, err := harness.Start(ctx, binaries, harness.Spec{Domains: []harness.Domain{{
		Name: "a", Routers: 2, Services: []harness.Service{{Name: "good"}, {Name: "bad"}},
	}}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Close)
	Expect(fleet.ApplyContracts(ctx, contract("fine"), contract("hurt"), contract("unledgered"))).To(Succeed())

	Expect(fleet.Services[1].SetFaults(ctx, service.Faults{LoseEvery: loseEvery})).To(Succeed())
	fine := orders(ctx, fleet, "fine", "good", false)
	hurt := orders(ctx, fleet, "hurt", "bad", false)
	Expect(fleet.Platform.SetFaults(ctx, platform.Faults{Down: platform.DownRefuse})).To(Succeed())
	unledgered := orders(ctx, fleet, "unledgered", "good", true)
	Expect(fine.failed).To(BeZero())
	Expect(hurt.failed).To(BeNumerically(">", 0))
	Expect(unledgered.failed).To(BeNumerically(">", 0))

	page := filepath.Join(fleet.Dir, "burn.html")
	_, err = fleet.CLI(ctx, fleet.Routers[0], "report", "burn", "--html", page)
	Expect(err).NotTo(HaveOccurred())
	out, err := fleet.CLI(ctx, fleet.Routers[0], "-o", "json", "report", "burn")
	Expect(err).NotTo(HaveOccurred())
	var report burn.Report
	Expect(json.Unmarshal([]byte(out), &report)).To(Succeed(), out)
	Expect(report.Routers).To(HaveLen(2))
	agrees(report, "fine", fine, burn.FaultNone)
	agrees(report, "hurt", hurt, burn.FaultTarget)
	agrees(report, "unledgered", unledgered, burn.FaultPlatform)
	Expect(report.Workspaces[len(report.Workspaces)-1].Workspace).To(Equal(ids.Workspace("fine")))

	html, err := os.ReadFile(page)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(html)).To(And(ContainSubstring("<svg"), ContainSubstring("hurt")))

	// A router that does not answer is named.
	Expect(fleet.Routers[1].Kill()).To(Succeed())
	Eventually(func(g Gomega) {
		out, err := fleet.CLI(ctx, fleet.Routers[0], "-o", "json", "report", "burn")
		g.Expect(err).NotTo(HaveOccurred())
		var partial burn.Report
		g.Expect(json.Unmarshal([]byte(out), &partial)).To(Succeed())
		g.Expect(partial.Routers).To(Equal([]string{fleet.Routers[0].ID}))
		g.Expect(partial.Silent).To(Equal([]string{fleet.Routers[1].ID}))
	}).WithTimeout(patience).Should(Succeed())
})

// agrees compares a workspace's availability with its callers' count.
func agrees(report burn.Report, workspace ids.Workspace, seen count, fault burn.Fault) {
	GinkgoHelper()
	for _, w := range report.Workspaces {
		if w.Workspace != workspace {
			continue
		}
		o := w.Objectives[0]
		longest := o.Windows[len(o.Windows)-1]
		within := tolerance * requests
		Expect(float64(longest.Total)).To(BeNumerically("~", seen.total, within), "%s: %+v", workspace, o)
		Expect(float64(longest.Missed)).To(BeNumerically("~", seen.failed, within), "%s: %+v", workspace, o)
		wantBurn := float64(seen.failed) / float64(seen.total) / (1 - share)
		Expect(longest.Burn).To(BeNumerically("~", wantBurn, tolerance*wantBurn+1e-9))
		Expect(o.Fault).To(Equal(fault))
		return
	}
	Fail("no report of " + string(workspace))
}
