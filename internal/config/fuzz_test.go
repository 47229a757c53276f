package config_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/kv"
)

// singleValueStore is a store that contains one value.
type singleValueStore struct {
	kv.Store
	value []byte
}

func (s *singleValueStore) Get(context.Context, string) (kv.Item, error) {
	return kv.Item{Revision: 1, Value: s.value}, nil
}

func (s *singleValueStore) CompareAndSwap(_ context.Context, _ string, _ uint64, value []byte, _ uint64) (uint64, error) {
	s.value = value
	return 2, nil
}

// FuzzPatch submits malformed and malicious patches. Each must either be
// rejected with faults, or produce a record that every daemon can read and
// activate and that identifies the change by its id.
func FuzzPatch(f *testing.F) {
	const document = `{"regions":{"r":{}},"zones":{"z":{"region":"r"}},"services":{"s":{}},"upstreams":{},` +
		`"customers":{"c":{"rate":1,"burst":1,"keys":{"k":{"sha256":"0000000000000000000000000000000000000000000000000000000000000001"}}}}}`
	f.Fuzz(func(t *testing.T, merge []byte) {
		store := &singleValueStore{value: []byte(`{"version":1,"document":` + document + `,"changes":[]}`)}
		repository := config.NewRepository(store, time.Now)
		patch := config.Patch{ChangeID: "id", Base: 1, Merge: json.RawMessage(merge)}
		_, err := repository.Apply(context.Background(), patch)
		if err != nil {
			var faults jsonc.Faults
			var tooLarge *config.TooLargeError
			if !errors.As(err, &faults) && !errors.As(err, &tooLarge) {
				t.Fatalf("rejected without faults: %v", err)
			}
			return
		}
		record, err := config.ParseRecord(store.value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := record.Activate(); err != nil {
			t.Fatalf("accepted a record that cannot be activated: %v", err)
		}
		applied, err := repository.Apply(context.Background(), patch)
		if err != nil || applied.Version != 2 {
			t.Fatalf("resubmission: version %d, error %v", applied.Version, err)
		}
	})
}
