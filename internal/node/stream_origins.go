package node

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/streams"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// methodStream is the method of calls that return where a stream began, as far as the
	// peer or, if it is a hub, another hub knows; methodOwnStream is the same without
	// asking other routers.
	methodStream    = "stream"
	methodOwnStream = "own-stream"
	// methodVersions is the method of calls that return whether streams of a service may have
	// begun at several software versions, as far as the peer remembers.
	methodVersions = "service-versions"
	// askTimeout bounds the wait for peers that are asked for the origin of a stream. A
	// follower's hub asks other hubs within it.
	askTimeout = 150 * time.Millisecond
	// listAgeSlack is how much older the list may be than the age at which the last router
	// reads it again: the time of that read, and of the reports that tell of it.
	listAgeSlack = 500 * time.Millisecond
	// maxAsks bounds the streams whose origins are asked for at the same time.
	maxAsks = 64
	// unknownLogInterval is the least time between two log lines on streams whose origin cannot
	// be told, as while the store is down.
	unknownLogInterval = time.Second
)

// streamOrigins shares the origins of streams with other routers. It implements
// edge.StreamOrigins.
type streamOrigins struct {
	node *Node
	// asks has an element for each origin that is being asked for.
	asks chan struct{}

	// versionCalls are the calls that let peers read the list of targets, by service.
	versionCalls *freshCalls

	mu    sync.Mutex
	table *streams.Table
	// loggedAt is when it was last logged that an origin cannot be told.
	loggedAt time.Time
}

func newStreamOrigins(n *Node) *streamOrigins {
	remembersSince := n.createdAt
	if n.settings.FirstStart {
		remembersSince = remembersSince.Add(-streams.TTL)
	}
	maxListAge := n.refreshAgeOf(maxRefreshRank) + listAgeSlack
	return &streamOrigins{node: n, asks: make(chan struct{}, maxAsks), versionCalls: newFreshCalls(0), table: streams.New(remembersSince, maxListAge)}
}

// recordComplete records that the list of targets in force is complete as of a time.
func (o *streamOrigins) recordComplete(at time.Time) {
	now := time.Now()
	o.mu.Lock()
	before := o.table.RemembersSince()
	o.table.RecordComplete(now, at)
	wasInterrupted := o.table.RemembersSince() != before
	o.mu.Unlock()
	if wasInterrupted {
		o.node.logger.Info("list of targets is current again; streams of unknown origin are asked for")
	}
}

// Record implements edge.StreamOrigins.
func (o *streamOrigins) Record(request string, origin streams.Origin, isSplit bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.RecordOwn(time.Now(), streams.Note{Stream: streams.NewID(request), Origin: origin}, isSplit)
}

// Find implements edge.StreamOrigins.
func (o *streamOrigins) Find(ctx context.Context, request, service string, isSplit bool) (streams.Origin, edge.Evidence, bool) {
	now := time.Now()
	if request != "" {
		id := streams.NewID(request)
		o.mu.Lock()
		origin, known := o.table.Origin(now, id)
		o.mu.Unlock()
		if known {
			return origin, edge.EvidenceNote, true
		}
		if origin, known = o.ask(ctx, id); known {
			return origin, edge.EvidencePeerNote, true
		}
	}
	if isSplit {
		return streams.Origin{}, "", false
	}
	found := o.onlyVersion(ctx, service)
	if found.err != nil {
		o.logUnknown(service, time.Since(now), found.err)
		return streams.Origin{}, "", false
	}
	return streams.Origin{Service: service, Version: found.version}, found.evidence, true
}

// logUnknown logs, once in unknownLogInterval, why it cannot be told where a stream began. That
// there were several versions is no failure.
func (o *streamOrigins) logUnknown(service string, took time.Duration, err error) {
	if errors.Is(err, errNotOneVersion) {
		return
	}
	now := time.Now()
	o.mu.Lock()
	isDue := now.Sub(o.loggedAt) >= unknownLogInterval
	if isDue {
		o.loggedAt = now
	}
	o.mu.Unlock()
	if isDue {
		o.node.logger.WithError(err).WithFields(logrus.Fields{
			"step": "find the origin of a stream", "service": service, "took_ms": took.Milliseconds(),
		}).Warn("cannot tell at which version a stream began; it is not resumed")
	}
}

// setTargets records which software versions are listed.
func (o *streamOrigins) setTargets(all []routing.Target) {
	listed := make(map[string]map[string]bool)
	for _, t := range all {
		if listed[t.Service] == nil {
			listed[t.Service] = make(map[string]bool)
		}
		listed[t.Service][t.SoftwareVersion] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetListed(time.Now(), listed)
}

// addTo adds the notes that peers have not received to a report.
func (o *streamOrigins) addTo(r *fleetv1.Report) {
	o.mu.Lock()
	notes := o.table.TakeNotes(time.Now())
	o.mu.Unlock()
	index := make(map[streams.Origin]uint32)
	for _, n := range notes {
		i, listed := index[n.Origin]
		if !listed {
			i = uint32(len(r.Origins))
			index[n.Origin] = i
			r.Origins = append(r.Origins, &fleetv1.Origin{Service: n.Service, SoftwareVersion: n.Version})
		}
		r.StreamIds = append(r.StreamIds, uint64(n.Stream))
		r.StreamOrigins = append(r.StreamOrigins, i)
	}
}

// Publish implements edge.StreamOrigins.
func (o *streamOrigins) Publish() {
	f := o.node.fleet
	if f == nil {
		return
	}
	r := &fleetv1.Report{Scope: fleetv1.Scope_SCOPE_STREAMS}
	if o.addTo(r); len(r.StreamIds) == 0 {
		return
	}
	f.setRevisions(r)
	f.broadcast(r, func(peer.Peer) bool { return true })
}

// receive records the notes of a peer's report. Notes without a valid origin are dropped.
func (o *streamOrigins) receive(r *fleetv1.Report) {
	if len(r.GetStreamIds()) == 0 || len(r.GetStreamIds()) != len(r.GetStreamOrigins()) {
		return
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, id := range r.GetStreamIds() {
		if n := int(r.GetStreamOrigins()[i]); n < len(r.GetOrigins()) {
			origin := r.GetOrigins()[n]
			o.table.Record(now, streams.Note{
				Stream: streams.ID(id), Origin: streams.Origin{Service: origin.GetService(), Version: origin.GetSoftwareVersion()},
			})
		}
	}
}

// ask asks the live peers where a stream began.
func (o *streamOrigins) ask(ctx context.Context, id streams.ID) (streams.Origin, bool) {
	f := o.node.fleet
	if f == nil {
		return streams.Origin{}, false
	}
	return o.askPeers(ctx, id, methodStream, f.mesh.Live())
}

// askPeers returns the first origin that one of the peers knows.
func (o *streamOrigins) askPeers(ctx context.Context, id streams.ID, method string, peers []peer.Peer) (streams.Origin, bool) {
	select {
	case o.asks <- struct{}{}:
		defer func() { <-o.asks }()
	default:
		return streams.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	found := make(chan streams.Origin, len(peers))
	var calls conc.WaitGroup
	for _, p := range peers {
		calls.Go(func() {
			raw, err := o.node.fleet.mesh.Call(ctx, p.Instance, method, binary.BigEndian.AppendUint64(nil, uint64(id)))
			var origin fleetv1.Origin
			if err == nil && proto.Unmarshal(raw, &origin) == nil {
				found <- streams.Origin{Service: origin.GetService(), Version: origin.GetSoftwareVersion()}
			}
		})
	}
	go func() {
		calls.Wait()
		close(found)
	}()
	origin, known := <-found
	if known {
		o.mu.Lock()
		o.table.Record(time.Now(), streams.Note{Stream: id, Origin: origin})
		o.mu.Unlock()
	}
	return origin, known
}

// serve returns the response to a call for the origin of a stream. A hub that does not know
// it asks the hubs of other failure domains.
func (o *streamOrigins) serve(ctx context.Context, from peer.Peer, method string, body []byte) ([]byte, error) {
	if len(body) != 8 {
		return nil, errors.Newf("stream id: got %d bytes, want 8", len(body))
	}
	id := streams.ID(binary.BigEndian.Uint64(body))
	o.mu.Lock()
	origin, known := o.table.Origin(time.Now(), id)
	o.mu.Unlock()
	if plan := o.node.fleet.plan.Load(); !known && method == methodStream && plan.Hub && from.Domain == o.node.settings.Domain {
		var hubs []peer.Peer
		for _, p := range o.node.fleet.mesh.Live() {
			if p.Instance != from.Instance && plan.IsHub(p.Domain, p.Instance) {
				hubs = append(hubs, p)
			}
		}
		origin, known = o.askPeers(ctx, id, methodOwnStream, hubs)
	}
	if !known {
		return nil, errors.New("unknown stream")
	}
	return proto.Marshal(&fleetv1.Origin{Service: origin.Service, SoftwareVersion: origin.Version})
}
