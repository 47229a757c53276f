package entry

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/retry"
	"balsambarrow/internal/wire"
)

// Guards against a call that is sent to a second handler when the first has used up its time.
func TestCallWithoutTimeLeftIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	call := &wire.Call{Method: http.MethodGet, Deadline: now.Add(retry.MinTime)}
	shed := wire.NotRunProblem(wire.TypeUpstreamShed, "shed", 0)
	g.Expect(mayRetry(call, shed, now)).To(BeTrue())
	g.Expect(mayRetry(call, shed, now.Add(1))).To(BeFalse())
}
