package share_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/share"
)

// Guards against regions that are cut off from each other and together grant a customer more than its rate.
func TestRegionsThatDoNotHearEachOtherStayWithinTheRate(t *testing.T) {
	const (
		step, heartbeat, timeout = 10 * time.Millisecond, 250 * time.Millisecond, 1300 * time.Millisecond
		cut, hot, end            = 20 * time.Second, 20500 * time.Millisecond, 30 * time.Second
		window                   = 5 * time.Second
		usualPerStep, hotPerStep = 1, 14 // requests of all regions together, of .7 and 10 times the rate
	)
	g := NewWithT(t)
	c := &catalog.Customer{Name: "c", Rate: 140, Burst: 140}
	began := time.Unix(1000, 0)
	limiters := make([]*share.Limiter, 3)
	heard := make([][3]map[string]float64, 3)
	for i := range limiters {
		limiters[i] = share.New()
		limiters[i].SetSlack(20)
		limiters[i].SetLease(began.Add(-time.Hour), true)
	}
	var admitted []time.Duration
	for at := time.Duration(0); at < end; at += step {
		now := began.Add(at)
		if at%heartbeat == 0 {
			for from, l := range limiters {
				demand := l.AnnounceDemand(now)
				for to := range limiters {
					// The regions 0 and 1 are cut off from each other; 2 hears both.
					if to != from && (at < cut || from == 2 || to == 2) {
						heard[to][from] = demand
					}
				}
			}
			for i, l := range limiters {
				remote := map[string]float64{}
				for _, demand := range heard[i] {
					remote[c.Name] += demand[c.Name]
				}
				l.SetRemoteDemand(remote, len(limiters), at > heartbeat)
				l.SetOwnersUnheard(i < 2 && at >= cut+timeout)
			}
		}
		requests := usualPerStep
		if at >= hot {
			requests = hotPerStep
		}
		for i := range requests {
			region := (i + int(at/step)) % len(limiters)
			if limiters[region].Admit(now, c).Admitted {
				admitted = append(admitted, at)
			}
		}
	}
	most := 0
	for first, last := 0, 0; last < len(admitted); last++ {
		for admitted[last]-admitted[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	g.Expect(float64(most)).To(BeNumerically("<=", (c.Rate*window.Seconds()+c.Burst)*1.1+20))
	g.Expect(len(admitted)).To(BeNumerically(">=", 21*70), "callers within the rate are served")
}
