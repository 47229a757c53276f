package traffic_test

import (
	"errors"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/traffic"
)

// Guards against a time limit of zero or less, which upstreams read as none.
func TestTimeLimitIsPositive(t *testing.T) {
	g := NewWithT(t)
	for _, remaining := range []time.Duration{math.MinInt64, -time.Second, -1, 0, time.Millisecond - 1} {
		_, err := traffic.NewTimeLimit(remaining)
		var none *traffic.NoTimeError
		g.Expect(errors.As(err, &none)).To(BeTrue())
		g.Expect(none.Remaining).To(Equal(remaining))
	}
	for remaining, ms := range map[time.Duration]int64{time.Millisecond: 1, 1999 * time.Microsecond: 1, time.Minute: 60_000} {
		l, err := traffic.NewTimeLimit(remaining)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Milliseconds()).To(Equal(ms))
	}
	g.Expect(traffic.TimeLimit{}.Milliseconds()).To(Equal(int64(1)))
}
