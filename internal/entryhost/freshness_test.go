package entryhost_test

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
)

// newLoggedSite returns a site whose logs are printed if the test fails.
func newLoggedSite(t *testing.T) (*site, *syncBuffer) {
	s, logs := newSite(t), &syncBuffer{}
	s.logs = logs
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	return s, logs
}

// Guards against a request of which no log line says by which state it was decided, and what had confirmed that.
func TestLogsNameWhatConfirmedTheState(t *testing.T) {
	g := NewWithT(t)
	s, logs := newLoggedSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	for i, zone := range []string{"a1", "a2", "a1"} {
		s.host(fmt.Sprint("h-", i), zone)
	}
	s.awaitServing()
	g.Eventually(logs.String, "5s", "20ms").Should(MatchRegexp(`msg="state confirmed" .* by=127\.0\.0\.1:\d+ .* version=4 revision=\d+`))
	g.Expect(logs.String()).To(MatchRegexp(`msg="store listed" .* stale=true .* revision=\d+`))
	g.Expect(s.call(s.hosts[0], "GET", "/read/1", "withdrawn", "").status).To(Equal(http.StatusUnauthorized))
	g.Eventually(logs.String, "2s", "20ms").Should(MatchRegexp(`msg=refused .* cause=unknown-key .* age=\S+ version=4 confirmed_by=\S+ revision=\d+`))
	g.Eventually(func() string { return s.metrics(s.hosts[0]) + s.metrics(s.hosts[1]) + s.metrics(s.hosts[2]) }, "5s", "20ms").Should(And(
		ContainSubstring(`balsambarrow_state_confirmations_total{by="peer"}`),
		ContainSubstring(`balsambarrow_state_confirmations_total{by="watch"}`),
	))
}

// Guards against a request that an outdated state served in time, and of which there is no line.
func TestRequestServedByAnOldStateIsLogged(t *testing.T) {
	g := NewWithT(t)
	s, logs := newLoggedSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	shutter, address := s.gate()
	h := s.hostWith("h0", "a1", hostOptions{store: address})
	s.awaitServing()
	shutter.shut.Store(true)
	time.Sleep(1700 * time.Millisecond)
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	g.Eventually(logs.String, "2s", "20ms").Should(MatchRegexp(`msg=answered .* id=id-%d .* age=\d\S+ version=4 confirmed_by=watch revision=\d+`, s.serial.Load()))
}

// unconfirmedPeer responds like a process of an earlier build that was never confirmed and has the same state.
func unconfirmedPeer(t *testing.T, address string) (answered *atomic.Int64) {
	const ageOfZeroTimeUs = uint64(math.MaxInt64/time.Microsecond) + 1
	var transport *fleet.Transport
	NewWithT(t).Eventually(func() (err error) {
		transport, err = fleet.Listen(address)
		return err
	}, "2s", "1ms").Should(Succeed())
	answered = &atomic.Int64{}
	go transport.Receive(t.Context(), func(p *fleet.Packet, from string) {
		q := p.GetConfirmRequest()
		if q == nil || q.Page != nil {
			return
		}
		a := &fleet.ConfirmAnswer{
			Id: q.Id, Base: q.Base, Upstreams: q.Upstreams, Hosts: q.Hosts, AgeUs: ageOfZeroTimeUs, HostsAgeUs: ageOfZeroTimeUs,
		}
		if transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_ConfirmAnswer{ConfirmAnswer: a}}, from) == nil {
			answered.Add(1)
		}
	}, func(error) {})
	return answered
}

// Guards against a withdrawn key that a host without the store accepts, after a peer was restarted.
func TestWithdrawnKeyIsRefusedAfterRestartOfPeer(t *testing.T) {
	const revoke = 5 * time.Second // as in the settings of the site
	g := NewWithT(t)
	s, _ := newLoggedSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	gates := map[*host]*gate{}
	for i, zone := range []string{"a1", "a2"} {
		shutter, address := s.gate()
		gates[s.hostWith(fmt.Sprint("h", i), zone, hostOptions{store: address})] = shutter
	}
	s.awaitServing()
	watches := func(h *host) bool { return strings.Contains(s.metrics(h), "balsambarrow_watches_store 1") }
	g.Eventually(func() bool { return watches(s.hosts[0]) != watches(s.hosts[1]) }, "10s", "20ms").Should(BeTrue())
	watcher, other := s.hosts[0], s.hosts[1]
	if watches(other) {
		watcher, other = other, watcher
	}
	watcher.stopped.Store(true)
	watcher.daemon.Kill()
	answered := unconfirmedPeer(t, watcher.listen.Peers)
	g.Eventually(answered.Load, "5s", "1ms").Should(BeNumerically(">", 0))
	gates[other].shut.Store(true)
	s.declare(5)
	time.Sleep(revoke)
	g.Expect(s.read(other).status).To(Equal(http.StatusServiceUnavailable))
}

// Guards against a withdrawn key that a host accepts, because one page of its first listing was older than the rest.
func TestWithdrawnKeyIsRefusedAfterListingOfUnequalPages(t *testing.T) {
	g := NewWithT(t)
	s, _ := newLoggedSite(t)
	s.store.PageItems = 1
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	old := s.store.Revision("op/config")
	s.declare(5)
	s.worker("i-2", "s", "a1", 0)
	s.store.SetStalePages(old)
	h := s.host("h0", "a1")
	g.Eventually(h.ready, "10s", "20ms").Should(BeTrue())
	g.Expect(s.read(h).status).To(Equal(http.StatusUnauthorized))
}
