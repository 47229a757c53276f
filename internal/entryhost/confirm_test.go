package entryhost

import (
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
)

// A host asks what the store holds, is killed and starts again, with the address that
// it had. The answer to its old question, held up on the way, comes when the new
// process has asked for the first time. Taken for the answer to that, it would confirm
// a version for a time after it was given, and a key that was withdrawn meanwhile would
// go on working; a token that was granted to one caller would admit another.
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
