package place

import "time"

const (
	// initialRegionRTT is the assumed round-trip time to another region until a
	// connection to it has been measured.
	initialRegionRTT = 80 * time.Millisecond
	// zoneRTT is the assumed round-trip time to another zone of the region.
	zoneRTT = 1 * time.Millisecond
	// regionCostPerKB and zoneCostPerKB are the costs, as time per kilobyte that leaves
	// the region or the zone, of using shared and metered links.
	regionCostPerKB = 6700 * time.Microsecond
	zoneCostPerKB   = 2500 * time.Microsecond
	// zoneLocalBytes is the mean response size from which a route's objects have a home
	// in each zone: a transfer to another zone then costs as much as warm work.
	zoneLocalBytes = 30_000
	// initialResponseBytes is the assumed size of a response before any has been received.
	initialResponseBytes = 4000
	rttGain              = 0.2
	bytesGain            = 0.1
)

// linkCosts estimates the round-trip times and transfer costs to zones and regions.
type linkCosts struct {
	self          Host
	regionRTT     map[string]time.Duration
	responseBytes map[string]float64
}

func newLinkCosts(self Host) linkCosts {
	return linkCosts{self: self, regionRTT: map[string]time.Duration{}, responseBytes: map[string]float64{}}
}

// observeRTT records the time to establish a connection, which takes one round trip.
func (l *linkCosts) observeRTT(region string, rtt time.Duration) {
	if region == l.self.Region {
		return
	}
	known, ok := l.regionRTT[region]
	if !ok {
		l.regionRTT[region] = rtt
		return
	}
	l.regionRTT[region] = known + time.Duration(rttGain*float64(rtt-known))
}

func (l *linkCosts) observeResponseBytes(route string, n int) {
	known, ok := l.responseBytes[route]
	if !ok {
		known = float64(n)
	}
	l.responseBytes[route] = known + bytesGain*(float64(n)-known)
}

// isZoneLocal reports whether the route's responses are too large to leave their zone.
func (l *linkCosts) isZoneLocal(route string) bool { return l.responseBytes[route] >= zoneLocalBytes }

// roundTrip returns the round-trip time to a zone.
func (l *linkCosts) roundTrip(region, zone string) time.Duration {
	switch {
	case zone == l.self.Zone:
		return 0
	case region == l.self.Region:
		return zoneRTT
	}
	if d, ok := l.regionRTT[region]; ok {
		return d
	}
	return initialRegionRTT
}

// longestRoundTrip returns the round-trip time to the farthest region.
func (l *linkCosts) longestRoundTrip() time.Duration {
	longest := time.Duration(0)
	for _, d := range l.regionRTT {
		longest = max(longest, d)
	}
	if longest == 0 {
		return initialRegionRTT
	}
	return longest
}

// transferCost returns the cost of transferring a response of the route and a request
// body of bodyBytes bytes.
func (l *linkCosts) transferCost(route, region, zone string, bodyBytes int) time.Duration {
	if zone == l.self.Zone {
		return 0
	}
	size, ok := l.responseBytes[route]
	if !ok {
		size = initialResponseBytes
	}
	kb := (size + float64(bodyBytes)) / 1000
	if region == l.self.Region {
		return time.Duration(kb * float64(zoneCostPerKB))
	}
	return time.Duration(kb * float64(regionCostPerKB))
}
