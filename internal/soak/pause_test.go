package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsambarrow/internal/standin"
)

const (
	// rejectionPause is the pause that rejections of the soak ask for.
	rejectionPause = 1500 * time.Millisecond
	// pauseReaction is how long a host that was rejected may go on sending, and maxDuringPause
	// the number of requests that it may send in the rest of the pause.
	pauseReaction  = 500 * time.Millisecond
	maxDuringPause = 2
)

// rejectionSpan is a period in which an upstream rejected all requests.
type rejectionSpan struct {
	upstream   *upstream
	start, end time.Time
}

// rejectAtUpstreams makes one upstream after another reject all requests for a while, until
// stop is closed.
func (c *cluster) rejectAtUpstreams(rng *rand.Rand, stop <-chan struct{}) {
	for {
		u, length := c.upstreams[rng.IntN(len(c.upstreams))], time.Duration(500+rng.IntN(3000))*time.Millisecond
		c.logFault("upstream %s rejects for %v and asks for pauses of %v", u.standIn.ID, length, rejectionPause)
		start := time.Now()
		u.standIn.Reject(rejectionPause)
		stopped := sleepUntil(stop, length)
		c.rejections = append(c.rejections, rejectionSpan{u, start, time.Now()})
		if stopped {
			return
		}
		u.standIn.Reject(0)
		if sleepUntil(stop, time.Duration(rng.IntN(1500))*time.Millisecond) {
			return
		}
	}
}

// sleepUntil waits for d, or until stop is closed, which it reports.
func sleepUntil(stop <-chan struct{}, d time.Duration) (stopped bool) {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// checkPauses checks that each host leaves an upstream that has rejected one of its requests
// alone for the pause that the upstream asked for.
func (c *cluster) checkPauses(requests []callerRequest) {
	hosts := map[string]*daemonProcess{}
	for _, r := range requests {
		hosts[r.id] = r.host
	}
	rejections, most := 0, 0
	for _, u := range c.upstreams {
		arrivals := slices.Concat(u.standIn.Runs(), u.standIn.Rejected())
		for _, rejected := range u.standIn.Rejected() {
			h := hosts[rejected.ID]
			if h == nil || h.disturbedBetween(rejected.At, rejected.At.Add(rejectionPause)) {
				continue
			}
			rejections++
			n := arrivalsDuringPause(arrivals, hosts, h, rejected.At)
			most = max(most, n)
			if n > maxDuringPause {
				c.reporter.Errorf("%s rejected %s of %s and got %d requests from it during the pause, allowed %d",
					u.standIn.ID, rejected.ID, h.name, n, maxDuringPause)
			}
		}
	}
	c.reporter.Logf("%d rejections, up to %d requests of one host during a pause, allowed %d", rejections, most, maxDuringPause)
}

func arrivalsDuringPause(arrivals []standin.PlatformRun, hosts map[string]*daemonProcess, h *daemonProcess, rejectedAt time.Time) int {
	n := 0
	for _, a := range arrivals {
		if hosts[a.ID] == h && a.At.After(rejectedAt.Add(pauseReaction)) && a.At.Before(rejectedAt.Add(rejectionPause)) {
			n++
		}
	}
	return n
}
