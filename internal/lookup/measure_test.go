package lookup_test

import (
	"os"
	"runtime"
	"testing"

	"balsambarrow/internal/lookup"
)

// TestMeasureIndexMemory measures the memory of the index of client blocks,
// without the configuration from which it is built. docs/CAPACITY.md uses the
// growth per block.
func TestMeasureIndexMemory(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("set BALSAM_MEASURE=1 to measure")
	}
	for _, blocks := range []int{38_000, 95_000, 190_000, 380_000} {
		empty := heap()
		c, _ := newFleet(blocks, 145, 1)
		declared := heap()
		index := lookup.NewIndex(c)
		indexed := heap()
		t.Logf("blocks %6d: configuration %.1f MB, index %.1f MB", blocks, megabytes(declared-empty), megabytes(indexed-declared))
		runtime.KeepAlive(c)
		runtime.KeepAlive(index)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func megabytes(b uint64) float64 { return float64(b) / (1 << 20) }
