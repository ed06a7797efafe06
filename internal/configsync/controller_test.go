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

func TestChangeReachesAllRoutersByTwoWatchers(t *testing.T) {
	n := newNetwork(t)
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	for i := range 7 {
		n.start(ids.Instance(fmt.Sprintf("a%d", i)), "a", "a")
	}
	n.everywhere(1)
	n.g.Eventually(n.watching, soon, often).Should(Equal(DefaultWatchers))
	before := n.store.Stats()
	const changes = 10
	for i := range changes {
		n.everywhere(n.put(api.KindContract, "acme", contractJSON("acme", i+2)))
	}
	for _, x := range n.nodes {
		n.g.Expect(x.Snapshot().Contracts["acme"].Weight).To(Equal(float64(changes + 1)))
	}
	after := n.store.Stats()
	n.g.Expect(after.Reads).To(Equal(before.Reads))
	n.g.Expect(after.Watches - before.Watches).To(BeNumerically("<=", DefaultWatchers*(changes+3)))
}

func TestDomainCutFromPlatformFollowsItsPeers(t *testing.T) {
	n := newNetwork(t)
	n.store.SetFaults(standin.Faults{CutTokens: []string{cutOff}})
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	for i := range 3 {
		n.start(ids.Instance(fmt.Sprintf("a%d", i)), "a", "a")
		n.start(ids.Instance(fmt.Sprintf("b%d", i)), "b", cutOff)
	}
	n.everywhere(1)
	n.everywhere(n.put(api.KindContract, "acme", contractJSON("acme", 5)))
	n.g.Expect(n.node("b0").Snapshot().Contracts["acme"].Weight).To(Equal(5.0))
}

func TestLostPushesAreMadeUpForByPulls(t *testing.T) {
	n := newNetwork(t)
	n.drop = func(_, _ ids.Instance, msg *configv1.Message) bool { return msg.GetPush() != nil }
	for i := range 4 {
		n.start(ids.Instance(fmt.Sprintf("a%d", i)), "a", "a")
	}
	n.everywhere(0)
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	n.everywhere(n.put(api.KindContract, "acme", contractJSON("acme", 2)))
}

// A set of many messages' size passes page by page.
func TestLargeSetPassesInPages(t *testing.T) {
	n := newNetwork(t)
	n.store.SetFaults(standin.Faults{CutTokens: []string{cutOff}})
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
	n.everywhere(last)
	n.start("b0", "b", cutOff)
	n.everywhere(last)
	n.g.Expect(n.node("b0").Snapshot().Contracts).To(HaveLen(60))
}

// During an outage a starting router takes the newest from its peers, and has
// nothing in force without them.
func TestStartDuringOutage(t *testing.T) {
	n := newNetwork(t)
	version := n.put(api.KindContract, "acme", contractJSON("acme", 3))
	n.start("a0", "a", "a")
	n.everywhere(version)
	n.store.SetFaults(standin.Faults{Down: standin.DownClose})
	n.g.Eventually(func() bool { return n.node("a0").Snapshot().PlatformUp }, soon, often).Should(BeFalse())
	n.start("a1", "a", "a")
	n.everywhere(version)
	n.g.Expect(n.node("a1").Snapshot().PlatformUp).To(BeFalse())
	n.stop("a0")
	n.stop("a1")
	alone := n.start("a2", "a", "a")
	n.g.Consistently(func() bool { return alone.Snapshot().Known }, time.Second, often).Should(BeFalse())
	n.store.SetFaults(standin.Faults{})
	n.everywhere(version)
}

// A router knows that the platform is back without waiting for a change.
func TestEndOfOutageIsSeen(t *testing.T) {
	n := newNetwork(t)
	x := n.start("a0", "a", "a")
	n.everywhere(0)
	up := func() bool { return x.Snapshot().PlatformUp }
	n.g.Eventually(up, soon, often).Should(BeTrue())
	n.store.SetFaults(standin.Faults{Down: standin.DownClose})
	n.g.Eventually(up, soon, often).Should(BeFalse())
	before := n.store.Stats().Watches
	n.store.SetFaults(standin.Faults{})
	n.g.Eventually(func() uint64 { return n.store.Stats().Watches }, soon, often).Should(BeNumerically(">", before))
	n.g.Eventually(up, watchWait/2, often).Should(BeTrue())
}

func TestStaleStoreIsIgnoredAndReported(t *testing.T) {
	n := newNetwork(t)
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	x := n.start("a0", "a", "a")
	n.everywhere(1)
	n.store.SetFaults(standin.Faults{Stale: true})
	n.g.Expect(n.put(api.KindContract, "acme", contractJSON("acme", 2))).To(Equal(uint64(2)))
	n.store.SetFaults(standin.Faults{})
	n.everywhere(2)
	x.results <- result{since: 2, revision: 1, taken: make(chan verdict, 1)}
	n.g.Eventually(func() []Problem { return x.Snapshot().Problems }, soon, often).Should(HaveLen(1))
	n.g.Expect(x.Snapshot().Revision).To(Equal(uint64(2)))
	n.put(api.KindContract, "acme", contractJSON("acme", 3))
	n.g.Eventually(func() []Problem { return x.Snapshot().Problems }, soon, often).Should(BeEmpty())
}

// The last valid write stays in force, also on a router that starts after the
// invalid one.
func TestInvalidObjectLeavesLastGood(t *testing.T) {
	n := newNetwork(t)
	n.put(api.KindContract, "acme", contractJSON("acme", 4))
	n.start("a0", "a", "a")
	n.everywhere(1)
	version := n.put(api.KindContract, "acme", json.RawMessage(`{"workspace":"acme","keys":[],"weight":9}`))
	n.everywhere(version)
	n.start("a1", "a", "a")
	n.everywhere(version)
	for _, id := range []ids.Instance{"a0", "a1"} {
		n.g.Eventually(func() *api.Contract { return n.node(id).Snapshot().Contracts["acme"] }, soon, often).ShouldNot(BeNil())
		n.g.Expect(n.node(id).Snapshot().Contracts["acme"].Weight).To(Equal(4.0))
		n.g.Expect(n.node(id).Snapshot().Problems).To(HaveLen(1))
		n.g.Expect(n.node(id).Snapshot().Problems[0].InForce).To(Equal(uint64(1)))
	}
}

func TestDrainsAndKeys(t *testing.T) {
	n := newNetwork(t)
	x := n.start("a0", "a", "a")
	n.put(api.KindTarget, "e1", json.RawMessage(`{"id":"e1","kind":"engine","address":"127.0.0.1:1","domain":"a","concurrency":4}`))
	n.put(api.KindRouter, "a0", json.RawMessage(`{"id":"a0","peer_address":"127.0.0.1:2","domain":"a"}`))
	n.put(api.KindContract, "b", contractJSON("b", 1))
	stolen := strings.Replace(string(contractJSON("b", 1)), `"workspace":"b"`, `"workspace":"c"`, 1)
	n.put(api.KindContract, "c", json.RawMessage(stolen))
	n.put(api.KindDrain, "instance.a0", json.RawMessage(`{"of":"instance","id":"a0"}`))
	n.everywhere(n.put(api.KindDrain, "target.e1", json.RawMessage(`{"of":"target","id":"e1"}`)))
	s := x.Snapshot()
	n.g.Expect(s.Targets["e1"].State).To(Equal(api.StateLeaving))
	n.g.Expect(s.Routers["a0"].State).To(Equal(api.StateLeaving))
	n.g.Expect(s.Contracts["b"].Keys).To(HaveLen(1))
	n.g.Expect(s.Contracts["c"].Keys).To(BeEmpty())
	n.g.Expect(s.Problems).To(HaveLen(1))
	version, err := n.client.Delete(context.Background(), api.KindDrain, "target.e1", platform.Condition{})
	n.g.Expect(err).NotTo(HaveOccurred())
	_, err = n.client.Delete(context.Background(), api.KindContract, "b", platform.Condition{})
	n.g.Expect(err).NotTo(HaveOccurred())
	n.everywhere(version + 1)
	n.g.Expect(x.Snapshot().Targets["e1"].State).To(Equal(api.StateLive))
	n.g.Expect(x.Snapshot().Contracts["c"].Keys).To(HaveLen(1))
	n.g.Expect(s.Targets["e1"].State).To(Equal(api.StateLeaving), "a snapshot never changes")
}

func TestTreeReachesEachRouterOnce(t *testing.T) {
	g := NewWithT(t)
	var members []Member
	for i := range 93 {
		members = append(members, Member{Instance: ids.Instance(fmt.Sprint(i)), Domain: "a", Draining: i == 7})
	}
	order := ranked("a", members)
	slices.Reverse(members)
	g.Expect(ranked("a", members)).To(Equal(order))
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

// A router without memory does not go back where the platform answers with an
// older state: it is not ready before it has caught up with its peers.
func TestRestartWithStaleStore(t *testing.T) {
	n := newNetwork(t)
	n.beatEvery = time.Second
	n.put(api.KindContract, "acme", contractJSON("acme", 1))
	n.start("a0", "a", "a")
	n.start("a1", "a", "a")
	n.everywhere(1)
	n.everywhere(n.put(api.KindContract, "acme", contractJSON("acme", 2)))
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
	n.drop = func(_, _ ids.Instance, msg *configv1.Message) bool { return msg.GetPage() != nil && lost.Add(1) == 1 }
	restarted := n.start("a1", "a", "a")
	n.g.Eventually(func() bool {
		s := restarted.Snapshot()
		n.g.Expect(s.Known && s.Revision < 2).To(BeFalse())
		return s.Known
	}, soon, often).Should(BeTrue())
}
