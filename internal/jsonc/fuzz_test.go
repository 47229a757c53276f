package jsonc_test

import (
	"encoding/json"
	"testing"

	"github.com/pkg/errors"

	"balsambarrow/internal/jsonc"
)

type sample struct {
	Name  string            `json:"name"`
	Count int               `json:"count"`
	Ratio float64           `json:"ratio"`
	List  []string          `json:"list"`
	Named map[string]sample `json:"named"`
}

// FuzzDecode feeds broken and hostile documents. Decode must not panic, must
// report faults by its own type with a line, and what it accepts must be plain
// JSON that encoding/json accepts too.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := jsonc.Parse("f", text)
		var faults jsonc.Faults
		if err != nil {
			if !errors.As(err, &faults) || len(faults) == 0 || faults[0].Line < 1 {
				t.Fatalf("no fault with a line: %v", err)
			}
			return
		}
		if !json.Valid(doc.StandardJSON()) {
			t.Fatalf("accepted, but its plain form is not JSON: %q", doc.StandardJSON())
		}
		err = doc.Decode(&sample{})
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("no faults: %v", err)
		}
		if err == nil && len(doc.DuplicateNames()) > 0 {
			t.Fatalf("accepted a name that stands twice")
		}
	})
}
