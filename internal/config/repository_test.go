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
	baseDocument = `{"regions":{"vermont":{}},"zones":{"vt-a":{"region":"vermont"}},"services":{"lookup":{}},"upstreams":{},` +
		`"customers":{"farm":{"rate":10,"burst":10,"keys":{"k1":{"sha256":"%064d"},"k2":{"sha256":"%064d"}}}}}`
	rate20  = `{"customers":{"farm":{"rate":20}}}`
	rate30  = `{"customers":{"farm":{"rate":30}}}`
	burst20 = `{"customers":{"farm":{"burst":20}}}`
)

// fixture is a repository on a stand-in store that contains version 1.
type fixture struct {
	store      *standin.KVStore
	repository *config.Repository
}

func (f *fixture) apply(id string, version uint64, merge string) (config.AppliedChange, error) {
	return f.repository.Apply(context.Background(), config.Patch{ChangeID: id, Base: version, Merge: json.RawMessage(merge)})
}

func (f *fixture) mustApply(id string, version uint64, merge string) {
	GinkgoHelper()
	_, err := f.apply(id, version, merge)
	Expect(err).NotTo(HaveOccurred())
}

func (f *fixture) record() *config.Record {
	GinkgoHelper()
	record, _, err := f.repository.Load(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return record
}

func newClient(url string) *platform.Store {
	return platform.NewStore(url, (&net.Dialer{}).DialContext, func(string, error) {})
}

var _ = Describe("a change", func() {
	var f *fixture

	BeforeEach(func() {
		f = &fixture{store: standin.NewKVStore()}
		server := httptest.NewServer(f.store)
		client := newClient(server.URL)
		DeferCleanup(func() {
			client.Close()
			server.Close()
		})
		f.repository = config.NewRepository(kv.WithTimeout(client, time.Second), time.Now)
		f.mustApply("first", 0, fmt.Sprintf(baseDocument, 1, 2))
	})

	DescribeTable("takes effect once", func(submit func() (config.AppliedChange, error), changeVersion, storeVersion uint64) {
		applied, err := submit()
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Version).To(Equal(changeVersion))
		Expect(f.record().Version).To(Equal(storeVersion))
	},
		Entry("based on the current version", func() (config.AppliedChange, error) { return f.apply("a", 1, rate20) }, uint64(2), uint64(2)),
		Entry("submitted again", func() (config.AppliedChange, error) {
			f.mustApply("a", 1, rate20)
			return f.apply("a", 1, rate20)
		}, uint64(2), uint64(2)),
		Entry("submitted again in another format", func() (config.AppliedChange, error) {
			f.mustApply("a", 1, rate20)
			return f.apply("a", 1, strings.ReplaceAll(rate20, ":", " : "))
		}, uint64(2), uint64(2)),
		Entry("whose response is lost", func() (config.AppliedChange, error) {
			f.store.SetFaults(standin.Faults{LoseResponses: 1})
			return f.apply("a", 1, rate20)
		}, uint64(2), uint64(2)),
		Entry("submitted again after another operator's change", func() (config.AppliedChange, error) {
			f.mustApply("a", 1, rate20)
			f.mustApply("b", 2, rate30)
			return f.apply("a", 1, rate20)
		}, uint64(2), uint64(3)),
	)

	It("deletes a key by null and leaves the others", func() {
		f.mustApply("a", 1, `{"customers":{"farm":{"keys":{"k1":null}}}}`)
		active, err := f.record().Activate()
		Expect(err).NotTo(HaveOccurred())
		Expect(active.Config.Customers["farm"].Keys).To(HaveLen(1))
		Expect(active.Config.Customers["farm"].Rate).To(Equal(10.0))
	})

	DescribeTable("is rejected without effect", func(submit func() error, want any) {
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
		f.store.SetFaults(standin.Faults{})
		Expect(f.record().Document).NotTo(ContainSubstring("999"))
	},
		Entry("based on a stale version", func() error {
			f.mustApply("a", 1, rate20)
			_, err := f.apply("b", 1, `{"customers":{"farm":{"rate":999,"burst":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2, Conflicts: []string{"/customers/farm/rate"}}),
		Entry("based on a stale version, writing a parent of a written path", func() error {
			f.mustApply("a", 1, rate20)
			_, err := f.apply("b", 1, `{"customers":null}`)
			return err
		}, config.StaleError{Base: 1, Current: 2, Conflicts: []string{"/customers"}}),
		Entry("based on a stale version, without a conflicting path", func() error {
			f.mustApply("a", 1, burst20)
			_, err := f.apply("b", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2}),
		Entry("based on a stale version, after a large change", func() error {
			f.mustApply("a", 1, strings.Replace(manyCustomers(config.MaxStoredPatchBytes), `"c-0"`, `"farm":{"burst":20},"c-0"`, 1))
			_, err := f.apply("b", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2, Conflicts: []string{"/customers/farm/rate"}}),
		Entry("based on a version that does not exist", func() error {
			_, err := f.apply("a", 7, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.StaleError{Base: 7, Current: 1}),
		Entry("submitted again after it has left the recent changes", func() error {
			f.mustApply("a", 1, rate20)
			for v := uint64(2); v < 2+config.MaxChanges; v++ {
				f.mustApply(fmt.Sprintf("c%d", v), v, burst20)
			}
			_, err := f.apply("a", 1, `{"services":{"lookup":{"timeout_ms":999}}}`)
			return err
		}, config.StaleError{Base: 1, Current: 2 + config.MaxChanges, HistoryTruncated: true}),
		Entry("with the id of another patch", func() error {
			f.mustApply("a", 1, rate20)
			_, err := f.apply("a", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.ReusedIDError{ID: "a", Version: 2}),
		Entry("with the id of a change with another base", func() error {
			f.mustApply("a", 1, rate20)
			f.mustApply("b", 2, rate30)
			_, err := f.apply("a", 3, rate20)
			return err
		}, config.ReusedIDError{ID: "a", Version: 2}),
		Entry("while the store is down", func() error {
			f.store.SetFaults(standin.Faults{Down: true})
			_, err := f.apply("a", 1, `{"customers":{"farm":{"rate":999}}}`)
			return err
		}, config.ErrNotApplied),
		Entry("while the store has lost data", func() error {
			_, err := f.repository.Apply(context.Background(), config.Patch{
				ChangeID: "a", Base: 1, ActiveVersion: 2, Merge: json.RawMessage(`{"customers":{"farm":{"rate":999}}}`),
			})
			return err
		}, config.ErrStoreBehind),
		Entry("that sets an unknown field", func() error {
			_, err := f.apply("a", 1, `{"customers":{"farm":{"rat":999}}}`)
			return err
		}, `/customers/farm/rat: unknown field "rat"`),
		Entry("that duplicates a key", func() error {
			_, err := f.apply("a", 1, fmt.Sprintf(`{"customers":{"farm":{"keys":{"k999":{"sha256":"%064d"}}}}}`, 1))
			return err
		}, `customer "farm" has the same key`),
		Entry("that contains a duplicate name", func() error {
			_, err := f.apply("a", 1, `{"customers":{"farm":{"rate":20},"farm":{"rate":999}}}`)
			return err
		}, `/customers/farm: duplicate name "farm"`),
		Entry("that is not an object", func() error { _, err := f.apply("a", 1, `null`); return err }, "want an object"),
		Entry("that is a list", func() error { _, err := f.apply("a", 1, `[999]`); return err }, "want an object"),
		Entry("that is truncated", func() error { _, err := f.apply("a", 1, `{"customers":`); return err }, "patch:1"),
		Entry("that is empty", func() error { _, err := f.apply("a", 1, ``); return err }, "patch:1"),
		Entry("that has comments", func() error { _, err := f.apply("a", 1, `{ /* 999 */ }`); return err }, "want plain JSON"),
		Entry("that is nested too deeply", func() error {
			_, err := f.apply("a", 1, strings.Repeat(`{"a":`, 1<<16))
			return err
		}, "nested too deeply"),
	)

	It("is rejected with its size if it exceeds the limit of the store", func() {
		_, err := f.apply("a", 1, manyCustomers(kv.MaxValueBytes))
		var tooLarge *config.TooLargeError
		Expect(errors.As(err, &tooLarge)).To(BeTrue(), "got %v", err)
		Expect(tooLarge.Bytes).To(BeNumerically(">", tooLarge.Limit))
		Expect(f.record().Version).To(Equal(uint64(1)))
	})

	It("has an unknown outcome if the store confirms no write", func() {
		f.store.SetFaults(standin.Faults{LoseResponses: 1})
		repository := config.NewRepository(&unresponsiveStore{Store: kv.WithTimeout(newClient("http://127.0.0.1:1"), time.Second), rec: f.record()}, time.Now)
		_, err := repository.Apply(context.Background(), config.Patch{ChangeID: "a", Base: 1, Merge: json.RawMessage(rate20)})
		Expect(errors.Is(err, config.ErrOutcomeUnknown)).To(BeTrue(), "got %v", err)
	})
})

// unresponsiveStore is a store that serves reads but reports no successful
// write: the first write has an unknown outcome, and the store is unavailable
// for later ones.
type unresponsiveStore struct {
	kv.Store
	rec    *config.Record
	writes int
}

func (s *unresponsiveStore) Get(context.Context, string) (kv.Item, error) {
	value, err := s.rec.Encode()
	return kv.Item{Revision: 1, Value: value}, err
}

func (s *unresponsiveStore) CompareAndSwap(context.Context, string, uint64, []byte, uint64) (uint64, error) {
	if s.writes++; s.writes == 1 {
		return 0, kv.ErrOutcomeUnknown
	}
	return 0, kv.ErrUnavailable
}

// manyCustomers returns a valid patch of at least the given size in bytes.
func manyCustomers(size int) string {
	var s strings.Builder
	for i := 0; s.Len() < size; i++ {
		_, _ = fmt.Fprintf(&s, `"c-%d":{"rate":20,"burst":20,"keys":{"k":{"sha256":"%064d"}}},`, i, i+1000)
	}
	return `{"customers":{` + strings.TrimSuffix(s.String(), ",") + `}}`
}
