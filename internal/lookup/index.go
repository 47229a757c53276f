package lookup

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"

	"balsambarrow/internal/config"
)

// Index maps callers to their nearest zones. It is immutable.
type Index struct {
	// blocks maps a client block to an index into zoneLists. Many blocks share
	// the same list of zones.
	blocks    *bart.Table[uint32]
	zoneLists [][]string
}

// NewIndex builds the index of the client blocks of a configuration.
func NewIndex(c *config.Config) *Index {
	ix := &Index{blocks: &bart.Table[uint32]{}}
	listIndexes := map[string]uint32{}
	for _, block := range slices.Sorted(maps.Keys(c.ClientBlocks)) {
		prefix, err := netip.ParsePrefix(block)
		if err != nil {
			continue
		}
		zones := c.ClientBlocks[block]
		key := strings.Join(zones, ",")
		listIndex, exists := listIndexes[key]
		if !exists {
			listIndex = uint32(len(ix.zoneLists))
			listIndexes[key] = listIndex
			ix.zoneLists = append(ix.zoneLists, zones)
		}
		ix.blocks.Insert(prefix.Masked(), listIndex)
	}
	return ix
}

// NearestZones returns the zones nearest to a caller, nearest first, or nil if
// no client block contains the address.
func (ix *Index) NearestZones(caller netip.Addr) []string {
	listIndex, ok := ix.blocks.Lookup(caller)
	if !ok {
		return nil
	}
	return ix.zoneLists[listIndex]
}
