package platform

import (
	"context"
	"time"
)

// Counter is told of each call to the platform and its error.
type Counter func(call string, err error)

// Counted returns store with every call counted: the platform bills each, so
// operators need to see where they come from.
func Counted(store Store, count Counter) Store { return &counted{store: store, count: count} }

type counted struct {
	store Store
	count Counter
}

func (c *counted) Get(ctx context.Context, key string) (Entry, error) {
	e, err := c.store.Get(ctx, key)
	c.count("get", err)
	return e, err
}

func (c *counted) List(ctx context.Context, prefix string) ([]Entry, error) {
	es, err := c.store.List(ctx, prefix)
	c.count("list", err)
	return es, err
}

func (c *counted) Swap(ctx context.Context, key string, revision uint64, value []byte, lease string) (uint64, error) {
	r, err := c.store.Swap(ctx, key, revision, value, lease)
	c.count("swap", err)
	return r, err
}

func (c *counted) Delete(ctx context.Context, key string, revision uint64) error {
	err := c.store.Delete(ctx, key, revision)
	c.count("delete", err)
	return err
}

func (c *counted) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Entry, error) {
	e, err := c.store.Watch(ctx, key, revision, wait)
	c.count("watch", err)
	return e, err
}

func (c *counted) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	id, err := c.store.Grant(ctx, ttl)
	c.count("grant", err)
	return id, err
}

func (c *counted) Renew(ctx context.Context, lease string) error {
	err := c.store.Renew(ctx, lease)
	c.count("renew", err)
	return err
}

func (c *counted) Revoke(ctx context.Context, lease string) error {
	err := c.store.Revoke(ctx, lease)
	c.count("revoke", err)
	return err
}
