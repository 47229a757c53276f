package entryhost

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
)

// entryWriters write registrations of upstreams: two upstreams their own, and another writer odd ones, under any key.
type entryWriters struct {
	c        *control
	rng      *rand.Rand
	now      time.Time
	revision uint64
	sequence map[string]int
	stored   map[string]kv.Item
}

const writersHeartbeat = 1500 * time.Millisecond

func (w *entryWriters) put(id, value string) {
	w.revision++
	item := kv.Item{Key: "servers/" + id, Value: []byte(value), Revision: w.revision}
	w.stored[item.Key] = item
	w.c.applyChanges(w.now, []kv.Event{{Item: item}})
}

func (w *entryWriters) remove(id string) {
	w.revision++
	key := "servers/" + id
	delete(w.stored, key)
	w.c.applyChanges(w.now, []kv.Event{{Item: kv.Item{Key: key, Revision: w.revision}, Deleted: true}})
}

// entryFields are the fields of a valid entry, as they are encoded.
func entryFields(sequence int) map[string]string {
	return map[string]string{
		"service": `"s"`, "address": `"10.0.0.1:80"`, "zone": `"a1"`, "version": `"v1"`, "slots": "4", "state": `"ready"`,
		"cold-remaining": `"0ms"`, "sequence": fmt.Sprint(sequence), "born": "1700000000000",
	}
}

func encodeFields(fields map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%q:%s", name, fields[name]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

func (w *entryWriters) heartbeat(id string) {
	w.sequence[id]++
	w.put(id, encodeFields(entryFields(w.sequence[id])))
}

// oddValues are values of a field that another writer may write.
var oddValues = map[string][]string{
	"sequence":       {"9007199254740993", "18446744073709551615", "1e30", "-1", "3000000000", "null", "1.5"},
	"born":           {"9007199254740993", "9223372036854775807", "4102444800000", "-1", "null"},
	"slots":          {"0", "10000", "4000000000", "-1"},
	"address":        {`"10.0.0.1:0"`, `"10.0.0.1:70000"`, `"0.0.0.0:80"`, `"224.0.0.1:80"`, `"10.0.0.2:80"`, `""`},
	"state":          {`"draining"`, `"gone"`, "7"},
	"cold-remaining": {`"9999999999h"`, `"2000000h"`, `"-5s"`, `"5"`},
	"zone":           {`"none"`, "[]"},
	"service":        {`"none"`, "{}"},
}

func (w *entryWriters) odd() string {
	fields := entryFields(1 + w.rng.IntN(50))
	switch w.rng.IntN(8) {
	case 0:
		return strings.Repeat(`{"service":`, 20_000)
	case 1:
		return strings.Repeat("[", 20_000)
	case 2:
		names := slices.Sorted(maps.Keys(fields))
		delete(fields, names[w.rng.IntN(len(names))])
	}
	for range 1 + w.rng.IntN(3) {
		names := slices.Sorted(maps.Keys(oddValues))
		name := names[w.rng.IntN(len(names))]
		fields[name] = oddValues[name][w.rng.IntN(len(oddValues[name]))]
	}
	return encodeFields(fields)
}

// Guards against an odd entry of another writer that outlives the valid entry written after it.
func TestValidEntryIsInForceAfterOddOnes(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := NewWithT(t)
			w := &entryWriters{c: newTestControl(t), rng: rand.New(rand.NewPCG(seed, 1)), sequence: map[string]int{}, stored: map[string]kv.Item{}}
			w.now = w.c.d.now()
			w.c.loadState(w.now, nil, true)
			ids := []string{"i-1", "i-2", "odd-1", "odd-2"}
			for range 40 {
				w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(writersHeartbeat))))
				w.c.expireUpstreamEntries(w.now)
				switch id := ids[w.rng.IntN(len(ids))]; {
				case w.rng.IntN(3) == 0:
					w.put(id, w.odd())
				case !strings.HasPrefix(id, "odd"):
					w.heartbeat(id)
				default:
					w.remove(id)
				}
			}
			w.settle()
			g.Expect(w.c.digests()).To(Equal(w.listed(t).digests()), "a host that starts now has the same state")
		})
	}
}

// Guards against an upstream whose entries are ignored for good because another writer, or its clock, was ahead of it.
func TestUpstreamBehindItsOwnEntryIsUsedAgain(t *testing.T) {
	for name, odd := range map[string]map[string]string{
		"sequence":            {"sequence": "3000000000", "state": `"draining"`},
		"sequence, not exact": {"sequence": "18446744073709551615", "state": `"draining"`},
		"start":               {"born": "4102444800000", "address": `"10.9.9.9:80"`},
		"start, not exact":    {"born": "9223372036854775807", "address": `"10.9.9.9:80"`},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := &entryWriters{c: newTestControl(t), sequence: map[string]int{}, stored: map[string]kv.Item{}}
			w.now = w.c.d.now()
			w.c.loadState(w.now, nil, true)
			w.heartbeat("i-1")
			valid := w.c.digests()
			fields := entryFields(5)
			for field, value := range odd {
				fields[field] = value
			}
			w.put("i-1", encodeFields(fields))
			g.Expect(w.c.digests()).NotTo(Equal(valid))
			w.settle()
			g.Expect(w.c.digests()).To(Equal(valid))
		})
	}
}

// Guards against entries of another writer that crowd out the upstreams which other hosts copy from this one.
func TestVoidEntriesAreNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	w := &entryWriters{c: newTestControl(t), sequence: map[string]int{}, stored: map[string]kv.Item{}}
	w.now = w.c.d.now()
	w.c.loadState(w.now, []kv.Item{{Key: "servers/a", Value: []byte(strings.Repeat("[", kv.MaxValueBytes)), Revision: 1}}, true)
	w.revision = 1
	w.heartbeat("i-1")
	w.put("i-2", strings.Repeat("x", kv.MaxValueBytes))
	w.heartbeat("i-3")
	page, more := w.c.pageOf(fleet.Scope_SCOPE_UPSTREAMS, "")
	g.Expect(more).To(BeFalse())
	g.Expect(page).To(HaveLen(2))
}

// settle lets the upstreams write valid entries for as long as an outdated write may take effect.
func (w *entryWriters) settle() {
	for range 6 {
		w.now = w.now.Add(writersHeartbeat)
		w.heartbeat("i-1")
		w.heartbeat("i-2")
		w.c.expireUpstreamEntries(w.now)
	}
	w.remove("i-2")
	w.c.expireUpstreamEntries(w.now)
}

// listed returns a host that starts with a listing of the store.
func (w *entryWriters) listed(t *testing.T) *control {
	c := newTestControl(t)
	var items []kv.Item
	for _, item := range w.stored {
		items = append(items, item)
	}
	c.loadState(w.now, items, true)
	return c
}
