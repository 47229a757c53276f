package memory

import "time"

const (
	// SmallBody is the size up to which bodies are never held back from an upstream, in bytes.
	SmallBody = 4 << 10
	// UnknownBody is the size that is assumed of a body that is sent while it arrives and has no
	// declared length, in bytes.
	UnknownBody = 1 << 20
	// crashFactor is the multiple of the usual bytes that an upstream must have held at a crash for
	// the crash to count as one for lack of memory, and minCrashBytes the least number of them.
	crashFactor   = 4
	minCrashBytes = 256 << 10
	// crashPart is the part of the bytes held at a crash that the bound falls to.
	crashPart = 0.7
	// usualSamples is the number of bodies over which the mean of the bytes that an upstream holds is
	// taken. Nothing is learned before that many were sent.
	usualSamples = 50
	// crashSpan is the time within which the requests that one crash breaks end.
	crashSpan = time.Second
	// recoveryTime is the time in which the bound doubles again after a crash.
	recoveryTime = 30 * time.Second
)

// Crashes learns how many bytes the upstreams of a service bear. The successor of a crashed
// upstream mostly has another name, so that the bound is one of the service. It is not safe for
// concurrent use.
type Crashes struct {
	// usual is the mean of the bytes that an upstream holds when a body is sent to it.
	usual float64
	// samples is the number of bodies in usual, up to usualSamples.
	samples int
	// bound is the bound that was learned at crashedAt, in bytes; 0 if there was no crash.
	bound     float64
	crashedAt time.Time
}

// Bound returns how many bytes an upstream may hold from this host: the configured number, or less
// after a crash. It is at least that of the usual bytes that crashFactor and crashPart allow.
func (c *Crashes) Bound(now time.Time, configured int64) int64 {
	if c.bound == 0 {
		return configured
	}
	raised := c.bound * (1 + float64(now.Sub(c.crashedAt))/float64(recoveryTime))
	return min(int64(raised), configured)
}

// UpstreamBytes are the bodies that an upstream holds from this host. It is not safe for concurrent
// use.
type UpstreamBytes struct{ held int64 }

// Held returns the bytes that the upstream holds.
func (u *UpstreamBytes) Held() int64 { return u.held }

// Fits reports whether a body may be sent to the upstream. A body larger than the bound may be sent
// to one that holds nothing.
func (u *UpstreamBytes) Fits(bytes, bound int64) bool {
	return bytes <= SmallBody || u.held == 0 || u.held+bytes <= bound
}

// Add counts a body that is sent.
func (u *UpstreamBytes) Add(c *Crashes, bytes int64) {
	u.held += bytes
	if bytes > 0 {
		c.samples = min(c.samples+1, usualSamples)
		c.usual += (float64(u.held) - c.usual) / float64(c.samples)
	}
}

// Remove ends the count of a body.
func (u *UpstreamBytes) Remove(bytes int64) { u.held -= bytes }

// Crashed records that the upstream broke a connection, was unreachable or has restarted while it
// held its bytes, and reports whether it lowers the bound. It does so only if it held far more than
// upstreams usually hold.
func (u *UpstreamBytes) Crashed(c *Crashes, now time.Time, configured int64) bool {
	if c.bound > 0 && now.Sub(c.crashedAt) < crashSpan {
		return false
	}
	held := float64(u.held)
	if c.samples < usualSamples || held < minCrashBytes || held < crashFactor*c.usual || crashPart*held >= float64(c.Bound(now, configured)) {
		return false
	}
	c.bound, c.crashedAt = crashPart*held, now
	return true
}
