package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
)

// Guards against a version, and its withdrawn keys, that counts as the newest although the store holds an unreadable one.
func TestUnreadableRecordEndsTheConfirmations(t *testing.T) {
	g := NewWithT(t)
	c := idleControl(t)
	t.Cleanup(c.d.Kill)
	start := time.Now()
	record := func(version uint64) parsedRecord {
		return activateRecord(&config.Record{Version: version, Document: []byte(seedDocument)})
	}
	storeReadResult{watchRevision: 1, parsed: record(1), validAt: start}.apply(c)
	g.Expect(c.config.confirmedAt).To(Equal(start))
	storeReadResult{watchRevision: 1, validAt: start.Add(time.Second)}.apply(c)
	g.Expect(c.config.confirmedAt).To(Equal(start.Add(time.Second)), "a watch without a change")

	storeReadResult{watchRevision: 2, err: config.ErrInvalidRecord}.apply(c)
	storeReadResult{watchRevision: 2, validAt: start.Add(10 * time.Second)}.apply(c)
	g.Expect(c.config.confirmedAt).To(Equal(start.Add(time.Second)), "a watch without a change after the unreadable one")

	storeReadResult{watchRevision: 3, parsed: record(3), validAt: start.Add(20 * time.Second)}.apply(c)
	g.Expect(c.config.version()).To(Equal(uint64(3)))
	g.Expect(c.config.confirmedAt).To(Equal(start.Add(20 * time.Second)))
}
