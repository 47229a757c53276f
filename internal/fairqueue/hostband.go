package fairqueue

import (
	"cmp"
	"slices"
	"time"
)

// hostBand holds the waiting requests that are served before those of all later bands.
type hostBand struct {
	// group is the same for the bands that differ in priority only.
	group    int
	late     bool
	priority int
	// flows are the requests by customer; none is empty.
	flows  []*hostFlow
	workMs float64
	count  int
	// started is the work that was started from the band.
	started average
}

// hostFlow is the requests of a customer in one band, by the time at which they must be sent.
type hostFlow struct {
	customer *hostCustomer
	requests []*HostRequest
	workMs   float64
}

func (b *hostBand) flow(c *hostCustomer) *hostFlow {
	for _, f := range b.flows {
		if f.customer == c {
			return f
		}
	}
	return nil
}

func (b *hostBand) insert(r *HostRequest) {
	f := b.flow(r.customer)
	if f == nil {
		f = &hostFlow{customer: r.customer}
		b.flows = append(b.flows, f)
	}
	at, _ := slices.BinarySearchFunc(f.requests, r, b.compare)
	for at < len(f.requests) && b.compare(f.requests[at], r) == 0 {
		at++
	}
	f.requests = slices.Insert(f.requests, at, r)
	work := milliseconds(r.Latency)
	f.workMs += work
	b.workMs += work
	b.count++
	r.band = b
}

func (b *hostBand) compare(x, y *HostRequest) int {
	return x.latestStart(b.late).Compare(y.latestStart(b.late))
}

func (b *hostBand) remove(r *HostRequest) {
	f := b.flow(r.customer)
	i := slices.Index(f.requests, r)
	f.requests = slices.Delete(f.requests, i, i+1)
	work := milliseconds(r.Latency)
	b.count--
	f.workMs = remainingSum(len(f.requests) == 0, f.workMs-work)
	b.workMs = remainingSum(b.count == 0, b.workMs-work)
	if len(f.requests) == 0 {
		b.flows = slices.DeleteFunc(b.flows, func(x *hostFlow) bool { return x == f })
	}
	r.band = nil
}

// ahead returns the work in milliseconds, and the number of requests, that the band serves before a
// new request: those of its customer that must be sent earlier, and from each other customer what
// its share allows in that time.
func (b *hostBand) ahead(r *HostRequest, now time.Time) (work float64, number int) {
	own := 0.0
	if f := b.flow(r.customer); f != nil {
		for _, x := range f.requests {
			if b.compare(x, r) <= 0 {
				own += milliseconds(x.Latency)
				number++
			}
		}
	}
	work = own
	for _, f := range b.flows {
		if f.customer == r.customer {
			continue
		}
		part := min(f.workMs, (own+milliseconds(r.Latency))*f.customer.weight(now)/r.customer.weight(now))
		work += part
		number += int(part / f.workMs * float64(len(f.requests)))
	}
	return work, number
}

// next returns the next request of the customer of whose demand the least part was served.
func (b *hostBand) next(now time.Time, skip func(*HostRequest) bool) *HostRequest {
	parts := make(map[*hostFlow]float64, len(b.flows))
	for _, f := range b.flows {
		parts[f] = f.customer.servedPart(now)
	}
	flows := slices.Clone(b.flows)
	slices.SortStableFunc(flows, func(x, y *hostFlow) int { return cmp.Compare(parts[x], parts[y]) })
	for _, f := range flows {
		for _, r := range f.requests {
			if !skip(r) {
				return r
			}
		}
	}
	return nil
}

// expired returns the requests that can no longer be sent soon enough for the band.
func (b *hostBand) expired(now time.Time) []*HostRequest {
	var list []*HostRequest
	for _, f := range b.flows {
		for _, r := range f.requests {
			if !now.After(r.latestStart(b.late)) {
				break
			}
			list = append(list, r)
		}
	}
	return list
}
