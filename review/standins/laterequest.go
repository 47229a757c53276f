package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/standin"
)

const (
	// usualTime is what an upstream takes for a posting, and longTime for a long one. In the site, the
	// work of a posting takes 840 ms in the mean and 2520 ms at most.
	usualTime = 500 * time.Millisecond
	longTime  = 2400 * time.Millisecond
	longID    = "long-"
	postLimit = 4 * time.Second
	// postTimeout is the timeout of the route.
	postTimeout = 2500 * time.Millisecond
	// minDirectoryTTL is the least time of a directory response with which the late callers are within
	// three times that time.
	minDirectoryTTL = 1100 * time.Millisecond
	// usualInterval is the time between two usual postings.
	usualInterval = 250 * time.Millisecond
	usualSpan     = 8 * time.Second
	// excusedAfter is the time after SIGTERM up to which a request whose work lasts until the last part of
	// the grace may be broken off.
	excusedAfter = 3 * time.Second
)

// longSentAfter are the times after SIGTERM at which the long postings are sent.
var longSentAfter = []time.Duration{3160 * time.Millisecond, 3190 * time.Millisecond, 3220 * time.Millisecond, 3250 * time.Millisecond}

// postingConfiguration has one route for postings, with the timeout of the site.
func postingConfiguration() []byte {
	text := string(configuration(1, nil, keptKey))
	text = strings.Replace(text, `"`+standin.ReadPath+`","safe","2000ms"`, `"`+standin.PostPath+`","unsafe","`+strconv.FormatInt(postTimeout.Milliseconds(), 10)+`ms"`, 1)
	return []byte(text)
}

// playLateRequest sends postings to a host, a few of which take longer. The disruption is a planned stop
// of that host. A caller that keeps the answer of the directory for three times its time still sends to
// it for six seconds.
func playLateRequest(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put(configurationKey, postingConfiguration())
	for _, zone := range []string{"vt-burlington", "me-orono", "ma-amherst"} {
		u, err := f.addUpstream("i-"+zone, zone, usualTime)
		if err != nil {
			return 0, err
		}
		u.SetHandler(workByID(f, u))
	}
	if err := f.addHosts("vt-burlington", "me-orono", "ma-amherst"); err != nil {
		return 0, err
	}
	h := f.hosts[0]
	var wait sync.WaitGroup
	for i := range int(usualSpan / usualInterval) {
		wait.Go(func() { f.post(h, fmt.Sprint("usual-", i)) })
		time.Sleep(usualInterval)
	}
	if err := f.lookUp(h); err != nil {
		return 0, err
	}
	stoppedAt := time.Now()
	if trouble {
		stoppedAt = f.terminate(h)
	}
	for i := 0; time.Since(stoppedAt) < excusedAfter; i++ {
		wait.Go(func() { f.post(h, fmt.Sprint("late-", i)) })
		time.Sleep(usualInterval)
	}
	results := make([]answer, len(longSentAfter))
	for i, after := range longSentAfter {
		wait.Go(func() {
			time.Sleep(time.Until(stoppedAt.Add(after)))
			results[i] = f.post(h, fmt.Sprint(longID, i))
			f.record("%s%d was sent %v after the stop began; the answer came %v after the stop began", longID, i, results[i].sentAt.Sub(stoppedAt),
				results[i].sentAt.Add(results[i].took).Sub(stoppedAt))
		})
	}
	wait.Wait()
	return f.countBrokenOff(stoppedAt, results), nil
}

// lookUp asks the directory, as a caller does right before the stop, and checks that it names the host
// for long enough.
func (f *fleet) lookUp(h *host) error {
	resp, err := http.Get("http://" + h.directory + "/-/resolve?name=" + standin.CallerHost + "&region=" + zones[h.zone] + "&zone=" + h.zone)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var found struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&found); err != nil {
		return err
	}
	f.record("the directory names %v for %s", found.Addresses, found.TTL)
	ttl, err := time.ParseDuration(found.TTL)
	if err != nil || ttl < minDirectoryTTL || !slices.Contains(found.Addresses, h.callers) {
		return errors.Errorf("the directory does not name %s for long enough", h.callers)
	}
	return nil
}

// workByID returns a handler that takes longer for long postings, and records what it did.
func workByID(f *fleet, u *upstream) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		id, takes := r.Header.Get("X-Request-Id"), usualTime
		if strings.HasPrefix(id, longID) {
			takes = longTime
			f.record("%s begins to work on %s, time limit %s ms", u.ID, id, r.Header.Get("X-Deadline-Ms"))
		}
		select {
		case <-time.After(takes):
		case <-r.Context().Done():
			f.record("%s: the connection of %s ends during the work", u.ID, id)
			return
		}
		w.Header().Set("X-Response-Signature", "signed-by-"+u.ID)
		_, _ = fmt.Fprintf(w, "%s ran %s", u.ID, id)
	}
}

// post sends one posting on a connection of its own.
func (f *fleet) post(h *host, id string) answer {
	a := sendOnce(h.callers, request{id: id, method: http.MethodPost, path: standin.PostPath + id, key: keptKey, limit: postLimit, body: "weight=1"})
	f.record("%s to %s: %v after %v: %s", id, h.name, a, a.took, strings.TrimSpace(a.body))
	return a
}

// countBrokenOff returns the number of long postings that an upstream had begun to work on and that got no
// answer of it, although they were sent too late to be excused, and their time had not passed.
func (f *fleet) countBrokenOff(stoppedAt time.Time, results []answer) int {
	began := map[string]bool{}
	for _, u := range f.upstreams {
		for _, run := range u.Runs() {
			f.record("%s began %s at %.3f", u.ID, run.ID, run.At.Sub(f.began).Seconds())
			began[run.ID] = true
		}
	}
	broken := 0
	for i, a := range results {
		late := a.sentAt.Sub(stoppedAt) > excusedAfter
		if began[fmt.Sprint(longID, i)] && late && a.status != http.StatusOK && a.took < postTimeout-100*time.Millisecond {
			f.record("%s%d was broken off while its upstream was at work", longID, i)
			broken++
		}
	}
	return broken
}
