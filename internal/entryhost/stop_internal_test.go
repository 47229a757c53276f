package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stop with a short grace that cuts off running requests long before the grace ends.
func TestStopUsesMostOfAnyGraceForRequests(t *testing.T) {
	for _, grace := range []time.Duration{
		100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute,
	} {
		t.Run(grace.String(), func(t *testing.T) {
			g := NewWithT(t)
			s := newStopSchedule(grace)
			g.Expect(s.accept).To(BeNumerically(">=", grace/2))
			g.Expect(s.answer).To(BeNumerically(">=", grace*5/6))
			g.Expect(s.answer).To(And(BeNumerically(">", s.accept), BeNumerically("<", s.wait)))
			g.Expect(s.wait).To(BeNumerically("<", s.exit))
			g.Expect(s.exit).To(BeNumerically("<", grace))
		})
	}
}

// Guards against settings with which a host stops at once, or accepts no key.
func TestFaultySettingsOfBounds(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ path, bounds string }{
		{"/bounds/grace", `{"grace": "0s"}`},
		{"/bounds/grace", `{"grace": "-6s"}`},
		{"/bounds/revoke", `{"revoke": "-5s"}`},
	} {
		_, err := ParseSettings("test", []byte(`{"bounds": `+c.bounds+`}`))
		g.Expect(err).To(MatchError(ContainSubstring(c.path)), c.bounds)
	}
}
