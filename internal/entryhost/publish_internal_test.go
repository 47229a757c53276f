package entryhost

import (
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
)

// Guards against requests that are decided as if no other host could serve them, or the other way round.
func TestPublishedStateTellsWhetherOthersAreReady(t *testing.T) {
	for name, test := range map[string]struct {
		peers []fleet.Member
		want  bool
	}{
		"no host":                {nil, false},
		"a host that is ready":   {[]fleet.Member{{Instance: "x"}, {Instance: "y", Ready: true}}, true},
		"a host that is leaving": {[]fleet.Member{{Instance: "x", Ready: true, Leaving: true}}, false},
		"a standby":              {[]fleet.Member{{Instance: "x"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(t)
			c.ready, c.published.peers = true, test.peers
			c.publishHosts(c.d.now())
			c.publishState()
			NewWithT(t).Expect(c.d.state.Load().OthersReady).To(Equal(test.want))
		})
	}
}
