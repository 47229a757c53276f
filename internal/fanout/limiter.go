package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// linkPart is the part of a link that changes may take, and burstFor how long it
	// may take all of that part at once.
	linkPart = 0.25
	burstFor = 250 * time.Millisecond
	// defaultMbps is assumed of a link whose rate is not known.
	defaultMbps = 10.0
	// referrals is the number of holders that are named to one host.
	referrals = 2
	// settles is how long a host that is sent a change is left alone before it is named
	// to others: the way there, and a turn of its control thread.
	settles = 20 * time.Millisecond
	// maxHolders bounds the holders that are remembered.
	maxHolders = 256
)

// Limiter decides whom a host sends changes to. The zero value is ready for use. It is
// not safe for concurrent use.
type Limiter struct {
	// tokens are the bytes that may be sent at the time at; negative after a change
	// that is larger than the burst.
	tokens float64
	at     time.Time
	// state is the digest that the holders have.
	state   uint64
	holders []holder
	// asked counts the hosts to which holders were named.
	asked uint64
}

type holder struct {
	address string
	at      time.Time
}

// Send tells whether changes of a size that lead to a state may be sent to a host now
// over a link of the given rate; 0: not known. If not, it returns the addresses of hosts
// that are likely to have them; none if no other is known.
func (l *Limiter) Allow(now time.Time, state uint64, host string, bytes int, mbps float64) (ok bool, holders []string) {
	if l.state != state {
		l.state, l.holders = state, l.holders[:0]
	}
	l.refill(now, mbps)
	if l.tokens <= 0 {
		return false, l.named(now, host)
	}
	l.tokens -= float64(bytes)
	if len(l.holders) < maxHolders {
		l.holders = append(l.holders, holder{host, now})
	}
	return true, nil
}

// refill brings the tokens to now.
func (l *Limiter) refill(now time.Time, mbps float64) {
	if mbps <= 0 {
		mbps = defaultMbps
	}
	perSecond := mbps * 1e6 / 8 * linkPart
	if l.at.IsZero() {
		l.tokens = perSecond * burstFor.Seconds()
	} else {
		l.tokens = min(l.tokens+now.Sub(l.at).Seconds()*perSecond, perSecond*burstFor.Seconds())
	}
	l.at = now
}

// named are some holders, other ones for each host, so that hosts that ask together spread
// over them.
func (l *Limiter) named(now time.Time, host string) []string {
	var out []string
	first := xxhash.Sum64String(host) + l.asked
	l.asked++
	for i := range uint64(len(l.holders)) {
		h := l.holders[(first+i)%uint64(len(l.holders))]
		if h.address == host || now.Sub(h.at) < settles {
			continue
		}
		if out = append(out, h.address); len(out) == referrals {
			break
		}
	}
	return out
}
