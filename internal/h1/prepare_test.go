package h1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
)

// Guards against a request that is written although it must not be sent any more once there is a connection.
func TestRequestIsNotWrittenAfterItsEnd(t *testing.T) {
	refused := errors.New("refused")
	for name, c := range map[string]struct {
		ended   bool
		prepare func() error
		cause   error
	}{
		"refused":           {prepare: func() error { return refused }, cause: refused},
		"the context ended": {ended: true, cause: context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			received := make(chan int64, 1)
			address := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
				n, _ := io.Copy(io.Discard, r)
				received <- n
			})
			ctx, cancel := context.WithCancel(testContext(t))
			p := h1.NewPool(func(_ context.Context, network, address string) (net.Conn, error) {
				if c.ended {
					cancel()
				}
				return net.Dial(network, address)
			}, time.Now)
			defer cancel()
			q := request("1")
			q.Prepare = c.prepare
			_, err := p.Send(ctx, address, q)
			var unsent *h1.UnsentError
			g.Expect(errors.As(err, &unsent)).To(BeTrue())
			g.Expect(unsent.DialFailed).To(BeFalse())
			g.Expect(errors.Is(err, c.cause)).To(BeTrue())
			g.Expect(<-received).To(BeZero())
		})
	}
}

// Guards against a change of the header by Prepare that is not sent.
func TestPrepareChangesTheHeader(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, responseTo("1", readRequest(r).Header.Get("Limit")))
	})
	q := request("1")
	q.Prepare = func() error {
		q.Header.Set("Limit", "late")
		return nil
	}
	g.Expect(send(t, newPool(), address, q)).To(Equal("late"))
}
