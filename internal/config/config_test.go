package config_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
)

func TestExamplesAreValid(t *testing.T) {
	for _, file := range []string{"granite-hollow.jsonc", "school-lunch.jsonc"} {
		t.Run(file, func(t *testing.T) {
			g := NewWithT(t)
			text, err := os.ReadFile("../../examples/" + file)
			g.Expect(err).NotTo(HaveOccurred())
			c, err := config.Parse(file, text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.Customers).To(HaveLen(8))
			g.Expect(c.Zones).To(HaveLen(6))
		})
	}
}

// An operator submits a configuration with several mistakes. All of them must
// be reported at once, each with its path and line, and none of the
// configuration may be applied.
func TestParseReportsEveryFault(t *testing.T) {
	g := NewWithT(t)
	_, err := config.Parse("c.jsonc", []byte(`{
  "regions": { "vermont": {} },
  "zones": { "vt-a": { "region": "vermnot" } },
  "services": { "lookup": {} },
  "upstreams": { "u1": { "service": "lookup", "zone": "vt-x", "address": "localhost:1" } },
  "customers": { "Farm": { "rate": -1, "burst": 0 } }
}`))
	var faults jsonc.Faults
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	var got []string
	for _, f := range faults {
		got = append(got, f.String())
	}
	g.Expect(got).To(ConsistOf(
		`c.jsonc:3: /zones/vt-a/region: unknown region "vermnot"`,
		`c.jsonc:5: /upstreams/u1/zone: unknown zone "vt-x"`,
		`c.jsonc:5: /upstreams/u1/address: want an IP address and a port`,
		`c.jsonc:6: /customers/Farm: name "Farm": want lower-case letters, digits and hyphens, 63 at most`,
		`c.jsonc:6: /customers/Farm/rate: want a positive number of requests per second`,
		`c.jsonc:6: /customers/Farm/burst: want at least 1 request`,
	))
}
