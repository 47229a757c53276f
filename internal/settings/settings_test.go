package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/settings"
)

const validSettings = `{
  "host": "entry-1", // a comment
  "zone": "vt-a",
  "platform": { "url": "http://127.0.0.1:9000" },
  "tls": { "plain": true }
}`

func TestParseAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse("s.jsonc", []byte(validSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Listen.Callers).To(Equal(settings.DefaultListen))
	g.Expect(s.ShutdownTimeout()).To(Equal(settings.DefaultShutdownTimeout))
}

// A daemon started with an invalid settings file must stop and report the file, line
// and path of every fault, rather than run with a part of the settings.
func TestParseReportsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		fault string
	}{
		"unknown field":     {"{\n\"hots\": \"x\"}", `s.jsonc:2: /hots: unknown field "hots"`},
		"wrong type":        {"{\"host\":\n 7}", `s.jsonc:2: /host: want string, got 7`},
		"duplicate name":    {"{\"host\":\"a\",\n\"host\":\"b\"}", `s.jsonc:2: /host: duplicate name "host"`},
		"malformed comment": {"{\n/* never ends", `s.jsonc:2: : parsing comment`},
		"missing zone":      {`{"host":"a","platform":{"url":"http://127.0.0.1:1"},"tls":{"plain":true}}`, `s.jsonc:1: /zone: required`},
		"host name in URL":  {`{"host":"a","zone":"z","platform":{"url":"http://store:1"},"tls":{"plain":true}}`, `/platform/url: want http://IP:PORT`},
		"wildcard address":  {`{"host":"a","zone":"z","listen":{"peers":"0.0.0.0:1"},"platform":{"url":"http://127.0.0.1:1"},"tls":{"plain":true}}`, `s.jsonc:1: /listen/peers: want the address that others reach`},
		"no TLS, not plain": {`{"host":"a","zone":"z","platform":{"url":"http://127.0.0.1:1"}}`, `/tls/cert_file: required unless`},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := settings.Parse("s.jsonc", []byte(c.text))
			var faults jsonc.Faults
			g.Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
			g.Expect(err.Error()).To(ContainSubstring(c.fault))
		})
	}
}

// A settings file with one misspelled and two missing fields. All three faults must
// be reported at once, so that the operator does not have to fix them one by one.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse("s.jsonc", []byte("{ \"host\": \"a\", \"zoen\": \"z\",\n\"platform\": {}, \"tls\": {\"plain\": true} }"))
	var faults jsonc.Faults
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	g.Expect(paths).To(ConsistOf("/zoen", "/zone", "/platform/url"))
}
