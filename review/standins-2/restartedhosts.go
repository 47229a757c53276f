package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	// customerRate and customerBurst are the quota of the customer, and customerDemand is how many
	// requests per second it sends over all hosts for hotTime: eight times its usual number, of which its
	// rate is 1.6 times.
	customerRate   = 3
	customerBurst  = 3
	customerDemand = 8 * customerRate / 1.6
	hotTime        = 9 * time.Second
	// quotaWindow, quotaOverage and quotaSlack are bounds of the deployment.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// kills is how often all processes are killed, killInterval the time between two kills, and
	// restartDelay the time until the platform starts them again.
	kills        = 3
	killInterval = 1500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// beforeKills is how long the customer sends before the first kill.
	beforeKills      = time.Second
	requestTimeLimit = time.Second
	shortWork        = 20 * time.Millisecond
)

// showRestartedHosts kills all processes several times while a customer sends more than its quota.
func showRestartedHosts(d *deployment) (broken bool, err error) {
	const service = "egyenleg"
	routes := [][]any{{"balance", callerHost, "/balance/", "safe", "2000ms", "500ms", 1, 1, false, false, service}}
	if err := d.putConfiguration(1, routes, [][]any{{service, "/health", 330, "3s", 5.9}}, [][]any{{customer, []string{apiKey}, customerRate, customerBurst}}); err != nil {
		return false, err
	}
	homes := []string{"kozep-a", "alfold-a", "dunantul-a", "kozep-b", "alfold-b", "dunantul-b"}
	var upstreams []*upstream
	for i := range 2 * len(homes) {
		u, err := d.startUpstream(fmt.Sprintf("i-%d", i), service, homes[i%len(homes)], 4)
		if err != nil {
			return false, err
		}
		u.work = shortWork
		upstreams = append(upstreams, u)
	}
	hosts, err := d.startHosts(homes...)
	if err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sender := &steadySender{sentAt: map[string]time.Time{}, statuses: map[int]int{}}
	for i, h := range hosts {
		go sender.send(ctx, i, h.callers, customerDemand/float64(len(hosts)))
	}
	time.Sleep(beforeKills)
	if err := d.killAll(hosts); err != nil {
		return false, err
	}
	time.Sleep(hotTime - beforeKills - kills*killInterval)
	stop()
	time.Sleep(requestTimeLimit)
	return sender.exceedsQuota(d.log, upstreams), nil
}

// killAll kills all processes several times, in a run with the disruption, and starts them again.
func (d *deployment) killAll(hosts []*host) error {
	if !d.trouble {
		time.Sleep(kills * killInterval)
		return nil
	}
	for range kills {
		d.log.printf("SIGKILL to all hosts")
		for _, h := range hosts {
			if err := h.signal(syscall.SIGKILL); err != nil {
				return err
			}
		}
		for _, h := range hosts {
			<-h.ended
		}
		time.Sleep(restartDelay)
		for _, h := range hosts {
			if err := d.startProcess(h); err != nil {
				return err
			}
		}
		time.Sleep(killInterval - restartDelay)
	}
	return nil
}

// steadySender sends requests at a fixed rate, whether or not earlier ones have been answered.
type steadySender struct {
	mu       sync.Mutex
	sentAt   map[string]time.Time
	statuses map[int]int
}

func (s *steadySender) send(ctx context.Context, number int, address string, perSecond float64) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	c := &caller{address, &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: requestTimeLimit}}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		go func() {
			id := fmt.Sprintf("r-%d-%d", number, i)
			s.mu.Lock()
			s.sentAt[id] = time.Now()
			s.mu.Unlock()
			a := c.send(http.MethodGet, "/balance/"+id, id, requestTimeLimit, nil)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.statuses[a.status]++
		}()
	}
}

// admitted is a request that ran.
type admitted struct{ sentAt, ranAt time.Time }

// exceedsQuota reports whether more requests than the quota allows were both sent and run in some window.
func (s *steadySender) exceedsQuota(log *record, upstreams []*upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []admitted
	for id, sentAt := range s.sentAt {
		for _, u := range upstreams {
			if x, ok := u.runOf(id); ok {
				log.printf("ran: %s, sent %.3f, at %s %.3f", id, sentAt.Sub(log.began).Seconds(), x.upstream, x.began.Sub(log.began).Seconds())
				all = append(all, admitted{sentAt, x.began})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sentAt.Before(all[j].sentAt) })
	most, from := 0, time.Time{}
	for i, first := range all {
		n := 0
		for _, x := range all[i:] {
			if !x.ranAt.After(first.sentAt.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sentAt
		}
	}
	allowed := (customerRate*quotaWindow.Seconds()+customerBurst)*(1+quotaOverage) + quotaSlack
	log.printf("%d requests sent, answers by status %v", len(s.sentAt), s.statuses)
	log.printf("%d requests of the customer were sent and run in the 5 s from %.3f; allowed %.0f", most, from.Sub(log.began).Seconds(), allowed)
	return float64(most) > allowed
}
