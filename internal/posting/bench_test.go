package posting_test

import (
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"balsambarrow/internal/posting"
)

// typicalResponse returns a response of the size that postings and top-ups have.
func typicalResponse() *posting.Response {
	return &posting.Response{
		Status: http.StatusCreated,
		Header: http.Header{"Content-Type": {"application/json"}, "Content-Length": {"200"}, "Date": {"Wed, 02 Dec 2026 12:00:00 GMT"}},
		Body:   make([]byte, 200),
	}
}

func numberedRequest(i int) posting.Request {
	suffix := "0d1f7c52-5a40-4c57-9b0d-" + strconv.Itoa(100_000_000_000+i)
	return newRequest(suffix, "champlain-auction", 0, byte(i))
}

// BenchmarkNewPosting begins a posting and stores its response.
func BenchmarkNewPosting(b *testing.B) {
	b.ReportAllocs()
	var table *posting.Table
	for i := range b.N {
		if i%posting.MaxRecords == 0 {
			table = posting.NewTable("vt-1-ab", start, posting.DefaultLimits())
		}
		table.Begin(numberedRequest(i), start).Run.Finish(posting.StateRan, typicalResponse())
	}
}

// BenchmarkRepeatedPosting looks up a posting in a full table.
func BenchmarkRepeatedPosting(b *testing.B) {
	table := fullTable()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		table.Begin(numberedRequest(i%posting.MaxRecords), start)
	}
}

func fullTable() *posting.Table {
	table := posting.NewTable("vt-1-ab", start, posting.DefaultLimits())
	for i := range posting.MaxRecords {
		table.Begin(numberedRequest(i), start).Run.Finish(posting.StateRan, typicalResponse())
	}
	return table
}

// BenchmarkFullTable reports the heap memory per posting of a full table and the
// time it takes to remove all of them when their epoch expires.
func BenchmarkFullTable(b *testing.B) {
	for range b.N {
		before := heapBytes()
		table := fullTable()
		b.ReportMetric(float64(heapBytes()-before)/posting.MaxRecords, "B/posting")
		startedAt := time.Now()
		table.Epoch(start.Add(10 * posting.EpochLength))
		b.ReportMetric(float64(time.Since(startedAt).Microseconds())/1000, "ms/forget")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
