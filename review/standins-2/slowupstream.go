package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of an upload, and uploadTimeLimit its time limit.
	uploadBytes     = 240 << 10
	uploadTimeLimit = 5 * time.Second
	uploads         = 8
	// readingPause is how long the upstreams work on the first part of an upload before they read
	// on, in a run with the disruption.
	readingPause = 1800 * time.Millisecond
	uploadWork   = 1200 * time.Millisecond
	// calmTime is how long the deployment runs before the planned stop.
	calmTime = 6 * time.Second
	// beforeStop is the time between the uploads and the planned stop.
	beforeStop = 300 * time.Millisecond
)

// showSlowUpstream stops a host as planned while upstreams read uploads slowly.
func showSlowUpstream(d *deployment) (broken bool, err error) {
	const service = "pod-store"
	routes := [][]any{
		{"sheet", callerHost, "/sheet/", "safe", "4000ms", "500ms", 1, 2, false, false, service},
		{"photo", callerHost, "/photo/", "upload", "5000ms", "600ms", 1, 2, false, false, service},
	}
	if err := d.putConfiguration(1, routes, [][]any{{service, "/health", 360, "3s", 4.3}}, [][]any{{customer, []string{apiKey}, 0, 0}}); err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i := range 4 {
		u, err := d.startUpstream(fmt.Sprintf("i-%d", i), service, "kozep-a", 4)
		if err != nil {
			return false, err
		}
		u.work = uploadWork
		if d.trouble {
			u.pause = readingPause
		}
		upstreams = append(upstreams, u)
	}
	hosts, err := d.startHosts("kozep-a", "kozep-a")
	if err != nil {
		return false, err
	}
	callers := make([]*caller, uploads)
	for i := range callers {
		callers[i] = newCaller(hosts[0].callers)
		if a := callers[i].send(http.MethodGet, "/sheet/1", fmt.Sprintf("first-%d", i), uploadTimeLimit, nil); a.status != http.StatusOK {
			return false, fmt.Errorf("the deployment does not serve: %v", a)
		}
	}
	time.Sleep(calmTime)
	answers := make([]answer, uploads)
	var sent sync.WaitGroup
	for i, c := range callers {
		sent.Go(func() {
			answers[i] = c.send(http.MethodPost, "/photo/1", fmt.Sprintf("photo-%d", i), uploadTimeLimit, make([]byte, uploadBytes))
			d.log.printf("caller: %v", answers[i])
		})
	}
	time.Sleep(beforeStop)
	stoppedAt := time.Now()
	d.log.printf("SIGTERM to %s", hosts[0].name)
	if err := hosts[0].signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	sent.Wait()
	return lostAtStop(d, answers, upstreams, stoppedAt) > 0, nil
}

// lostAtStop returns the number of requests that the stopping host broke off at an upstream that was
// at work: it ended after the SIGTERM, the caller got no complete response of the upstream, neither its own
// time limit nor that of the route was reached, and the last sixth of the grace period had not begun.
func lostAtStop(d *deployment, answers []answer, upstreams []*upstream, stoppedAt time.Time) int {
	lost := 0
	for _, a := range answers {
		for _, u := range upstreams {
			x, ran := u.runOf(a.id)
			if !ran || a.signed {
				continue
			}
			inTime := a.at.After(stoppedAt) && a.at.Sub(a.sentAt) < uploadTimeLimit && a.at.Before(stoppedAt.Add(gracePeriod*5/6))
			d.log.printf("%s: %s was at work since %d ms after the SIGTERM, and the caller has %v", x.id, x.upstream, x.began.Sub(stoppedAt).Milliseconds(), a)
			if inTime {
				lost++
			}
		}
	}
	d.log.printf("%d of %d uploads were broken off while their upstream was at work; allowed 0", lost, len(answers))
	return lost
}
