package lookup

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"

	"balsambarrow/internal/config"
)

// Index finds the zones nearest to a caller. It is immutable.
type Index struct {
	// blocks maps a client block to a place in orders: many blocks share few
	// orders of zones.
	blocks *bart.Table[uint32]
	orders [][]string
}

// NewIndex indexes the client blocks of a configuration.
func NewIndex(c *config.Config) *Index {
	ix := &Index{blocks: &bart.Table[uint32]{}}
	places := map[string]uint32{}
	for _, block := range slices.Sorted(maps.Keys(c.ClientBlocks)) {
		prefix, err := netip.ParsePrefix(block)
		if err != nil {
			continue
		}
		zones := c.ClientBlocks[block]
		key := strings.Join(zones, ",")
		place, known := places[key]
		if !known {
			place = uint32(len(ix.orders))
			places[key] = place
			ix.orders = append(ix.orders, zones)
		}
		ix.blocks.Insert(prefix.Masked(), place)
	}
	return ix
}

// NearestZones returns the zones nearest to a caller, nearest first; nil if no client
// block holds it.
func (ix *Index) NearestZones(caller netip.Addr) []string {
	place, ok := ix.blocks.Lookup(caller)
	if !ok {
		return nil
	}
	return ix.orders[place]
}
