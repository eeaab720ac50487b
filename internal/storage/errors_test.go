package storage_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestRejectedError checks that the error of a rejected transaction contains its key and the store's reason.
func TestRejectedError(t *testing.T) {
	c := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte("value too large" + strings.Repeat("!", 1000)))
	}))
	txn := protocol.Txn{Then: []protocol.Op{{PutKey: "place/j-1/0000", Value: mustEncode(t, map[string]int{})}}}
	_, err := c.Txn(t.Context(), storage.BudgetPlacement, txn)
	var rejected *storage.RejectedError
	if !errors.As(err, &rejected) {
		t.Fatalf("%v is not a RejectedError", err)
	}
	if rejected.Key != "place/j-1/0000" || rejected.Status != http.StatusBadRequest ||
		!strings.HasPrefix(rejected.Reason, "value too large") || len(rejected.Reason) > 100 {
		t.Errorf("%+v", rejected)
	}
	if errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrOutcomeUnknown) {
		t.Errorf("%v matches an error after which a request may be retried", err)
	}
}

// TestRecordErrors checks the types of the errors for invalid records and keys, and the keys that they contain.
func TestRecordErrors(t *testing.T) {
	newer := mustEncode(t, map[string]int{"v": 7})
	older := mustEncode(t, map[string]int{"v": 0})
	noEpoch := mustEncode(t, map[string]int{"v": 1})
	undecodable := []byte{0xc1}
	decodeZoneFailover := func(value []byte) error {
		_, err := storage.DecodeZoneFailover(protocol.KeyValue{Key: "zone-return/0003", Value: value})
		return err
	}
	decodeOwnership := func(value []byte) error {
		_, err := storage.DecodeOwnership(value)
		return err
	}
	decodePage := func(value []byte) error {
		_, err := storage.DecodePage(protocol.KeyValue{Key: "place/j-1/0000", Value: value}, storage.PageLayout{})
		return err
	}
	decodeTerm := func(value []byte) error {
		_, err := storage.DecodeTerm(value)
		return err
	}
	parsePageKey := func(key string) error {
		_, err := storage.ParsePageKey(key, 96)
		return err
	}
	for _, test := range []struct {
		name string
		err  error
		key  string
		want error
	}{
		{"zone page of a newer format", decodeZoneFailover(newer), "zone-return/0003", storage.ErrNewerFormat},
		{"zone page of no format", decodeZoneFailover(older), "zone-return/0003", storage.ErrMalformedRecord},
		{"zone page that is no map", decodeZoneFailover(undecodable), "zone-return/0003", protocol.ErrMalformed},
		{"ownership of a newer format", decodeOwnership(newer), "ownership", storage.ErrNewerFormat},
		{"ownership without an epoch", decodeOwnership(noEpoch), "ownership", storage.ErrMalformedRecord},
		{"page that is no map", decodePage(undecodable), "place/j-1/0000", protocol.ErrMalformed},
		{"term that is no map", decodeTerm(undecodable), "term", protocol.ErrMalformed},
		{"key without a page", parsePageKey("place/j-1"), "place/j-1", storage.ErrMalformedRecord},
		{"key with a width of 0", parsePageKey("place/j-1/w0.0000"), "place/j-1/w0.0000", storage.ErrMalformedRecord},
		{"key with a negative number", parsePageKey("place/j-1/-1"), "place/j-1/-1", storage.ErrMalformedRecord},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !errors.Is(test.err, test.want) {
				t.Fatalf("got %v, want %v", test.err, test.want)
			}
			var malformed *storage.MalformedRecordError
			var newer *storage.NewerFormatError
			switch {
			case errors.As(test.err, &malformed):
				if malformed.Key != test.key {
					t.Errorf("got key %q, want %q", malformed.Key, test.key)
				}
			case errors.As(test.err, &newer):
				if newer.Key != test.key || newer.Format != 7 || newer.Supported != 1 {
					t.Errorf("%+v", newer)
				}
			default:
				t.Errorf("%T is not an error about a record", test.err)
			}
		})
	}
}
