package posting_test

import (
	"testing"

	"balsambarrow/internal/posting"
)

// Callers can send any text as Idempotency-Key. An accepted id must be
// unambiguous: formatting and parsing it again yields the same id.
func FuzzParseID(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		id, err := posting.ParseID(text)
		if err != nil {
			return
		}
		again, err := posting.ParseID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q parses as %+v, which parses as %+v after formatting (%v)", text, id, again, err)
		}
	})
}
