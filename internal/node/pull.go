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

// behind says that a peer holds a newer configuration or list of targets.
type behind struct {
	peer   ids.Instance
	method string
	// revision that the peer holds.
	revision uint64
}

// held is the revision of what this router holds itself.
func (f *fleet) held(method string) uint64 {
	if method == methodTargets {
		return f.node.targetsAsOf.Load()
	}
	if c := f.node.Config(); c != nil {
		return c.Version
	}
	return 0
}

func (f *fleet) compare(b behind) {
	if b.revision <= f.held(b.method) {
		return
	}
	select {
	case f.behind <- b:
	default:
		// The next report tells again.
	}
}

// Serve implements peer.Handler.
func (f *fleet) Serve(ctx context.Context, _ peer.Peer, method string, _ []byte) ([]byte, error) {
	switch method {
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

// pull fetches from peers what is newer than what this router holds: they may
// reach the platform's store while this router does not.
func (f *fleet) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-f.behind:
			f.pullFrom(ctx, b)
		}
	}
}

func (f *fleet) pullFrom(ctx context.Context, b behind) {
	if b.revision <= f.held(b.method) {
		return
	}
	wait := time.NewTimer(pullDelay)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return
	case <-wait.C:
	}
	if b.revision <= f.held(b.method) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	raw, err := f.mesh.Call(ctx, b.peer, b.method, nil)
	if err == nil {
		err = f.accept(b, raw)
	}
	if err != nil {
		f.node.logger.WithError(err).WithFields(logrus.Fields{"step": "pull " + b.method, "peer": b.peer}).
			Warn("a peer's newer state could not be taken")
	}
}

func (f *fleet) accept(b behind, raw []byte) error {
	if b.method == methodTargets {
		list := new(fleetv1.TargetList)
		if err := proto.Unmarshal(raw, list); err != nil {
			return errors.Wrap(err, "decode the list of targets")
		}
		f.node.directory.merge(list)
		return nil
	}
	c, err := f.decode(raw)
	if err != nil {
		return err
	}
	f.node.SetConfig(c, string(b.peer))
	return nil
}
