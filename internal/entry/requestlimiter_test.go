package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/entry"
	"balsambarrow/internal/wire"
)

// An upstream stalls and requests accumulate at an entry host. Above its limit, the
// host must reject requests immediately as not-run, and must accept requests again
// after one has ended.
func TestRequestLimiterRejectsAboveLimit(t *testing.T) {
	g := NewWithT(t)
	limiter := entry.NewRequestLimiter(1)
	running, release := make(chan struct{}), make(chan struct{})
	handler := limiter.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	}))
	call := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/svc/lookup/x", nil))
		return w
	}
	done := make(chan struct{})
	go func() {
		call()
		close(done)
	}()
	<-running
	g.Expect(limiter.Load()).To(Equal(1.0))
	rejected := call()
	g.Expect(rejected.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(rejected.Header().Get(wire.HeaderOutcome)).To(Equal(string(wire.OutcomeNotRun)))
	close(release)
	<-done
	go func() { <-running }()
	g.Expect(call().Code).To(Equal(http.StatusOK))
	g.Expect(limiter.Load()).To(BeZero())
}
