// Package config_test checks with real processes that all routers put a
// configuration in force within seconds after it was accepted, and never return to
// an older one.
package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/faultlink"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/standin/platform"
	"github.com/umberhill/umberhill/internal/status"
)

const workspace = "acme"

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

// twoDomains returns a fleet of 8 routers in 2 failure domains, without targets.
func twoDomains() harness.Spec {
	return harness.Spec{Domains: []harness.Domain{{Name: "a", Routers: 4}, {Name: "b", Routers: 4}}}
}

// put writes version n of the contract to the platform and returns the version
// number that the platform assigned.
func put(ctx context.Context, f *harness.Fleet, n int) uint64 {
	GinkgoHelper()
	Expect(f.Platform.Put(ctx, api.KindContract, workspace, proctest.VersionContract(workspace, n))).To(Succeed())
	return proctest.ObjectVersion(ctx, f, api.KindContract, workspace)
}

var _ = Describe("A change", func() {
	It("comes into force on all routers, including those partitioned from the platform, with few calls", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		spec := twoDomains()
		spec.UseRelays = true
		f := proctest.Start(ctx, spec)
		proctest.AwaitInForce(ctx, f.Routers, put(ctx, f, 1))

		By("counting the calls of ten changes")
		before, err := f.Platform.ClientStats(ctx)
		Expect(err).NotTo(HaveOccurred())
		const changes = 10
		for n := range changes {
			proctest.AwaitInForce(ctx, f.Routers, put(ctx, f, 2+n))
		}
		after, err := f.Platform.ClientStats(ctx)
		Expect(err).NotTo(HaveOccurred())
		expectFewCalls(before, after, changes)

		By("partitioning one failure domain from the platform but not from its peers")
		for _, r := range f.Routers {
			if r.Domain == "b" {
				f.Links.SetPlatformRule(r, faultlink.Partition())
			}
		}
		for n := range 3 {
			proctest.AwaitInForce(ctx, f.Routers, put(ctx, f, 20+n))
		}
		for _, r := range f.Routers {
			caller := r.Caller("")
			Expect(proctest.AcceptsKey(ctx, caller, proctest.VersionKey(workspace, 22))).To(BeTrue(), r.ID)
			Expect(proctest.AcceptsKey(ctx, caller, proctest.VersionKey(workspace, 21))).To(BeFalse(), r.ID)
			caller.Close()
		}
	})

	It("is accepted from one of several concurrent operators, and the other operators get both versions", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, harness.Spec{Domains: []harness.Domain{{Name: "a", Routers: 2}}})
		revision := put(ctx, f, 1)
		const operators = 8
		statuses := make([]int, operators)
		var wg conc.WaitGroup
		for n := range operators {
			wg.Go(func() {
				statuses[n] = proctest.PutContract(ctx, f.Routers[n%2], proctest.VersionContract(workspace, 2+n), revision)
			})
		}
		wg.Wait()
		slices.Sort(statuses)
		Expect(statuses[0]).To(Equal(http.StatusOK))
		Expect(statuses[1:]).To(HaveEach(http.StatusConflict))

		path, err := f.WriteContractFile(proctest.VersionContract(workspace, 99))
		Expect(err).NotTo(HaveOccurred())
		_, err = f.CLI(ctx, f.Routers[0], "contract", "apply", "-f", path, "--if-version", fmt.Sprint(revision))
		Expect(err).To(MatchError(And(ContainSubstring("exit status 3"), ContainSubstring("current version"), ContainSubstring("yours"))))
		_, err = f.CLI(ctx, f.Routers[1], "contract", "apply", "-f", path, "--wait")
		Expect(err).NotTo(HaveOccurred())
	})

	It("that is invalid leaves the last valid contract in force, also on a router that starts later", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, harness.Spec{Domains: []harness.Domain{{Name: "a", Routers: 3}}})
		proctest.AwaitInForce(ctx, f.Routers, put(ctx, f, 1))
		bad := proctest.VersionContract(workspace, 2)
		bad.Weight = -1
		Expect(f.Platform.Put(ctx, api.KindContract, workspace, bad)).To(Succeed())
		proctest.AwaitInForce(ctx, f.Routers, proctest.ObjectVersion(ctx, f, api.KindContract, workspace))
		Expect(f.Routers[0].Kill()).To(Succeed())
		Expect(f.Routers[0].Restart(ctx)).To(Succeed())
		for _, r := range f.Routers {
			caller := r.Caller("")
			Eventually(func() (bool, error) {
				return proctest.AcceptsKey(ctx, caller, proctest.VersionKey(workspace, 1))
			}, proctest.EventuallyTimeout, proctest.PollInterval).Should(BeTrue(), r.ID)
			Expect(proctest.AcceptsKey(ctx, caller, proctest.VersionKey(workspace, 2))).To(BeFalse(), r.ID)
			caller.Close()
		}
		out, err := f.CLI(ctx, f.Routers[1], "-o", "json", "status")
		Expect(err).NotTo(HaveOccurred())
		var fleet status.Fleet
		Expect(json.Unmarshal([]byte(out), &fleet)).To(Succeed())
		Expect(fleet.Conditions).To(ContainElement(And(
			HaveField("Type", status.ConditionObjectInvalid), HaveField("Subject", ContainSubstring(workspace)))))
	})
})

// expectFewCalls checks that only two routers of each failure domain watched the
// platform, each with about one watch call for each change. It logs the reads.
func expectFewCalls(before, after map[string]platform.Stats, changes int) {
	GinkgoHelper()
	const wantWatchers = 4
	// idleWatches is the allowance for watch calls that end without a change.
	const idleWatches = 8
	var watchers int
	var watches, reads uint64
	for id, s := range after {
		if s.Watches > before[id].Watches {
			watchers++
		}
		watches += s.Watches - before[id].Watches
		reads += s.Reads - before[id].Reads
	}
	Expect(watchers).To(Equal(wantWatchers))
	Expect(watches).To(BeNumerically("<=", wantWatchers*(changes+idleWatches)))
	GinkgoWriter.Printf("%d changes: %d watches, %d reads by %d routers\n", changes, watches, reads, watchers)
}
