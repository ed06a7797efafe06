package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
	standin "github.com/umberhill/umberhill/internal/standin/platform"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// A change must reach all routers with only DefaultWatchers of them calling the
// platform; otherwise the platform's load grows with the number of routers.
func TestChangeReachesAllRoutersThroughTwoWatchers(t *testing.T) {
	n := newNetwork(t)
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	for i := range 7 {
		n.start(ids.Instance(fmt.Sprintf("a%d", i)), "a", "a")
	}
	n.waitForAll(1)
	n.g.Eventually(n.countWatching, eventuallyTimeout, pollInterval).Should(Equal(DefaultWatchers))
	before := n.store.Stats()
	const changes = 10
	for i := range changes {
		n.waitForAll(n.put(api.KindContract, "acme", contractJSON("acme", i+2)))
	}
	for _, x := range n.nodes {
		n.g.Expect(x.Snapshot().Contracts["acme"].Weight).To(Equal(float64(changes + 1)))
	}
	after := n.store.Stats()
	n.g.Expect(after.Reads).To(Equal(before.Reads))
	n.g.Expect(after.Watches - before.Watches).To(BeNumerically("<=", DefaultWatchers*(changes+3)))
}

// A failure domain whose routers cannot reach the platform must still receive changes,
// from peers in another domain.
func TestDomainWithoutPlatformFollowsPeers(t *testing.T) {
	n := newNetwork(t)
	n.store.SetFaults(standin.Faults{CutTokens: []string{blockedToken}})
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	for i := range 3 {
		n.start(ids.Instance(fmt.Sprintf("a%d", i)), "a", "a")
		n.start(ids.Instance(fmt.Sprintf("b%d", i)), "b", blockedToken)
	}
	n.waitForAll(1)
	n.waitForAll(n.put(api.KindContract, "acme", contractJSON("acme", 5)))
	n.g.Expect(n.node("b0").Snapshot().Contracts["acme"].Weight).To(Equal(5.0))
}

// All pushes are lost here. Routers must detect the missed changes from the
// heartbeats and pull them.
func TestLostPushesAreRecoveredByPulls(t *testing.T) {
	n := newNetwork(t)
	n.shouldDrop = func(_, _ ids.Instance, msg *configv1.Message) bool { return msg.GetPush() != nil }
	for i := range 4 {
		n.start(ids.Instance(fmt.Sprintf("a%d", i)), "a", "a")
	}
	n.waitForAll(0)
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	n.waitForAll(n.put(api.KindContract, "acme", contractJSON("acme", 2)))
}

// A set larger than one message must be transferred page by page.
func TestLargeSetIsTransferredInPages(t *testing.T) {
	n := newNetwork(t)
	n.store.SetFaults(standin.Faults{CutTokens: []string{blockedToken}})
	var last uint64
	for i := range 60 {
		name := fmt.Sprintf("w%02d", i)
		routes := strings.Repeat(`{"service":"`+strings.Repeat("s", 100)+`","path_prefix":"/X","class":"once-only"},`, 40)
		for j := range 40 {
			routes = strings.Replace(routes, "/X", fmt.Sprintf("/%d", j), 1)
		}
		value := strings.TrimSuffix(string(contractJSON(name, 1)), "}") + `,"routes":[` + strings.TrimSuffix(routes, ",") + `]}`
		last = n.put(api.KindContract, name, json.RawMessage(value))
	}
	n.start("a0", "a", "a")
	n.waitForAll(last)
	n.start("b0", "b", blockedToken)
	n.waitForAll(last)
	n.g.Expect(n.node("b0").Snapshot().Contracts).To(HaveLen(60))
}

// A router that starts during an outage of the platform must take the newest
// configuration from its peers, and must not become ready without any peer.
func TestStartDuringPlatformOutage(t *testing.T) {
	n := newNetwork(t)
	version := n.put(api.KindContract, "acme", contractJSON("acme", 3))
	n.start("a0", "a", "a")
	n.waitForAll(version)
	n.store.SetFaults(standin.Faults{Down: standin.DownClose})
	n.g.Eventually(func() bool { return n.node("a0").Snapshot().PlatformUp }, eventuallyTimeout, pollInterval).Should(BeFalse())
	n.start("a1", "a", "a")
	n.waitForAll(version)
	n.g.Expect(n.node("a1").Snapshot().PlatformUp).To(BeFalse())
	n.stop("a0")
	n.stop("a1")
	alone := n.start("a2", "a", "a")
	n.g.Consistently(func() bool { return alone.Snapshot().Initialized }, time.Second, pollInterval).Should(BeFalse())
	n.store.SetFaults(standin.Faults{})
	n.waitForAll(version)
}

// A router must report the platform as up again before the next change arrives: the
// first watch after a failure is held only for probeWait.
func TestEndOfPlatformOutageIsDetected(t *testing.T) {
	n := newNetwork(t)
	x := n.start("a0", "a", "a")
	n.waitForAll(0)
	up := func() bool { return x.Snapshot().PlatformUp }
	n.g.Eventually(up, eventuallyTimeout, pollInterval).Should(BeTrue())
	n.store.SetFaults(standin.Faults{Down: standin.DownClose})
	n.g.Eventually(up, eventuallyTimeout, pollInterval).Should(BeFalse())
	before := n.store.Stats().Watches
	n.store.SetFaults(standin.Faults{})
	n.g.Eventually(func() uint64 { return n.store.Stats().Watches }, eventuallyTimeout, pollInterval).Should(BeNumerically(">", before))
	n.g.Eventually(up, watchWait/2, pollInterval).Should(BeTrue())
}

// A platform that returns an older state must not revert the configuration, and the
// staleness must be reported until a current state arrives.
func TestStalePlatformStateIsIgnoredAndReported(t *testing.T) {
	n := newNetwork(t)
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	x := n.start("a0", "a", "a")
	n.waitForAll(1)
	n.store.SetFaults(standin.Faults{Stale: true})
	n.g.Expect(n.put(api.KindContract, "acme", contractJSON("acme", 2))).To(Equal(uint64(2)))
	n.store.SetFaults(standin.Faults{})
	n.waitForAll(2)
	x.results <- callResult{since: 2, revision: 1, reply: make(chan watchState, 1)}
	n.g.Eventually(func() []Problem { return x.Snapshot().Problems }, eventuallyTimeout, pollInterval).Should(HaveLen(1))
	n.g.Expect(x.Snapshot().Revision).To(Equal(uint64(2)))
	n.put(api.KindContract, "acme", contractJSON("acme", 3))
	n.g.Eventually(func() []Problem { return x.Snapshot().Problems }, eventuallyTimeout, pollInterval).Should(BeEmpty())
}

// The last valid write must stay in force after an invalid one, also on a router that
// starts later.
func TestLastValidWriteStaysInForce(t *testing.T) {
	n := newNetwork(t)
	n.put(api.KindContract, "acme", contractJSON("acme", 4))
	n.start("a0", "a", "a")
	n.waitForAll(1)
	version := n.put(api.KindContract, "acme", json.RawMessage(`{"workspace":"acme","keys":[],"weight":9}`))
	n.waitForAll(version)
	n.start("a1", "a", "a")
	n.waitForAll(version)
	for _, id := range []ids.Instance{"a0", "a1"} {
		n.g.Eventually(func() *api.Contract { return n.node(id).Snapshot().Contracts["acme"] }, eventuallyTimeout, pollInterval).ShouldNot(BeNil())
		n.g.Expect(n.node(id).Snapshot().Contracts["acme"].Weight).To(Equal(4.0))
		n.g.Expect(n.node(id).Snapshot().Problems).To(HaveLen(1))
		n.g.Expect(n.node(id).Snapshot().Problems[0].InForce).To(Equal(uint64(1)))
	}
}

// Drains mark targets and routers as draining, and a key listed in two contracts is in
// force only for the first workspace by name, until that contract is deleted.
func TestDrainsAndDuplicateKeys(t *testing.T) {
	n := newNetwork(t)
	x := n.start("a0", "a", "a")
	n.put(api.KindTarget, "e1", json.RawMessage(`{"id":"e1","kind":"engine","address":"127.0.0.1:1","domain":"a","concurrency":4}`))
	n.put(api.KindRouter, "a0", json.RawMessage(`{"id":"a0","peer_address":"127.0.0.1:2","domain":"a"}`))
	n.put(api.KindContract, "b", contractJSON("b", 1))
	duplicateKey := strings.Replace(string(contractJSON("b", 1)), `"workspace":"b"`, `"workspace":"c"`, 1)
	n.put(api.KindContract, "c", json.RawMessage(duplicateKey))
	n.put(api.KindDrain, "instance.a0", json.RawMessage(`{"of":"instance","id":"a0"}`))
	n.waitForAll(n.put(api.KindDrain, "target.e1", json.RawMessage(`{"of":"target","id":"e1"}`)))
	s := x.Snapshot()
	n.g.Expect(s.Targets["e1"].State).To(Equal(api.StateDraining))
	n.g.Expect(s.Routers["a0"].State).To(Equal(api.StateDraining))
	n.g.Expect(s.Contracts["b"].Keys).To(HaveLen(1))
	n.g.Expect(s.Contracts["c"].Keys).To(BeEmpty())
	n.g.Expect(s.Problems).To(HaveLen(1))
	version, err := n.client.Delete(context.Background(), api.KindDrain, "target.e1", platform.Condition{})
	n.g.Expect(err).NotTo(HaveOccurred())
	_, err = n.client.Delete(context.Background(), api.KindContract, "b", platform.Condition{})
	n.g.Expect(err).NotTo(HaveOccurred())
	n.waitForAll(version + 1)
	n.g.Expect(x.Snapshot().Targets["e1"].State).To(Equal(api.StateLive))
	n.g.Expect(x.Snapshot().Contracts["c"].Keys).To(HaveLen(1))
	n.g.Expect(s.Targets["e1"].State).To(Equal(api.StateDraining), "a published snapshot must not change")
}

// The relay tree must reach each router other than its root exactly once, whatever
// order the members are listed in.
func TestRelayTreeReachesEachRouterOnce(t *testing.T) {
	g := NewWithT(t)
	var members []Member
	for i := range 93 {
		members = append(members, Member{Instance: ids.Instance(fmt.Sprint(i)), Domain: "a", Draining: i == 7})
	}
	order := rankMembers("a", members)
	slices.Reverse(members)
	g.Expect(rankMembers("a", members)).To(Equal(order))
	g.Expect(order[92].Instance).To(Equal(ids.Instance("7")))
	reached := map[ids.Instance]int{}
	for i := range order {
		for _, m := range children(order, i) {
			reached[m.Instance]++
		}
	}
	g.Expect(reached).To(HaveLen(92))
	for id, n := range reached {
		g.Expect(n).To(Equal(1), string(id))
	}
}

// A restarted router has lost its revision and would accept an older state from the
// platform. It must not become ready before it has caught up with its peers, even if
// the first page of the transfer is lost.
func TestRestartWithStalePlatform(t *testing.T) {
	n := newNetwork(t)
	n.heartbeatInterval = time.Second
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	n.start("a0", "a", "a")
	n.start("a1", "a", "a")
	n.waitForAll(1)
	n.waitForAll(n.put(api.KindContract, "acme", contractJSON("acme", 2)))
	replica := standin.New(standin.Options{})
	srv := httptest.NewServer(replica)
	t.Cleanup(func() {
		n.stop("a1")
		srv.CloseClientConnections()
		srv.Close()
	})
	n.url = srv.URL
	stale := platform.New(platform.Options{URL: srv.URL})
	_, err := stale.Put(context.Background(), api.KindContract, "acme", contractJSON("acme", 1), platform.Condition{})
	n.g.Expect(err).NotTo(HaveOccurred())
	n.stop("a1")
	var lost atomic.Int32
	n.shouldDrop = func(_, _ ids.Instance, msg *configv1.Message) bool { return msg.GetPage() != nil && lost.Add(1) == 1 }
	restarted := n.start("a1", "a", "a")
	n.g.Eventually(func() bool {
		s := restarted.Snapshot()
		n.g.Expect(s.Initialized && s.Revision < 2).To(BeFalse())
		return s.Initialized
	}, eventuallyTimeout, pollInterval).Should(BeTrue())
}
