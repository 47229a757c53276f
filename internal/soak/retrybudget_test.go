package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/standin"
)

// The retry budget of the hosts' settings.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 60
)

// checkRetryBudget checks the number of arrivals at upstreams beyond the first of each request, over all
// hosts and their restarts, in each window of the retry budget.
func (c *cluster) checkRetryBudget(requests []callerRequest) {
	var sent, retries []time.Time
	arrivals := map[string][]time.Time{}
	for _, u := range c.upstreams {
		for _, run := range slices.Concat(u.standIn.Runs(), u.standIn.Rejected()) {
			arrivals[run.ID] = append(arrivals[run.ID], run.At)
		}
	}
	for _, r := range requests {
		sent = append(sent, r.startedAt)
		times := arrivals[r.id]
		slices.SortFunc(times, time.Time.Compare)
		retries = append(retries, times[min(1, len(times)):]...)
	}
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(retries, time.Time.Compare)
	most, allowed := 0, 0.0
	for i, end := range retries {
		n := i + 1 - firstAfter(retries, end.Add(-retryWindow))
		budget := retryRatio*float64(firstAfter(sent, end)-firstAfter(sent, end.Add(-retryWindow))) + retrySlack
		if i == 0 || float64(n)-budget > float64(most)-allowed {
			most, allowed = n, budget
		}
	}
	c.reporter.Logf("%d retries in %v, allowed %.0f", most, retryWindow, allowed)
	if float64(most) > allowed {
		c.reporter.Errorf("%d retries in %v, allowed %.0f", most, retryWindow, allowed)
	}
}

// firstAfter returns the index of the first time after t.
func firstAfter(times []time.Time, t time.Time) int {
	return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
}

// checkTimeLimits checks that each upstream was told a time limit within that of the caller and the route.
func (c *cluster) checkTimeLimits() {
	for _, u := range c.upstreams {
		for _, run := range slices.Concat(u.standIn.Runs(), u.standIn.Rejected()) {
			ms, err := strconv.ParseInt(run.TimeLimit, 10, 64)
			if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > standin.RouteTimeout {
				c.reporter.Errorf("%s: %s was told the time limit %q", run.ID, u.standIn.ID, run.TimeLimit)
			}
		}
	}
}

// restartSeed determines which responses are lost in TestRetryBudgetHoldsOverRestarts.
const restartSeed = 53

// Guards against retries beyond the budget while all hosts are killed again and again and upstreams lose most responses.
func TestRetryBudgetHoldsOverRestarts(t *testing.T) {
	c := newCluster(t, daemonBinary(t), equalFleet, false)
	defer c.close()
	c.awaitServing()
	t.Logf("seed %d", restartSeed)
	for _, u := range c.upstreams {
		u.standIn.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			if xxhash.Sum64String(fmt.Sprint(restartSeed, u.standIn.ID, r.Header.Get("X-Request-Id")))%10 < 7 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("X-Response-Signature", "signed")
			_, _ = fmt.Fprintf(w, "%s ran %s", u.standIn.ID, r.Header.Get("X-Request-Id"))
		})
	}
	const callers = 3
	requests := make([][]callerRequest, callers)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			for n := 0; !sleepUntil(stop, 20*time.Millisecond); n++ {
				r := callerRequest{id: fmt.Sprintf("r%d-%d", i, n), key: "steady", host: c.processes[n%len(c.processes)]}
				requests[i] = append(requests[i], c.sendRequest(&http.Client{Timeout: time.Second}, r))
			}
		})
	}
	for range 4 {
		time.Sleep(2 * time.Second)
		for _, h := range c.processes {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range c.processes {
			h.awaitExit()
			c.startProcess(h)
		}
	}
	close(stop)
	wait.Wait()
	c.checkRetryBudget(slices.Concat(requests...))
	c.checkTimeLimits()
}
