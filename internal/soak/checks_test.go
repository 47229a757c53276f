package soak

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"balsambarrow/internal/standin"
)

// ran is one run of a request at an upstream.
type ran struct {
	standin.PlatformRun
	upstream *upstream
}

// report is where checks tell what they found; a *testing.T is one.
type report interface {
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
	Failed() bool
}

// check holds what callers were told against what the upstreams have run.
func (s *site) check(requests []sent) {
	runs := map[string][]ran{}
	var hot []time.Time
	for _, u := range s.upstreams {
		for _, r := range u.worker.Runs() {
			runs[r.ID] = append(runs[r.ID], ran{r, u})
			if r.Customer == standin.RateLimitedCustomer {
				hot = append(hot, r.At)
			}
			if r.Key != "" {
				s.report.Errorf("%s: an upstream saw the key", r.ID)
			}
		}
	}
	steady, answered := 0, 0
	for _, r := range requests {
		if r.key == "steady" {
			steady++
			if r.status == http.StatusOK {
				answered++
			}
		}
		s.checkRequest(r, runs[r.id])
	}
	s.report.Logf("%d requests; with the steady key %d, answered %d", len(requests), steady, answered)
	if answered < steady/10 {
		s.report.Errorf("only %d of %d requests with the steady key were answered", answered, steady)
	}
	s.checkRate(hot)
	if s.report.Failed() {
		perSecond := map[string]int{}
		for _, r := range requests {
			if r.key == standin.RateLimitedKey && r.status == http.StatusOK {
				perSecond[r.at.Format("05")+" "+r.host.name]++
			}
		}
		s.report.Logf("answers to the hot customer by second and host: %v", perSecond)
		s.report.Logf("injected:\n%s", strings.Join(s.history, "\n"))
	}
}

func (s *site) checkRequest(r sent, runs []ran) {
	customer := standin.UnlimitedCustomer
	if r.key == standin.RateLimitedKey {
		customer = standin.RateLimitedCustomer
	}
	for _, x := range runs {
		if x.Customer != customer {
			s.report.Errorf("%s: ran for %q", r.id, x.Customer)
		}
	}
	if r.post && len(runs) > 1 {
		s.report.Errorf("%s: a posting ran %d times", r.id, len(runs))
	}
	switch {
	case r.err == nil && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && len(runs) > 0:
		s.report.Errorf("%s: refused with %d (%s) at %s and ran", r.id, r.status, strings.TrimSpace(r.body), r.host.name)
	case r.err == nil && r.status == http.StatusOK && !strings.HasSuffix(r.body, " ran "+r.id):
		s.report.Errorf("%s: got %q", r.id, r.body)
	case r.err == nil && r.status == http.StatusUnauthorized && (r.key == "steady" || r.key == standin.RateLimitedKey):
		s.report.Errorf("%s: key %s denied", r.id, r.key)
	case r.err != nil && len(runs) > 0 && s.calm(r, runs):
		s.report.Errorf("%s: cut off at %s after it had run, by a planned stop or by nothing: %v", r.id, r.host.name, r.err)
	}
	for _, x := range runs {
		if e := s.emptiedAt(x); e != nil && s.calm(r, runs) {
			s.report.Errorf("%s: ran in %s %v after its evacuation", r.id, e.zone, x.At.Sub(e.from))
		}
	}
	if at := s.withdrawn[r.key]; !at.IsZero() && r.at.Sub(at) > revoke && len(runs) > 0 {
		s.report.Errorf("%s: ran %v after key %s was withdrawn", r.id, r.at.Sub(at), r.key)
	}
}

// emptiedAt is the evacuation during which a request ran although its zone should
// have got nothing any more; nil: there is none.
func (s *site) emptiedAt(x ran) *evacuation {
	for i, e := range s.emptied {
		if e.zone == x.upstream.zone && x.At.After(e.from.Add(evacuate)) && x.At.Before(e.to) {
			return &s.emptied[i]
		}
	}
	return nil
}

// calm tells whether nothing but planned work has happened to the host and the
// upstreams of a request.
func (s *site) calm(r sent, runs []ran) bool {
	near := func(at time.Time) bool {
		return !at.IsZero() && at.After(r.at.Add(-settle)) && at.Before(r.ended.Add(time.Second))
	}
	if near(r.host.faulted) || r.ended.Sub(r.at) > 1900*time.Millisecond {
		return false
	}
	for _, x := range runs {
		if near(x.upstream.faulted) || !x.upstream.faulted.IsZero() {
			return false
		}
	}
	return r.host.faulted.IsZero()
}

// checkRate bounds what a customer gets in any five seconds, over all hosts.
func (s *site) checkRate(runs []time.Time) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	const window = 5 * time.Second
	allowed := (standin.RateLimit*window.Seconds()+standin.RateBurst)*1.1 + 20
	most, from, end := 0, 0, time.Time{}
	for i := range runs {
		for runs[i].Sub(runs[from]) > window {
			from++
		}
		if n := i - from + 1; n > most {
			most, end = n, runs[i]
		}
	}
	s.report.Logf("most of the hot customer in the %v up to %s: %d, allowed %.0f", window, end.Format("05.000"), most, allowed)
	if float64(most) > allowed {
		s.report.Errorf("the hot customer got %d in %v, allowed %.0f", most, window, allowed)
	}
}
