package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/pause"
	"github.com/umberhill/umberhill/internal/platform"
	standin "github.com/umberhill/umberhill/internal/standin/platform"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

const (
	eventuallyTimeout = 10 * time.Second
	pollInterval      = 20 * time.Millisecond
	// blockedToken is the token of a client whose connections the stand-in cuts.
	blockedToken = "cut off"
)

// network connects controllers in one process to each other and to a stand-in of the
// platform.
type network struct {
	g      *WithT
	store  *standin.Server
	url    string
	client *platform.Client

	// heartbeatInterval is the interval of heartbeats and the delay of the first one.
	heartbeatInterval time.Duration

	mu    sync.Mutex
	nodes map[ids.Instance]*node
	// shouldDrop reports whether to drop a message.
	shouldDrop func(from, to ids.Instance, msg *configv1.Message) bool
}

// node is a controller and its goroutines.
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
		nodes:  map[ids.Instance]*node{}, heartbeatInterval: 100 * time.Millisecond,
		shouldDrop: func(ids.Instance, ids.Instance, *configv1.Message) bool { return false },
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

// start starts a router. With blockedToken, and a stand-in that cuts it, the router
// cannot reach the platform.
func (n *network) start(id ids.Instance, domain ids.Domain, token string) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := &node{domain: domain}
	x.Controller = New(Options{
		Self: id, Domain: domain, Logger: logrus.NewEntry(log),
		Platform:  platform.New(platform.Options{URL: n.url, Token: token}),
		Send:      func(to ids.Instance, msg *configv1.Message) { n.send(id, to, msg) },
		LivePeers: func() []Member { return n.members(id) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	x.wg.Go(func() { _ = x.Run(ctx) })
	x.wg.Go(func() { n.sendHeartbeats(ctx, x) })
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

// sendHeartbeats announces the node's revision to its peers, as the heartbeats of the
// peer links do.
func (n *network) sendHeartbeats(ctx context.Context, x *node) {
	for pause.Sleep(ctx, n.heartbeatInterval); ctx.Err() == nil; pause.Sleep(ctx, n.heartbeatInterval) {
		for _, m := range n.members(x.opts.Self) {
			if peer := n.node(m.Instance); peer != nil {
				peer.SetPeerRevision(x.opts.Self, x.Snapshot().Revision)
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
			out = append(out, Member{Instance: id, Domain: x.domain, Watcher: x.IsWatching()})
		}
	}
	return out
}

func (n *network) send(from, to ids.Instance, msg *configv1.Message) {
	peer := n.node(to)
	if peer != nil && !n.shouldDrop(from, to, msg) {
		peer.Receive(from, msg)
	}
}

// contractJSON returns the JSON of a contract. Each workspace has a different key.
func contractJSON(ws string, weight int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"workspace":%q,"weight":%d,"keys":[{"id":"k","sha256":"%064x"}]}`, ws, weight, []byte(ws)))
}

func (n *network) put(kind api.Kind, name string, value json.RawMessage) uint64 {
	obj, err := n.client.Put(context.Background(), kind, name, value, platform.Condition{})
	n.g.Expect(err).NotTo(HaveOccurred())
	return obj.Version
}

// waitForAll waits until all routers have the revision in force.
func (n *network) waitForAll(revision uint64) {
	n.g.Eventually(func() []ids.Instance {
		n.mu.Lock()
		defer n.mu.Unlock()
		var behind []ids.Instance
		for id, x := range n.nodes {
			if s := x.Snapshot(); !s.Initialized || s.Revision < revision {
				behind = append(behind, id)
			}
		}
		return behind
	}, eventuallyTimeout, pollInterval).Should(BeEmpty())
}

func (n *network) countWatching() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, x := range n.nodes {
		if x.IsWatching() {
			count++
		}
	}
	return count
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}
