package posting_test

import (
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"balsambarrow/internal/posting"
)

// receipt is an answer as postings and top-ups have it.
func receipt() *posting.Response {
	return &posting.Response{
		Status: http.StatusCreated,
		Header: http.Header{"Content-Type": {"application/json"}, "Content-Length": {"200"}, "Date": {"Wed, 02 Dec 2026 12:00:00 GMT"}},
		Body:   make([]byte, 200),
	}
}

func numbered(i int) posting.Request {
	own := "0d1f7c52-5a40-4c57-9b0d-" + strconv.Itoa(100_000_000_000+i)
	return asking(own, "champlain-auction", 0, byte(i))
}

// BenchmarkNewPosting enters a posting and keeps its answer.
func BenchmarkNewPosting(b *testing.B) {
	b.ReportAllocs()
	var table *posting.Table
	for i := range b.N {
		if i%posting.MaxRecords == 0 {
			table = posting.NewTable("vt-1-ab", start, posting.DefaultLimits())
		}
		table.Begin(numbered(i), start).Run.Finish(posting.StateRan, receipt())
	}
}

// BenchmarkRepeatedPosting finds one of a full table's postings.
func BenchmarkRepeatedPosting(b *testing.B) {
	table := fullTable()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		table.Begin(numbered(i%posting.MaxRecords), start)
	}
}

func fullTable() *posting.Table {
	table := posting.NewTable("vt-1-ab", start, posting.DefaultLimits())
	for i := range posting.MaxRecords {
		table.Begin(numbered(i), start).Run.Finish(posting.StateRan, receipt())
	}
	return table
}

// BenchmarkFullTable reports the heap of a full table for each posting, and
// how long it takes to forget all of them.
func BenchmarkFullTable(b *testing.B) {
	for range b.N {
		before := heap()
		table := fullTable()
		b.ReportMetric(float64(heap()-before)/posting.MaxRecords, "B/posting")
		begun := time.Now()
		table.Epoch(start.Add(10 * posting.EpochLength))
		b.ReportMetric(float64(time.Since(begun).Microseconds())/1000, "ms/forget")
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
