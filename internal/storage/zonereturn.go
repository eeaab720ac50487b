package storage

import (
	"errors"
	"fmt"
	"math"

	"pinebay/internal/protocol"
)

// ZoneReturnPrefix is where the pages of zone return lie.
const ZoneReturnPrefix = "zone-return/"

// ZoneReturnKey is where a page of zone return lies.
func ZoneReturnKey(page int) string { return fmt.Sprintf("%s%04d", ZoneReturnPrefix, page) }

// ZoneReturnFormat is the format of the pages that this version reads and writes.
const ZoneReturnFormat = 1

// ErrNewerFormat says that a record was written by a later version.
var ErrNewerFormat = errors.New("record of a newer format")

var errZoneReturn = errors.New("zone return record out of form")

// ZoneReturnRecord is a page of zone return: how zones stand, on the first page, and the open loans of room.
type ZoneReturnRecord struct {
	Format int       `msgpack:"v"`
	Write  string    `msgpack:"w"`
	Zones  []ZoneRow `msgpack:"z,omitempty"`
	Loans  []LoanRow `msgpack:"l,omitempty"`
}

// ZoneRow is how a zone stands.
type ZoneRow struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	State    int
	SinceMS  int64 // time of day
	Flaps    int
}

// LoanRow is an open loan of a task's room to a job.
type LoanRow struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack     struct{} `msgpack:",as_array"`
	Term, Number uint64
	Lender       string
	Task         int
	Attempt      uint64
	Borrower     string
	Machine      string
	Zone         string
	LostS        float64
	AtMS         int64
	UntilMS      int64
}

// loanBytes bounds a stored loan with names of usual length, in the JSON form that limits
// count.
const loanBytes = 256

// LoansPerPage returns how many loans one page holds, well inside a value.
func LoansPerPage(valueKB float64) int {
	return max(1, int(valueKB*1024*0.75/loanBytes))
}

// DecodeZoneReturn reads and checks a page.
func DecodeZoneReturn(p protocol.KeyValue) (*ZoneReturnRecord, error) {
	var head struct {
		Format int `msgpack:"v"`
	}
	if err := protocol.Decode(p.Value, &head); err != nil {
		return nil, fmt.Errorf("key %q: %w", p.Key, err)
	}
	if head.Format > ZoneReturnFormat {
		return nil, fmt.Errorf("key %q: %w: %d", p.Key, ErrNewerFormat, head.Format)
	}
	var rec ZoneReturnRecord
	if err := protocol.Decode(p.Value, &rec); err != nil {
		return nil, fmt.Errorf("key %q: %w", p.Key, err)
	}
	if rec.Format != ZoneReturnFormat {
		return nil, fmt.Errorf("key %q: %w: format %d", p.Key, errZoneReturn, rec.Format)
	}
	for _, z := range rec.Zones {
		if z.Name == "" || z.State < 0 || z.Flaps < 0 {
			return nil, fmt.Errorf("key %q: %w: zone %q", p.Key, errZoneReturn, z.Name)
		}
	}
	for _, l := range rec.Loans {
		if !protocol.ValidJobID(l.Lender) || !protocol.ValidJobID(l.Borrower) || l.Task < 0 || l.Task >= protocol.MaxTasks ||
			!(l.LostS >= 0) || math.IsInf(l.LostS, 0) {
			return nil, fmt.Errorf("key %q: %w: loan of %q", p.Key, errZoneReturn, l.Lender)
		}
	}
	return &rec, nil
}
