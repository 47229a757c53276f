package share_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/share"
)

// Guards against tokens granted twice, or lost, over any series of moves, lapses of the owner's lease, and late or lost transfers.
func TestTransfersConserveTheTokens(t *testing.T) {
	const (
		window         = 5 * time.Second
		step           = 20 * time.Millisecond
		overage, slack = 0.1, 20.0
		hosts          = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c := &catalog.Customer{Name: "c", Rate: float64(rapid.IntRange(5, 100).Draw(t, "rate"))}
		c.Burst = float64(rapid.IntRange(10, 300).Draw(t, "burst"))
		began := time.Unix(1000, 0)
		limiters := make([]*share.Limiter, hosts)
		owner := 0
		setOwner := func(now time.Time, next int) {
			for i, l := range limiters {
				owned := map[string]bool{}
				if i == next {
					owned[c.Name] = false
				}
				l.SetOwned(now, owned)
			}
			owner = next
		}
		for i := range limiters {
			limiters[i] = share.New()
			limiters[i].SetSlack(slack)
			limiters[i].SetRemoteDemand(nil, 1, true)
			limiters[i].SetLease(began.Add(-time.Hour), true)
		}
		setOwner(began.Add(-time.Hour), 0)
		type transfer struct {
			to     int
			tokens float64
			at     time.Duration
		}
		var transfers []transfer
		admitted, lost := 0.0, false
		for at := time.Duration(0); at < window; at += step {
			now := began.Add(at)
			if rapid.IntRange(0, 19).Draw(t, "move") == 0 {
				next := (owner + rapid.IntRange(1, hosts-1).Draw(t, "to")) % hosts
				delay := time.Duration(rapid.IntRange(-1, 60).Draw(t, "delay")) * step
				if rapid.Bool().Draw(t, "lapse") {
					limiters[owner].SetLease(now, false)
					lost = true // what was refilled since the last use
				}
				tokens := limiters[owner].Release(now, c)
				limiters[next].SetLease(now, true)
				setOwner(now, next)
				if delay < 0 {
					lost = true
				} else {
					transfers = append(transfers, transfer{next, tokens, at + delay})
				}
			}
			for i, x := range transfers {
				if x.tokens > 0 && x.at <= at {
					limiters[x.to].Receive(now, c, x.tokens)
					transfers[i].tokens = 0
					lost = lost || x.to != owner
				}
			}
			for limiters[owner].Admit(now, c).Admitted {
				admitted++
			}
		}
		for _, x := range transfers {
			lost = lost || x.tokens > 0
		}
		// Each host begins with the slack once.
		most := (c.Rate*window.Seconds()+c.Burst)*(1+overage) + slack + (hosts-1)*slack/2
		g.Expect(admitted).To(BeNumerically("<=", most))
		if !lost {
			g.Expect(admitted).To(BeNumerically(">=", math.Floor(c.Rate*(window-step).Seconds()+c.Burst)-hosts))
		}
	})
}

// Guards against a burst that is lost, or granted again, because the owner of the bucket has lost its registration.
func TestOwnerWithoutLeaseTransfersWhatItHeld(t *testing.T) {
	g := NewWithT(t)
	c := &catalog.Customer{Name: "c", Rate: 10, Burst: 100}
	now := time.Unix(1000, 0)
	l := share.New()
	l.SetLease(now, true)
	l.SetRemoteDemand(nil, 1, true)
	l.SetOwned(now, map[string]bool{c.Name: true})
	for range 80 {
		g.Expect(l.Admit(now, c).Admitted).To(BeTrue())
	}
	later := now.Add(5 * time.Second)
	l.SetLease(later, false)
	g.Expect(l.Admit(later, c)).To(And(HaveField("Admitted", false), HaveField("NoLease", true)))
	g.Expect(l.Release(later, c)).To(Equal(20.0), "nothing of the time in which another host may have had the rate")
	g.Expect(l.Release(later, c)).To(BeZero())
}

// Guards against transferred tokens that no bucket can hold.
func TestInvalidTransfersAddNothing(t *testing.T) {
	g := NewWithT(t)
	c := &catalog.Customer{Name: "c", Rate: 1, Burst: 10}
	now := time.Unix(1000, 0)
	l := share.New()
	l.SetLease(now, true)
	l.SetRemoteDemand(nil, 1, true)
	for l.Admit(now, c).Admitted {
	}
	for _, tokens := range []float64{math.NaN(), math.Inf(-1), -5, 0} {
		l.Receive(now, c, tokens)
		g.Expect(l.Admit(now, c).Admitted).To(BeFalse())
	}
	l.Receive(now, c, math.Inf(1))
	admitted := 0
	for l.Admit(now, c).Admitted {
		admitted++
	}
	g.Expect(admitted).To(Equal(10), "the depth of the bucket")
}

// Guards against a customer that must wait for its burst although no host can have granted any of it.
func TestUnusedBucketIsFull(t *testing.T) {
	for unused, want := range map[bool]int{true: 10, false: 1} {
		g := NewWithT(t)
		c := &catalog.Customer{Name: "c", Rate: 1, Burst: 10}
		now := time.Unix(1000, 0)
		l := share.New()
		l.SetLease(now, true)
		l.SetRemoteDemand(nil, 1, true)
		l.SetOwned(now, map[string]bool{c.Name: unused})
		admitted := 0
		for l.Admit(now, c).Admitted {
			admitted++
		}
		g.Expect(admitted).To(Equal(want))
	}
}

// Guards against a burst that is lost in a transfer because the demand still counts for the earlier owner.
func TestTransferredBurstIsNotCutByTheDemandOfTheEarlierOwner(t *testing.T) {
	g := NewWithT(t)
	c := &catalog.Customer{Name: "c", Rate: 20, Burst: 100}
	now := time.Unix(1000, 0)
	next := share.New()
	next.SetLease(now, true)
	next.SetRemoteDemand(map[string]float64{c.Name: 10}, 1, true)
	next.SetOwned(now, map[string]bool{c.Name: false})
	next.Receive(now, c, 100)
	admitted := 0
	for next.Admit(now, c).Admitted {
		admitted++
	}
	g.Expect(admitted).To(BeNumerically(">=", 100))
}
