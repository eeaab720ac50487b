package storage

import (
	"errors"
	"fmt"
	"math"

	"pinebay/internal/protocol"
)

// ZoneFailoverPrefix is where the pages of zone return lie.
const ZoneFailoverPrefix = "zone-return/"

// ZoneFailoverKey is where a page of zone return lies.
func ZoneFailoverKey(page int) string { return fmt.Sprintf("%s%04d", ZoneFailoverPrefix, page) }

// ZoneFailoverFormat is the format of the pages that this version reads and writes.
const ZoneFailoverFormat = 1

// ErrNewerFormat says that a record was written by a later version.
var ErrNewerFormat = errors.New("record of a newer format")

var errMalformedZoneFailover = errors.New("zone return record out of form")

// ZoneFailoverRecord is a page of zone return: how zones stand, on the first page, and the open loans of room.
type ZoneFailoverRecord struct {
	Format    int       `msgpack:"v"`
	WriteName string    `msgpack:"w"`
	Zones     []ZoneRow `msgpack:"z,omitempty"`
	Loans     []LoanRow `msgpack:"l,omitempty"`
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
	LostSeconds  float64
	CreatedMS    int64
	ExpiresMS    int64
}

// loanBytes bounds a stored loan with names of usual length, in the JSON form that limits
// count.
const loanBytes = 256

// LoansPerPage returns how many loans one page holds, well inside a value.
func LoansPerPage(valueKB float64) int {
	return max(1, int(valueKB*1024*0.75/loanBytes))
}

// DecodeZoneFailover reads and checks a page.
func DecodeZoneFailover(p protocol.KeyValue) (*ZoneFailoverRecord, error) {
	var head struct {
		Format int `msgpack:"v"`
	}
	if err := protocol.Decode(p.Value, &head); err != nil {
		return nil, fmt.Errorf("key %q: %w", p.Key, err)
	}
	if head.Format > ZoneFailoverFormat {
		return nil, fmt.Errorf("key %q: %w: %d", p.Key, ErrNewerFormat, head.Format)
	}
	var rec ZoneFailoverRecord
	if err := protocol.Decode(p.Value, &rec); err != nil {
		return nil, fmt.Errorf("key %q: %w", p.Key, err)
	}
	if rec.Format != ZoneFailoverFormat {
		return nil, fmt.Errorf("key %q: %w: format %d", p.Key, errMalformedZoneFailover, rec.Format)
	}
	for _, z := range rec.Zones {
		if z.Name == "" || z.State < 0 || z.Flaps < 0 {
			return nil, fmt.Errorf("key %q: %w: zone %q", p.Key, errMalformedZoneFailover, z.Name)
		}
	}
	for _, l := range rec.Loans {
		if !protocol.ValidJobID(l.Lender) || !protocol.ValidJobID(l.Borrower) || l.Task < 0 ||
			l.Task >= protocol.MaxTasks ||
			!(l.LostSeconds >= 0) ||
			math.IsInf(l.LostSeconds, 0) {
			return nil, fmt.Errorf("key %q: %w: loan of %q", p.Key, errMalformedZoneFailover, l.Lender)
		}
	}
	return &rec, nil
}
