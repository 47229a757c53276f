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

// A caller tries to get its key or a header of the system's own to a worker,
// or to have the system's own headers removed on the way. Cookies and the
// caller's other headers stay.
func TestStripRequest(t *testing.T) {
	for name, c := range map[string]struct {
		in   http.Header
		left []string
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
			var left []string
			for h := range c.in {
				left = append(left, h)
			}
			g.Expect(left).To(Equal(c.left))
		})
	}
}

// An upstream's answer breaks off after its first bytes. Whoever reads it must
// see an error, whether its length was declared or not.
func TestBrokenAnswerIsBrokenOff(t *testing.T) {
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

// Requests that differ in any part have different digests, also where the
// parts run together to the same text.
func TestDigestTellsRequestsApart(t *testing.T) {
	g := NewWithT(t)
	seen := map[[32]byte]bool{}
	for _, parts := range [][4]string{
		{"a", "POST", "/b", "q"}, {"a", "POST", "/bq", ""}, {"aP", "OST", "/b", "q"}, {"a", "PUT", "/b", "q"}, {"a", "POST", "/b", "r"},
	} {
		for _, body := range []string{"", "1", "2"} {
			held, err := wire.ReadBody(strings.NewReader(body), int64(len(body)))
			g.Expect(err).NotTo(HaveOccurred())
			call := &wire.Call{Service: parts[0], Method: parts[1], Path: parts[2], RawQuery: parts[3], Body: held}
			g.Expect(seen).NotTo(HaveKey(call.Digest()))
			seen[call.Digest()] = true
		}
	}
}
