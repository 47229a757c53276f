package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
)

const (
	// lapseSpan is how long callers send requests.
	lapseSpan = 32 * time.Second
	// leaseTime exceeds the time after which the registration of a host lapses that cannot renew it.
	leaseTime = 5 * time.Second
	// hotCallers is the number of callers of the customer that sends many times its rate.
	hotCallers = 8
	// largeBurst is the burst of that customer: more than its rate lets through in the window that is checked.
	largeBurst = 300
)

// Guards against a customer that gets more than its rate and burst while registrations lapse and owners of its bucket are suspended.
func TestRateHoldsWhileRegistrationsLapse(t *testing.T) {
	t.Parallel()
	binary := daemonUnderTest(t)
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runLapses(t, binary, seed) })
	}
}

func runLapses(t *testing.T, binary string, seed uint64) {
	t.Logf("seed %d, callers run for %v", seed, lapseSpan)
	c := newCluster(t, binary, linkFleet, false)
	defer c.close()
	c.burst = largeBurst
	c.writeConfig()
	c.awaitServing()
	stop := make(chan struct{})
	var tasks, callers sync.WaitGroup
	tasks.Go(func() { c.runHeartbeats(stop) })
	tasks.Go(func() { c.lapseRegistrations(rand.New(rand.NewPCG(seed, 1)), stop) })
	for i := range hotCallers {
		callers.Go(func() { c.runHotCaller(rand.New(rand.NewPCG(seed, uint64(100+i))), i) })
	}
	callers.Wait()
	close(stop)
	tasks.Wait()
	var runs []time.Time
	for _, u := range c.upstreams {
		for _, r := range u.standIn.Runs() {
			if r.Customer == standin.RateLimitedCustomer {
				runs = append(runs, r.At)
			}
		}
	}
	c.checkRate(runs)
	if t.Failed() {
		t.Logf("injected faults: %v", c.faultLog)
	}
}

// lapseRegistrations keeps hosts from the store for longer than their registrations last, suspends and kills them, until stop is
// closed. The faults overlap.
func (c *cluster) lapseRegistrations(rng *rand.Rand, stop <-chan struct{}) {
	var active sync.WaitGroup
	defer active.Wait()
	for !sleepUntil(stop, time.Duration(300+rng.IntN(1500))*time.Millisecond) {
		h, mode := c.processes[rng.IntN(len(c.processes))], proxyMode(2+rng.IntN(int(modeCount)-2))
		length := time.Duration(rng.Int64N(int64(2 * leaseTime)))
		kind := rng.IntN(8)
		c.logFault("kind %d: host %s, proxy mode %d, for %v", kind, h.name, mode, length)
		active.Go(func() {
			switch kind {
			case 0:
				h.signal(syscall.SIGCONT)
				h.signal(syscall.SIGKILL)
				c.restart(h)
			case 1, 2, 3:
				h.signal(syscall.SIGSTOP)
				sleepUntil(stop, length)
				h.signal(syscall.SIGCONT)
			default:
				h.proxy.setMode(mode)
				sleepUntil(stop, length)
				h.proxy.setMode(modePass)
			}
		})
	}
}

// runHotCaller sends few requests and then as many as it can, in turn, so that buckets are full when faults begin.
func (c *cluster) runHotCaller(rng *rand.Rand, number int) {
	const phase = 8 * time.Second
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	began := time.Now()
	for n := 0; ; n++ {
		at := time.Since(began)
		if at >= lapseSpan {
			return
		}
		c.sendRequest(client, callerRequest{
			id: fmt.Sprintf("hot%d-%d", number, n), post: rng.IntN(2) == 0, key: standin.RateLimitedKey, host: c.processes[rng.IntN(len(c.processes))],
		})
		if at%(2*phase) < phase {
			time.Sleep(time.Duration(rng.Int64N(int64(phase / 4))))
		}
	}
}
