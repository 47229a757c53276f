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

// Limiter decides which hosts this host sends a patch to. The zero value is ready for
// use. It is not safe for concurrent use.
type Limiter struct {
	// tokens is the number of bytes that may be sent at refilledAt; it is negative after
	// a patch that was larger than the tokens left.
	tokens     float64
	refilledAt time.Time
	// digest is the digest of the store state that the patch sources have.
	digest  uint64
	sources []source
	// referralCount is the number of referrals so far.
	referralCount uint64
}

type source struct {
	address string
	sentAt  time.Time
}

// Allow reports whether a patch of the given size, which leads to the store state with the
// given digest, may be sent to a host now. mbps is the rate of this host's link; 0: not
// known. If the patch may not be sent, Allow returns the addresses of hosts that are likely
// to have it, if any are known.
func (l *Limiter) Allow(now time.Time, digest uint64, host string, bytes int, mbps float64) (ok bool, sources []string) {
	if l.digest != digest {
		l.digest, l.sources = digest, l.sources[:0]
	}
	l.refill(now, mbps)
	if l.tokens <= 0 {
		return false, l.sourcesFor(now, host)
	}
	l.tokens -= float64(bytes)
	if len(l.sources) < maxSources {
		l.sources = append(l.sources, source{host, now})
	}
	return true, nil
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

// sourcesFor returns some patch sources. They differ from host to host, so that hosts that
// request the patch at the same time spread over the sources.
func (l *Limiter) sourcesFor(now time.Time, host string) []string {
	var out []string
	first := xxhash.Sum64String(host) + l.referralCount
	l.referralCount++
	for i := range uint64(len(l.sources)) {
		h := l.sources[(first+i)%uint64(len(l.sources))]
		if h.address == host || now.Sub(h.sentAt) < referralDelay {
			continue
		}
		if out = append(out, h.address); len(out) == maxReferrals {
			break
		}
	}
	return out
}
