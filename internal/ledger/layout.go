package ledger

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/platform"
)

// layoutName is the name of the object that stores the layout.
const layoutName = "layout"

// layout defines the number of buckets. It is written once and never changed:
// routers with different settings must not look for a key in different buckets.
type layout struct {
	Format  int `json:"v"`
	Buckets int `json:"buckets"`
}

// layoutFormat is the version of the layout's encoding.
const layoutFormat = 1

func bucketName(i int) string { return fmt.Sprintf("bucket-%d", i) }

// bucketCount returns the fleet's number of buckets. It reads the number from the
// store until that has succeeded once.
func (l *Ledger) bucketCount(ctx context.Context) (int, error) {
	l.mu.Lock()
	n := l.fleetBuckets
	l.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	ch := l.layoutReads.DoChan(layoutName, func() (any, error) {
		n, err := l.readLayout(context.WithoutCancel(ctx))
		if err != nil {
			l.recordStoreFailure()
		} else {
			l.recordStoreSuccess()
		}
		return n, err
	})
	select {
	case r := <-ch:
		if r.Err != nil {
			return 0, r.Err
		}
		return r.Val.(int), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// readLayout reads the layout, or writes it if there is none, and returns the
// number of buckets.
func (l *Ledger) readLayout(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, l.commitTimeout)
	defer cancel()
	obj, err := l.get(ctx, layoutName)
	if errors.Is(err, platform.ErrNotFound) {
		obj, err = l.writeLayout(ctx)
	}
	if err != nil {
		return 0, err
	}
	var got layout
	if err := json.Unmarshal(obj.Value, &got); err != nil {
		return 0, errors.Wrap(err, "decode layout")
	}
	if got.Format != layoutFormat || got.Buckets < 1 || got.Buckets > maxBuckets {
		return 0, errors.Newf("unsupported layout: format %d, %d buckets", got.Format, got.Buckets)
	}
	l.mu.Lock()
	l.fleetBuckets = got.Buckets
	l.mu.Unlock()
	return got.Buckets, nil
}

// writeLayout writes the layout if there is none and returns the stored one.
func (l *Ledger) writeLayout(ctx context.Context) (platform.Object, error) {
	raw, err := json.Marshal(layout{Format: layoutFormat, Buckets: l.opts.Buckets})
	if err != nil {
		return platform.Object{}, err
	}
	obj, err := l.put(ctx, layoutName, raw, platform.Condition{Absent: true})
	var conflict *platform.ConflictError
	var unconfirmed *platform.UnconfirmedError
	if errors.As(err, &conflict) || errors.As(err, &unconfirmed) {
		return l.get(ctx, layoutName)
	}
	return obj, err
}

func (l *Ledger) get(ctx context.Context, name string) (platform.Object, error) {
	l.scope.Counter("reads").Inc(1)
	return l.opts.Store.Get(ctx, api.KindClaims, name)
}

func (l *Ledger) put(ctx context.Context, name string, raw json.RawMessage, cond platform.Condition) (platform.Object, error) {
	l.scope.Counter("writes").Inc(1)
	return l.opts.Store.Put(ctx, api.KindClaims, name, raw, cond)
}
