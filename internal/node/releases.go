package node

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
)

// ReleaseRecord tells which services have had several software versions at a time, also
// before all routers started.
type ReleaseRecord interface {
	// HasSeveralVersions reports whether the record has the service, as of a read that began
	// after a time. It may call the platform until ctx ends.
	HasSeveralVersions(ctx context.Context, service string, after time.Time) (bool, error)
}

// SetReleaseRecord sets the record of releases. It must be called before Run.
func (n *Node) SetReleaseRecord(r ReleaseRecord) { n.releaseRecord = r }

// MixedServices returns the services of which streams may have begun at several software
// versions, and whether this router has run long enough to know all of them.
func (n *Node) MixedServices() (services []string, isComplete bool) {
	o := n.streamOrigins
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Mixed(now), o.table.RemembersListed(now)
}

// RecordWriterRank returns this router's place among those that keep the records of releases
// and of crashes, from 0, and false if it is none of them. The first hubs or routers by name
// are, once they have read the list of routers.
func (n *Node) RecordWriterRank() (rank int, isWriter bool) {
	if n.fleet == nil {
		return 0, true
	}
	plan := n.fleet.plan.Load()
	if plan.IsFollower() || !n.fleet.hasRouterList.Load() {
		return 0, false
	}
	var candidates []ids.Instance
	for _, p := range n.fleet.mesh.Live() {
		if !p.Draining && (plan.FullMesh || plan.IsHub(p.Domain, p.Instance)) {
			candidates = append(candidates, p.Instance)
		}
	}
	return member.RecordWriterRank(n.settings.Instance, candidates)
}

// Answers to a call of methodVersions.
const (
	answerOneVersion      = "one"
	answerSeveralVersions = "several"
	answerUnknownVersions = "unknown"
)

// checkHadOneVersion returns no error if all streams of the service that callers may resume
// began at the version that is listed: live peers remember so, or the record of releases has no
// other version. It returns errNotOneVersion if there were several.
func (o *streamOrigins) checkHadOneVersion(ctx context.Context, service string) error {
	answers := o.askVersions(ctx, service)
	switch {
	case slices.Contains(answers, answerSeveralVersions):
		return errNotOneVersion
	case slices.Contains(answers, answerOneVersion):
		return nil
	}
	record := o.node.releaseRecord
	if record == nil {
		return nil
	}
	o.mu.Lock()
	since := o.table.RemembersSince()
	o.mu.Unlock()
	several, err := record.HasSeveralVersions(ctx, service, since)
	switch {
	case err != nil:
		return errors.Wrap(err, "read the record of releases")
	case several:
		return errNotOneVersion
	}
	return nil
}

// askVersions returns the answers of live peers about the versions of a service.
func (o *streamOrigins) askVersions(ctx context.Context, service string) []string {
	f := o.node.fleet
	if f == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := f.mesh.Live()
	answers := make([]string, len(peers))
	var calls conc.WaitGroup
	for i, p := range peers {
		calls.Go(func() { answers[i] = f.callVersions(ctx, p, service) })
	}
	calls.Wait()
	return answers
}

func (f *fleet) callVersions(ctx context.Context, p peer.Peer, service string) string {
	raw, err := f.mesh.Call(ctx, p.Instance, methodVersions, []byte(service))
	if err != nil {
		// A router of an earlier release does not know the method.
		return answerUnknownVersions
	}
	return string(raw)
}

// serveVersions returns the response to a call of methodVersions.
func (o *streamOrigins) serveVersions(service string) ([]byte, error) {
	if service == "" {
		return nil, errors.New("versions of a service: no service named")
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.table.IsMixed(now, service):
		return []byte(answerSeveralVersions), nil
	case o.table.RemembersListed(now):
		return []byte(answerOneVersion), nil
	}
	return []byte(answerUnknownVersions), nil
}
