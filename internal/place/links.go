package place

import "time"

const (
	// initialRegionRTT is assumed of the way to another region and back, before a
	// connection has shown it.
	initialRegionRTT = 80 * time.Millisecond
	// zoneRTT is the way to another zone of the region and back.
	zoneRTT = 1 * time.Millisecond
	// regionCostPerKB and zonePerKB weigh what a transfer takes of links that are
	// shared and paid for, in time per kilobyte that leaves the region or the
	// zone.
	regionCostPerKB = 6700 * time.Microsecond
	zoneCostPerKB   = 2500 * time.Microsecond
	// staysInZoneBytes is the size of answer from which a route has a home in each
	// zone: its transfer to another zone weighs as much as warm work.
	zoneLocalBytes = 30_000
	// initialAnswerBytes is assumed of an answer before any has come.
	initialResponseBytes = 4000
	rttGain              = 0.2
	bytesGain            = 0.1
)

// linkCosts is what it takes to reach other zones and regions.
type linkCosts struct {
	self          Host
	regionRTT     map[string]time.Duration
	responseBytes map[string]float64
}

func newLinkCosts(self Host) linkCosts {
	return linkCosts{self: self, regionRTT: map[string]time.Duration{}, responseBytes: map[string]float64{}}
}

// observeRTT takes the time of a new connection, which is one way there and back.
func (w *linkCosts) observeRTT(region string, took time.Duration) {
	if region == w.self.Region {
		return
	}
	known, ok := w.regionRTT[region]
	if !ok {
		w.regionRTT[region] = took
		return
	}
	w.regionRTT[region] = known + time.Duration(rttGain*float64(took-known))
}

func (w *linkCosts) observeResponseBytes(route string, n int) {
	known, ok := w.responseBytes[route]
	if !ok {
		known = float64(n)
	}
	w.responseBytes[route] = known + bytesGain*(float64(n)-known)
}

// staysInZone tells whether a route's answers should not leave their zone.
func (w *linkCosts) isZoneLocal(route string) bool { return w.responseBytes[route] >= zoneLocalBytes }

// roundTrip is the time to a zone and back.
func (w *linkCosts) roundTrip(region, zone string) time.Duration {
	switch {
	case zone == w.self.Zone:
		return 0
	case region == w.self.Region:
		return zoneRTT
	}
	if d, ok := w.regionRTT[region]; ok {
		return d
	}
	return initialRegionRTT
}

// longestRoundTrip is the time to the farthest region and back.
func (w *linkCosts) longestRoundTrip() time.Duration {
	longest := time.Duration(0)
	for _, d := range w.regionRTT {
		longest = max(longest, d)
	}
	if longest == 0 {
		return initialRegionRTT
	}
	return longest
}

// transferCost is what a transfer of a route's answer, and of up bytes of its body,
// takes of links.
func (w *linkCosts) transferCost(route, region, zone string, up int) time.Duration {
	if zone == w.self.Zone {
		return 0
	}
	size, ok := w.responseBytes[route]
	if !ok {
		size = initialResponseBytes
	}
	kb := (size + float64(up)) / 1000
	if region == w.self.Region {
		return time.Duration(kb * float64(zoneCostPerKB))
	}
	return time.Duration(kb * float64(regionCostPerKB))
}
