package kv

import (
	"context"
	"time"
)

// WithTimeout returns store with every call bounded by most beyond its own waiting, for
// callers that have no bound of their own.
func WithTimeout(store Store, most time.Duration) Store { return &bounded{store, most} }

type bounded struct {
	store Store
	most  time.Duration
}

func within[T any](ctx context.Context, most time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return call(ctx)
}

func done(ctx context.Context, most time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return call(ctx)
}

func (b *bounded) List(ctx context.Context, prefix string, stale bool) (Listing, error) {
	return within(ctx, b.most, func(ctx context.Context) (Listing, error) { return b.store.List(ctx, prefix, stale) })
}

func (b *bounded) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	return within(ctx, wait+b.most, func(ctx context.Context) (Changes, error) { return b.store.Watch(ctx, prefix, after, wait) })
}

func (b *bounded) Get(ctx context.Context, key string) (Item, error) {
	return within(ctx, b.most, func(ctx context.Context) (Item, error) { return b.store.Get(ctx, key) })
}

func (b *bounded) Put(ctx context.Context, key string, value []byte, lease uint64) error {
	return done(ctx, b.most, func(ctx context.Context) error { return b.store.Put(ctx, key, value, lease) })
}

func (b *bounded) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease uint64) (uint64, error) {
	return within(ctx, b.most, func(ctx context.Context) (uint64, error) {
		return b.store.CompareAndSwap(ctx, key, revision, value, lease)
	})
}

func (b *bounded) Delete(ctx context.Context, key string, revision uint64) error {
	return done(ctx, b.most, func(ctx context.Context) error { return b.store.Delete(ctx, key, revision) })
}

func (b *bounded) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	return within(ctx, b.most, func(ctx context.Context) (uint64, error) { return b.store.Grant(ctx, ttl) })
}

func (b *bounded) Renew(ctx context.Context, lease uint64) error {
	return done(ctx, b.most, func(ctx context.Context) error { return b.store.Renew(ctx, lease) })
}

func (b *bounded) Revoke(ctx context.Context, lease uint64) error {
	return done(ctx, b.most, func(ctx context.Context) error { return b.store.Revoke(ctx, lease) })
}
