package entryhost

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
)

// version is a large configuration of the store, valid or not.
func version(number int, valid bool) kv.Item {
	service := "s"
	if !valid {
		service = "none"
	}
	return kv.Item{Key: "op/config", Revision: uint64(100 + number), Value: fmt.Appendf(nil,
		`{"version":"r%d","routes":{"columns":["name","host","prefix","kind","service"],"rows":[["r","h","/x/","safe",%q]]},
		"services":{"columns":["name","health-check-path"],"rows":[["s",%q]]},"limits":{}}`, number, service, strings.Repeat("/x", 4000))}
}

// Guards against hosts that go on by an old version because a watcher that refused the newest one confirms them.
func TestPeersLearnOfARefusedConfiguration(t *testing.T) {
	g := NewWithT(t)
	watcher, c := newTestControl(t), newTestControl(t)
	for _, x := range []*control{watcher, c} {
		x.loadState(x.d.now(), []kv.Item{version(1, true)}, true)
	}
	g.Expect(c.digests()).To(Equal(watcher.digests()))
	update := func(items ...kv.Item) {
		before := c.digests()
		for _, item := range items {
			watcher.applyChanges(watcher.d.now(), []kv.Event{{Item: item}})
		}
		g.Expect(watcher.digests()).NotTo(Equal(before))
		c.applyPeerChanges(c.d.now(), changesSince(&watcher.base.journal, before.base, maxChangeBytes))
		g.Expect(c.digests()).To(Equal(watcher.digests()))
	}
	update(version(2, false))
	c.publishState()
	g.Expect(c.d.state.Load().OutdatedSince).NotTo(BeZero())
	g.Expect(c.version()).To(BeEquivalentTo(1))
	update(version(3, true))
	c.publishState()
	g.Expect(c.d.state.Load().OutdatedSince).To(BeZero())
	update(version(4, false), version(5, true))
	g.Expect(c.version()).To(BeEquivalentTo(5), "patches of several versions follow each other")
	copied := newTestControl(t)
	items, _ := c.pageOf(fleet.Scope_SCOPE_BASE, "")
	copied.loadState(copied.d.now(), []kv.Item{itemOf(items[0])}, false)
	g.Expect(copied.digests().base).To(Equal(c.digests().base))
}

// Guards against withdrawn keys that work anew at a host which reads late, and refuses, the version without them.
func TestRefusedConfigurationAgesFromTheLastConfirmation(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	c.loadState(now, []kv.Item{version(1, true)}, true)
	confirmedAt := now.Add(-10 * time.Second)
	c.confirm(confirmedAt, confirmedByWatch)
	for _, number := range []int{2, 3} {
		c.handleChanges(c.completeTo(), kv.Changes{Revision: uint64(100 + number), Events: []kv.Event{{Item: version(number, false)}}}, now)
		c.publishState()
		g.Expect(c.d.state.Load().OutdatedSince).To(Equal(confirmedAt))
	}
	unconfirmed := newTestControl(t)
	unconfirmed.loadState(now, []kv.Item{version(1, true)}, true)
	unconfirmed.applyChanges(now, []kv.Event{{Item: version(2, false)}})
	unconfirmed.publishState()
	g.Expect(now.Sub(unconfirmed.d.state.Load().OutdatedSince)).To(BeNumerically(">", time.Hour))
}
