package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/entry"
	"balsambarrow/internal/wire"
)

// An upstream stalls and requests pile up at an entry host. Beyond its bound
// it must refuse at once and truthfully, and serve again when one has ended.
func TestBoundedRefusesBeyondItsBound(t *testing.T) {
	g := NewWithT(t)
	gauge := entry.NewRequestLimiter(1)
	running, release := make(chan struct{}), make(chan struct{})
	handler := gauge.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
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
	g.Expect(gauge.Load()).To(Equal(1.0))
	refused := call()
	g.Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.Header().Get(wire.HeaderOutcome)).To(Equal(string(wire.OutcomeNotRun)))
	close(release)
	<-done
	go func() { <-running }()
	g.Expect(call().Code).To(Equal(http.StatusOK))
	g.Expect(gauge.Load()).To(BeZero())
}
