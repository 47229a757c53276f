package place

import (
	"time"

	"balsambarrow/internal/memory"
)

// CrashBound describes a crash of an upstream after which the bound of the bytes that the upstreams
// of its service may hold was lowered. Held and Bound are in bytes.
type CrashBound struct {
	Service, ID string
	Held, Bound int64
}

// SetUpstreamBytes bounds the bytes of request bodies that each upstream may hold from this host; 0
// does not bound them. onCrash is called after each crash that lowers the bound of a service; it
// must not call the table.
func (t *Table) SetUpstreamBytes(bound int64, onCrash func(CrashBound)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytesBound, t.onCrash = bound, onCrash
}

// UpstreamBytes returns the bytes that all upstreams hold from this host, and the lowest bound in
// force for the upstreams of a service; 0 if there is none.
func (t *Table) UpstreamBytes(now time.Time) (held, bound int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.byID {
		held += w.bytes.Held()
	}
	bound = t.bytesBound
	for _, c := range t.crashes {
		bound = min(bound, c.Bound(now, t.bytesBound))
	}
	return held, bound
}

// bytesFit reports whether an upstream may hold the body of the query.
func (t *Table) bytesFit(now time.Time, w *upstream, q Query) bool {
	if t.bytesBound == 0 || q.BodyBytes <= memory.SmallBody {
		return true
	}
	return w.bytes.Fits(int64(q.BodyBytes), getOrCreate(t.crashes, w.Service).Bound(now, t.bytesBound))
}

// addBytes counts the body of a query that is sent to an upstream.
func (t *Table) addBytes(w *upstream, bytes int) {
	if bytes > 0 {
		w.bytes.Add(getOrCreate(t.crashes, w.Service), int64(bytes))
	}
}

// removeBytes ends the count of the body of a choice.
func (t *Table) removeBytes(now time.Time, c Choice, result Result) {
	if c.bodyBytes == 0 {
		return
	}
	if result == NoResponse || result == Unreachable {
		t.recordCrash(now, c.upstream)
	}
	c.upstream.bytes.Remove(int64(c.bodyBytes))
}

// recordCrash records that an upstream has probably crashed or has restarted.
func (t *Table) recordCrash(now time.Time, w *upstream) {
	if t.bytesBound == 0 {
		return
	}
	c := getOrCreate(t.crashes, w.Service)
	if w.bytes.Crashed(c, now, t.bytesBound) && t.onCrash != nil {
		t.onCrash(CrashBound{Service: w.Service, ID: w.ID, Held: w.bytes.Held(), Bound: c.Bound(now, t.bytesBound)})
	}
}
