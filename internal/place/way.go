package place

import "time"

const (
	// firstFar is assumed of the way to another region and back, before a
	// connection has shown it.
	firstFar = 80 * time.Millisecond
	// nearZone is the way to another zone of the region and back.
	nearZone = 1 * time.Millisecond
	// farPerKB and zonePerKB weigh what a transfer takes of links that are
	// shared and paid for, in time per kilobyte that leaves the region or the
	// zone.
	farPerKB  = 6700 * time.Microsecond
	zonePerKB = 2500 * time.Microsecond
	// heavyBytes is the size of answer from which a route has a home in each
	// zone: its transfer to another zone weighs as much as warm work.
	heavyBytes = 30_000
	// firstBytes is assumed of an answer before any has come.
	firstBytes = 4000
	wayGain    = 0.2
	bytesGain  = 0.1
)

// ways is what it takes to reach other zones and regions.
type ways struct {
	self  Host
	far   map[string]time.Duration
	bytes map[string]float64
}

func newWays(self Host) ways {
	return ways{self: self, far: map[string]time.Duration{}, bytes: map[string]float64{}}
}

// note takes the time of a new connection, which is one way there and back.
func (w *ways) note(region string, took time.Duration) {
	if region == w.self.Region {
		return
	}
	known, ok := w.far[region]
	if !ok {
		w.far[region] = took
		return
	}
	w.far[region] = known + time.Duration(wayGain*float64(took-known))
}

func (w *ways) noteBytes(route string, n int) {
	known, ok := w.bytes[route]
	if !ok {
		known = float64(n)
	}
	w.bytes[route] = known + bytesGain*(float64(n)-known)
}

// heavy tells whether a route's answers should not leave their zone.
func (w *ways) heavy(route string) bool { return w.bytes[route] >= heavyBytes }

// to is the time to a zone and back.
func (w *ways) to(region, zone string) time.Duration {
	switch {
	case zone == w.self.Zone:
		return 0
	case region == w.self.Region:
		return nearZone
	}
	if d, ok := w.far[region]; ok {
		return d
	}
	return firstFar
}

// farthest is the time to the farthest region and back.
func (w *ways) farthest() time.Duration {
	longest := time.Duration(0)
	for _, d := range w.far {
		longest = max(longest, d)
	}
	if longest == 0 {
		return firstFar
	}
	return longest
}

// cost is what a transfer of a route's answer, and of up bytes of its body,
// takes of links.
func (w *ways) cost(route, region, zone string, up int) time.Duration {
	if zone == w.self.Zone {
		return 0
	}
	size, ok := w.bytes[route]
	if !ok {
		size = firstBytes
	}
	kb := (size + float64(up)) / 1000
	if region == w.self.Region {
		return time.Duration(kb * float64(zonePerKB))
	}
	return time.Duration(kb * float64(farPerKB))
}
