package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// linkFraction is the fraction of a link's rate that patches may use. burstDuration
	// is the burst, as the time that it takes to send the burst at that rate.
	linkFraction  = 0.25
	burstDuration = 250 * time.Millisecond
	// defaultMbps is the assumed rate of a link whose rate is not known, in Mbit/s.
	defaultMbps = 10.0
	// maxReferrals is the maximum number of patch sources that a host is referred to.
	maxReferrals = 2
	// referralDelay is the time after a patch was sent to a host before other hosts are
	// referred to that host: the network delay and one pass of its control thread.
	referralDelay = 20 * time.Millisecond
	// maxSources is the maximum number of patch sources that are kept.
	maxSources = 256
)

// Limiter limits the bytes that this host sends to peers on request. The zero value is ready
// for use. It is not safe for concurrent use.
type Limiter struct {
	// tokens is the number of bytes that may be sent at refilledAt; it is negative after
	// a packet that was larger than the tokens left.
	tokens     float64
	refilledAt time.Time
}

// Take reports whether a packet of the given size may be sent now. mbps is the rate of this
// host's link; 0: not known.
func (l *Limiter) Take(now time.Time, bytes int, mbps float64) bool {
	l.refill(now, mbps)
	if l.tokens <= 0 {
		return false
	}
	l.tokens -= float64(bytes)
	return true
}

// Sources are the hosts that a patch was sent to. The zero value is empty. It is not safe for
// concurrent use.
type Sources struct {
	// digest is the digest of the store state that the sources have.
	digest uint64
	list   []source
	// referralCount is the number of referrals so far.
	referralCount uint64
}

type source struct {
	address string
	sentAt  time.Time
}

// Add records that a host was sent a patch that leads to the store state with the given
// digest.
func (s *Sources) Add(now time.Time, digest uint64, host string) {
	s.setDigest(digest)
	if len(s.list) < maxSources {
		s.list = append(s.list, source{host, now})
	}
}

// For returns the addresses of hosts that are likely to have the store state with the given
// digest. They differ from host to host, so that hosts that request the patch at the same
// time spread over the sources.
func (s *Sources) For(now time.Time, digest uint64, host string) []string {
	s.setDigest(digest)
	var out []string
	first := xxhash.Sum64String(host) + s.referralCount
	s.referralCount++
	for i := range uint64(len(s.list)) {
		h := s.list[(first+i)%uint64(len(s.list))]
		if h.address == host || now.Sub(h.sentAt) < referralDelay {
			continue
		}
		if out = append(out, h.address); len(out) == maxReferrals {
			break
		}
	}
	return out
}

func (s *Sources) setDigest(digest uint64) {
	if s.digest != digest {
		s.digest, s.list = digest, s.list[:0]
	}
}

// refill adds the tokens up to now.
func (l *Limiter) refill(now time.Time, mbps float64) {
	if mbps <= 0 {
		mbps = defaultMbps
	}
	perSecond := mbps * 1e6 / 8 * linkFraction
	if l.refilledAt.IsZero() {
		l.tokens = perSecond * burstDuration.Seconds()
	} else {
		l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*perSecond, perSecond*burstDuration.Seconds())
	}
	l.refilledAt = now
}
