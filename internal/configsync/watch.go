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

// Timing of the calls to the platform.
const (
	// watchWait is how long the platform holds a watch open without a change.
	watchWait = 5 * time.Second
	// probeWait replaces watchWait after a failed call, so that the router soon
	// detects that the platform has recovered.
	probeWait = 100 * time.Millisecond
	// listJitter spreads the list calls of routers that start at the same time.
	listJitter = 300 * time.Millisecond
	// retryInitialWait and retryMaxWait are the first and the longest backoff after
	// a failed call.
	retryInitialWait = 200 * time.Millisecond
	retryMaxWait     = 3 * time.Second
	// retryFactor is the ratio of consecutive waits.
	retryFactor = 1.5
	// retryJitter is the fraction by which a wait is randomized.
	retryJitter = 0.5
)

// callResult is the result of a call to the platform: lists for a full list,
// otherwise the events of a watch between the revisions since and revision.
type callResult struct {
	lists    []config.Listing
	since    uint64
	revision uint64
	events   []config.Object
	err      error
	// reply receives the watcher's next state once the controller has applied the
	// result.
	reply chan watchState
}

// watchState determines the next call of the watcher.
type watchState struct {
	// since is the revision from which to watch.
	since uint64
	// canWatch is set if the watch can continue without a list.
	canWatch bool
	// stale is set if the platform returned an older state than the one in force.
	stale bool
}

// watcher calls the platform from one goroutine, one call at a time.
type watcher struct {
	client  *platform.Client
	results chan<- callResult
}

// run watches until ctx ends. It begins with a list unless state.canWatch is set.
func (w *watcher) run(ctx context.Context, state watchState) {
	backoff := pause.Spec{Initial: retryInitialWait, Max: retryMaxWait, Multiplier: retryFactor, Jitter: retryJitter}.Backoff()
	watchFor := watchWait
	for ctx.Err() == nil {
		res := w.call(ctx, state, watchFor)
		watchFor = nextWatchWait(res.err)
		next, ok := w.deliver(ctx, res)
		if !ok {
			return
		}
		state = next
		switch {
		case errors.Is(res.err, platform.ErrCompacted):
			state.canWatch = false
			pause.Sleep(ctx, rand.N(listJitter))
		case res.err != nil || state.stale:
			pause.Sleep(ctx, max(backoff.NextBackOff(), min(retryAfter(res.err), retryMaxWait)))
		default:
			backoff.Reset()
		}
	}
}

func nextWatchWait(err error) time.Duration {
	if err != nil {
		return probeWait
	}
	return watchWait
}

func (w *watcher) call(ctx context.Context, state watchState, watchFor time.Duration) callResult {
	if !state.canWatch {
		lists, err := w.list(ctx)
		return callResult{lists: lists, err: err}
	}
	res, err := w.client.Watch(ctx, api.ConfigKinds, state.since, watchFor)
	out := callResult{since: state.since, revision: res.Revision, err: err}
	for _, e := range res.Events {
		out.events = append(out.events, toConfigObject(e.Object, e.Deleted))
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
			l.Objects = append(l.Objects, toConfigObject(o, false))
		}
		out = append(out, l)
	}
	return out, nil
}

// deliver passes a result to the controller and waits for the next state. It returns
// false if ctx ends first.
func (w *watcher) deliver(ctx context.Context, res callResult) (watchState, bool) {
	res.reply = make(chan watchState, 1)
	select {
	case w.results <- res:
	case <-ctx.Done():
		return watchState{}, false
	}
	select {
	case state := <-res.reply:
		return state, true
	case <-ctx.Done():
		return watchState{}, false
	}
}

func toConfigObject(o platform.Object, deleted bool) config.Object {
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
