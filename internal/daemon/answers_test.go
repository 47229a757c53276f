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

// edgeUpstream is a worker that fails as the last part of the path says. It
// counts how often each posting came with its whole body.
type edgeUpstream struct {
	address string
	mu      sync.Mutex
	runs    map[string]int
	release chan struct{}
}

func newEdgeUpstream(t *testing.T) *edgeUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	u := &edgeUpstream{address: l.Addr().String(), runs: map[string]int{}, release: make(chan struct{})}
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

func (u *edgeUpstream) config(service, zone string, slots int) config.Upstream {
	return config.Upstream{Service: service, Zone: zone, Address: u.address, Slots: slots}
}

func (u *edgeUpstream) ran(name string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[name]
}

// gate is what slow requests wait for at present.
func (u *edgeUpstream) gate() chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.release
}

// hold has slow requests wait again. A request that was late on its way may arrive
// at the same moment.
func (u *edgeUpstream) hold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.release = make(chan struct{})
}

// expectRuns checks what a caller was told of a request against what ran.
func (u *edgeUpstream) expectRuns(g *WithT, name string, told wire.Outcome) {
	if told == wire.OutcomeNotRun {
		g.Expect(u.ran(name)).To(BeZero(), name)
		return
	}
	g.Expect(u.ran(name)).To(BeNumerically("<=", 1), name)
}

func (u *edgeUpstream) serve(conn net.Conn) {
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
		if !u.answer(conn, path.Base(req.URL.Path)) {
			return
		}
	}
}

// answers by edge; what is not here closes the connection without an answer.
var edgeAnswers = map[string]string{
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

func (u *edgeUpstream) answer(conn net.Conn, edge string) (open bool) {
	if edge == "slow" {
		<-u.gate()
		edge = "fine"
	}
	text := edgeAnswers[edge]
	_, err := io.WriteString(conn, text)
	if edge == "reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	whole := edge == "fine" || edge == "chunks" || edge == "500" || edge == "307" || edge == "shed" || edge == "shed-not-run"
	return err == nil && whole
}

// edgeFleet is vt-1 without an upstream and me-1 with the edge upstream.
func edgeFleet(t *testing.T) (*fleet, *edgeUpstream) { return edgeFleetOn(t, nil) }

// edgeFleetOn is edgeFleet with something between its connections.
func edgeFleetOn(t *testing.T, wrap func([2]string, net.Conn) net.Conn) (*fleet, *edgeUpstream) {
	f := newFleet(t)
	f.network.wrap = wrap
	f.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	u := newEdgeUpstream(t)
	c := twoRegions()
	c.Upstreams["posting-1"] = u.config("posting", "me-a", 4)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "posting")
	f.awaitHandlers("me-1", "posting")
	return f, u
}

// id makes a posting id of a host's first epoch.
func (f *fleet) id(host, own string) string {
	return posting.Prefix(f.daemons[host].Identity().Instance, 0) + "." + own
}

// ways are the forms in which the same request is sent.
type way struct {
	name, method, entry, owner string
}

var ways = []way{
	{"GET at the handler", http.MethodGet, "me-1", ""},
	{"GET relayed", http.MethodGet, "vt-1", ""},
	{"POST at the handler", http.MethodPost, "me-1", ""},
	{"POST relayed", http.MethodPost, "vt-1", ""},
	{"POST with id", http.MethodPost, "vt-1", "vt-1"},
	{"POST with id of another host", http.MethodPost, "vt-1", "me-1"},
}

func (f *fleet) send(w way, edge, name string, more map[string]string) reply {
	header := map[string]string{standin.HeaderPosting: name}
	if w.owner != "" {
		header[wire.HeaderIdempotencyKey] = f.id(w.owner, name)
	}
	for k, v := range more {
		header[k] = v
	}
	return f.call(w.entry, w.method, "posting/"+edge, "secret", header)
}

// edge is what a caller must be told about one failure.
type edge struct {
	name    string
	outcome wire.Outcome
	kind    string
	status  int
	broken  bool   // the body must fail to be read
	seen    [2]int // most requests that upstreams may see: safe, other
}

var edges = []edge{
	{name: "fine", outcome: wire.OutcomeRan, status: 200, seen: [2]int{1, 1}},
	{name: "chunks", outcome: wire.OutcomeRan, status: 200, seen: [2]int{1, 1}},
	{name: "500", outcome: wire.OutcomeRan, status: 500, seen: [2]int{1, 1}},
	{name: "307", outcome: wire.OutcomeRan, status: 307, seen: [2]int{1, 1}},
	{name: "closed", outcome: wire.OutcomeMayHaveRun, kind: wire.TypeUpstreamFailed, status: 502, seen: [2]int{2, 1}},
	{name: "half-header", outcome: wire.OutcomeMayHaveRun, kind: wire.TypeUpstreamFailed, status: 502, seen: [2]int{2, 1}},
	{name: "unframed", outcome: wire.OutcomeMayHaveRun, kind: wire.TypeUpstreamFailed, status: 502, seen: [2]int{2, 1}},
	{name: "switched", outcome: wire.OutcomeMayHaveRun, kind: wire.TypeUpstreamFailed, status: 502, seen: [2]int{2, 1}},
	{name: "short-length", broken: true, seen: [2]int{1, 1}},
	{name: "short-chunks", broken: true, seen: [2]int{1, 1}},
	{name: "short-large", broken: true, seen: [2]int{1, 1}},
	{name: "reset", broken: true, seen: [2]int{1, 1}},
	{name: "shed", outcome: wire.OutcomeMayHaveRun, kind: wire.TypeUpstreamShed, status: 503, seen: [2]int{2, 1}},
	{name: "shed-not-run", outcome: wire.OutcomeNotRun, kind: wire.TypeUpstreamShed, status: 503, seen: [2]int{2, 2}},
}

// A worker fails in each way that a worker can. Whichever way the request
// came, the caller is told what is true, never takes a part for the whole,
// and a posting is seen by one worker once.
func TestOutcomesOfUpstreamFailures(t *testing.T) {
	f, u := edgeFleet(t)
	for _, e := range edges {
		for i, w := range ways {
			t.Run(e.name+"/"+w.name, func(t *testing.T) {
				g := NewWithT(t)
				name := e.name + "-" + strconv.Itoa(i)
				r := f.send(w, e.name, name, nil)
				seen := e.seen[0]
				if w.method == http.MethodPost {
					seen = e.seen[1]
				}
				g.Expect(u.ran(name)).To(And(BeNumerically(">=", 1), BeNumerically("<=", seen)))
				if e.broken {
					whole := r.Err == nil && r.Outcome == wire.OutcomeRan
					g.Expect(whole).To(BeFalse(), "%+v", r)
					g.Expect(r.Outcome).NotTo(Equal(wire.OutcomeNotRun))
				} else {
					g.Expect(r.Err).NotTo(HaveOccurred())
					g.Expect(r.Outcome).To(Equal(e.outcome), "%+v", r)
					g.Expect(r.Status).To(Equal(e.status))
					g.Expect(r.Problem.Type).To(Equal(e.kind))
				}
				f.repeat(g, u, w, e, name, r)
			})
		}
	}
}

// repeat asks for the same posting id again.
func (f *fleet) repeat(g *WithT, u *edgeUpstream, w way, e edge, name string, first reply) {
	if w.owner == "" {
		return
	}
	before := u.ran(name)
	again := f.send(w, e.name, name, nil)
	if first.Outcome == wire.OutcomeNotRun {
		g.Expect(again.Outcome).To(Equal(wire.OutcomeNotRun))
		return
	}
	g.Expect(u.ran(name)).To(Equal(before))
	switch {
	case e.name == "short-large":
		g.Expect(again.Outcome).To(Equal(wire.OutcomeRan))
		g.Expect(string(again.Body)).To(ContainSubstring(wire.TypeAnswerNotKept))
	case e.outcome == wire.OutcomeRan:
		g.Expect(again).To(Equal(first))
	default:
		g.Expect(again.Problem.Type).To(Equal(wire.TypeOutcomeUnknown))
	}
}

// A worker takes longer than the caller waits: the request was dispatched, so
// it may have run. A second one waits for the only slot until its own time is
// over: nothing of it was sent, and none may be sent later.
func TestOutcomesOfDeadlines(t *testing.T) {
	g := NewWithT(t)
	f, u := edgeFleet(t)
	soon := map[string]string{wire.HeaderTimeoutMs: "300"}
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() {
			f.send(ways[2], "slow", "long-"+strconv.Itoa(i), map[string]string{wire.HeaderTimeoutMs: "9000"})
		})
	}
	g.Eventually(func() int { return u.ran("long-0") + u.ran("long-1") + u.ran("long-2") + u.ran("long-3") }, settle).Should(Equal(4))
	outcomes := map[string]wire.Outcome{}
	for _, w := range ways {
		r := f.send(w, "slow", "queued "+w.name, soon)
		outcomes["queued "+w.name] = r.Outcome
		g.Expect(r.Outcome).To(BeElementOf(wire.OutcomeNotRun, wire.OutcomeMayHaveRun), "%+v", r)
		if w.entry == "me-1" {
			g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun), "%+v", r)
		}
	}
	close(u.release)
	running.Wait()
	u.hold()
	for name, outcome := range outcomes {
		u.expectRuns(g, name, outcome)
	}

	for i, w := range ways {
		name := "slow-" + strconv.Itoa(i)
		r := f.send(w, "slow", name, soon)
		g.Expect(r.Problem.Type).To(Equal(wire.TypeDeadline), "%s: %+v", w.name, r)
		g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun))
		g.Expect(u.ran(name)).To(Equal(1))
	}
	close(u.release)
}

// Guards against "not run" for a posting that reaches its owner late, outlives its
// caller's deadline in the queue there, and then runs.
func TestOutcomeOfAPostingThatReachesItsOwnerLate(t *testing.T) {
	g := NewWithT(t)
	const oneWay = 100 * time.Millisecond
	f, u := edgeFleetOn(t, func(_ [2]string, c net.Conn) net.Conn { return newDelayedConn(c, oneWay) })
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() {
			f.send(ways[2], "slow", "long-"+strconv.Itoa(i), map[string]string{wire.HeaderTimeoutMs: "9000"})
		})
	}
	g.Eventually(func() int { return u.ran("long-0") + u.ran("long-1") + u.ran("long-2") + u.ran("long-3") }, settle).Should(Equal(4))
	r := f.send(ways[5], "slow", "late", map[string]string{wire.HeaderTimeoutMs: "300"})
	close(u.release)
	running.Wait()
	g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun), "%+v", r)
	g.Consistently(func() int { return u.ran("late") }, 3*oneWay).Should(BeNumerically("<=", 1))
}

// The handler's host dies before a request reaches it, or while a worker runs
// it. Before: nothing can have run. During: it may have.
func TestOutcomesOfADyingHandler(t *testing.T) {
	g := NewWithT(t)
	f, u := edgeFleet(t)
	defer close(u.release)
	replies := make(chan reply, len(ways))
	relayed := []way{ways[1], ways[3], ways[4], ways[5]}
	for i, w := range relayed {
		go func() { replies <- f.send(w, "slow", "during-"+strconv.Itoa(i), nil) }()
	}
	for i := range relayed {
		g.Eventually(func() int { return u.ran("during-" + strconv.Itoa(i)) }, settle).Should(Equal(1))
	}
	ofDead := f.id("me-1", "during-3")
	f.kill("me-1")
	for range relayed {
		r := <-replies
		g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun), "%+v", r)
	}
	again := f.call("vt-1", http.MethodPost, "posting/slow", "secret", map[string]string{
		standin.HeaderPosting: "during-3", wire.HeaderIdempotencyKey: ofDead,
	})
	g.Expect(again.Problem.Type).To(Equal(wire.TypeOutcomeUnknown))
	for _, w := range relayed[:3] {
		r := f.send(w, "slow", "after", nil)
		g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun), "%+v", r)
	}
	g.Expect(u.ran("after")).To(BeZero())
}

// A caller hangs up while its posting runs. The posting goes on, and who asks
// again, also at another host, gets its answer.
func TestCallerGoneDoesNotCutThePosting(t *testing.T) {
	g := NewWithT(t)
	f, u := edgeFleet(t)
	for i, w := range []way{ways[4], ways[5]} {
		name := "left-" + strconv.Itoa(i)
		url := "http://" + f.daemons[w.entry].Identity().CallerAddress + "/svc/posting/slow"
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, w.method, url, http.NoBody)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer secret")
		req.Header.Set(standin.HeaderPosting, name)
		req.Header.Set(wire.HeaderIdempotencyKey, f.id(w.owner, name))
		gone := make(chan struct{})
		go func() {
			_, _ = f.client.Do(req)
			close(gone)
		}()
		g.Eventually(func() int { return u.ran(name) }, settle).Should(Equal(1))
		cancel()
		<-gone
		answers := make(chan reply, 2)
		for _, entry := range []string{"vt-1", "me-1"} {
			go func() { answers <- f.send(way{entry: entry, method: w.method, owner: w.owner}, "slow", name, nil) }()
		}
		close(u.release)
		for range 2 {
			r := <-answers
			g.Expect(r.Outcome).To(Equal(wire.OutcomeRan), "%+v", r)
			g.Expect(string(r.Body)).To(Equal("whole"))
		}
		g.Expect(u.ran(name)).To(Equal(1))
		u.hold()
	}
}

// A customer uses an id again with another request, or another customer uses
// the same id: neither gets the first one's answer.
func TestPostingIDsAreNotMixedUp(t *testing.T) {
	g := NewWithT(t)
	f, u := edgeFleet(t)
	w := ways[5]
	g.Expect(f.send(w, "fine", "w1", nil).Outcome).To(Equal(wire.OutcomeRan))
	other := f.send(w, "chunks", "w1", nil)
	g.Expect(other.Problem.Type).To(Equal(wire.TypePostingIDReused))
	g.Expect(other.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(u.ran("w1")).To(Equal(1))
	for _, id := range []string{f.id("me-1", "x") + "\tx", "no-prefix", posting.Prefix(f.daemons["me-1"].Identity().Instance, 9) + ".x"} {
		r := f.call("vt-1", http.MethodPost, "posting/fine", "secret", map[string]string{wire.HeaderIdempotencyKey: id, standin.HeaderPosting: "bad"})
		g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun))
	}
	unknown := f.call("vt-1", http.MethodPost, "posting/fine", "secret", map[string]string{wire.HeaderIdempotencyKey: "gone-0.x", standin.HeaderPosting: "bad"})
	g.Expect(unknown.Problem.Type).To(Equal(wire.TypeOutcomeUnknown))
	g.Expect(u.ran("bad")).To(BeZero())
}

// A caller's line breaks while it sends its body, before or after a part of
// it has reached a worker. A worker never sees the part as a whole request.
func TestOutcomesOfBrokenRequestBodies(t *testing.T) {
	f, u := edgeFleet(t)
	for name, c := range map[string]struct {
		declared, sent int
		want           wire.Outcome
	}{
		"held body":     {100, 10, wire.OutcomeNotRun},
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
				_ = conn.SetReadDeadline(time.Now().Add(settle))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(c.want)))
				g.Expect(u.ran("broken")).To(BeZero())
			})
		}
	}
}

// withdraw takes a customer's key back and waits until a host knows.
func (f *fleet) withdraw(g *WithT, host, customer, key string) {
	client := ctl.NewClient(f.daemons[host].OperatorsAddress())
	now, err := client.Config()
	g.Expect(err).NotTo(HaveOccurred())
	patch := fmt.Sprintf(`{"customers":{%q:{"keys":{%q:null,"other":{"sha256":%q}}}}}`, customer, key, config.DigestOf("other"))
	changed, err := client.Patch(now.Version, []byte(patch))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() uint64 { return f.daemons[host].View().Self.ConfigVersion }, settle).Should(Equal(changed.Version))
}

// A key is withdrawn while a request waits for room. It must not run when the
// room comes.
func TestKeyWithdrawnInTheQueue(t *testing.T) {
	g := NewWithT(t)
	f, u := edgeFleet(t)
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() { f.send(ways[2], "slow", "long-"+strconv.Itoa(i), nil) })
	}
	g.Eventually(func() int { return u.ran("long-0") + u.ran("long-1") + u.ran("long-2") + u.ran("long-3") }, settle).Should(Equal(4))
	waiting := make(chan reply, 1)
	go func() { waiting <- f.send(ways[2], "slow", "waiting", nil) }()
	g.Eventually(func() int { return f.daemons["me-1"].View().Self.Headroom["posting"].Queued }, settle).Should(Equal(1))
	f.withdraw(g, "me-1", "farm", "k1")
	close(u.release)
	r := <-waiting
	g.Expect(r.Problem.Type).To(Equal(wire.TypeUnknownKey))
	g.Expect(r.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(u.ran("waiting")).To(BeZero())
	running.Wait()
}

// A lookup is sent to a worker that breaks off, then to another region whose
// worker cannot be reached. The second attempt certainly did not run; the
// request as a whole may have.
func TestDoubtOutlivesASecondAttempt(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	u := newEdgeUpstream(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	c := twoRegions()
	c.Upstreams["near"] = u.config("posting", "vt-a", 4)
	c.Upstreams["far"] = config.Upstream{Service: "posting", Zone: "me-a", Address: l.Addr().String(), Slots: 4}
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "posting")
	f.awaitHandlers("me-1", "posting")
	for _, w := range []way{ways[1], ways[3]} {
		r := f.send(w, "closed", w.method, nil)
		g.Expect(u.ran(w.method)).To(BeNumerically(">=", 1))
		g.Expect(r.Problem.Type).To(Equal(wire.TypeUpstreamFailed))
		g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun), "%+v", r)
	}
	g.Expect(u.ran(http.MethodPost)).To(Equal(1))
}
