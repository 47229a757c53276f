package upstream

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome holds the results of a simulated scenario as seen by the callers.
type outcome struct {
	scenario           scenario
	latency            []*hdrhistogram.Histogram // by kind, microseconds
	perCustomer        []*hdrhistogram.Histogram
	servedWork         []float64 // slot time of served requests by customer, seconds
	offeredWork        []float64
	keyOffered         map[int]int // of customer 0
	keyServed          map[int]int
	admitted           int
	missedDeadline     int
	failed             int
	refusedCount       int
	sent, sentToFaulty int
	retryAfters        []time.Duration // announced to refused callers
	returned           int
	returnedServed     int
}

func newOutcome(sc scenario) *outcome {
	o := &outcome{
		scenario: sc, servedWork: make([]float64, len(sc.rates)), offeredWork: make([]float64, len(sc.rates)),
		keyOffered: map[int]int{}, keyServed: map[int]int{},
	}
	for range sc.kinds {
		o.latency = append(o.latency, hdrhistogram.New(1, 120_000_000, 3))
	}
	for range sc.rates {
		o.perCustomer = append(o.perCustomer, hdrhistogram.New(1, 120_000_000, 3))
	}
	return o
}

// isMeasured reports whether a request arrived within the measured time and
// is not a retry.
func (o *outcome) isMeasured(s *sim, r *request) bool {
	return !r.isRetry && r.arrived.Sub(epoch) >= o.scenario.measureFrom && (o.scenario.loadEnds == 0 || r.arrived.Sub(epoch) < o.scenario.loadEnds)
}

func (o *outcome) recordOffered(s *sim, r *request) {
	if !o.isMeasured(s, r) {
		return
	}
	o.offeredWork[r.customer] += s.kinds[r.kind].meanTime.Seconds()
	if r.customer == 0 {
		o.keyOffered[r.key]++
	}
}

func (o *outcome) recordServed(s *sim, r *request) {
	if r.isRetry {
		if o.arrivedAfterLoad(r) {
			o.returnedServed++
		}
		return
	}
	if s.elapsed >= o.scenario.measureFrom && s.elapsed < o.measureEnd() {
		o.servedWork[r.customer] += s.kinds[r.kind].meanTime.Seconds()
	}
	if !o.isMeasured(s, r) {
		return
	}
	o.admitted++
	_ = o.perCustomer[r.customer].RecordValue(max(s.now().Sub(r.arrived).Microseconds(), 1))
	_ = o.latency[r.kind].RecordValue(max(s.now().Sub(r.arrived).Microseconds(), 1))
	if r.customer == 0 {
		o.keyServed[r.key]++
	}
}

func (o *outcome) arrivedAfterLoad(r *request) bool {
	return r.arrived.Sub(epoch) >= o.scenario.loadEnds
}

func (o *outcome) recordReturn(s *sim) {
	if s.elapsed >= o.scenario.loadEnds {
		o.returned++
	}
}

func (o *outcome) recordRefused(s *sim, r *request, retryAfter time.Duration) {
	if o.isMeasured(s, r) {
		o.refusedCount++
		o.retryAfters = append(o.retryAfters, retryAfter)
	}
}

// retryAfterStats returns the median and the longest retry delay announced to
// refused callers.
func (o *outcome) retryAfterStats() (median, longest time.Duration) {
	if len(o.retryAfters) == 0 {
		return 0, 0
	}
	slices.Sort(o.retryAfters)
	return o.retryAfters[len(o.retryAfters)/2], o.retryAfters[len(o.retryAfters)-1]
}

// recordUnserved records an admitted request without a complete response in
// time.
func (o *outcome) recordUnserved(s *sim, r *request, result Result) {
	if !o.isMeasured(s, r) {
		return
	}
	o.admitted++
	if result.Abandoned {
		o.missedDeadline++
		return
	}
	o.failed++
}

func (o *outcome) recordSent(s *sim, m *machine) {
	if s.elapsed < o.scenario.measureFrom {
		return
	}
	o.sent++
	if m.index == 0 {
		o.sentToFaulty++
	}
}

func (o *outcome) measureEnd() time.Duration {
	if o.scenario.loadEnds > 0 {
		return o.scenario.loadEnds
	}
	return o.scenario.end
}

func (o *outcome) measuredSeconds() float64 {
	return (o.measureEnd() - o.scenario.measureFrom).Seconds()
}

func (o *outcome) slotSeconds() float64 {
	sum := 0
	for i := range o.scenario.machines {
		sum += o.scenario.slots(i)
	}
	return float64(sum) * o.measuredSeconds()
}

// goodput is the slot time of requests served in time, as a fraction of the
// smaller of the available and the offered slot time.
func (o *outcome) goodput() float64 {
	return sum(o.servedWork) / min(o.slotSeconds(), sum(o.offeredWork))
}

func sum(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum
}

// worstCustomerShare is the smallest fraction of its fair share that any
// customer received. Shares are max-min fair: no customer receives more than
// it requests, and unused shares are divided among the others.
func (o *outcome) worstCustomerShare() float64 {
	shares := o.fairShares()
	worst := 1.0
	for c, share := range shares {
		worst = min(worst, o.servedWork[c]/share)
	}
	return worst
}

func (o *outcome) fairShares() []float64 {
	return maxMinShares(o.offeredWork, min(o.slotSeconds(), sum(o.offeredWork)))
}

// p99WithinShare is the p99 latency of the customers that requested no more
// than their fair share.
func (o *outcome) p99WithinShare() time.Duration {
	all := hdrhistogram.New(1, 120_000_000, 3)
	for c, share := range o.fairShares() {
		if share >= o.offeredWork[c]*0.999 {
			all.Merge(o.perCustomer[c])
		}
	}
	return time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
}

func maxMinShares(offered []float64, capacity float64) []float64 {
	order := make([]int, len(offered))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if offered[a] < offered[b] {
			return -1
		}
		return 1
	})
	shares := make([]float64, len(offered))
	for done, c := range order {
		shares[c] = min(offered[c], capacity/float64(len(offered)-done))
		capacity -= shares[c]
	}
	return shares
}

// worstOtherKey is the smallest fraction of its requests that was served for
// any key of customer 0 except the first.
func (o *outcome) worstOtherKey() float64 {
	worst := 1.0
	for key, offered := range o.keyOffered {
		if key != 0 {
			worst = min(worst, float64(o.keyServed[key])/float64(offered))
		}
	}
	return worst
}

func (o *outcome) missedFraction() float64 { return fraction(o.missedDeadline, o.admitted) }
func (o *outcome) faultyFraction() float64 { return fraction(o.sentToFaulty, o.sent) }
func (o *outcome) p99(kind int) time.Duration {
	return time.Duration(o.latency[kind].ValueAtQuantile(99)) * time.Microsecond
}
func (o *outcome) p50(kind int) time.Duration {
	return time.Duration(o.latency[kind].ValueAtQuantile(50)) * time.Microsecond
}

func fraction(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// String returns a row of the table in docs/UNDER-LOAD.md.
func (o *outcome) String() string {
	var latencies []string
	for k := range o.latency {
		latencies = append(latencies, fmt.Sprintf("%.1f / %.1f", milliseconds(o.p50(k)), milliseconds(o.p99(k))))
	}
	within, key, faulty := "-", "-", "-"
	if w := o.p99WithinShare(); w > 0 {
		within = fmt.Sprintf("%.1f", milliseconds(w))
	}
	if o.scenario.hotKey {
		key = fmt.Sprintf("%.1f%%", 100*o.worstOtherKey())
	}
	if o.scenario.faultyMachine {
		faulty = fmt.Sprintf("%.2f%%", 100*o.faultyFraction())
	}
	return fmt.Sprintf("%.1f%% | %s | %s | %.1f%% | %s | %d | %.2f%% | %d | %s",
		100*o.goodput(), strings.Join(latencies, "; "), within, 100*o.worstCustomerShare(), key, o.refusedCount, 100*o.missedFraction(), o.failed, faulty)
}
