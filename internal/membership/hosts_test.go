package membership_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/standin"
	"balsambarrow/platform"
)

// Somebody has written a broken line into the host list. The other hosts are found,
// and the broken line is named for the log.
func TestBrokenLineOfTheHostList(t *testing.T) {
	g := NewWithT(t)
	fake := standin.NewKVStore()
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	host := membership.Host{Name: "vt-1", Zone: "vt-a", State: membership.HostLeaving, PeerAddress: "10.0.0.1:7"}
	fake.Put(membership.HostKey("vt-1"), host.Encode())
	fake.Put(membership.HostKey("vt-2"), []byte("{"))
	store := platform.NewStore(server.URL, (&net.Dialer{}).DialContext, func(string, error) {})
	hosts, unreadable, err := membership.ListHosts(context.Background(), store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts).To(Equal([]membership.Host{host}))
	g.Expect(unreadable).To(Equal([]string{membership.HostKey("vt-2")}))
}
