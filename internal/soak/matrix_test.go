package soak

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/traffic"
)

var (
	matrixCells = flag.Int("soak.cells", 2000, "number of cells of each table of TestPromisesOverAllAnswers; 0: all")
	otherDaemon = flag.String("soak.daemon", "", "path of a test binary of balsambarrowd to run in place of that of this build")
)

const (
	// matrixServices is the number of services, with matrixUpstreams upstreams each: failures of one do not keep requests
	// from the others.
	matrixServices  = 24
	matrixUpstreams = 4
	// matrixWorkers is the number of callers.
	matrixWorkers = 48
	// changeCells is the number of requests that are in flight at once while something changes.
	changeCells = 150
	// usualLimit is the time limit of requests, shortLimit that of requests whose upstream does not answer in time, and
	// silentLimit that of those under which a version comes into force first.
	usualLimit  = 2 * time.Second
	shortLimit  = 150 * time.Millisecond
	silentLimit = 600 * time.Millisecond
	// suspensionMargin is added to a time limit, so that a suspended host resumes after it.
	suspensionMargin = 50 * time.Millisecond
)

// Guards against requests that ran although their callers were told that they did not, over what upstreams answer to each attempt.
func TestPromisesOverAllAnswers(t *testing.T) {
	m := newMatrix(t)
	defer m.close()
	m.sendAll("answers", m.sample(answerCells()))
	m.sendAll("moments", m.sample(momentCells()))
	m.report()
}

// Guards against promises about a request whose only upstream failed at the time limit, with a statement that its status contradicts.
func TestUpstreamFailureAtTheTimeLimitPromisesNothing(t *testing.T) {
	m := newMatrix(t)
	defer m.close()
	m.sendAll("time limit", timeLimitCells())
	m.report()
}

// Guards against promises, and second attempts, that rest on the kind which the route has in another version.
func TestPromisesWhileTheConfigurationChanges(t *testing.T) {
	m := newMatrix(t)
	defer m.close()
	for _, change := range versionChanges {
		m.sendWhile(change.name, change, func() { m.putInForce(change.edit) })
		if change.late {
			m.sendBeforeHeard(change)
		}
	}
	m.report()
}

// Guards against promises about requests that ran beside the planned stop of their host.
func TestPromisesWhileTheHostStops(t *testing.T) {
	m := newMatrix(t)
	defer m.close()
	for range 3 {
		h := m.c.processes[0]
		m.sendWhile("stop", versionChange{}, func() {
			h.signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
		})
		m.c.restart(h)
		m.awaitServing()
	}
	m.report()
}

// Guards against promises about requests that ran in the tunnels of a host without links to upstreams.
func TestPromisesThroughTunnels(t *testing.T) {
	m := newMatrix(t)
	defer m.close()
	m.c.setUplinks(m.c.processes[:1], standin.UplinkFaults[0])
	time.Sleep(detectionDelay)
	m.awaitServing()
	m.sendAll("tunnel", m.sample(answerCells()))
	m.report()
	text, err := os.ReadFile(m.c.logFile(m.c.processes[0]))
	if err != nil {
		t.Fatal(err)
	}
	relayed, direct := answeredLines(string(text))
	t.Logf("%d lines of answers through a tunnel, %d of others since the links are down", relayed, direct)
	if relayed == 0 || direct > 0 {
		t.Errorf("requests did not go through tunnels")
	}
}

// answeredLines counts the lines of responses of upstreams that came through a tunnel, and directly, after the links were
// found to be down.
func answeredLines(log string) (relayed, direct int) {
	_, after, _ := strings.Cut(log, `msg="upstream links down"`)
	for line := range strings.Lines(after) {
		switch {
		case !strings.Contains(line, "msg=answered"):
		case strings.Contains(line, "relay=127."):
			relayed++
		default:
			direct++
		}
	}
	return relayed, direct
}

// Guards against promises about requests that ran in another region, directly and in tunnels.
func TestPromisesOfUpstreamsInAnotherRegion(t *testing.T) {
	t.Parallel()
	m := newMatrixWith(t, []string{"b1"}, []string{"a1", "b1"})
	defer m.close()
	m.sendAll("region", m.smallSample(answerCells(), 4))
	m.sendAll("region moments", m.smallSample(momentCells(), 4))
	m.c.setUplinks(m.c.processes[:1], standin.UplinkFaults[0])
	time.Sleep(detectionDelay)
	m.awaitServing()
	m.sendAll("region tunnel", m.smallSample(answerCells(), 4))
	m.report()
}

// Guards against promises about requests that ran while their host was suspended, within their time limits and beyond them.
func TestPromisesWhileTheHostIsSuspended(t *testing.T) {
	t.Parallel()
	m := newMatrix(t)
	defer m.close()
	for _, length := range []time.Duration{shortLimit, silentLimit, usualLimit} {
		cells := m.prepareChange("suspended", versionChange{})
		wait := m.startAll(cells)
		m.c.processes[0].signal(syscall.SIGSTOP)
		m.release(cells)
		time.Sleep(length + suspensionMargin)
		m.c.processes[0].signal(syscall.SIGCONT)
		wait()
		m.awaitServing()
	}
	m.report()
}

// Guards against promises about requests that ran while the links of their host to upstreams failed.
func TestPromisesWhileTheLinksFail(t *testing.T) {
	t.Parallel()
	m := newMatrix(t)
	defer m.close()
	for _, fault := range standin.UplinkFaults {
		m.sendWhile("links "+string(fault), versionChange{}, func() { m.c.setUplinks(m.c.processes[:1], fault) })
		m.sendAll("without links "+string(fault), m.smallSample(momentCells(), 8))
		m.c.setUplinks(m.c.processes[:1], standin.UplinkWorks)
		m.awaitServing()
	}
	m.report()
}

// daemonUnderTest returns the path of the binary that otherDaemon names, or of that of this build.
func daemonUnderTest(t *testing.T) string {
	if *otherDaemon != "" {
		return *otherDaemon
	}
	return daemonBinary(t)
}

// cell is one request: what its caller sends, and what upstreams answer.
type cell struct {
	id, table, path, key string
	body                 bodyKind
	// replies are those to its first attempts; further ones get the last one.
	replies []reply
	// late is when the reply at index lateAt is sent, relative to the time limit that the upstream was told; nil: at once.
	late   *time.Duration
	lateAt int
	limit  time.Duration
	// held is closed when replies may be sent; nil: at once.
	held chan struct{}

	mu       sync.Mutex
	attempts int
	runs     []string
	// arrived is closed at the first attempt, and ended at the end of the request.
	arrived, ended chan struct{}
	status         int
	err            error
}

func newCell(body bodyKind, replies ...reply) *cell {
	c := &cell{body: body, replies: replies, limit: usualLimit, key: "steady", arrived: make(chan struct{}), ended: make(chan struct{})}
	if body == bodyLongStalled {
		c.limit = shortLimit
	}
	for _, r := range replies {
		if r.status == 0 && r.end == endSilent {
			c.limit = shortLimit
		}
	}
	return c
}

// String describes the cell without what identifies the request.
func (c *cell) String() string {
	parts := []string{c.table, c.body.String()}
	for _, r := range c.replies {
		parts = append(parts, r.String())
	}
	if c.late != nil {
		parts = append(parts, fmt.Sprintf("answer %d at limit%+v", c.lateAt+1, *c.late))
	}
	return strings.Join(parts, " | ")
}

// firstReplies are all kinds of replies to a first attempt.
func firstReplies() []reply {
	var out []reply
	for _, status := range []int{400, 408, 421, 429, 500, 502, 503, 504} {
		for _, statement := range []string{"", "1", "0"} {
			for _, early := range []bool{false, true} {
				for _, chunked := range []bool{false, true} {
					for copies := range 2 {
						for _, end := range []connEnd{endKeep, endClose, endReset} {
							out = append(out, reply{status, statement, early, chunked, copies, end, false})
						}
					}
				}
			}
		}
	}
	return slices.Concat(out, noReplies, longReplies())
}

// longReplies are replies that a host forwards as they arrive.
func longReplies() []reply {
	var out []reply
	for _, status := range []int{408, 421, 429, 500, 503} {
		for _, statement := range []string{"", "1", "0"} {
			out = append(out, reply{status: status, statement: statement, long: true}, reply{status: status, statement: statement, long: true, chunked: true, end: endClose})
		}
	}
	return out
}

// secondReplies are all kinds of replies to a second attempt.
func secondReplies() []reply {
	out := []reply{{status: http.StatusOK}, {status: http.StatusOK, chunked: true, copies: 1}}
	for _, status := range []int{400, 408, 421, 429, 500, 502, 503, 504} {
		for _, statement := range []string{"", "1", "0"} {
			out = append(out, reply{status: status, statement: statement}, reply{status: status, statement: statement, chunked: true, early: true, copies: 1, end: endClose})
		}
	}
	return slices.Concat(out, noReplies, longReplies())
}

// noReplies end an attempt without a response.
var noReplies = []reply{{end: endClose}, {end: endReset}, {end: endSilent}, {end: endReset, early: true}, {end: endClose, early: true}}

// answerCells are all combinations of a body and of two replies.
func answerCells() []*cell {
	var out []*cell
	for body := range bodyKinds {
		for _, first := range firstReplies() {
			seconds := secondReplies()
			if !first.invitesAnother() {
				seconds = seconds[:2] // no second attempt is expected
			}
			for _, second := range seconds {
				out = append(out, newCell(body, first, second))
			}
		}
	}
	return out
}

// momentCells are combinations in which one reply is sent near the time limit.
func momentCells() []*cell {
	var out []*cell
	declined := reply{status: http.StatusServiceUnavailable, statement: "1"}
	for _, body := range []bodyKind{bodyNone, bodyLength, bodyChunks, bodyLongChunks} {
		for _, late := range []time.Duration{-20 * time.Millisecond, -2 * time.Millisecond, 0, time.Millisecond} {
			for _, r := range secondReplies() {
				first, second := newCell(body, r, reply{status: http.StatusOK}), newCell(body, declined, r)
				first.late, first.limit = &late, shortLimit
				second.late, second.lateAt, second.limit = &late, 1, shortLimit
				out = append(out, first, second)
			}
		}
	}
	return out
}

// timeLimitCells are requests that an upstream answers too late for a second attempt.
func timeLimitCells() []*cell {
	const times = 5
	var out []*cell
	for _, body := range []bodyKind{bodyNone, bodyLength, bodyChunks} {
		for _, late := range []time.Duration{-2 * time.Millisecond, -time.Millisecond, 0} {
			for _, status := range []int{http.StatusInternalServerError, http.StatusGatewayTimeout} {
				for range times {
					c := newCell(body, reply{status: status, statement: "1"}, reply{status: http.StatusOK})
					c.late, c.limit = &late, shortLimit
					out = append(out, c)
				}
			}
		}
	}
	return out
}

// changeCellsOf are the cells of one change.
func changeCellsOf(rng *rand.Rand) []*cell {
	firsts, seconds := firstReplies(), secondReplies()
	out := make([]*cell, 0, changeCells)
	for range changeCells {
		first := firsts[rng.IntN(len(firsts))]
		if rng.IntN(2) == 0 {
			first = seconds[rng.IntN(len(seconds))]
		}
		out = append(out, newCell(bodyKind(rng.IntN(int(bodyKinds))), first, seconds[rng.IntN(len(seconds))]))
	}
	return out
}

// matrix sends cells to a host that runs as a process.
type matrix struct {
	t   *testing.T
	c   *cluster
	rng *rand.Rand

	mu     sync.Mutex
	cells  map[string]*cell
	config matrixConfig
	sent   []*cell
	stop   chan struct{}
	tasks  sync.WaitGroup
}

func newMatrix(t *testing.T) *matrix {
	return newMatrixWith(t, []string{"a1", "a2"}, []string{"a1", "a2"})
}

// newMatrixWith returns a matrix with upstreams in some availability zones, and a host in each of others. The first host
// gets the requests.
func newMatrixWith(t *testing.T, upstreamZones, hostZones []string) *matrix {
	binary := daemonUnderTest(t)
	m := &matrix{
		t: t, rng: rand.New(rand.NewPCG(*firstSeed, 77)), cells: map[string]*cell{}, stop: make(chan struct{}),
		c: &cluster{t: t, reporter: t, binary: binary, dir: t.TempDir(), store: standin.NewKVStore(), retryRatio: 100},
	}
	t.Logf("seed %d", *firstSeed)
	m.c.server = httptest.NewServer(m.c.store)
	m.config = newMatrixConfig()
	m.c.store.Put("op/config", m.config.encode())
	for i := range matrixServices {
		for j := range matrixUpstreams {
			m.addUpstream(fmt.Sprintf("i-%d-%d", i, j), serviceName(i), upstreamZones[j%len(upstreamZones)])
		}
	}
	for i, zone := range hostZones {
		m.c.addProcess(fmt.Sprint("h", i), hostConfig{zone: zone})
	}
	m.tasks.Go(func() { m.c.runHeartbeats(m.stop) })
	m.awaitServing()
	return m
}

func (m *matrix) close() {
	close(m.stop)
	m.tasks.Wait()
	m.c.close()
}

// sample returns the cells that are sent, in random order.
func (m *matrix) sample(cells []*cell) []*cell { return m.smallSample(cells, 1) }

// smallSample is sample, with the usual number of cells divided by divisor.
func (m *matrix) smallSample(cells []*cell, divisor int) []*cell {
	m.rng.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	if *matrixCells > 0 {
		cells = cells[:min(*matrixCells/divisor, len(cells))]
	}
	return cells
}

// add registers cells, so that upstreams know their replies.
func (m *matrix) add(table string, cells []*cell) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range cells {
		c.id, c.table = fmt.Sprintf("%s-%d", strings.ReplaceAll(table, " ", "-"), len(m.sent)), table
		if c.path == "" {
			c.path = servicePath(len(m.sent) % matrixServices)
		}
		m.cells[c.id] = c
		m.sent = append(m.sent, c)
	}
}

func (m *matrix) find(id string) *cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cells[id]
}

// sendAll sends cells one after another, from a number of callers.
func (m *matrix) sendAll(table string, cells []*cell) {
	m.add(table, cells)
	queue := make(chan *cell)
	var callers sync.WaitGroup
	for range matrixWorkers {
		callers.Go(func() {
			w := &rawCaller{address: m.c.processes[0].callerAddress}
			defer w.close()
			for c := range queue {
				w.send(c)
			}
		})
	}
	for _, c := range cells {
		queue <- c
	}
	close(queue)
	callers.Wait()
}

// sendWhile sends cells on the route of a change, makes the change once all of them have arrived at an upstream, and
// lets the upstreams reply.
func (m *matrix) sendWhile(table string, change versionChange, act func()) {
	cells := m.prepareChange(table, change)
	wait := m.startAll(cells)
	act()
	m.release(cells)
	wait()
}

// sendBeforeHeard writes a version before the requests are sent, and lets the upstreams reply once the host has
// heard of it.
func (m *matrix) sendBeforeHeard(change versionChange) {
	cells := m.prepareChange(change.name+" before", change)
	h := m.c.processes[0]
	for _, p := range m.c.processes {
		p.proxy.setMode(modeDelay)
	}
	m.config.version++
	change.edit(&m.config)
	m.c.store.Put("op/config", m.config.encode())
	wait := m.startAll(cells)
	m.awaitVersion(h)
	for _, p := range m.c.processes {
		p.proxy.setMode(modePass)
	}
	m.release(cells)
	wait()
}

// prepareChange puts the route of a change into force.
func (m *matrix) prepareChange(table string, change versionChange) []*cell {
	m.putInForce(func(c *matrixConfig) { c.beginChange(change) })
	cells := changeCellsOf(m.rng)
	held := make(chan struct{})
	for _, c := range cells {
		c.path, c.held = changePath, held
		if c.limit == shortLimit {
			c.limit = silentLimit
		}
		if change.name != "" {
			c.path += "part/"
		}
		if change.key != "" {
			c.key = change.key
		}
	}
	m.add(table, cells)
	return cells
}

// startAll sends cells at once, and returns when each has arrived at an upstream or has ended. The function that it
// returns waits for their ends.
func (m *matrix) startAll(cells []*cell) (wait func()) {
	var callers sync.WaitGroup
	for _, c := range cells {
		callers.Go(func() {
			w := &rawCaller{address: m.c.processes[0].callerAddress}
			defer w.close()
			w.send(c)
		})
	}
	for _, c := range cells {
		select {
		case <-c.arrived:
		case <-c.ended:
		}
	}
	return callers.Wait
}

func (m *matrix) release(cells []*cell) { close(cells[0].held) }

// putInForce writes the next version and waits until the host has it.
func (m *matrix) putInForce(edit func(*matrixConfig)) {
	m.config.version++
	edit(&m.config)
	m.c.store.Put("op/config", m.config.encode())
	m.awaitVersion(m.c.processes[0])
}

func (m *matrix) awaitVersion(h *daemonProcess) {
	want := fmt.Sprintf("balsambarrow_configuration_version %d\n", m.config.version)
	m.await("version in force", func() bool { return strings.Contains(metricsOf(h), want) })
}

func (m *matrix) await(what string, done func() bool) {
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("%s: not within 30 s, log:\n%s", what, m.c.lastLog(m.c.processes[0]))
		}
	}
}

// awaitServing waits until the first host serves each service.
func (m *matrix) awaitServing() {
	w := &rawCaller{address: m.c.processes[0].callerAddress}
	defer w.close()
	for i := range matrixServices {
		m.await("serving", func() bool {
			c := newCell(bodyNone, reply{status: http.StatusOK})
			c.id, c.path = "warm-up", servicePath(i)
			w.send(c)
			return c.status == http.StatusOK
		})
	}
}

// report checks that callers got responses, and what they were told against what the upstreams ran.
func (m *matrix) report() {
	time.Sleep(300 * time.Millisecond)
	sent, arrived, second, promises, failed := len(m.sent), 0, 0, 0, map[string]int{}
	statuses := map[int]int{}
	for _, c := range m.sent {
		c.mu.Lock()
		statuses[c.status]++
		if c.attempts > 0 {
			arrived++
		}
		if c.attempts > 1 {
			second++
		}
		promised := c.err == nil && traffic.PromisesNotRun(c.status)
		if promised {
			promises++
		}
		if errors.Is(c.err, os.ErrDeadlineExceeded) {
			failed["no response: "+c.String()]++
		}
		if len(c.runs) > 1 {
			failed["ran twice: "+c.String()]++
		}
		if promised && len(c.runs) > 0 {
			failed[fmt.Sprintf("%d, ran: %v", c.status, c)]++
		}
		c.mu.Unlock()
	}
	m.t.Logf("%d requests, %d sent to an upstream, %d to a second one, %d told that they did not run; statuses %v", sent, arrived, second, promises, statuses)
	if len(failed) == 0 {
		return
	}
	const shown = 25
	for i, line := range slices.Sorted(maps.Keys(failed)) {
		if i < shown {
			m.t.Logf("%d of: %s", failed[line], line)
		}
	}
	total, groups := 0, map[string]int{}
	for line, n := range failed {
		total += n
		groups[groupOf(line)] += n
	}
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		m.t.Logf("%6d %s", groups[g], g)
	}
	m.t.Errorf("%d requests ran twice, ran although their callers were told that they did not, or got no response", total)
}

// groupOf returns a failed cell without its body and the form of its replies.
func groupOf(line string) string {
	parts := strings.Split(line, " | ")
	for i, p := range parts[2:] {
		fields := strings.Fields(p)
		parts[2+i] = strings.Join(fields[:min(2, len(fields))], " ")
	}
	return strings.Join(append(parts[:1], parts[2:]...), " | ")
}
