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
type recorder struct{ found []string }

func (r *recorder) Errorf(format string, args ...any) {
	r.found = append(r.found, fmt.Sprintf(format, args...))
}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Failed() bool        { return len(r.found) > 0 }

// run has an upstream run a request, as a host would send it.
func run(u *upstream, method, id, customer, key string) {
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
func TestChecksFindBrokenPromises(t *testing.T) {
	now := time.Now()
	answered := func(r sent) sent {
		r.status, r.body = http.StatusOK, "i-0 ran "+r.id
		return r
	}
	cases := []struct {
		name string
		// play makes requests, and has the upstream run what reached it.
		play func(s *site, u *upstream, r sent) []sent
		// finds is part of what the check has to say; "": nothing.
		finds string
	}{
		{"all is well", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []sent{answered(r)}
		}, ""},
		{"a posting runs twice", func(_ *site, u *upstream, r sent) []sent {
			r.post = true
			run(u, "POST", r.id, standin.UnlimitedCustomer, "")
			run(u, "POST", r.id, standin.UnlimitedCustomer, "")
			return []sent{answered(r)}
		}, "a posting ran 2 times"},
		{"a read may", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []sent{answered(r)}
		}, ""},
		{"refused and run", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r.status = http.StatusServiceUnavailable
			return []sent{r, answered(sent{id: "c2", key: "steady", host: r.host, at: now, ended: now})}
		}, "refused with 503"},
		{"another request's answer", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r = answered(r)
			r.body = "i-0 ran c9"
			return []sent{r}
		}, "got"},
		{"the key reaches an upstream", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.UnlimitedCustomer, "steady")
			return []sent{answered(r)}
		}, "saw the key"},
		{"runs for another customer", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.RateLimitedCustomer, "")
			return []sent{answered(r)}
		}, `ran for "hot"`},
		{"a granted key is denied", func(_ *site, _ *upstream, r sent) []sent {
			r.status = http.StatusUnauthorized
			return []sent{r, answered(sent{id: "c2", key: "steady", host: r.host, at: now, ended: now})}
		}, "key steady denied"},
		{"a withdrawn key still works", func(s *site, u *upstream, r sent) []sent {
			s.withdrawn["fresh-0"] = now.Add(-revoke - time.Second)
			r.key = "fresh-0"
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []sent{answered(r)}
		}, "after key fresh-0 was withdrawn"},
		{"a planned stop cuts a request off", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r.host.stopped, r.err = now, errors.New("closed")
			return []sent{r, answered(sent{id: "c2", key: "steady", host: r.host, at: now, ended: now})}
		}, "cut off"},
		{"a kill may", func(_ *site, u *upstream, r sent) []sent {
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			r.host.faulted, r.err = now, errors.New("closed")
			return []sent{r, answered(sent{id: "c2", key: "steady", host: r.host, at: now, ended: now})}
		}, ""},
		{"an evacuated zone gets requests", func(s *site, u *upstream, r sent) []sent {
			u.zone = "a1"
			s.emptied = []evacuation{{"a1", now.Add(-evacuate - time.Second), now.Add(time.Second)}}
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []sent{answered(r)}
		}, "after its evacuation"},
		{"another zone does", func(s *site, u *upstream, r sent) []sent {
			u.zone = "a2"
			s.emptied = []evacuation{{"a1", now.Add(-evacuate - time.Second), now.Add(time.Second)}}
			run(u, "GET", r.id, standin.UnlimitedCustomer, "")
			return []sent{answered(r)}
		}, ""},
		{"nobody is served", func(_ *site, _ *upstream, r sent) []sent {
			var out []sent
			for i := range 20 {
				out = append(out, sent{id: fmt.Sprint("n", i), key: "steady", host: r.host, status: http.StatusServiceUnavailable})
			}
			return out
		}, "only 0 of 20"},
		{"a customer gets more than its rate", func(_ *site, u *upstream, r sent) []sent {
			for i := range 300 {
				run(u, "GET", fmt.Sprint("h", i), standin.RateLimitedCustomer, "")
			}
			return nil
		}, "the hot customer got 300"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			found := &recorder{}
			u := &upstream{worker: &standin.PlatformUpstream{ID: "i-0"}}
			s := &site{t: t, report: found, upstreams: []*upstream{u}, withdrawn: map[string]time.Time{}}
			s.check(c.play(s, u, sent{id: "c1", key: "steady", host: &process{name: "h0"}, at: now, ended: now.Add(20 * time.Millisecond)}))
			if c.finds == "" {
				g.Expect(found.found).To(BeEmpty())
				return
			}
			g.Expect(found.found).To(HaveLen(1), strings.Join(found.found, "; "))
			g.Expect(found.found[0]).To(ContainSubstring(c.finds))
		})
	}
}
