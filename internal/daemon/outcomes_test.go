package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/posting"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/wire"
)

// faultyUpstream is an upstream whose response depends on the last element of the
// request path. It counts the complete requests that it received for each posting.
type faultyUpstream struct {
	address string
	mu      sync.Mutex
	runs    map[string]int
	release chan struct{}
}

func newFaultyUpstream(t *testing.T) *faultyUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	u := &faultyUpstream{address: l.Addr().String(), runs: map[string]int{}, release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *faultyUpstream) config(service, zone string, slots int) config.Upstream {
	return config.Upstream{Service: service, Zone: zone, Address: u.address, Slots: slots}
}

func (u *faultyUpstream) runCount(name string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[name]
}

// slowGate returns the channel that currently blocks slow requests.
func (u *faultyUpstream) slowGate() chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.release
}

// blockSlowRequests makes slow requests wait again. It takes the lock because a
// delayed request may arrive at the same time.
func (u *faultyUpstream) blockSlowRequests() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.release = make(chan struct{})
}

// expectRuns compares the outcome that a caller received with the number of runs.
func (u *faultyUpstream) expectRuns(g *WithT, name string, reported wire.Outcome) {
	if reported == wire.OutcomeNotRun {
		g.Expect(u.runCount(name)).To(BeZero(), name)
		return
	}
	g.Expect(u.runCount(name)).To(BeNumerically("<=", 1), name)
}

func (u *faultyUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		u.mu.Lock()
		u.runs[req.Header.Get(standin.HeaderPosting)]++
		u.mu.Unlock()
		if !u.respond(conn, path.Base(req.URL.Path)) {
			return
		}
	}
}

// faultResponses are the raw responses by failure name. For a name that is not
// listed, the upstream closes the connection without a response.
var faultResponses = map[string]string{
	"fine":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"half-header":  "HTTP/1.1 200 OK\r\nContent-Le",
	"short-length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	"short-chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	"short-large":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + string(make([]byte, 0x8000)) + "\r\n",
	"reset":        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	"unframed":     "HTTP/1.1 200 OK\r\n\r\nis this all?",
	"switched":     "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	"500":          "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	"307":          "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
	"shed":         "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
	"shed-not-run": "HTTP/1.1 503 Service Unavailable\r\nBalsam-Shed: not-run\r\nContent-Length: 0\r\n\r\n",
}

func (u *faultyUpstream) respond(conn net.Conn, failure string) (open bool) {
	if failure == "slow" {
		<-u.slowGate()
		failure = "fine"
	}
	text := faultResponses[failure]
	_, err := io.WriteString(conn, text)
	if failure == "reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	complete := failure == "fine" || failure == "chunks" || failure == "500" || failure == "307" || failure == "shed" || failure == "shed-not-run"
	return err == nil && complete
}

// startFaultyUpstreamFleet starts vt-1 without an upstream and me-1 with a faultyUpstream.
func startFaultyUpstreamFleet(t *testing.T) (*fleet, *faultyUpstream) {
	return startFaultyUpstreamFleetWrapped(t, nil)
}

// startFaultyUpstreamFleetWrapped also wraps each connection that a daemon opens.
func startFaultyUpstreamFleetWrapped(t *testing.T, wrap func([2]string, net.Conn) net.Conn) (*fleet, *faultyUpstream) {
	f := newFleet(t)
	f.network.wrapConn = wrap
	f.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	u := newFaultyUpstream(t)
	c := twoRegionConfig()
	c.Upstreams["posting-1"] = u.config("posting", "me-a", 4)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "posting")
	f.awaitHandlers("me-1", "posting")
	return f, u
}

// postingID returns a posting id in a host's first epoch.
func (f *fleet) postingID(host, suffix string) string {
	return posting.Prefix(f.daemons[host].Identity().Instance, 0) + "." + suffix
}

// requestForm is a way to send a request: its method, the host that receives it
// and the host that owns its posting id, if it has one.
type requestForm struct {
	name, method, entry, owner string
}

var requestForms = []requestForm{
	{"GET at handler", http.MethodGet, "me-1", ""},
	{"relayed GET", http.MethodGet, "vt-1", ""},
	{"POST at handler", http.MethodPost, "me-1", ""},
	{"relayed POST", http.MethodPost, "vt-1", ""},
	{"POST with id", http.MethodPost, "vt-1", "vt-1"},
	{"POST with id of another host", http.MethodPost, "vt-1", "me-1"},
}

func (f *fleet) send(form requestForm, failure, name string, extraHeaders map[string]string) reply {
	header := map[string]string{standin.HeaderPosting: name}
	if form.owner != "" {
		header[wire.HeaderIdempotencyKey] = f.postingID(form.owner, name)
	}
	for k, v := range extraHeaders {
		header[k] = v
	}
	return f.call(form.entry, form.method, "posting/"+failure, "secret", header)
}

// failureCase is what a caller must receive for one upstream failure.
type failureCase struct {
	name        string
	outcome     wire.Outcome
	problemType string
	status      int
	// unsafeStatus is the status of a POST, if it differs.
	unsafeStatus int
	truncated    bool   // the response body must be incomplete
	maxRuns      [2]int // most runs allowed: of a GET, of a POST
}

var failureCases = []failureCase{
	{name: "fine", outcome: wire.OutcomeRan, status: 200, maxRuns: [2]int{1, 1}},
	{name: "chunks", outcome: wire.OutcomeRan, status: 200, maxRuns: [2]int{1, 1}},
	{name: "500", outcome: wire.OutcomeRan, status: 500, maxRuns: [2]int{1, 1}},
	{name: "307", outcome: wire.OutcomeRan, status: 307, maxRuns: [2]int{1, 1}},
	{name: "closed", outcome: wire.OutcomeMayHaveRun, problemType: wire.TypeUpstreamFailed, status: 502, maxRuns: [2]int{2, 1}},
	{name: "half-header", outcome: wire.OutcomeMayHaveRun, problemType: wire.TypeUpstreamFailed, status: 502, maxRuns: [2]int{2, 1}},
	{name: "unframed", outcome: wire.OutcomeMayHaveRun, problemType: wire.TypeUpstreamFailed, status: 502, maxRuns: [2]int{2, 1}},
	{name: "switched", outcome: wire.OutcomeMayHaveRun, problemType: wire.TypeUpstreamFailed, status: 502, maxRuns: [2]int{2, 1}},
	{name: "short-length", truncated: true, maxRuns: [2]int{1, 1}},
	{name: "short-chunks", truncated: true, maxRuns: [2]int{1, 1}},
	{name: "short-large", truncated: true, maxRuns: [2]int{1, 1}},
	{name: "reset", truncated: true, maxRuns: [2]int{1, 1}},
	{name: "shed", outcome: wire.OutcomeMayHaveRun, problemType: wire.TypeUpstreamShed, status: 503, unsafeStatus: 502, maxRuns: [2]int{2, 1}},
	{name: "shed-not-run", outcome: wire.OutcomeNotRun, problemType: wire.TypeUpstreamShed, status: 503, maxRuns: [2]int{2, 2}},
}

// Guards against a wrong outcome after an upstream failure. Each failure is tried
// with requests with and without a posting id, relayed and not. The reported
// outcome must be true, a truncated response must not pass as a complete one, and
// a posting must not run twice.
func TestOutcomesOfUpstreamFailures(t *testing.T) {
	f, u := startFaultyUpstreamFleet(t)
	for _, failure := range failureCases {
		for i, form := range requestForms {
			t.Run(failure.name+"/"+form.name, func(t *testing.T) {
				g := NewWithT(t)
				f.awaitEndOfPause(g, form)
				name := failure.name + "-" + strconv.Itoa(i)
				r := f.send(form, failure.name, name, nil)
				maxRuns := failure.maxRuns[0]
				if form.method == http.MethodPost {
					maxRuns = failure.maxRuns[1]
				}
				g.Expect(u.runCount(name)).To(And(BeNumerically(">=", 1), BeNumerically("<=", maxRuns)))
				if failure.truncated {
					complete := r.Err == nil && r.Outcome == wire.OutcomeRan
					g.Expect(complete).To(BeFalse(), "%+v", r)
					g.Expect(r.Outcome).NotTo(Equal(wire.OutcomeNotRun))
				} else {
					g.Expect(r.Err).NotTo(HaveOccurred())
					g.Expect(r.Outcome).To(Equal(failure.outcome), "%+v", r)
					status := failure.status
					if form.method == http.MethodPost && failure.unsafeStatus > 0 {
						status = failure.unsafeStatus
					}
					g.Expect(r.Status).To(Equal(status))
					g.Expect(r.Problem.Type).To(Equal(failure.problemType))
				}
				f.checkRepeat(g, u, form, failure, name, r)
			})
		}
	}
}

// awaitEndOfPause waits until the upstream, which may have shed a request and asked for a pause,
// can be reached from the entry of a form again.
func (f *fleet) awaitEndOfPause(g *WithT, form requestForm) {
	g.Eventually(func() int {
		return f.call(form.entry, http.MethodGet, "posting/fine", "secret", nil).Status
	}, settleTimeout, "50ms").Should(Equal(http.StatusOK))
}

// checkRepeat sends a request again with the same posting id and checks the response.
func (f *fleet) checkRepeat(g *WithT, u *faultyUpstream, form requestForm, failure failureCase, name string, first reply) {
	if form.owner == "" {
		return
	}
	before := u.runCount(name)
	repeated := f.send(form, failure.name, name, nil)
	if first.Outcome == wire.OutcomeNotRun {
		g.Expect(repeated.Outcome).To(Equal(wire.OutcomeNotRun))
		return
	}
	g.Expect(u.runCount(name)).To(Equal(before))
	switch {
	case failure.name == "short-large":
		g.Expect(repeated.Outcome).To(Equal(wire.OutcomeRan))
		g.Expect(string(repeated.Body)).To(ContainSubstring(wire.TypeAnswerNotKept))
	case failure.outcome == wire.OutcomeRan:
		g.Expect(repeated).To(Equal(first))
	default:
		g.Expect(repeated.Problem.Type).To(Equal(wire.TypeOutcomeUnknown))
	}
}

// Guards against a wrong outcome when the deadline expires. While the upstream
// runs the request, the outcome must be may-have-run. While the request waits for
// a slot, nothing was sent: the outcome must be not-run or, if relayed,
// may-have-run, and a request reported as not-run must not be sent later.
func TestOutcomesOfDeadlines(t *testing.T) {
	g := NewWithT(t)
	f, u := startFaultyUpstreamFleet(t)
	shortTimeout := map[string]string{wire.HeaderTimeoutMs: "300"}
	var longRequests sync.WaitGroup
	for i := range 4 {
		longRequests.Go(func() {
			f.send(requestForms[2], "slow", "long-"+strconv.Itoa(i), map[string]string{wire.HeaderTimeoutMs: "9000"})
		})
	}
	g.Eventually(func() int {
		return u.runCount("long-0") + u.runCount("long-1") + u.runCount("long-2") + u.runCount("long-3")
	}, settleTimeout).Should(Equal(4))
	outcomes := map[string]wire.Outcome{}
	for _, form := range requestForms {
		r := f.send(form, "slow", "queued "+form.name, shortTimeout)
		outcomes["queued "+form.name] = r.Outcome
		g.Expect(r.Outcome).To(BeElementOf(wire.OutcomeNotRun, wire.OutcomeMayHaveRun), "%+v", r)
		if form.entry == "me-1" {
			g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun), "%+v", r)
		}
	}
	close(u.release)
	longRequests.Wait()
	u.blockSlowRequests()
	for name, outcome := range outcomes {
		u.expectRuns(g, name, outcome)
	}

	for i, form := range requestForms {
		name := "slow-" + strconv.Itoa(i)
		r := f.send(form, "slow", name, shortTimeout)
		g.Expect(r.Problem.Type).To(Equal(wire.TypeDeadline), "%s: %+v", form.name, r)
		g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun))
		g.Expect(u.runCount(name)).To(Equal(1))
	}
	close(u.release)
}

// Guards against the outcome not-run for a posting that reaches its owner late,
// is still queued there when the caller's deadline expires, and then runs.
func TestOutcomeOfAPostingThatReachesItsOwnerLate(t *testing.T) {
	g := NewWithT(t)
	const oneWay = 100 * time.Millisecond
	f, u := startFaultyUpstreamFleetWrapped(t, func(_ [2]string, c net.Conn) net.Conn { return newDelayedConn(c, oneWay) })
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() {
			f.send(requestForms[2], "slow", "long-"+strconv.Itoa(i), map[string]string{wire.HeaderTimeoutMs: "9000"})
		})
	}
	g.Eventually(func() int {
		return u.runCount("long-0") + u.runCount("long-1") + u.runCount("long-2") + u.runCount("long-3")
	}, settleTimeout).Should(Equal(4))
	r := f.send(requestForms[5], "slow", "late", map[string]string{wire.HeaderTimeoutMs: "300"})
	close(u.release)
	running.Wait()
	g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun), "%+v", r)
	g.Consistently(func() int { return u.runCount("late") }, 3*oneWay).Should(BeNumerically("<=", 1))
}

// Guards against a wrong outcome when the handler's host crashes. If the host
// crashes before the request reaches it, the outcome must be not-run. If an upstream
// was running the request, the outcome must be may-have-run.
func TestOutcomesWhenTheHandlerCrashes(t *testing.T) {
	g := NewWithT(t)
	f, u := startFaultyUpstreamFleet(t)
	defer close(u.release)
	replies := make(chan reply, len(requestForms))
	relayedForms := []requestForm{requestForms[1], requestForms[3], requestForms[4], requestForms[5]}
	for i, form := range relayedForms {
		go func() { replies <- f.send(form, "slow", "during-"+strconv.Itoa(i), nil) }()
	}
	for i := range relayedForms {
		g.Eventually(func() int { return u.runCount("during-" + strconv.Itoa(i)) }, settleTimeout).Should(Equal(1))
	}
	deadOwnerID := f.postingID("me-1", "during-3")
	f.kill("me-1")
	for range relayedForms {
		r := <-replies
		g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun), "%+v", r)
	}
	repeated := f.call("vt-1", http.MethodPost, "posting/slow", "secret", map[string]string{
		standin.HeaderPosting: "during-3", wire.HeaderIdempotencyKey: deadOwnerID,
	})
	g.Expect(repeated.Problem.Type).To(Equal(wire.TypeOutcomeUnknown))
	for _, form := range relayedForms[:3] {
		r := f.send(form, "slow", "after", nil)
		g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun), "%+v", r)
	}
	g.Expect(u.runCount("after")).To(BeZero())
}

// Guards against aborting a posting when its caller disconnects. The posting must
// complete, and a retry at any host must get its response.
func TestCallerDisconnectDoesNotAbortThePosting(t *testing.T) {
	g := NewWithT(t)
	f, u := startFaultyUpstreamFleet(t)
	for i, form := range []requestForm{requestForms[4], requestForms[5]} {
		name := "left-" + strconv.Itoa(i)
		url := "http://" + f.daemons[form.entry].Identity().CallerAddress + "/svc/posting/slow"
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, form.method, url, http.NoBody)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer secret")
		req.Header.Set(standin.HeaderPosting, name)
		req.Header.Set(wire.HeaderIdempotencyKey, f.postingID(form.owner, name))
		done := make(chan struct{})
		go func() {
			_, _ = f.client.Do(req)
			close(done)
		}()
		g.Eventually(func() int { return u.runCount(name) }, settleTimeout).Should(Equal(1))
		cancel()
		<-done
		replies := make(chan reply, 2)
		for _, entry := range []string{"vt-1", "me-1"} {
			go func() {
				replies <- f.send(requestForm{entry: entry, method: form.method, owner: form.owner}, "slow", name, nil)
			}()
		}
		close(u.release)
		for range 2 {
			r := <-replies
			g.Expect(r.Outcome).To(Equal(wire.OutcomeRan), "%+v", r)
			g.Expect(string(r.Body)).To(Equal("whole"))
		}
		g.Expect(u.runCount(name)).To(Equal(1))
		u.blockSlowRequests()
	}
}

// Guards against returning the response of another request. A customer reuses a
// posting id for a different request, or uses an invalid or unknown id. Such a
// request must be rejected and must not run.
func TestPostingIDIsBoundToItsRequest(t *testing.T) {
	g := NewWithT(t)
	f, u := startFaultyUpstreamFleet(t)
	form := requestForms[5]
	g.Expect(f.send(form, "fine", "w1", nil).Outcome).To(Equal(wire.OutcomeRan))
	other := f.send(form, "chunks", "w1", nil)
	g.Expect(other.Problem.Type).To(Equal(wire.TypePostingIDReused))
	g.Expect(other.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(u.runCount("w1")).To(Equal(1))
	for _, id := range []string{f.postingID("me-1", "x") + "\tx", "no-prefix", posting.Prefix(f.daemons["me-1"].Identity().Instance, 9) + ".x"} {
		r := f.call("vt-1", http.MethodPost, "posting/fine", "secret", map[string]string{wire.HeaderIdempotencyKey: id, standin.HeaderPosting: "bad"})
		g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun))
	}
	unknown := f.call("vt-1", http.MethodPost, "posting/fine", "secret", map[string]string{wire.HeaderIdempotencyKey: "gone-0.x", standin.HeaderPosting: "bad"})
	g.Expect(unknown.Problem.Type).To(Equal(wire.TypeOutcomeUnknown))
	g.Expect(u.runCount("bad")).To(BeZero())
}

// Guards against running a truncated request. The caller's connection ends in the
// middle of the body, either while the body is still buffered (outcome not-run) or
// after a part of it was streamed to an upstream (outcome may-have-run).
func TestOutcomesOfTruncatedRequestBodies(t *testing.T) {
	f, u := startFaultyUpstreamFleet(t)
	for name, c := range map[string]struct {
		declared, sent int
		want           wire.Outcome
	}{
		"buffered body": {100, 10, wire.OutcomeNotRun},
		"streamed body": {400 << 10, 200 << 10, wire.OutcomeMayHaveRun},
	} {
		for _, entry := range []string{"me-1", "vt-1"} {
			t.Run(name+" at "+entry, func(t *testing.T) {
				g := NewWithT(t)
				conn, err := net.Dial("tcp", f.daemons[entry].Identity().CallerAddress)
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST /svc/posting/fine HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n%s: broken\r\nContent-Length: %d\r\n\r\n%s",
					standin.HeaderPosting, c.declared, make([]byte, c.sent))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
				_ = conn.SetReadDeadline(time.Now().Add(settleTimeout))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(c.want)))
				g.Expect(u.runCount("broken")).To(BeZero())
			})
		}
	}
}

// withdrawKey removes a customer's key and waits until a host has the new version.
func (f *fleet) withdrawKey(g *WithT, host, customer, key string) {
	client := ctl.NewClient(f.daemons[host].OperatorsAddress())
	now, err := client.Config()
	g.Expect(err).NotTo(HaveOccurred())
	patch := fmt.Sprintf(`{"customers":{%q:{"keys":{%q:null,"other":{"sha256":%q}}}}}`, customer, key, config.DigestOf("other"))
	changed, err := client.Patch(now.Version, []byte(patch))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() uint64 { return f.daemons[host].View().Self.ConfigVersion }, settleTimeout).Should(Equal(changed.Version))
}

// Guards against running a queued request whose API key is withdrawn while the
// request waits for a slot.
func TestKeyWithdrawnWhilePostingIsQueued(t *testing.T) {
	g := NewWithT(t)
	f, u := startFaultyUpstreamFleet(t)
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() { f.send(requestForms[2], "slow", "long-"+strconv.Itoa(i), nil) })
	}
	g.Eventually(func() int {
		return u.runCount("long-0") + u.runCount("long-1") + u.runCount("long-2") + u.runCount("long-3")
	}, settleTimeout).Should(Equal(4))
	queued := make(chan reply, 1)
	go func() { queued <- f.send(requestForms[2], "slow", "waiting", nil) }()
	g.Eventually(func() int { return f.daemons["me-1"].View().Self.Headroom["posting"].Queued }, settleTimeout).Should(Equal(1))
	f.withdrawKey(g, "me-1", "farm", "k1")
	close(u.release)
	r := <-queued
	g.Expect(r.Problem.Type).To(Equal(wire.TypeUnknownKey))
	g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(u.runCount("waiting")).To(BeZero())
	running.Wait()
}

// Guards against reporting not-run after a retry that did not run. The first
// upstream closes the connection without a response, and the second one, in
// another region, cannot be reached. The first attempt may have run, so the
// outcome must be may-have-run.
func TestMayHaveRunSurvivesASecondAttempt(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	u := newFaultyUpstream(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	c := twoRegionConfig()
	c.Upstreams["near"] = u.config("posting", "vt-a", 4)
	c.Upstreams["far"] = config.Upstream{Service: "posting", Zone: "me-a", Address: l.Addr().String(), Slots: 4}
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "posting")
	f.awaitHandlers("me-1", "posting")
	for _, form := range []requestForm{requestForms[1], requestForms[3]} {
		r := f.send(form, "closed", form.method, nil)
		g.Expect(u.runCount(form.method)).To(BeNumerically(">=", 1))
		g.Expect(r.Problem.Type).To(Equal(wire.TypeUpstreamFailed))
		g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun), "%+v", r)
	}
	g.Expect(u.runCount(http.MethodPost)).To(Equal(1))
}
