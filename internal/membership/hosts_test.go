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

// An entry of the host list cannot be decoded. The other hosts are returned,
// and the key of the broken entry is reported for the log.
func TestListHostsReportsUnreadableEntries(t *testing.T) {
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
