package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

// Upstreams of the simulated loads. Their room is loadUpstreams * loadSlots requests at once.
const (
	loadHosts     = 3
	loadUpstreams = 6
	loadSlots     = 4
	loadPlaces    = 12
	loadWork      = 60 * time.Millisecond
	loadTimeout   = 2 * time.Second
	loadDuration  = 12 * time.Second
)

// loadKind is a stream of equal requests; demand is a part of the room.
type loadKind struct {
	name, customer string
	demand         float64
	work           time.Duration
	target         time.Duration
	priority       int
	overRate       bool
	from, until    time.Duration
}

// served counts the outcomes of the requests of one kind.
type served struct{ asked, inTime, late, refused int }

func (s served) part() float64 { return float64(s.inTime) / float64(s.asked) }

// simUpstream serves in order of arrival.
type simUpstream struct {
	slots    chan struct{}
	mu       sync.Mutex
	pending  int
	slowdown func() float64
}

// serve returns the report of one request.
func (u *simUpstream) serve(ctx context.Context, work time.Duration) place.Report {
	began := time.Now()
	if full := u.add(1); full {
		return place.Report{Result: place.Shed, HasLoad: true, Load: u.load()}
	}
	u.slots <- struct{}{}
	time.Sleep(time.Duration(float64(work) * u.slowdown()))
	report := place.Report{TimeToHeader: time.Since(began), HasLoad: true, Load: u.load()}
	u.add(-1)
	<-u.slots
	if ctx.Err() != nil {
		report = place.Report{Result: place.Canceled}
	}
	return report
}

func (u *simUpstream) add(n int) (full bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n > 0 && u.pending >= loadSlots+loadPlaces {
		return true
	}
	u.pending += n
	return false
}

func (u *simUpstream) load() traffic.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return traffic.Load{Running: min(u.pending, loadSlots), Waiting: max(u.pending-loadSlots, 0), Slots: loadSlots, Slowdown: u.slowdown()}
}

// simFleet is hosts and upstreams in simulated time.
type simFleet struct {
	hosts     []*Handler
	upstreams map[string]*simUpstream
	customers []catalog.Customer
	stopsAt   time.Time
	events    map[QueueEventKind]int
	mu        sync.Mutex
}

func newSimFleet(t *testing.T, hosts int, queue bool, slowdown func(n int) float64, customers ...string) *simFleet {
	t.Helper()
	f := &simFleet{upstreams: map[string]*simUpstream{}, events: map[QueueEventKind]int{}}
	for _, name := range customers {
		f.customers = append(f.customers, catalog.Customer{Name: name, Keys: []string{name}})
	}
	configuration, err := catalog.New(catalog.Declaration{Version: 1, Customers: f.customers, RequiresKeys: true})
	if err != nil {
		t.Fatal(err)
	}
	state := &State{Catalog: configuration, ConfirmedAt: time.Now(), UpstreamsKnown: true}
	for n := range loadUpstreams {
		u := &simUpstream{slots: make(chan struct{}, loadSlots), slowdown: func() float64 { return slowdown(n) }}
		f.upstreams[fmt.Sprint("u-", n)] = u
	}
	for i := range hosts {
		table := place.NewTable(place.Host{Instance: fmt.Sprint("h-", i), Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
		for id := range f.upstreams {
			table.PutUpstream(time.Now(), catalog.Upstream{ID: id, Service: "s", Address: id, Zone: "a1", Slots: loadSlots, State: catalog.StateReady})
		}
		f.hosts = append(f.hosts, New(Deps{
			State: func() *State { return state }, Table: table, Now: time.Now, Bounds: func() Bounds { return Bounds{} },
			Stop: func() Stop { return Stop{At: f.stopsAt, LearnedBy: f.stopsAt} }, Queues: func(string) bool { return queue },
			ObserveQueue: func(e QueueEvent) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.events[e.Kind]++
			},
		}))
	}
	return f
}

// request returns a request that has arrived now, and its context.
func (f *simFleet) request(ctx context.Context, k loadKind) *request {
	q := &request{
		http: httptest.NewRequest("GET", "/", nil).WithContext(ctx), arrived: time.Now(), state: f.hosts[0].State(), service: "s", overRate: k.overRate, body: &body{},
		route: &catalog.Route{Name: k.name, TargetLatency: k.target, Priority: k.priority, MaxAttempts: 1},
	}
	q.timeLimit = q.arrived.Add(loadTimeout)
	q.deadline = q.timeLimit
	for i, c := range f.customers {
		if c.Name == k.customer {
			q.customer, q.APIKey = &f.customers[i], c.Name
		}
	}
	return q
}

// call serves one request at a host. The error is why it was refused.
func (f *simFleet) call(ctx context.Context, h *Handler, k loadKind) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	q := f.request(ctx, k)
	choice, err := h.choose(ctx, q)
	if err != nil {
		return err
	}
	report := f.upstreams[choice.ID].serve(ctx, k.work)
	h.done(q, choice, report)
	if report.Result != place.Succeeded {
		return errors.New("shed or given up")
	}
	return nil
}

// play plays the kinds of requests against the fleet and counts their outcomes by name.
func play(t *testing.T, queue bool, slowdown func(n int) float64, kinds ...loadKind) map[string]served {
	out := map[string]served{}
	synctest.Test(t, func(t *testing.T) {
		var customers []string
		for _, k := range kinds {
			customers = append(customers, k.customer)
		}
		f := newSimFleet(t, loadHosts, queue, slowdown, customers...)
		var mu sync.Mutex
		var calls sync.WaitGroup
		for i, k := range kinds {
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			perSecond := k.demand * loadUpstreams * loadSlots / k.work.Seconds()
			calls.Go(func() {
				time.Sleep(k.from)
				for end := time.Now().Add(k.until - k.from); time.Now().Before(end); {
					time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
					h, k := f.hosts[rng.IntN(len(f.hosts))], k
					k.work = time.Duration((.5 + rng.Float64()) * float64(k.work))
					calls.Go(func() {
						began := time.Now()
						err := f.call(context.Background(), h, k)
						mu.Lock()
						defer mu.Unlock()
						s := out[k.name]
						s.asked++
						switch {
						case err != nil:
							s.refused++
						case time.Since(began) <= k.target:
							s.inTime++
						default:
							s.late++
						}
						out[k.name] = s
					})
				}
			})
		}
		calls.Wait()
	})
	return out
}

func asUsual(int) float64 { return 1 }

func steady(name string, demand float64) loadKind {
	return loadKind{name: name, customer: name, demand: demand, work: loadWork, target: 250 * time.Millisecond, until: loadDuration}
}

// Load: more demand than room, and slightly less. Callers need the room to be spent on responses that
// are in time.
func TestQueueUnderSteadyDemand(t *testing.T) {
	g := NewWithT(t)
	for _, demand := range []float64{.95, 1.3} {
		before, with := play(t, false, asUsual, steady("a", demand))["a"], play(t, true, asUsual, steady("a", demand))["a"]
		t.Logf("demand %v: before %+v, with %+v", demand, before, with)
		room := min(demand, 1) / demand
		g.Expect(with.part()).To(BeNumerically(">", .9*room))
		g.Expect(float64(with.late)).To(BeNumerically("<", .1*float64(with.inTime)))
		if demand > 1 {
			g.Expect(with.part()).To(BeNumerically(">", before.part()+.1))
		}
	}
}

// Load: a customer at 7.5 times its rate, who has used up its rate. Those within theirs need to be
// served as if it were not there.
func TestHotCustomerDelaysNoOther(t *testing.T) {
	g := NewWithT(t)
	hot := steady("hot", 1.5)
	hot.overRate = true
	kinds := []loadKind{steady("a", .4), steady("b", .2), hot}
	before, with := play(t, false, asUsual, kinds...), play(t, true, asUsual, kinds...)
	t.Logf("before %+v, with %+v", before, with)
	g.Expect(with["a"].part()).To(BeNumerically(">", .95))
	g.Expect(with["b"].part()).To(BeNumerically(">", .95))
	g.Expect(with["hot"].part()).To(BeNumerically(">", .1))
}

// Load: a burst of one kind of three times the room for two seconds, beside a more urgent kind and one
// of another customer.
func TestBurstOfOneKind(t *testing.T) {
	g := NewWithT(t)
	burst := steady("burst", 3)
	burst.from, burst.until, burst.priority = 4*time.Second, 6*time.Second, 1
	kinds := []loadKind{steady("urgent", .4), burst}
	before, with := play(t, false, asUsual, kinds...), play(t, true, asUsual, kinds...)
	t.Logf("before %+v, with %+v", before, with)
	g.Expect(with["urgent"].part()).To(BeNumerically(">", .95))
	g.Expect(with["burst"].part()).To(BeNumerically(">", .1))
}

// Load: an urgent kind that alone needs more than the room, beside a less urgent one. The urgent one must
// not be served less often than the other, which must not starve.
func TestUrgentKindGoesFirstAndNoneStarves(t *testing.T) {
	g := NewWithT(t)
	other := steady("other", .3)
	other.priority = 1
	with := play(t, true, asUsual, steady("urgent", 1.2), other)
	t.Logf("with %+v", with)
	g.Expect(with["urgent"].part()).To(BeNumerically(">", with["other"].part()-.05))
	g.Expect(with["other"].part()).To(BeNumerically(">", .15))
}

// Load: two customers within their rates, one with four times the demand of the other, and together
// more than the room. Both need the same part of their requests served.
func TestCustomersWithinTheirRatesAreServedAlike(t *testing.T) {
	g := NewWithT(t)
	with := play(t, true, asUsual, steady("large", 1.04), steady("small", .26))
	t.Logf("with %+v", with)
	mean := float64(with["large"].inTime+with["small"].inTime) / float64(with["large"].asked+with["small"].asked)
	for _, s := range with {
		g.Expect(s.part()).To(BeNumerically(">", .95*mean))
	}
}

// Load: long requests that can hold all slots at times, beside short ones. There is room for both; the
// short ones need to be served as if the long ones were not there.
func TestLongRequestsLeaveSlotsToShortOnes(t *testing.T) {
	g := NewWithT(t)
	long := steady("long", .5)
	long.work, long.target = 700*time.Millisecond, 1500*time.Millisecond
	kinds := []loadKind{steady("short", .4), long}
	before, with := play(t, false, asUsual, kinds...), play(t, true, asUsual, kinds...)
	t.Logf("before %+v, with %+v", before, with)
	g.Expect(with["short"].part()).To(BeNumerically(">", .98))
	g.Expect(with["long"].part()).To(BeNumerically(">", .9))
}

// Load: upstreams that are slowed to a third by turns, each for half a second.
func TestQueueWithUpstreamsSlowedByTurns(t *testing.T) {
	g := NewWithT(t)
	slowed := func(n int) float64 {
		if time.Now().UnixMilli()/500%loadUpstreams == int64(n) {
			return 3
		}
		return 1
	}
	before, with := play(t, false, slowed, steady("a", 1))["a"], play(t, true, slowed, steady("a", 1))["a"]
	t.Logf("before %+v, with %+v", before, with)
	g.Expect(with.part()).To(BeNumerically(">", before.part()))
	g.Expect(float64(with.late)).To(BeNumerically("<", .15*float64(with.inTime)))
}
