package storage_test

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// A valid record is decoded as it was encoded. One that is malformed, or has a newer format, is an error and can't pass
// for ownership.
func TestOwnershipRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := storage.OwnershipRecord{
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
		broken := true
		want := error(nil)
		switch rapid.IntRange(0, 6).Draw(t, "how") {
		case 0:
			rec.Epoch = 0
		case 1:
			rec.Term = 0
		case 2:
			rec.Members[1].Controller = ""
		case 3:
			rec.Members[1].Controller = "a"
		case 4:
			rec.Members[0].Incarnation = 0
		case 5:
			rec.Format = storage.OwnershipFormat + rapid.IntRange(1, 9).Draw(t, "newer")
			want = storage.ErrNewerFormat
		default:
			broken = false
		}
		raw, err := protocol.Encode(rec)
		if err != nil {
			t.Fatal(err)
		}
		got, err := storage.DecodeOwnership(raw)
		if (err != nil) != broken || want != nil && !errors.Is(err, want) {
			t.Fatalf("%+v: %v", rec, err)
		}
		if !broken && !reflect.DeepEqual(*got, rec) {
			t.Fatalf("%+v is read as %+v", rec, got)
		}
	})
}
