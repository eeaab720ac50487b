package storage_test

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestOwnershipRecords checks that a valid record is decoded as it was encoded, and that one that is malformed or has a
// newer format is an error.
func TestOwnershipRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := storage.OwnershipRecord{
			Format: storage.OwnershipFormat,
			Epoch:  rapid.Uint64Min(1).Draw(t, "epoch"),
			Term:   rapid.Uint64Min(1).Draw(t, "term"),
			Reason: rapid.String().
				Draw(t, "reason"),
			Members: []storage.OwnershipMember{
				{Controller: "a", Incarnation: 1},
				{Controller: "b", Incarnation: 2, Refutations: 3},
			},
		}
		invalid := true
		want := error(nil)
		switch rapid.IntRange(0, 6).Draw(t, "how") {
		case 0:
			record.Epoch = 0
		case 1:
			record.Term = 0
		case 2:
			record.Members[1].Controller = ""
		case 3:
			record.Members[1].Controller = "a"
		case 4:
			record.Members[0].Incarnation = 0
		case 5:
			record.Format = storage.OwnershipFormat + rapid.IntRange(1, 9).Draw(t, "newer")
			want = storage.ErrNewerFormat
		default:
			invalid = false
		}
		raw, err := protocol.Encode(record)
		if err != nil {
			t.Fatal(err)
		}
		got, err := storage.DecodeOwnership(raw)
		if (err != nil) != invalid || want != nil && !errors.Is(err, want) {
			t.Fatalf("decode %+v: %v", record, err)
		}
		if !invalid && !reflect.DeepEqual(*got, record) {
			t.Fatalf("%+v is decoded as %+v", record, got)
		}
	})
}
