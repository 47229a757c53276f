package upstream

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is what the callers of a simulated scenario received.
type outcome struct {
	sc          scenario
	latency     []*hdrhistogram.Histogram // by kind, microseconds
	perCustomer []*hdrhistogram.Histogram
	work        []float64 // served slot time by customer, seconds
	asked       []float64
	keyAsked    map[int]int // of customer 0
	keyServed   map[int]int
	admitted    int
	missed      int
	failed      int
	refusals    int
	sent, bad   int
	retries     []time.Duration // told to refused callers
	back        int
	backOK      int
}

func newOutcome(sc scenario) *outcome {
	o := &outcome{
		sc: sc, work: make([]float64, len(sc.rates)), asked: make([]float64, len(sc.rates)),
		keyAsked: map[int]int{}, keyServed: map[int]int{},
	}
	for range sc.kinds {
		o.latency = append(o.latency, hdrhistogram.New(1, 120_000_000, 3))
	}
	for range sc.rates {
		o.perCustomer = append(o.perCustomer, hdrhistogram.New(1, 120_000_000, 3))
	}
	return o
}

func (o *outcome) counts(s *sim, r *request) bool {
	return !r.returned && r.arrived.Sub(epoch) >= o.sc.measure && (o.sc.loadEnds == 0 || r.arrived.Sub(epoch) < o.sc.loadEnds)
}

func (o *outcome) offered(s *sim, r *request) {
	if !o.counts(s, r) {
		return
	}
	o.asked[r.customer] += s.kinds[r.kind].mean.Seconds()
	if r.customer == 0 {
		o.keyAsked[r.key]++
	}
}

func (o *outcome) served(s *sim, r *request) {
	if r.returned {
		if o.afterOverload(r) {
			o.backOK++
		}
		return
	}
	if s.t >= o.sc.measure && s.t < o.ends() {
		o.work[r.customer] += s.kinds[r.kind].mean.Seconds()
	}
	if !o.counts(s, r) {
		return
	}
	o.admitted++
	_ = o.perCustomer[r.customer].RecordValue(max(s.now().Sub(r.arrived).Microseconds(), 1))
	_ = o.latency[r.kind].RecordValue(max(s.now().Sub(r.arrived).Microseconds(), 1))
	if r.customer == 0 {
		o.keyServed[r.key]++
	}
}

func (o *outcome) afterOverload(r *request) bool {
	return r.arrived.Sub(epoch) >= o.sc.loadEnds
}

func (o *outcome) cameBack(s *sim) {
	if s.t >= o.sc.loadEnds {
		o.back++
	}
}

func (o *outcome) refused(s *sim, r *request, retryAfter time.Duration) {
	if o.counts(s, r) {
		o.refusals++
		o.retries = append(o.retries, retryAfter)
	}
}

// told returns the median and the largest time that refused callers were told.
func (o *outcome) told() (median, most time.Duration) {
	if len(o.retries) == 0 {
		return 0, 0
	}
	slices.Sort(o.retries)
	return o.retries[len(o.retries)/2], o.retries[len(o.retries)-1]
}

// lost: admitted, but no whole answer came in time.
func (o *outcome) lost(s *sim, r *request, result Result) {
	if !o.counts(s, r) {
		return
	}
	o.admitted++
	if result.Abandoned {
		o.missed++
		return
	}
	o.failed++
}

func (o *outcome) dispatched(s *sim, m *machine) {
	if s.t < o.sc.measure {
		return
	}
	o.sent++
	if m.index == 0 {
		o.bad++
	}
}

func (o *outcome) ends() time.Duration {
	if o.sc.loadEnds > 0 {
		return o.sc.loadEnds
	}
	return o.sc.end
}

func (o *outcome) span() float64 { return (o.ends() - o.sc.measure).Seconds() }

func (o *outcome) capacity() float64 {
	sum := 0
	for i := range o.sc.machines {
		sum += o.sc.slots(i)
	}
	return float64(sum) * o.span()
}

// goodput is the part of the slots' time spent on requests answered in time;
// of what was asked for, where that is less.
func (o *outcome) goodput() float64 {
	return total(o.work) / min(o.capacity(), total(o.asked))
}

func total(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum
}

// worst is the least part of its fair share that any customer got. The shares
// are max-min fair: nobody gets more than it asked for, and what one leaves is
// shared among the others.
func (o *outcome) worst() float64 {
	shares := o.shares()
	worst := 1.0
	for c, share := range shares {
		worst = min(worst, o.work[c]/share)
	}
	return worst
}

func (o *outcome) shares() []float64 { return maxMin(o.asked, min(o.capacity(), total(o.asked))) }

// within is the p99 over the customers that asked for no more than their share.
func (o *outcome) within() time.Duration {
	all := hdrhistogram.New(1, 120_000_000, 3)
	for c, share := range o.shares() {
		if share >= o.asked[c]*0.999 {
			all.Merge(o.perCustomer[c])
		}
	}
	return time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
}

func maxMin(asked []float64, capacity float64) []float64 {
	order := make([]int, len(asked))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if asked[a] < asked[b] {
			return -1
		}
		return 1
	})
	shares := make([]float64, len(asked))
	for done, c := range order {
		shares[c] = min(asked[c], capacity/float64(len(asked)-done))
		capacity -= shares[c]
	}
	return shares
}

// worstKey is the least part of its requests that a key of customer 0 other
// than the first got served.
func (o *outcome) worstKey() float64 {
	worst := 1.0
	for key, asked := range o.keyAsked {
		if key != 0 {
			worst = min(worst, float64(o.keyServed[key])/float64(asked))
		}
	}
	return worst
}

func (o *outcome) missedPart() float64 { return part(o.missed, o.admitted) }
func (o *outcome) badPart() float64    { return part(o.bad, o.sent) }
func (o *outcome) p99(kind int) time.Duration {
	return time.Duration(o.latency[kind].ValueAtQuantile(99)) * time.Microsecond
}
func (o *outcome) p50(kind int) time.Duration {
	return time.Duration(o.latency[kind].ValueAtQuantile(50)) * time.Microsecond
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// String is a row of the table in docs/UNDER-LOAD.md.
func (o *outcome) String() string {
	var lat []string
	for k := range o.latency {
		lat = append(lat, fmt.Sprintf("%.1f / %.1f", milliseconds(o.p50(k)), milliseconds(o.p99(k))))
	}
	within, key, bad := "-", "-", "-"
	if w := o.within(); w > 0 {
		within = fmt.Sprintf("%.1f", milliseconds(w))
	}
	if o.sc.hotKey {
		key = fmt.Sprintf("%.1f%%", 100*o.worstKey())
	}
	if o.sc.badMachine {
		bad = fmt.Sprintf("%.2f%%", 100*o.badPart())
	}
	return fmt.Sprintf("%.1f%% | %s | %s | %.1f%% | %s | %d | %.2f%% | %d | %s",
		100*o.goodput(), strings.Join(lat, "; "), within, 100*o.worst(), key, o.refusals, 100*o.missedPart(), o.failed, bad)
}
