package entryhost_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/kv"
	"balsambarrow/platform"
)

// registrationsKnown is the age that a host's view of registrations may have, and the time for a new registration.
const registrationsKnown = 12 * time.Second

// Guards against a host whose registration was overwritten, which hosts that start later never learn of.
func TestOverwrittenHostRegistersAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	one, two := s.host("h1", "a1"), s.host("h2", "a2")
	s.awaitServing()
	names := func(h *host) func() []string { return func() []string { return directory(t, h, "a") } }
	g.Eventually(names(one), "5s", "50ms").Should(HaveLen(2))
	store := platform.NewStore(s.server.URL, (&net.Dialer{}).DialContext, func(string, error) {})
	defer store.Close()
	hosts := func() []kv.Item {
		l, err := store.List(context.Background(), platform.HostPrefix, false)
		g.Expect(err).NotTo(HaveOccurred())
		return l.Items
	}
	for _, item := range hosts() {
		s.store.Put(item.Key, []byte(`{"instance":7`))
	}
	g.Eventually(func() bool {
		for _, item := range hosts() {
			if string(item.Value) == `{"instance":7` {
				return false
			}
		}
		return true
	}, registrationsKnown, "50ms").Should(BeTrue(), "both have registered again")
	late := s.host("h3", "b1")
	for _, h := range []*host{one, two, late} {
		g.Eventually(names(h), registrationsKnown, "50ms").Should(ContainElements(one.listen.Callers, two.listen.Callers))
	}
}
