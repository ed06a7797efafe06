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
	for pause.Sleep(ctx, n.beatEvery); ctx.Err() == nil; pause.Sleep(ctx, n.beatEvery) {
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
