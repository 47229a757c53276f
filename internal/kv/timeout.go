package kv

import (
	"context"
	"time"
)

// WithTimeout returns a store that bounds every call of store by timeout, for callers
// whose contexts have no deadline. A watch may take its own wait in addition.
func WithTimeout(store Store, timeout time.Duration) Store { return &timeoutStore{store, timeout} }

type timeoutStore struct {
	store   Store
	timeout time.Duration
}

func callWithTimeout[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

func runWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

func (b *timeoutStore) List(ctx context.Context, prefix string, stale bool) (Listing, error) {
	return callWithTimeout(ctx, b.timeout, func(ctx context.Context) (Listing, error) { return b.store.List(ctx, prefix, stale) })
}

func (b *timeoutStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	return callWithTimeout(ctx, wait+b.timeout, func(ctx context.Context) (Changes, error) { return b.store.Watch(ctx, prefix, after, wait) })
}

func (b *timeoutStore) Get(ctx context.Context, key string) (Item, error) {
	return callWithTimeout(ctx, b.timeout, func(ctx context.Context) (Item, error) { return b.store.Get(ctx, key) })
}

func (b *timeoutStore) Put(ctx context.Context, key string, value []byte, lease uint64) error {
	return runWithTimeout(ctx, b.timeout, func(ctx context.Context) error { return b.store.Put(ctx, key, value, lease) })
}

func (b *timeoutStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease uint64) (uint64, error) {
	return callWithTimeout(ctx, b.timeout, func(ctx context.Context) (uint64, error) {
		return b.store.CompareAndSwap(ctx, key, revision, value, lease)
	})
}

func (b *timeoutStore) Delete(ctx context.Context, key string, revision uint64) error {
	return runWithTimeout(ctx, b.timeout, func(ctx context.Context) error { return b.store.Delete(ctx, key, revision) })
}

func (b *timeoutStore) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	return callWithTimeout(ctx, b.timeout, func(ctx context.Context) (uint64, error) { return b.store.Grant(ctx, ttl) })
}

func (b *timeoutStore) Renew(ctx context.Context, lease uint64) error {
	return runWithTimeout(ctx, b.timeout, func(ctx context.Context) error { return b.store.Renew(ctx, lease) })
}

func (b *timeoutStore) Revoke(ctx context.Context, lease uint64) error {
	return runWithTimeout(ctx, b.timeout, func(ctx context.Context) error { return b.store.Revoke(ctx, lease) })
}
