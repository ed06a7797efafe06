package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
)

// pullRequest records that a peer holds a newer configuration or list of targets.
type pullRequest struct {
	peer   ids.Instance
	method string
	// revision is the revision that the peer holds.
	revision uint64
}

// revisionOf returns the revision of the state that this router holds and that the
// given method returns, 0 for none.
func (f *fleet) revisionOf(method string) uint64 {
	if method == methodTargets {
		return f.node.targetsAsOf.Load()
	}
	if c := f.node.Config(); c != nil {
		return c.Version
	}
	return 0
}

// requestPull queues a pull if the peer's revision is newer than this router's.
func (f *fleet) requestPull(req pullRequest) {
	if req.revision <= f.revisionOf(req.method) {
		return
	}
	select {
	case f.pullRequests <- req:
	default:
		// The queue is full. The peer's next report contains the revision again.
	}
}

// Serve implements peer.Handler.
func (f *fleet) Serve(ctx context.Context, from peer.Peer, method string, body []byte) ([]byte, error) {
	switch method {
	case methodStream, methodOwnStream:
		return f.node.streamOrigins.serve(ctx, from, method, body)
	case methodVersions:
		return f.node.streamOrigins.serveVersions(string(body))
	case methodOnlyVersion:
		return f.node.streamOrigins.serveOnlyVersion(ctx, string(body))
	case methodConfig:
		if c := f.node.Config(); c != nil {
			return c.Raw, nil
		}
		return nil, errors.New("no configuration yet")
	case methodTargets:
		list := f.node.directory.list(ctx)
		if list == nil {
			return nil, errors.New("no list of targets")
		}
		return proto.Marshal(list)
	}
	return nil, errors.Newf("unknown method %q", method)
}

// pull fetches newer state from peers until ctx ends. Peers may reach the platform's
// store while this router does not.
func (f *fleet) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-f.pullRequests:
			f.pullFromPeer(ctx, req)
		}
	}
}

func (f *fleet) pullFromPeer(ctx context.Context, req pullRequest) {
	if req.revision <= f.revisionOf(req.method) {
		return
	}
	wait := time.NewTimer(pullDelay)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return
	case <-wait.C:
	}
	if req.revision <= f.revisionOf(req.method) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	raw, err := f.mesh.Call(ctx, req.peer, req.method, nil)
	if err == nil {
		err = f.apply(req, raw)
	}
	if err != nil {
		f.node.logger.WithError(err).WithFields(logrus.Fields{"step": "pull " + req.method, "peer": req.peer}).
			Warn("cannot pull newer state from peer")
	}
}

func (f *fleet) apply(req pullRequest, raw []byte) error {
	if req.method == methodTargets {
		list := new(fleetv1.TargetList)
		if err := proto.Unmarshal(raw, list); err != nil {
			return errors.Wrap(err, "decode the list of targets")
		}
		f.node.directory.merge(list)
		return nil
	}
	c, err := f.decodeConfig(raw)
	if err != nil {
		return err
	}
	f.node.SetConfig(c, string(req.peer))
	return nil
}
