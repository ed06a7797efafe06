package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/peer"
)

// A stream that a caller resumes, and of which no router knows where it began, may go on if its
// service has had one software version only. It began at a target that some router had read
// in the store before the caller came. A list that was read before that may lack the target, so
// that only a read which begins afterwards counts, by this router or by a peer that is asked.

const (
	// methodOnlyVersion is the method of calls that make the peer read the list of targets.
	// They return the one software version at which streams of a service may have begun.
	methodOnlyVersion = "only-version"
	// evidenceTimeout bounds the wait for such reads, so that a caller is refused within about
	// half a second, askTimeout included.
	evidenceTimeout = 400 * time.Millisecond
	// listReadInterval is the least time between two reads of the store by one router. It
	// bounds what resumptions cost, and is short beside the pause that their callers have seen.
	listReadInterval = 100 * time.Millisecond
	// ownReadDelay is how long a router awaits its own read before it lets peers read:
	// listReadInterval, and the read. hubReadDelay is how long a follower awaits its hub's before
	// it reads itself: a call in progress and the next one, each of that length.
	ownReadDelay = 150 * time.Millisecond
	hubReadDelay = 2*listReadInterval + 50*time.Millisecond
	// maxReadingPeers bounds the peers that are asked to read, some of which may be cut off from
	// the store too.
	maxReadingPeers = 3
)

// errNotOneVersion means that streams of the service may have begun at several versions, or
// that none is known.
var errNotOneVersion = errors.New("the service has not had exactly one software version")

// versionFinding is the one version of a service, as far as the evidence tells.
type versionFinding struct {
	version  string
	evidence edge.Evidence
	err      error
}

// onlyVersion returns the one software version at which streams of a service may have begun
// before now. It reads the list of targets or lets peers read it, the other way as well if
// the first one takes long or fails. The error is errNotOneVersion if there is no such version.
func (o *streamOrigins) onlyVersion(ctx context.Context, service string) versionFinding {
	if len(o.versions(service)) > 1 {
		return versionFinding{err: errNotOneVersion}
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	ways, delay := []func(context.Context, string) versionFinding{o.readOnlyVersion, o.askOnlyVersion}, ownReadDelay
	if f := o.node.fleet; f != nil && f.plan.Load().IsFollower() {
		slices.Reverse(ways)
		delay = hubReadDelay
	}
	findings := make(chan versionFinding, len(ways))
	awaited := 0
	next := func() {
		if awaited < len(ways) {
			way := ways[awaited]
			awaited++
			go func() { findings <- way(ctx, service) }()
		}
	}
	next()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed error
	for ended := 0; ended < awaited; {
		select {
		case <-timer.C:
			next()
		case f := <-findings:
			ended++
			if f.err == nil && o.contradicts(service, f.version) {
				f.err = errNotOneVersion
			}
			if f.err == nil || errors.Is(f.err, errNotOneVersion) {
				return f
			}
			failed = errors.CombineErrors(failed, f.err)
			next()
		}
	}
	return versionFinding{err: failed}
}

// versions returns the versions of a service that are listed, or were within streams.TTL.
func (o *streamOrigins) versions(service string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Versions(time.Now(), service)
}

// contradicts reports whether this router has listed another version of the service.
func (o *streamOrigins) contradicts(service, version string) bool {
	return slices.ContainsFunc(o.versions(service), func(v string) bool { return v != version })
}

// readOnlyVersion reads the list of targets. What was listed before, as far as this router does
// not remember it, peers and the record of releases tell.
func (o *streamOrigins) readOnlyVersion(ctx context.Context, service string) versionFinding {
	if err := o.node.refreshNow(ctx); err != nil {
		return versionFinding{err: errors.Wrap(err, "read the list of targets")}
	}
	now := time.Now()
	o.mu.Lock()
	versions, remembers := o.table.Versions(now, service), o.table.RemembersListed(now)
	o.mu.Unlock()
	if len(versions) != 1 {
		return versionFinding{err: errNotOneVersion}
	}
	if !remembers {
		if err := o.checkHadOneVersion(ctx, service); err != nil {
			return versionFinding{err: err}
		}
	}
	return versionFinding{version: versions[0], evidence: edge.EvidenceRead}
}

// askOnlyVersion lets peers read the list of targets. Concurrent callers share the calls.
func (o *streamOrigins) askOnlyVersion(ctx context.Context, service string) versionFinding {
	found, err := o.versionCalls.do(ctx, service, func(ctx context.Context) (any, error) {
		ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
		defer cancel()
		return o.callOnlyVersion(ctx, service)
	})
	if err != nil {
		return versionFinding{err: errors.Wrap(err, "let peers read the list of targets")}
	}
	return versionFinding{version: found.(string), evidence: edge.EvidencePeerRead} //nolint:forcetypeassert // callOnlyVersion returns a string
}

// callOnlyVersion returns the first answer of a peer that can tell.
func (o *streamOrigins) callOnlyVersion(ctx context.Context, service string) (string, error) {
	f := o.node.fleet
	if f == nil {
		return "", errors.New("no peers")
	}
	peers := f.readingPeers()
	findings := make(chan versionFinding, len(peers))
	for _, p := range peers {
		go func() {
			version, err := f.callVersion(ctx, p, service)
			findings <- versionFinding{version: version, err: err}
		}()
	}
	failed := errors.New("no peer can tell")
	for range peers {
		found := <-findings
		if found.err == nil || errors.Is(found.err, errNotOneVersion) {
			return found.version, found.err
		}
		failed = errors.CombineErrors(failed, found.err)
	}
	return "", failed
}

// callVersion calls methodOnlyVersion at a peer.
func (f *fleet) callVersion(ctx context.Context, p peer.Peer, service string) (string, error) {
	raw, err := f.mesh.Call(ctx, p.Instance, methodOnlyVersion, []byte(service))
	if err != nil {
		return "", err
	}
	var origin fleetv1.Origin
	if err := proto.Unmarshal(raw, &origin); err != nil {
		return "", errors.Wrapf(err, "decode the response of %s", p.Instance)
	}
	if origin.GetService() != service {
		return "", errNotOneVersion
	}
	return origin.GetSoftwareVersion(), nil
}

// readingPeers returns the peers to ask for a read of the store: a follower's preferred hub, or
// peers that are the same for all routers, as far as possible. Routers thus share the reads.
func (f *fleet) readingPeers() []peer.Peer {
	plan, live := f.plan.Load(), f.mesh.Live()
	if plan.IsFollower() {
		preferred := plan.PreferredHub(f.node.settings.Domain, f.isLive)
		return slices.DeleteFunc(live, func(p peer.Peer) bool { return p.Instance != preferred })
	}
	peers := slices.DeleteFunc(live, func(p peer.Peer) bool {
		return p.Draining || !plan.FullMesh && !plan.IsHub(p.Domain, p.Instance)
	})
	weight := func(p peer.Peer) uint64 { return rendezvous.Mix(xxhash.Sum64String(string(p.Instance))) }
	slices.SortFunc(peers, func(a, b peer.Peer) int { return cmp.Compare(weight(b), weight(a)) })
	return peers[:min(len(peers), maxReadingPeers)]
}

// serveOnlyVersion returns the response to a call of methodOnlyVersion: an origin, which is
// empty if there is not exactly one version.
func (o *streamOrigins) serveOnlyVersion(ctx context.Context, service string) ([]byte, error) {
	if service == "" {
		return nil, errors.New("only version of a service: no service named")
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	found := o.readOnlyVersion(ctx, service)
	switch {
	case errors.Is(found.err, errNotOneVersion):
		return proto.Marshal(&fleetv1.Origin{})
	case found.err != nil:
		return nil, found.err
	}
	return proto.Marshal(&fleetv1.Origin{Service: service, SoftwareVersion: found.version})
}
