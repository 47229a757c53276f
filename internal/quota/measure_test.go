package quota

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/peer"
)

// scenario is one traffic pattern for a quota.
type scenario struct {
	name       string
	loadFactor float64 // demand divided by the rate
	weights    func(since time.Duration) []float64
}

// moveAt is the time at which the callers of a scenario move.
const moveAt = 20 * time.Second

func mostlyOneZone(at int) []float64 {
	weights := make([]float64, len(simRegions))
	for i := range weights {
		weights[i] = 0.2 / float64(len(weights)-2)
	}
	weights[at], weights[at+1] = 0.4, 0.4
	return weights
}

func mostlyOneHost(at int) []float64 {
	weights := make([]float64, len(simRegions))
	for i := range weights {
		weights[i] = 0.2 / float64(len(weights)-1)
	}
	weights[at] = 0.8
	return weights
}

func fixed(weights []float64) func(time.Duration) []float64 {
	return func(time.Duration) []float64 { return weights }
}

var evenWeights = []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}

var scenarios = []scenario{
	{"80% by one host", 0.9, fixed(mostlyOneHost(0))},
	{"80% by one zone", 0.9, fixed(mostlyOneZone(0))},
	{"even", 0.9, fixed(evenWeights)},
	{"move", 0.9, func(since time.Duration) []float64 {
		if since < moveAt {
			return mostlyOneZone(0)
		}
		return mostlyOneZone(4)
	}},
	{"5x", 5, fixed(mostlyOneZone(0))},
}

var sizes = []Share{{200, 50}, {200, 10}, {20, 5}, {20, 20}}

// runScenario runs a scenario for 50 s and measures the last 40 s.
func runScenario(seed uint64, sc scenario, size Share, oneWay time.Duration, p simPolicy) *sim {
	s := newSim(seed, size, oneWay, p)
	s.measureAt = s.start.Add(10 * time.Second)
	s.load(size.Rate*sc.loadFactor, sc.weights)
	s.run(50 * time.Second)
	return s
}

// secondsToSettle returns the number of seconds after the move from which
// wrong refusals stay at or below 2%.
func (s *sim) secondsToSettle() int {
	move := int(moveAt / time.Second)
	last := move - 1
	for sec := move; sec < 50; sec++ {
		if c := s.perSecond[sec]; c[1] > 0 && float64(c[0])/float64(c[1]) > 0.02 {
			last = sec
		}
	}
	return last + 1 - move
}

func TestMeasureSimulation(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("prints measurements; set BALSAM_MEASURE=1")
	}
	seeds := []uint64{1, 2, 3, 4, 5}
	policies := []simPolicy{policyLoans, policyEven, policyProportional, policyAllocator}
	if os.Getenv("BALSAM_POLICY") != "" {
		policies = policies[:1]
		seeds = seeds[:1]
	}
	for _, oneWay := range []time.Duration{35 * time.Millisecond, 55 * time.Millisecond} {
		for _, size := range sizes {
			for _, sc := range scenarios {
				for _, p := range policies {
					report(oneWay, size, sc, p, seeds)
				}
			}
		}
	}
}

func report(oneWay time.Duration, size Share, sc scenario, p simPolicy, seeds []uint64) {
	var sent, wrongful, missing, admitted, central, overshoot, messages, bytes, settled int
	var p50, p99 time.Duration
	for _, seed := range seeds {
		s := runScenario(seed, sc, size, oneWay, p)
		sent += s.sent
		wrongful += s.wrongRefusals
		missing += max(0, s.centralAdmitted-s.admitted)
		admitted += s.admitted
		central += s.centralAdmitted
		overshoot += s.overshoot
		messages += s.messages
		bytes += s.bytes
		settled = max(settled, s.secondsToSettle())
		p50, p99 = max(p50, s.quantile(0.5)), max(p99, s.quantile(0.99))
	}
	perDaemon := 40 * float64(len(seeds)) * float64(len(simRegions))
	fmt.Printf("%v R=%g B=%g %-16s %-17s wrongful %5.2f%% missing %5.2f%% admitted/central %.3f overshoot %d wait p50 %v p99 %v msg/s %.1f B/s %.0f settled %ds\n",
		oneWay, size.Rate, size.Burst, sc.name, policyNames[p], 100*float64(wrongful)/float64(sent), 100*float64(missing)/float64(sent),
		float64(admitted)/float64(central), overshoot, p50.Round(time.Millisecond), p99.Round(time.Millisecond),
		float64(messages)/perDaemon, float64(bytes)/perDaemon, settled)
}

// TestMeasureSmallBurst prints figures for a burst of 5 that is split over 24
// slots, where each share is less than one token.
func TestMeasureSmallBurst(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("prints measurements; set BALSAM_MEASURE=1")
	}
	oneZoneOnly := []float64{12, 12, 0, 0, 0, 0, 0, 0, 0, 0}
	for _, sc := range []scenario{scenarios[1], scenarios[2]} {
		for _, p := range []simPolicy{policyEven, policyLoans} {
			for name, weights := range map[string][]float64{"equal weights": simWeights, "weight on one zone": oneZoneOnly} {
				s := newSimWithWeights(weights, 1, Share{20, 5}, 35*time.Millisecond, p)
				s.measureAt = s.start.Add(10 * time.Second)
				s.load(18, sc.weights)
				s.run(110 * time.Second)
				fmt.Printf("R=20 B=5 %s, %s, %s: wrongful %.2f%% overshoot %d wait p50 %v p99 %v\n", sc.name, name, policyNames[p],
					100*float64(s.wrongRefusals)/float64(s.sent), s.overshoot, s.quantile(0.5), s.quantile(0.99))
			}
		}
	}
}

// TestMeasureHubCrash stops the hub after 20 s; its callers move to the other
// daemons.
func TestMeasureHubCrash(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("prints measurements; set BALSAM_MEASURE=1")
	}
	for _, size := range sizes {
		s := runHubCrash(1, size)
		fmt.Printf("hub crash, R=%g B=%g: overshoot %d, refused by second from the crash on:", size.Rate, size.Burst, s.overshoot)
		for sec := 20; sec < 32; sec++ {
			c := s.perSecond[sec]
			fmt.Printf(" %.0f%%", 100*float64(c[0])/float64(max(1, c[1])))
		}
		fmt.Println()
	}
}

func runHubCrash(seed uint64, size Share) *sim {
	afterCrash := mostlyOneHost(2)
	afterCrash[0] = 0
	s := newSim(seed, size, 35*time.Millisecond, policyLoans)
	s.measureAt = s.start.Add(10 * time.Second)
	s.load(size.Rate*0.8, func(since time.Duration) []float64 {
		if since < moveAt {
			return mostlyOneHost(0)
		}
		return afterCrash
	})
	s.after(moveAt, func() { s.nodes[0].down = true })
	s.after(moveAt+2*time.Second, func() {
		for _, n := range s.nodes {
			n.scores[s.nodes[0].name] = 0
		}
	})
	s.run(40 * time.Second)
	return s
}

// The callers of a customer send to one zone and then to another, messages are
// lost, and the hub crashes. Callers must not be refused while the fleet has
// tokens, except for the moments in which loans move, and the fleet must never
// spend more than one bucket would hold.
func TestSimulatedFleetServesCustomerWithinRate(t *testing.T) {
	for _, sc := range scenarios[:4] {
		s := runScenario(7, sc, Share{200, 50}, 35*time.Millisecond, policyLoans)
		if s.overshoot > 0 || float64(s.wrongRefusals) > 0.005*float64(s.sent) {
			t.Errorf("%s, seed 7: overshoot %d, wrongful %d of %d", sc.name, s.overshoot, s.wrongRefusals, s.sent)
		}
	}
	lossy := newSim(7, Share{200, 10}, 35*time.Millisecond, policyLoans)
	lossy.loss = 0.1
	lossy.load(400, scenarios[3].weights)
	lossy.run(40 * time.Second)
	if crashed := runHubCrash(7, Share{20, 20}); lossy.overshoot+crashed.overshoot > 0 {
		t.Errorf("overshoot %d with loss, %d with the hub's crash", lossy.overshoot, crashed.overshoot)
	}
}

func TestMeasureSizes(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("prints measurements; set BALSAM_MEASURE=1")
	}
	request := &peer.BorrowRequest{
		Sequence: 1 << 20, Borrower: "entry-vt-a-1a2b3c4d", Quota: "customer/addison-farms", Loan: 1 << 20,
		Tokens: 3, PatienceMs: 450, Closed: []*peer.LoanClosing{{Loan: 1 << 20}},
	}
	reply := &peer.BorrowReply{Sequence: 1 << 20, Burst: 3, Tokens: 3, TermUs: 800_000}
	fmt.Printf("request %d bytes, response %d bytes (before framing)\n", proto.Size(request), proto.Size(reply))
	before := heapInUse()
	const accounts = 10_000
	entries := make([]*entry, accounts)
	for i := range entries {
		entries[i] = &entry{account: NewAccount("customer/addison-farms", Share{}, Share{200, 50}, 0, start)}
	}
	fmt.Printf("account without loans: %d bytes\n", (heapInUse()-before)/accounts)
	for _, e := range entries {
		out := asHub(e.account, MaxQuotaSlots-1).Plan(start)
		for _, o := range out {
			e.account.ApplyGrant(o.Request.Loan, Grant{Share: Share{1, 1}, Term: ShareLoanTerm}, o.SentAt, start)
		}
	}
	fmt.Printf("hub's account with %d loan sources: %d bytes\n", MaxQuotaSlots-1, (heapInUse()-before)/accounts)
	runtime.KeepAlive(entries)
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

var sourceNames = func() (names []string) {
	for i := range MaxQuotaSlots - 1 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	return names
}()

func asHub(a *Account, sources int) *Account {
	a.SetFleetState(FleetState{Self: "hub", Hub: "hub", LoanSources: sourceNames[:sources], Demand: 100})
	return a
}

// BenchmarkHubRound runs half a second of a hub: 10 plans and one renewal with
// each source.
func BenchmarkHubRound(b *testing.B) {
	for _, sources := range []int{9, 63} {
		b.Run(fmt.Sprint(sources), func(b *testing.B) {
			a := asHub(NewAccount("q", Share{1, 1}, Share{200, 50}, 0, start), sources)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					now = now.Add(50 * time.Millisecond)
					for _, o := range a.Plan(now) {
						a.ApplyGrant(o.Request.Loan, Grant{Share: Share{1, 1}, Term: ShareLoanTerm}, o.SentAt, now)
					}
				}
			}
		})
	}
}

// BenchmarkLend runs the source's part of one renewal.
func BenchmarkLend(b *testing.B) {
	a := NewAccount("q", Share{10, 5}, Share{200, 50}, 0, start)
	a.SetFleetState(FleetState{Self: "source", Hub: "hub"})
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a.Lend(LoanRequest{Quota: "q", Borrower: "hub", Loan: 1, ShareLoan: true}, now)
	}
}
