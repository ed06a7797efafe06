package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/config"
	"github.com/umberhill/umberhill/internal/pause"
	"github.com/umberhill/umberhill/internal/platform"
)

// Times of the calls to the platform.
const (
	// watchWait is how long the platform holds a watch without a change.
	watchWait = 5 * time.Second
	// probeWait is the same after a call that failed, so that the router soon
	// knows that the platform is back.
	probeWait = 100 * time.Millisecond
	// listJitter spreads the lists of routers that start together.
	listJitter = 300 * time.Millisecond
	// retryFirst and retryMost bound the wait after a failed call.
	retryFirst = 200 * time.Millisecond
	retryMost  = 3 * time.Second
	// retryFactor is how much a wait is longer than the one before.
	retryFactor = 1.5
	// retryJitter is the share by which the wait varies.
	retryJitter = 0.5
)

// result is what a call to the platform brought.
type result struct {
	lists    []config.Listing
	since    uint64
	revision uint64
	events   []config.Object
	err      error
	// taken is closed once the controller has taken the result in.
	taken chan verdict
}

// verdict tells the watcher how to go on.
type verdict struct {
	// since is the revision to watch from.
	since uint64
	// known is set where a watch can go on without a list.
	known bool
	// stale is set where the platform answered with an older state.
	stale bool
}

// watcher calls the platform in one goroutine, one call at a time.
type watcher struct {
	client  *platform.Client
	results chan<- result
}

// run watches until ctx ends, beginning with a list unless known.
func (w *watcher) run(ctx context.Context, v verdict) {
	wait := pause.Spec{Initial: retryFirst, Max: retryMost, Multiplier: retryFactor, Jitter: retryJitter}.Backoff()
	hold := watchWait
	for ctx.Err() == nil {
		res := w.call(ctx, v, hold)
		hold = holdAfter(res.err)
		next, ok := w.report(ctx, res)
		if !ok {
			return
		}
		v = next
		switch {
		case errors.Is(res.err, platform.ErrCompacted):
			v.known = false
			pause.Sleep(ctx, rand.N(listJitter))
		case res.err != nil || v.stale:
			pause.Sleep(ctx, max(wait.NextBackOff(), min(retryAfter(res.err), retryMost)))
		default:
			wait.Reset()
		}
	}
}

func holdAfter(err error) time.Duration {
	if err != nil {
		return probeWait
	}
	return watchWait
}

func (w *watcher) call(ctx context.Context, v verdict, hold time.Duration) result {
	if !v.known {
		lists, err := w.list(ctx)
		return result{lists: lists, err: err}
	}
	res, err := w.client.Watch(ctx, api.ConfigKinds, v.since, hold)
	out := result{since: v.since, revision: res.Revision, err: err}
	for _, e := range res.Events {
		out.events = append(out.events, objectOf(e.Object, e.Deleted))
	}
	return out
}

func (w *watcher) list(ctx context.Context) ([]config.Listing, error) {
	var out []config.Listing
	for _, kind := range api.ConfigKinds {
		objs, revision, err := w.client.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		l := config.Listing{Kind: kind, Revision: revision}
		for _, o := range objs {
			l.Objects = append(l.Objects, objectOf(o, false))
		}
		out = append(out, l)
	}
	return out, nil
}

// report hands a result to the controller and waits until it is taken in.
func (w *watcher) report(ctx context.Context, res result) (verdict, bool) {
	res.taken = make(chan verdict, 1)
	select {
	case w.results <- res:
	case <-ctx.Done():
		return verdict{}, false
	}
	select {
	case v := <-res.taken:
		return v, true
	case <-ctx.Done():
		return verdict{}, false
	}
}

func objectOf(o platform.Object, deleted bool) config.Object {
	out := config.Object{Key: config.Key{Kind: o.Kind, Name: o.Name}, Version: o.Version, Deleted: deleted}
	if !deleted {
		out.Value = o.Value
	}
	return out
}

func retryAfter(err error) time.Duration {
	var read *platform.ReadError
	if errors.As(err, &read) {
		return read.RetryAfter
	}
	return 0
}
