package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
	standin "github.com/umberhill/umberhill/internal/standin/platform"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

const (
	soon  = 10 * time.Second
	often = 20 * time.Millisecond
	// cutOff is a client token that the stand-in drops.
	cutOff = "cut off"
)

// network joins controllers in one process.
type network struct {
	g      *WithT
	store  *standin.Server
	url    string
	client *platform.Client

	// beatEvery is the interval of heartbeats; the first one comes at its end.
	beatEvery time.Duration

	mu    sync.Mutex
	nodes map[ids.Instance]*node
	// drop loses the messages for which it is true.
	drop func(from, to ids.Instance, msg *configv1.Message) bool
}

// node is a controller with its goroutines.
type node struct {
	*Controller
	domain ids.Domain
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

func newNetwork(t *testing.T) *network {
	t.Parallel()
	store := standin.New(standin.Options{})
	srv := httptest.NewServer(store)
	n := &network{
		g: NewWithT(t), store: store, url: srv.URL,
		client: platform.New(platform.Options{URL: srv.URL, Token: "test"}),
		nodes:  map[ids.Instance]*node{}, beatEvery: 100 * time.Millisecond,
		drop: func(ids.Instance, ids.Instance, *configv1.Message) bool { return false },
	}
	t.Cleanup(func() {
		for id := range n.nodes {
			n.stop(id)
		}
		srv.CloseClientConnections()
		srv.Close()
	})
	return n
}

// start starts a router; with a token that the stand-in drops it is cut off
// from the platform.
func (n *network) start(id ids.Instance, domain ids.Domain, token string) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := &node{domain: domain}
	x.Controller = New(Options{
		Self: id, Domain: domain, Logger: logrus.NewEntry(log),
		Platform: platform.New(platform.Options{URL: n.url, Token: token}),
		Send:     func(to ids.Instance, msg *configv1.Message) { n.send(id, to, msg) },
		Live:     func() []Member { return n.members(id) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	x.wg.Go(func() { _ = x.Run(ctx) })
	x.wg.Go(func() { n.beat(ctx, x) })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = x
	return x
}

func (n *network) stop(id ids.Instance) {
	n.mu.Lock()
	x := n.nodes[id]
	delete(n.nodes, id)
	n.mu.Unlock()
	x.cancel()
	x.wg.Wait()
}

// beat stands for the heartbeats of the peer links.
func (n *network) beat(ctx context.Context, x *node) {
	for sleep(ctx, n.beatEvery); ctx.Err() == nil; sleep(ctx, n.beatEvery) {
		for _, m := range n.members(x.opts.Self) {
			if peer := n.node(m.Instance); peer != nil {
				peer.PeerRevision(x.opts.Self, x.Snapshot().Revision)
			}
		}
	}
}

func (n *network) node(id ids.Instance) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[id]
}

func (n *network) members(self ids.Instance) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Member
	for id, x := range n.nodes {
		if id != self {
			out = append(out, Member{Instance: id, Domain: x.domain, Watcher: x.Watching()})
		}
	}
	return out
}

func (n *network) send(from, to ids.Instance, msg *configv1.Message) {
	peer := n.node(to)
	if peer != nil && !n.drop(from, to, msg) {
		peer.Receive(from, msg)
	}
}

// contract returns a contract's JSON. All workspaces have different keys.
func contractJSON(ws string, weight int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"workspace":%q,"weight":%d,"keys":[{"id":"k","sha256":"%064x"}]}`, ws, weight, []byte(ws)))
}

func (n *network) put(kind api.Kind, name string, value json.RawMessage) uint64 {
	obj, err := n.client.Put(context.Background(), kind, name, value, platform.Condition{})
	n.g.Expect(err).NotTo(HaveOccurred())
	return obj.Version
}

// everywhere waits until all routers have a revision in force.
func (n *network) everywhere(revision uint64) {
	n.g.Eventually(func() []ids.Instance {
		n.mu.Lock()
		defer n.mu.Unlock()
		var behind []ids.Instance
		for id, x := range n.nodes {
			if s := x.Snapshot(); !s.Known || s.Revision < revision {
				behind = append(behind, id)
			}
		}
		return behind
	}, soon, often).Should(BeEmpty())
}

func (n *network) watching() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, x := range n.nodes {
		if x.Watching() {
			count++
		}
	}
	return count
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

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
	n.store.SetFaults(standin.Faults{Cut: []string{cutOff}})
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
	n.store.SetFaults(standin.Faults{Cut: []string{cutOff}})
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
