package soak

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
)

// recorder keeps what checks find.
type recordingReporter struct{ errors []string }

func (r *recordingReporter) Errorf(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}
func (r *recordingReporter) Logf(string, ...any) {}
func (r *recordingReporter) Failed() bool        { return len(r.errors) > 0 }

// run has an upstream run a request, as a host would send it.
func runAtUpstream(u *upstream, method, id, customer, key string) {
	r := httptest.NewRequest(method, standin.ReadPath, nil)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Tenant-Id", customer)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	u.worker.ServeHTTP(httptest.NewRecorder(), r)
}

// A check that cannot fail finds nothing. Each is shown what a broken fleet would
// have made callers and upstreams see, one promise broken at a time, and has to find
// that and nothing else; and it is shown an hour in which all is well.
func TestChecksDetectViolations(t *testing.T) {
	now := time.Now()
	withResponse := func(r callerRequest) callerRequest {
		r.status, r.body = http.StatusOK, "i-0 ran "+r.id
		return r
	}
	cases := []struct {
		name string
		// play makes requests, and has the upstream run what reached it.
		simulate func(s *cluster, u *upstream, r callerRequest) []callerRequest
		// finds is part of what the check has to say; "": nothing.
		wantError string
	}{
		{"all is well", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []callerRequest{withResponse(r)}
		}, ""},
		{"a posting runs twice", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			r.post = true
			runAtUpstream(u, "POST", r.id, standin.UnlimitedCustomer, "")
			runAtUpstream(u, "POST", r.id, standin.UnlimitedCustomer, "")
			return []callerRequest{withResponse(r)}
		}, "a posting ran 2 times"},
		{"a read may", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []callerRequest{withResponse(r)}
		}, ""},
		{"refused and run", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r.status = http.StatusServiceUnavailable
			return []callerRequest{r, withResponse(callerRequest{id: "c2", key: "steady", host: r.host, startedAt: now, endedAt: now})}
		}, "refused with 503"},
		{"another request's answer", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r = withResponse(r)
			r.body = "i-0 ran c9"
			return []callerRequest{r}
		}, "got"},
		{"the key reaches an upstream", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "steady")
			return []callerRequest{withResponse(r)}
		}, "saw the key"},
		{"runs for another customer", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.RateLimitedCustomer, "")
			return []callerRequest{withResponse(r)}
		}, `ran for "hot"`},
		{"a granted key is denied", func(_ *cluster, _ *upstream, r callerRequest) []callerRequest {
			r.status = http.StatusUnauthorized
			return []callerRequest{r, withResponse(callerRequest{id: "c2", key: "steady", host: r.host, startedAt: now, endedAt: now})}
		}, "key steady denied"},
		{"a withdrawn key still works", func(s *cluster, u *upstream, r callerRequest) []callerRequest {
			s.withdrawn["fresh-0"] = now.Add(-revocationDelay - time.Second)
			r.key = "fresh-0"
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []callerRequest{withResponse(r)}
		}, "after key fresh-0 was withdrawn"},
		{"a planned stop cuts a request off", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r.host.stoppedAt, r.err = now, errors.New("closed")
			return []callerRequest{r, withResponse(callerRequest{id: "c2", key: "steady", host: r.host, startedAt: now, endedAt: now})}
		}, "cut off"},
		{"a kill may", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r.host.faultedAt, r.err = now, errors.New("closed")
			return []callerRequest{r, withResponse(callerRequest{id: "c2", key: "steady", host: r.host, startedAt: now, endedAt: now})}
		}, ""},
		{"an evacuated zone gets requests", func(s *cluster, u *upstream, r callerRequest) []callerRequest {
			u.zone = "a1"
			s.endedEvacuations = []evacuation{{"a1", now.Add(-evacuationDelay - time.Second), now.Add(time.Second)}}
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []callerRequest{withResponse(r)}
		}, "after its evacuation"},
		{"another zone does", func(s *cluster, u *upstream, r callerRequest) []callerRequest {
			u.zone = "a2"
			s.endedEvacuations = []evacuation{{"a1", now.Add(-evacuationDelay - time.Second), now.Add(time.Second)}}
			runAtUpstream(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []callerRequest{withResponse(r)}
		}, ""},
		{"nobody is served", func(_ *cluster, _ *upstream, r callerRequest) []callerRequest {
			var out []callerRequest
			for i := range 20 {
				out = append(out, callerRequest{id: fmt.Sprint("n", i), key: "steady", host: r.host, status: http.StatusServiceUnavailable})
			}
			return out
		}, "only 0 of 20"},
		{"a customer gets more than its rate", func(_ *cluster, u *upstream, r callerRequest) []callerRequest {
			for i := range 300 {
				runAtUpstream(u, "GET", fmt.Sprint("h", i), standin.RateLimitedCustomer, "")
			}
			return nil
		}, "the hot customer got 300"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			reported := &recordingReporter{}
			u := &upstream{worker: &standin.PlatformUpstream{ID: "i-0"}}
			s := &cluster{t: t, reporter: reported, upstreams: []*upstream{u}, withdrawn: map[string]time.Time{}}
			s.check(c.simulate(s, u, callerRequest{id: "c1", key: "steady", host: &daemonProcess{name: "h0"}, startedAt: now, endedAt: now.Add(20 * time.Millisecond)}))
			if c.wantError == "" {
				g.Expect(reported.errors).To(BeEmpty())
				return
			}
			g.Expect(reported.errors).To(HaveLen(1), strings.Join(reported.errors, "; "))
			g.Expect(reported.errors[0]).To(ContainSubstring(c.wantError))
		})
	}
}
