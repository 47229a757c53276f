package posting_test

import (
	"testing"

	"balsambarrow/internal/posting"
)

// Callers write what they like into Idempotency-Key. What is accepted must
// name one posting only: its form read again gives the same id.
func FuzzParseID(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		id, err := posting.ParseID(text)
		if err != nil {
			return
		}
		again, err := posting.ParseID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q reads as %+v, and that as %+v (%v)", text, id, again, err)
		}
	})
}
