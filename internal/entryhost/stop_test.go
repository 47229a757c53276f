package entryhost_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
)

// stopGrace is the grace period of the hosts of a site.
const stopGrace = 4 * time.Second

// stopLikeProcess stops a host as planned, and closes the connections that are still open then, as
// the exit of the process does.
func stopLikeProcess(h *host) {
	h.stopped.Store(true)
	h.daemon.Stop()
	h.daemon.Kill()
}

// Guards against requests that a stopping host accepts although it exits before their time limit:
// they are cut off while an upstream works on them.
func TestStopAnswersAllAcceptedRequests(t *testing.T) {
	for method, path := range map[string]string{http.MethodPost: "/post/stop", http.MethodGet: "/read/stop"} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			s := newSite(t)
			var upstreams []*standin.PlatformUpstream
			for i := range 4 {
				// Requests need nearly all of their time limit of 3 s.
				upstreams = append(upstreams, s.worker(fmt.Sprint("i-", i), "s", "a1", 2800*time.Millisecond))
			}
			s.declare(4, "k1")
			stopping := s.host("h1", "a1")
			s.host("h2", "a2")
			s.awaitServing()
			const interval = 100 * time.Millisecond
			answers := make([]response, stopGrace/interval)
			var wait sync.WaitGroup
			for i := range answers {
				wait.Go(func() {
					time.Sleep(time.Duration(i) * interval)
					answers[i] = s.callAbout(fmt.Sprint(i), stopping, method, path, "k1", "")
				})
			}
			stopLikeProcess(stopping)
			wait.Wait()
			served, refused, unread := 0, 0, 0
			for i, a := range answers {
				switch {
				case a.status == http.StatusOK && a.err == nil:
					served++
				case a.status == http.StatusServiceUnavailable:
					refused++
					g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				case a.status == 0 && a.err != nil:
					unread++ // the listener was closed before it accepted the connection, unless it ran
				default:
					t.Errorf("request %v after the stop began: status %d, error %v: %s", time.Duration(i)*interval, a.status, a.err, a.body)
				}
			}
			ran := 0
			for _, u := range upstreams {
				for _, run := range u.Runs() {
					if run.Target == path {
						ran++
					}
				}
			}
			t.Logf("served %d, refused %d, not read %d", served, refused, unread)
			g.Expect(ran).To(Equal(served), "requests that were refused or not read have not run")
			g.Expect(served).To(BeNumerically(">", 0))
			g.Expect(refused).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a body that arrives after a planned stop has begun, and is sent to an upstream although
// the host may exit before the response.
func TestStopRefusesRequestWhoseBodyArrivesLate(t *testing.T) {
	g := NewWithT(t)
	s, logs := newSite(t), &syncBuffer{}
	s.timeLimit, s.logs = "8s", logs
	k := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	stopping := s.host("h1", "a1")
	s.awaitServing()
	before := len(k.Runs())
	conn, err := net.Dial("tcp", stopping.listen.Callers)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /post/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: late-body\r\nAuthorization: Bearer k1\r\nContent-Length: 6\r\n\r\nwei")
	g.Expect(err).NotTo(HaveOccurred())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopLikeProcess(stopping)
	}()
	g.Eventually(logs.String, "5s", "10ms").Should(ContainSubstring("msg=stopping"))
	_, err = io.WriteString(conn, "ght")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Body.Close()).To(Succeed())
	g.Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Close).To(BeTrue())
	<-stopped
	g.Expect(k.Runs()).To(HaveLen(before))
}

// Guards against a second attempt that starts during a planned stop, which may interrupt it.
func TestStopStartsNoAttemptThatItMayInterrupt(t *testing.T) {
	g := NewWithT(t)
	s, logs := newSite(t), &syncBuffer{}
	s.timeLimit, s.logs = "8s", logs
	upstreams := []*standin.PlatformUpstream{s.worker("i-1", "s", "a1", 0), s.worker("i-2", "s", "a1", 0)}
	s.declare(4, "k1")
	stopping := s.host("h1", "a1")
	s.awaitServing()
	arrived, abort := make(chan struct{}, 2), make(chan struct{})
	fail := sync.OnceFunc(func() { close(abort) })
	defer fail()
	runs := 0
	for _, u := range upstreams {
		runs += len(u.Runs())
		u.SetHandler(func(http.ResponseWriter, *http.Request) {
			arrived <- struct{}{}
			<-abort
			panic(http.ErrAbortHandler)
		})
	}
	answer := make(chan response, 1)
	go func() {
		r, err := http.NewRequest("GET", "http://"+stopping.listen.Callers+"/open/1", nil)
		if err != nil {
			answer <- response{err: err}
			return
		}
		r.Host = "x.example"
		r.Header = http.Header{"X-Request-Id": {"retried"}, "Authorization": {"Bearer k1"}}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			answer <- response{err: err}
			return
		}
		_ = resp.Body.Close()
		answer <- response{status: resp.StatusCode}
	}()
	<-arrived
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopLikeProcess(stopping)
	}()
	g.Eventually(logs.String, "5s", "10ms").Should(ContainSubstring("msg=stopping"))
	fail()
	a := <-answer
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.status).To(Equal(http.StatusBadGateway), "told at once that it may have run")
	<-stopped
	for _, u := range upstreams {
		runs -= len(u.Runs())
	}
	g.Expect(runs).To(Equal(-1), "the first attempt")
}

// Guards against a planned stop that waits beyond the grace for a task that hangs: the control
// thread, whose queue is full.
func TestStopEndsAlthoughATaskHangs(t *testing.T) {
	g := NewWithT(t)
	s, logs := newSite(t), &syncBuffer{}
	s.logs = logs
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	release := h.daemon.HoldControl()
	defer release()
	h.stopped.Store(true)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.daemon.Stop()
	}()
	g.Eventually(stopped, "30s").Should(BeClosed())
	g.Eventually(logs.String).Should(MatchRegexp(`tasks still run.*entryhost\.\(\*control\)\.run`))
}
