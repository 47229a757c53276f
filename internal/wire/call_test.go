package wire_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/wire"
)

// A caller sends its key, headers of this system and hop-by-hop headers, some of
// them in unusual case or listed in Connection. They must be removed. Cookies and
// other headers of the caller must stay.
func TestSanitizeRequestHeaders(t *testing.T) {
	for name, c := range map[string]struct {
		in   http.Header
		want []string
	}{
		"key":                      {http.Header{"Authorization": {"Bearer k", "Bearer l"}, "Cookie": {"a=b"}}, []string{"Cookie"}},
		"key named in Connection":  {http.Header{"Authorization": {"Bearer k"}, "Connection": {"Authorization, close"}}, nil},
		"proxy key":                {http.Header{"Proxy-Authorization": {"Bearer k"}}, nil},
		"customer":                 {http.Header{"Balsam-Customer": {"other"}, "balsam-customer": {"x"}, "BALSAM-ROLE": {"handle"}}, nil},
		"named in Connection":      {http.Header{"Connection": {"X-Own", " x-other ,,"}, "X-Own": {"1"}, "X-Other": {"1"}, "X-Left": {"1"}}, []string{"X-Left"}},
		"expectation and transfer": {http.Header{"Expect": {"100-continue"}, "Te": {"trailers"}, "Transfer-Encoding": {"x"}, "Upgrade": {"h2c"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			wire.SanitizeRequestHeaders(c.in)
			var remaining []string
			for h := range c.in {
				remaining = append(remaining, h)
			}
			g.Expect(remaining).To(Equal(c.want))
		})
	}
}

// The response of an upstream is truncated after its first bytes. The reader must
// get an error, whether the length was declared or not.
func TestTruncatedResponseStaysTruncated(t *testing.T) {
	for name, header := range map[string]http.Header{"length": {"Content-Length": {"9"}}, "chunks": {}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(errors.New("reset")))
				(&wire.Response{Status: http.StatusOK, Header: header, Body: io.NopCloser(body)}).Write(w)
			}))
			defer server.Close()
			resp, err := http.Get(server.URL)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadAll(resp.Body)
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		})
	}
}

// Requests that differ in any part must have different digests, even if the
// concatenation of their parts is the same.
func TestDigestDependsOnAllParts(t *testing.T) {
	g := NewWithT(t)
	seen := map[[32]byte]bool{}
	for _, parts := range [][4]string{
		{"a", "POST", "/b", "q"}, {"a", "POST", "/bq", ""}, {"aP", "OST", "/b", "q"}, {"a", "PUT", "/b", "q"}, {"a", "POST", "/b", "r"},
	} {
		for _, body := range []string{"", "1", "2"} {
			buffered, err := wire.ReadBody(strings.NewReader(body), int64(len(body)))
			g.Expect(err).NotTo(HaveOccurred())
			call := &wire.Call{Service: parts[0], Method: parts[1], Path: parts[2], RawQuery: parts[3], Body: buffered}
			g.Expect(seen).NotTo(HaveKey(call.Digest()))
			seen[call.Digest()] = true
		}
	}
}
