package place

import (
	"math"
	"slices"
	"time"
)

// Limits on how quickly requests move between regions.
//
// Callers of one region may move or multiply within a second, and upstreams of a region
// join or leave. If every host sent all excess requests to other regions at once, the
// load of these regions would jump from one second to the next while their upstreams are
// cold, and drop again as quickly. The shares of the regions may therefore grow only by a
// bounded part per window, all growing regions together:
//
//   - In the requests of this host, which are few, a growing region costs more.
//   - In the requests of all hosts of the region, a region that has reached the limit receives
//     nothing. If the upstreams of the others are full, requests are refused.
//
// Neither applies if upstreams of the local region fail.
const (
	// shiftWindow is the window over which shares are compared. It is divided into
	// shiftSlots slots, so that the window slides.
	shiftWindow = 2 * time.Second
	shiftSlots  = 8
	// hostShiftPart and regionShiftPart are the parts of the allowed growth that are used. A
	// share of few requests is inaccurate, and hosts learn of each other's requests with the
	// delay of a heartbeat.
	hostShiftPart   = 0.8
	regionShiftPart = 0.9
	// minShiftSamples is the number of requests from which shares are compared.
	minShiftSamples = 20
	// shiftRounding is the number of requests by which the share of a region may exceed the limit,
	// because requests cannot be divided.
	shiftRounding = 0.5
	// catchUpPart is the part of the limit by which a share may be ahead in a window that is not
	// complete.
	catchUpPart = 0.5
	// shiftPenalty is added to the cost in a region whose share in the requests of this host has
	// reached its limit.
	shiftPenalty = 250 * time.Millisecond
	// failoverWindow is how long requests may go to any region after an upstream of this
	// region has failed.
	failoverWindow = 5 * time.Second
	// failoverPart is the part of the slots of this region that must have failed, be cold or have been
	// evacuated for requests of all hosts to go to any region.
	failoverPart = 0.25
)

// regionShares counts recent requests by the region they were sent to.
type regionShares struct {
	regions []string
	slots   [2 * shiftSlots]shiftSlot
}

// shiftSlot holds the requests of one slot, by the index of the region.
type shiftSlot struct {
	number   int64
	total    float64
	byRegion []float64
}

var emptySlot shiftSlot

func shiftSlotNumber(now time.Time) int64 { return now.UnixNano() / int64(shiftWindow/shiftSlots) }

func (r *regionShares) index(region string) int {
	i := slices.Index(r.regions, region)
	if i < 0 {
		i = len(r.regions)
		r.regions = append(r.regions, region)
	}
	return i
}

// add counts requests that were sent to a region at a given time. A negative count takes back
// requests that did not run.
func (r *regionShares) add(now, sentAt time.Time, region string, count float64) {
	n, present := shiftSlotNumber(sentAt), shiftSlotNumber(now)
	if n <= present-int64(len(r.slots)) {
		return
	}
	s := &r.slots[n%int64(len(r.slots))]
	if s.number != n {
		*s = shiftSlot{number: n, byRegion: s.byRegion[:0]}
	}
	i := r.index(region)
	for len(s.byRegion) <= i {
		s.byRegion = append(s.byRegion, 0)
	}
	s.byRegion[i] += count
	s.total += count
}

func (r *regionShares) slot(number int64) *shiftSlot {
	if s := &r.slots[number%int64(len(r.slots))]; s.number == number {
		return s
	}
	return &emptySlot
}

// requestWindow is the number of requests in several slots, by the index of the region.
type requestWindow struct {
	total    float64
	byRegion []float64
}

func (w *requestWindow) reset(regions int) {
	w.total, w.byRegion = 0, slices.Grow(w.byRegion[:0], regions)[:regions]
	clear(w.byRegion)
}

func (w *requestWindow) add(s *shiftSlot, sign float64) {
	w.total += sign * s.total
	for i, count := range s.byRegion {
		w.byRegion[i] += sign * count
	}
}

// shiftExcess computes by how many requests a limit would be exceeded if the next request were
// sent to a region. Its buffers are reused.
type shiftExcess struct {
	present, before requestWindow
	// byRegion is the result, by the index of the region.
	byRegion []float64
}

func (e *shiftExcess) reset(regions int) {
	e.present.reset(regions)
	e.before.reset(regions)
	e.byRegion = slices.Grow(e.byRegion[:0], regions)[:regions]
	clear(e.byRegion)
}

// compareComplete compares the complete window that ends now with the one before.
func (e *shiftExcess) compareComplete(now time.Time, r *regionShares, maxGrowth float64) {
	e.reset(len(r.regions))
	n := shiftSlotNumber(now)
	for i := range int64(shiftSlots) {
		e.present.add(r.slot(n-i), 1)
		e.before.add(r.slot(n-i-shiftSlots), 1)
	}
	e.addWindow(maxGrowth * (e.present.total + 1))
}

// compareAll compares each window that ends now and began at most shiftWindow ago with the
// shiftWindow before its beginning, so that no share exceeds the limit when the window is complete.
func (e *shiftExcess) compareAll(now time.Time, r *regionShares, maxGrowth float64) {
	e.reset(len(r.regions))
	n := shiftSlotNumber(now)
	for i := range int64(shiftSlots) {
		e.before.add(r.slot(n-i), 1)
	}
	// Recent requests show how many are still to come: traffic may have ended.
	perSlot := r.slot(n - 1).total
	for length := int64(1); length <= shiftSlots; length++ {
		began := n - length + 1
		e.present.add(r.slot(began), 1)
		e.before.add(r.slot(began), -1)
		e.before.add(r.slot(began-shiftSlots), 1)
		ahead := catchUpPart * float64(shiftSlots-length) * perSlot
		e.addWindow(maxGrowth*(e.present.total+1+ahead) + shiftRounding)
	}
}

// addWindow raises the result to the excess over the number of requests that the growing regions
// may have received in the present window beyond their shares in the one before.
func (e *shiftExcess) addWindow(allowed float64) {
	if e.before.total < minShiftSamples {
		return
	}
	total := e.present.total + 1
	above := func(region int, count float64) float64 {
		return max(count-e.before.byRegion[region]/e.before.total*total, 0)
	}
	growth := 0.0
	for region, count := range e.present.byRegion {
		growth += above(region, count)
	}
	for region, count := range e.present.byRegion {
		if own := above(region, count+1); own > 0 {
			e.byRegion[region] = max(e.byRegion[region], growth-above(region, count)+own-allowed)
		}
	}
}

// SetMaxRegionShift sets by how much the share of a region may grow from one window of
// two seconds to the next; 0 means no limit.
func (t *Table) SetMaxRegionShift(maxGrowth float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxShift = maxGrowth
}

// SentReport is the number of requests that a host has sent to a region since its last report. It is
// negative if more requests turned out not to have run.
type SentReport struct {
	Region string
	Count  int
}

// SentReports returns what this host has sent since the last call, for the other hosts of its region.
func (t *Table) SentReports() []SentReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SentReport
	for region, count := range t.unreported {
		if count != 0 {
			out = append(out, SentReport{region, count})
		}
	}
	clear(t.unreported)
	return out
}

// ApplySentReports applies the reports of another host of this region. Unknown regions are ignored.
func (t *Table) ApplySentReports(now time.Time, reports []SentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if t.isRegion(r.Region) {
			t.regionSent.add(now, now, r.Region, float64(r.Count))
		}
	}
}

func (t *Table) isRegion(name string) bool {
	for _, region := range t.zones {
		if region == name {
			return true
		}
	}
	return false
}

// recordRegion counts a request that was sent to a region at a given time; a count of -1 takes it
// back.
func (t *Table) recordRegion(now, sentAt time.Time, region string, count int) {
	t.sent.add(now, sentAt, region, float64(count))
	t.regionSent.add(now, sentAt, region, float64(count))
	t.unreported[region] += count
}

// recordNotRun takes back the count of a request that did not run.
func (t *Table) recordNotRun(now time.Time, c Choice, r Result) {
	switch r {
	case Shed, Unreachable, PathDown, Misdirected:
		t.recordRegion(now, c.sentAt, c.Region, -1)
	}
}

// limitShift adds a penalty to candidates in regions whose share in the requests of this host has
// reached its limit, so that they receive a request only if the delay elsewhere is long. It removes
// those in regions whose share in the requests of all hosts has reached its limit. If that holds for
// all regions with candidates, those that exceed it least remain.
func (t *Table) limitShift(now time.Time, s *survey) {
	if t.maxShift <= 0 {
		return
	}
	if s.failedSlots == 0 {
		t.excess.compareComplete(now, &t.sent, t.maxShift*hostShiftPart)
		t.readExcess(&t.sent)
		for i := range s.candidates {
			if c := &s.candidates[i]; c.path.shiftExcess > 0 {
				c.cost += shiftPenalty
			}
		}
	}
	if float64(s.failedSlots+s.withdrawnSlots) >= failoverPart*float64(s.localSlots) {
		return
	}
	t.excess.compareAll(now, &t.regionSent, t.maxShift*regionShiftPart)
	t.readExcess(&t.regionSent)
	least := math.Inf(1)
	for i := range s.candidates {
		least = min(least, s.candidates[i].path.shiftExcess)
	}
	before := len(s.candidates)
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.path.shiftExcess > least })
	s.shiftLimited = len(s.candidates) < before
}

// readExcess sets the excess of each zone to that of its region.
func (t *Table) readExcess(r *regionShares) {
	for i := range t.zonePaths {
		path := &t.zonePaths[i]
		path.shiftExcess = t.excess.of(r, path.region)
	}
}

// of returns the excess of a region.
func (e *shiftExcess) of(r *regionShares, region string) float64 {
	if i := slices.Index(r.regions, region); i >= 0 {
		return e.byRegion[i]
	}
	return 0
}
