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

// FuzzDecode checks invalid and malicious documents. Decode must not panic, must
// return Faults with a line, and must accept only documents whose standard form
// encoding/json accepts too.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := jsonc.Parse("f", text)
		var faults jsonc.Faults
		if err != nil {
			if !errors.As(err, &faults) || len(faults) == 0 || faults[0].Line < 1 {
				t.Fatalf("error is not a Faults value with a line: %v", err)
			}
			return
		}
		if !json.Valid(doc.StandardJSON()) {
			t.Fatalf("accepted, but its standard form is not valid JSON: %q", doc.StandardJSON())
		}
		err = doc.Decode(&sample{})
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("error is not a Faults value: %v", err)
		}
		if err == nil && len(doc.DuplicateNames()) > 0 {
			t.Fatalf("accepted a duplicate name")
		}
	})
}
