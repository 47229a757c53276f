package entryhost

import (
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
)

// Guards against a delayed response to a previous process. A host sends a confirmation request,
// is killed and starts again at the same address. The response arrives after the new process
// has sent its first request. If it matched that request, it would confirm a version for a time
// after the response was sent, and a withdrawn API key would go on working; a token granted to
// one caller would admit another.
func TestResponsesToPreviousProcessAreIgnored(t *testing.T) {
	g := NewWithT(t)
	before, after := newConfirmRequests(), newConfirmRequests()
	first, second := before.nextID(), after.nextID()
	g.Expect(first).NotTo(Equal(second))
	g.Expect(before.nextID()).NotTo(Equal(first))

	old, tokens := newTokens(nil), newTokens(nil)
	id, answer := tokens.newRequest()
	tokens.handlePacket(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: &fleet.TokenAnswer{Id: old.lastID + 1, Granted: true}}}, "")
	g.Expect(answer).To(BeEmpty())
	tokens.handlePacket(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: &fleet.TokenAnswer{Id: id, Granted: true}}}, "")
	g.Expect(answer).To(Receive())
}
