package share_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/share"
)

// Guards against a customer that gets more than its rate and burst because each restart of the owner of its bucket
// grants a part of the burst again.
func TestRestartsDoNotRenewTheBurst(t *testing.T) {
	const (
		window          = 5 * time.Second
		step            = 10 * time.Millisecond
		overage, slack  = 0.1, 20.0
		restartInterval = 1500 * time.Millisecond
	)
	c := &catalog.Customer{Name: "c", Rate: 20, Burst: 200}
	for restarts := range 4 {
		t.Run(fmt.Sprint(restarts, " restarts"), func(t *testing.T) {
			g := NewWithT(t)
			began := time.Unix(1000, 0)
			start := func(now time.Time) *share.Limiter {
				l := share.New()
				l.SetSlack(slack)
				l.SetRemoteDemand(nil, 1, true)
				l.SetLease(now, true)
				return l
			}
			// The bucket is full when the customer begins to send more than its rate.
			l, admitted := start(began.Add(-time.Minute)), 0.0
			l.Admit(began.Add(-time.Minute), c)
			for at := time.Duration(0); at < window; at += step {
				if n := at / restartInterval; at > 0 && at%restartInterval == 0 && int(n) <= restarts {
					l = start(began.Add(at))
				}
				if l.Admit(began.Add(at), c).Admitted {
					admitted++
				}
				for l.Admit(began.Add(at), c).Admitted {
					admitted++
				}
			}
			g.Expect(admitted).To(BeNumerically("<=", (c.Rate*window.Seconds()+c.Burst)*(1+overage)+slack))
		})
	}
}

// Guards against a burst that each host grants again when it becomes the owner of the customer's bucket.
func TestMovesOfTheOwnerDoNotRenewTheBurst(t *testing.T) {
	const (
		window         = 5 * time.Second
		step           = 10 * time.Millisecond
		overage, slack = 0.1, 20.0
		moveInterval   = 1200 * time.Millisecond
	)
	c := &catalog.Customer{Name: "c", Rate: 20, Burst: 200}
	for moves := range 4 {
		t.Run(fmt.Sprint(moves, " moves"), func(t *testing.T) {
			g := NewWithT(t)
			began := time.Unix(1000, 0)
			hosts := []*share.Limiter{share.New(), share.New()}
			setOwner := func(now time.Time, owner int) {
				for i, l := range hosts {
					owned := map[string]bool{}
					if i == owner {
						owned[c.Name] = false
					}
					l.SetOwned(now, owned)
				}
			}
			for _, l := range hosts {
				l.SetSlack(slack)
				l.SetRemoteDemand(nil, 1, true)
				l.SetLease(began.Add(-time.Minute), true)
				setOwner(began.Add(-time.Minute), 0)
			}
			owner, admitted := 0, 0.0
			for at := time.Duration(0); at < window; at += step {
				if n := at / moveInterval; at > 0 && at%moveInterval == 0 && int(n) <= moves {
					owner = 1 - owner
					setOwner(began.Add(at), owner)
				}
				for hosts[owner].Admit(began.Add(at), c).Admitted {
					admitted++
				}
			}
			g.Expect(admitted).To(BeNumerically("<=", (c.Rate*window.Seconds()+c.Burst)*(1+overage)+slack))
			g.Expect(admitted).To(BeNumerically(">=", c.Rate*window.Seconds()+c.Burst), "the customer gets its rate and its burst")
		})
	}
}
