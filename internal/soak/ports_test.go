package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against two processes of tests whose daemons take each other's ports while they restart.
func TestPortBlockIsHeldByOneProcess(t *testing.T) {
	g := NewWithT(t)
	first, err := portBlock()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", first))
	g.Expect(err).To(MatchError(syscall.EADDRINUSE))
	for range 3 * portsPerProcess {
		port := int64(netip.MustParseAddrPort(freeAddress(t)).Port())
		g.Expect(port).To(And(BeNumerically(">", first), BeNumerically("<", first+portsPerProcess)))
	}
}

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
