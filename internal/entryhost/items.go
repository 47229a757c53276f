package entryhost

import (
	"slices"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/platform"
)

// maxPageBytes bounds the keys and values of a page. Compressed, a page fits into a few
// datagrams, so that a lost one costs little.
const maxPageBytes = 128 << 10

// sortedKeys caches the keys of the items, sorted; nil if they have changed.
type sortedKeys []string

func (c *control) putItem(item kv.Item) {
	if _, known := c.items[item.Key]; !known {
		c.sortedKeys = nil
	}
	c.items[item.Key] = item
}

func (c *control) deleteItem(key string) {
	if _, known := c.items[key]; known {
		c.sortedKeys = nil
		delete(c.items, key)
	}
}

func (c *control) clearItems() {
	clear(c.items)
	c.sortedKeys = nil
}

// pageOf returns the items of a scope that follow a key, and whether there are more than fit
// into a page.
func (c *control) pageOf(scope fleet.Scope, after string) (page []*fleet.Change, more bool) {
	if c.sortedKeys == nil {
		c.sortedKeys = make([]string, 0, len(c.items))
		for key := range c.items {
			c.sortedKeys = append(c.sortedKeys, key)
		}
		slices.Sort(c.sortedKeys)
	}
	first, found := slices.BinarySearch(c.sortedKeys, after)
	if found {
		first++
	}
	size := 0
	for _, key := range c.sortedKeys[first:] {
		if _, ok := platform.UpstreamID(key); ok != (scope == fleet.Scope_SCOPE_UPSTREAMS) {
			continue
		}
		item := c.items[key]
		if size += len(key) + len(item.Value); size > maxPageBytes && len(page) > 0 {
			return page, true
		}
		page = append(page, &fleet.Change{Key: key, Value: item.Value, Revision: item.Revision})
	}
	return page, false
}
