package storage_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestRejectedError: whoever reads the error of a rejected transaction learns its key, and the store's reason.
func TestRejectedError(t *testing.T) {
	c := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte("value too large" + strings.Repeat("!", 1000)))
	}))
	txn := protocol.Txn{Then: []protocol.Op{{PutKey: "place/j-1/0000", Value: mustEncode(t, map[string]int{})}}}
	_, err := c.Txn(t.Context(), storage.BudgetPlacement, txn)
	var rejected *storage.RejectedError
	if !errors.As(err, &rejected) {
		t.Fatalf("%v is no RejectedError", err)
	}
	if rejected.Key != "place/j-1/0000" || rejected.Status != http.StatusBadRequest ||
		!strings.HasPrefix(rejected.Reason, "value too large") || len(rejected.Reason) > 100 {
		t.Errorf("%+v", rejected)
	}
	if errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrOutcomeUnknown) {
		t.Errorf("%v passes for one that may be repeated", err)
	}
}

func TestRecordErrors(t *testing.T) {
	newer := mustEncode(t, map[string]int{"v": 7})
	older := mustEncode(t, map[string]int{"v": 0})
	noEpoch := mustEncode(t, map[string]int{"v": 1})
	nonsense := []byte{0xc1}
	zone := func(value []byte) error {
		_, err := storage.DecodeZoneFailover(protocol.KeyValue{Key: "zone-return/0003", Value: value})
		return err
	}
	owners := func(value []byte) error {
		_, err := storage.DecodeOwnership(value)
		return err
	}
	page := func(value []byte) error {
		_, err := storage.DecodePage(protocol.KeyValue{Key: "place/j-1/0000", Value: value}, storage.PageLayout{})
		return err
	}
	term := func(value []byte) error {
		_, err := storage.DecodeTerm(value)
		return err
	}
	pageKey := func(key string) error {
		_, err := storage.ParsePageKey(key, 96)
		return err
	}
	for _, test := range []struct {
		name string
		err  error
		key  string
		want error
	}{
		{"zone page of a newer format", zone(newer), "zone-return/0003", storage.ErrNewerFormat},
		{"zone page of no format", zone(older), "zone-return/0003", storage.ErrMalformedRecord},
		{"zone page that is no map", zone(nonsense), "zone-return/0003", protocol.ErrMalformed},
		{"ownership of a newer format", owners(newer), "ownership", storage.ErrNewerFormat},
		{"ownership without an epoch", owners(noEpoch), "ownership", storage.ErrMalformedRecord},
		{"page that is no map", page(nonsense), "place/j-1/0000", protocol.ErrMalformed},
		{"term that is no map", term(nonsense), "term", protocol.ErrMalformed},
		{"key without a page", pageKey("place/j-1"), "place/j-1", storage.ErrMalformedRecord},
		{"key with a width of 0", pageKey("place/j-1/w0.0000"), "place/j-1/w0.0000", storage.ErrMalformedRecord},
		{"key with a negative number", pageKey("place/j-1/-1"), "place/j-1/-1", storage.ErrMalformedRecord},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !errors.Is(test.err, test.want) {
				t.Fatalf("%v, want %v", test.err, test.want)
			}
			var malformed *storage.MalformedRecordError
			var newer *storage.NewerFormatError
			switch {
			case errors.As(test.err, &malformed):
				if malformed.Key != test.key {
					t.Errorf("key %q, want %q", malformed.Key, test.key)
				}
			case errors.As(test.err, &newer):
				if newer.Key != test.key || newer.Format != 7 || newer.Supported != 1 {
					t.Errorf("%+v", newer)
				}
			default:
				t.Errorf("%T is no error about a record", test.err)
			}
		})
	}
}
