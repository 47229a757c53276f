package daemon

import (
	"net/http"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/posting"
)

// BenchmarkHandover splits a full table into messages, and decodes them again.
func BenchmarkHandover(b *testing.B) {
	table := posting.Transfer{Instance: "vt-1-ab"}
	for i := range posting.MaxRecords {
		table.Postings = append(table.Postings, posting.TransferRecord{
			ID:       posting.ID{Instance: "vt-1-ab", Suffix: "0d1f7c52-5a40-4c57-9b0d-" + strconv.Itoa(100_000_000_000+i)},
			Customer: "champlain-auction", State: posting.StateRan,
			Response: &posting.Response{
				Status: http.StatusCreated, Body: make([]byte, 200),
				Header: http.Header{"Content-Type": {"application/json"}, "Content-Length": {"200"}, "Date": {"Wed, 02 Dec 2026 12:00:00 GMT"}},
			},
		})
	}
	b.ResetTimer()
	for range b.N {
		bytes := 0
		all := splitTable(table)
		for _, part := range all {
			text, err := proto.Marshal(part)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(text)
			if _, err := postingsFromWire(part); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(bytes)/posting.MaxRecords, "B/posting")
		b.ReportMetric(float64(len(all)), "messages")
	}
}
