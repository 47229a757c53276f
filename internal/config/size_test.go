package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/kv"
)

// customerCounts are the document sizes, in customers with one key each.
var customerCounts = []int{100, 1000, 5000}

func document(customers int) []byte {
	return []byte(`{"regions":{"vermont":{}},"zones":{"vt-a":{"region":"vermont"}},"services":{"lookup":{}},"upstreams":{},` +
		customersPatch(customers)[1:])
}

func customersPatch(n int) string {
	customers := map[string]config.Customer{}
	for i := range n {
		customers[fmt.Sprintf("customer-%d", i)] = config.Customer{
			Rate: 20, Burst: 20, Keys: map[string]config.Key{"k1": {SHA256: fmt.Sprintf("%064d", i)}},
		}
	}
	text, _ := json.Marshal(struct {
		Customers map[string]config.Customer `json:"customers"`
	}{customers})
	return string(text)
}

// BenchmarkParse measures the cost of one new version at each daemon: syntax,
// types and validation.
func BenchmarkParse(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := document(n)
			for b.Loop() {
				if _, err := config.Parse("bench", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "document-bytes")
		})
	}
}

// BenchmarkActivate measures the cost of building the indexes of a parsed
// version.
func BenchmarkActivate(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, err := config.Parse("bench", document(n))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				config.NewActive(1, c)
			}
		})
	}
}

// BenchmarkMerge measures the cost of applying one operator's patch, before
// validation.
func BenchmarkMerge(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := document(n)
			for b.Loop() {
				if _, err := config.Merge(text, []byte(`{"customers":{"customer-7":{"rate":30}}}`)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRecord measures the size of the stored value with MaxChanges
// changes, as a percentage of the store's limit, and the cost of reading it.
func BenchmarkRecord(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := config.Record{Version: 1, Document: document(n)}
			for i := range config.MaxChanges {
				patch := fmt.Sprintf(`{"customers":{"customer-7":{"rate":%d}}}`, 30+i)
				r.Changes = append(r.Changes, config.Change{
					ID: "3f0c1a52-63d5-4a5e-9a57-0c7f0b6f4a11", Version: uint64(i + 1), AtUnixMs: time.Now().UnixMilli(),
					PatchSHA256: fmt.Sprintf("%064d", i), Patch: json.RawMessage(patch),
				})
			}
			raw, err := r.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := config.ParseRecord(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "record-bytes")
			b.ReportMetric(100*float64(len(raw))/kv.MaxValueBytes, "%-of-store-limit")
		})
	}
}
