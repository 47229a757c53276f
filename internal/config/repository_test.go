package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/standin"
	"balsambarrow/platform"
)

func TestRepository(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Configuration repository")
}

const (
	base = `{"regions":{"vermont":{}},"zones":{"vt-a":{"region":"vermont"}},"services":{"lookup":{}},"upstreams":{},` +
		`"customers":{"farm":{"rate":10,"burst":10,"keys":{"k1":{"sha256":"%064d"},"k2":{"sha256":"%064d"}}}}}`
	rate20  = `{"customers":{"farm":{"rate":20}}}`
	rate30  = `{"customers":{"farm":{"rate":30}}}`
	burst20 = `{"customers":{"farm":{"burst":20}}}`
)

// bench is a repository over a stand-in that holds version 1.
type bench struct {
	store *standin.KVStore
	repo  *config.Repository
}

func (b *bench) apply(id string, version uint64, merge string) (config.AppliedChange, error) {
	return b.repo.Apply(context.Background(), config.Patch{ChangeID: id, Base: version, Merge: json.RawMessage(merge)})
}

func (b *bench) mustApply(id string, version uint64, merge string) {
	GinkgoHelper()
	_, err := b.apply(id, version, merge)
	Expect(err).NotTo(HaveOccurred())
}

func (b *bench) record() *config.Record {
	GinkgoHelper()
	rec, _, err := b.repo.Load(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return rec
}

func newClient(url string) *platform.Store {
	return platform.NewStore(url, (&net.Dialer{}).DialContext, func(string, error) {})
}

var _ = Describe("a change", func() {
	var b *bench

	BeforeEach(func() {
		b = &bench{store: standin.NewKVStore()}
		server := httptest.NewServer(b.store)
		client := newClient(server.URL)
		DeferCleanup(func() {
			client.Close()
			server.Close()
		})
		b.repo = config.NewRepository(kv.WithTimeout(client, time.Second), time.Now)
		b.mustApply("first", 0, fmt.Sprintf(base, 1, 2))
	})

	DescribeTable("takes effect once", func(submit func() (config.AppliedChange, error), made, now uint64) {
		applied, err := submit()
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Version).To(Equal(made))
		Expect(b.record().Version).To(Equal(now))
	},
		Entry("on its base", func() (config.AppliedChange, error) { return b.apply("a", 1, rate20) }, uint64(2), uint64(2)),
		Entry("submitted again", func() (config.AppliedChange, error) {
			b.mustApply("a", 1, rate20)
			return b.apply("a", 1, rate20)
		}, uint64(2), uint64(2)),
		Entry("submitted again in another format", func() (config.AppliedChange, error) {
			b.mustApply("a", 1, rate20)
			return b.apply("a", 1, strings.ReplaceAll(rate20, ":", " : "))
		}, uint64(2), uint64(2)),
		Entry("its answer lost", func() (config.AppliedChange, error) {
			b.store.SetFaults(standin.Faults{LoseResponses: 1})
			return b.apply("a", 1, rate20)
		}, uint64(2), uint64(2)),
		Entry("submitted again after another operator's change", func() (config.AppliedChange, error) {
			b.mustApply("a", 1, rate20)
			b.mustApply("b", 2, rate30)
			return b.apply("a", 1, rate20)
		}, uint64(2), uint64(3)),
	)

	It("deletes a key by null and leaves the others", func() {
		b.mustApply("a", 1, `{"customers":{"farm":{"keys":{"k1":null}}}}`)
		active, err := b.record().Activate()
		Expect(err).NotTo(HaveOccurred())
		Expect(active.Config.Customers["farm"].Keys).To(HaveLen(1))
		Expect(active.Config.Customers["farm"].Rate).To(Equal(10.0))
	})

	DescribeTable("is refused and changes nothing", func(submit func() error, want any) {
		err := submit()
		Expect(err).To(HaveOccurred())
		switch w := want.(type) {
		case error:
			Expect(errors.Is(err, w)).To(BeTrue(), "got %v", err)
		case config.StaleError:
			var stale *config.StaleError
			Expect(errors.As(err, &stale)).To(BeTrue(), "got %v", err)
			Expect(*stale).To(Equal(w))
		case config.ReusedIDError:
			var reused *config.ReusedIDError
			Expect(errors.As(err, &reused)).To(BeTrue(), "got %v", err)
			Expect(*reused).To(Equal(w))
		case string:
			var faults jsonc.Faults
			Expect(errors.As(err, &faults)).To(BeTrue(), "got %v", err)
			Expect(faults.Error()).To(ContainSubstring(w))
		}
		b.store.SetFaults(standin.Faults{})
		Expect(b.record().Document).NotTo(ContainSubstring("999"))
	},
		Entry("on a version that is no longer current", func() error {
			b.mustApply("a", 1, rate20)
			_, err := b.apply("b", 1, `{"customers":{"farm":{"rate":999,"burst":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2, Conflicts: []string{"/customers/farm/rate"}}),
		Entry("on a stale version, writing a parent of what was written", func() error {
			b.mustApply("a", 1, rate20)
			_, err := b.apply("b", 1, `{"customers":null}`)
			return err
		}, config.StaleError{Base: 1, Current: 2, Conflicts: []string{"/customers"}}),
		Entry("on a stale version, without a conflicting path", func() error {
			b.mustApply("a", 1, burst20)
			_, err := b.apply("b", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2}),
		Entry("on a stale version, against a large change", func() error {
			b.mustApply("a", 1, strings.Replace(manyCustomers(config.MaxStoredPatchBytes), `"c-0"`, `"farm":{"burst":20},"c-0"`, 1))
			_, err := b.apply("b", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2, Conflicts: []string{"/customers/farm/rate"}}),
		Entry("on a version that never was", func() error {
			_, err := b.apply("a", 7, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.StaleError{Base: 7, Current: 1}),
		Entry("submitted again when it is no longer among the recent ones", func() error {
			b.mustApply("a", 1, rate20)
			for v := uint64(2); v < 2+config.MaxChanges; v++ {
				b.mustApply(fmt.Sprintf("c%d", v), v, burst20)
			}
			_, err := b.apply("a", 1, `{"services":{"lookup":{"timeout_ms":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2 + config.MaxChanges, HistoryTruncated: true}),
		Entry("with the id of another patch", func() error {
			b.mustApply("a", 1, rate20)
			_, err := b.apply("a", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.ReusedIDError{ID: "a", Version: 2}),
		Entry("with an id of another base", func() error {
			b.mustApply("a", 1, rate20)
			b.mustApply("b", 2, rate30)
			_, err := b.apply("a", 3, rate20)
			return err
		}, config.ReusedIDError{ID: "a", Version: 2}),
		Entry("while the store is down", func() error {
			b.store.SetFaults(standin.Faults{Down: true})
			_, err := b.apply("a", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.ErrNotApplied),
		Entry("on a store that lost data", func() error {
			_, err := b.repo.Apply(context.Background(), config.Patch{
				ChangeID: "a", Base: 1, ActiveVersion: 2, Merge: json.RawMessage(`{"customers":{"farm":{"rate":999}}}`),
			})
			return err
		}, config.ErrStoreBehind),
		Entry("that names nothing there is", func() error {
			_, err := b.apply("a", 1, `{"customers":{"farm":{"rat":999}}}`)
			return err
		}, `/customers/farm/rat: unknown field "rat"`),
		Entry("that leaves a key twice", func() error {
			_, err := b.apply("a", 1, fmt.Sprintf(`{"customers":{"farm":{"keys":{"k999":{"sha256":"%064d"}}}}}`, 1))
			return err
		}, `customer "farm" has the same key`),
		Entry("that names a member twice", func() error {
			_, err := b.apply("a", 1, `{"customers":{"farm":{"rate":20},"farm":{"rate":999}}}`)
			return err
		}, `/customers/farm: duplicate name "farm"`),
		Entry("that is no object", func() error { _, err := b.apply("a", 1, `null`); return err }, "want an object"),
		Entry("that is a list", func() error { _, err := b.apply("a", 1, `[999]`); return err }, "want an object"),
		Entry("that is cut off", func() error { _, err := b.apply("a", 1, `{"customers":`); return err }, "patch:1"),
		Entry("that is empty", func() error { _, err := b.apply("a", 1, ``); return err }, "patch:1"),
		Entry("that has comments", func() error { _, err := b.apply("a", 1, `{ /* 999 */ }`); return err }, "want plain JSON"),
		Entry("that is nested without end", func() error {
			_, err := b.apply("a", 1, strings.Repeat(`{"a":`, 1<<16))
			return err
		}, "nested too deeply"),
	)

	It("is refused with its size where the store cannot hold it", func() {
		_, err := b.apply("a", 1, manyCustomers(kv.MaxValueBytes))
		var tooLarge *config.TooLargeError
		Expect(errors.As(err, &tooLarge)).To(BeTrue(), "got %v", err)
		Expect(tooLarge.Bytes).To(BeNumerically(">", tooLarge.Limit))
		Expect(b.record().Version).To(Equal(uint64(1)))
	})

	It("is of unknown outcome, and no other, where no answer comes", func() {
		b.store.SetFaults(standin.Faults{LoseResponses: 1})
		slow := config.NewRepository(&deaf{Store: kv.WithTimeout(newClient("http://127.0.0.1:1"), time.Second), rec: b.record()}, time.Now)
		_, err := slow.Apply(context.Background(), config.Patch{ChangeID: "a", Base: 1, Merge: json.RawMessage(rate20)})
		Expect(errors.Is(err, config.ErrOutcomeUnknown)).To(BeTrue(), "got %v", err)
	})
})

// deaf is a store that can be read and answers no write: the first may have
// taken effect, the later ones find it unreachable.
type deaf struct {
	kv.Store
	rec    *config.Record
	writes int
}

func (d *deaf) Get(context.Context, string) (kv.Item, error) {
	value, err := d.rec.Encode()
	return kv.Item{Revision: 1, Value: value}, err
}

func (d *deaf) CompareAndSwap(context.Context, string, uint64, []byte, uint64) (uint64, error) {
	if d.writes++; d.writes == 1 {
		return 0, kv.ErrOutcomeUnknown
	}
	return 0, kv.ErrUnavailable
}

// manyCustomers is a valid patch of at least so many bytes.
func manyCustomers(size int) string {
	var s strings.Builder
	for i := 0; s.Len() < size; i++ {
		_, _ = fmt.Fprintf(&s, `"c-%d":{"rate":20,"burst":20,"keys":{"k":{"sha256":"%064d"}}},`, i, i+1000)
	}
	return `{"customers":{` + strings.TrimSuffix(s.String(), ",") + `}}`
}
