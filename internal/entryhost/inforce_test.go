package entryhost_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/platform"
)

// declareWithoutKeys writes the declared configuration as the given version, without customers.
func (s *site) declareWithoutKeys(version int) {
	g := NewWithT(s.t)
	store := platform.NewStore(s.server.URL, (&net.Dialer{}).DialContext, func(string, error) {})
	defer store.Close()
	item, err := store.Get(context.Background(), "op/config")
	g.Expect(err).NotTo(HaveOccurred())
	var config map[string]any
	g.Expect(json.Unmarshal(item.Value, &config)).To(Succeed())
	delete(config, "tenants")
	config["version"] = fmt.Sprintf("r%d", version)
	value, err := json.Marshal(config)
	g.Expect(err).NotTo(HaveOccurred())
	s.store.Put("op/config", value)
}

// Guards against a denial of a request, or a key that an upstream sees, as a version without customers comes into force meanwhile.
func TestRequestIsServedOnceNoKeysAreRequired(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	u := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	c, err := net.Dial("tcp", h.listen.Callers)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /post/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: slow\r\nAuthorization: Bearer k1\r\nContent-Length: 10\r\n\r\nfirst")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() string { return s.metrics(h) }, "5s", "10ms").Should(ContainSubstring("balsambarrow_caller_connections 1\n"))
	s.declareWithoutKeys(5)
	g.Eventually(func() string { return s.metrics(h) }, "5s", "10ms").Should(ContainSubstring("balsambarrow_configuration_version 5\n"))
	_, err = fmt.Fprint(c, "later")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	run := u.Runs()[len(u.Runs())-1]
	g.Expect(run.ID).To(Equal("slow"))
	g.Expect(run.Key).To(BeEmpty())
}
