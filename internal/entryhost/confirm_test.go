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
func TestAnswersToAnEarlierProcessAreStrangers(t *testing.T) {
	g := NewWithT(t)
	before, after := newConfirms(), newConfirms()
	first, second := before.next(), after.next()
	g.Expect(first).NotTo(Equal(second))
	g.Expect(before.next()).NotTo(Equal(first))

	old, tokens := newTokens(nil), newTokens(nil)
	id, answer := tokens.expect()
	tokens.receive(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: &fleet.TokenAnswer{Id: old.last + 1, Granted: true}}}, "")
	g.Expect(answer).To(BeEmpty())
	tokens.receive(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: &fleet.TokenAnswer{Id: id, Granted: true}}}, "")
	g.Expect(answer).To(Receive())
}
