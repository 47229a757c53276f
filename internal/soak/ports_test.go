package soak

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that does not start because a socket of another process was assigned its port.
func TestDaemonsHaveNoEphemeralPorts(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	g.Expect(err).NotTo(HaveOccurred())
	first, err := strconv.Atoi(strings.Fields(string(text))[0])
	g.Expect(err).NotTo(HaveOccurred())
	seen := map[string]bool{}
	for range 100 {
		address := freeAddress(t)
		g.Expect(seen).NotTo(HaveKey(address))
		seen[address] = true
		g.Expect(netip.MustParseAddrPort(address).Port()).To(BeNumerically("<", first))
	}
}
