package storage

import (
	"fmt"
	"math"

	"pinebay/internal/protocol"
)

// ZoneFailoverPrefix begins the keys of the pages of zone failover.
const ZoneFailoverPrefix = "zone-return/"

// ZoneFailoverKey returns the key of a page.
func ZoneFailoverKey(page int) string { return fmt.Sprintf("%s%04d", ZoneFailoverPrefix, page) }

// ZoneFailoverFormat is the format of the pages that this version reads and writes.
const ZoneFailoverFormat = 1

// ZoneFailoverRecord is a page with the states of the zones, on the first page, and the open loans of capacity.
type ZoneFailoverRecord struct {
	Format    int       `msgpack:"v"`
	WriteName string    `msgpack:"w"`
	Zones     []ZoneRow `msgpack:"z,omitempty"`
	Loans     []LoanRow `msgpack:"l,omitempty"`
}

// ZoneRow is the state of a zone. It is stored as a list.
type ZoneRow struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	State    int
	SinceMS  int64 // Unix time
	Flaps    int
}

// LoanRow is an open loan of a task's capacity to a job. It is stored as a list.
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
	LostSeconds  float64 // work that the lender loses
	CreatedMS    int64   // Unix time
	ExpiresMS    int64
}

// loanBytes is an upper bound of a stored loan with names of usual length, in the JSON form that the limits count.
const loanBytes = 256

// LoansPerPage returns how many loans fit a page, well within the limit of a value.
func LoansPerPage(valueKB float64) int {
	return max(1, int(valueKB*BytesPerKB*pageFillShare/loanBytes))
}

// DecodeZoneFailover decodes and validates a page.
func DecodeZoneFailover(stored protocol.KeyValue) (*ZoneFailoverRecord, error) {
	if err := checkFormat(stored.Key, stored.Value, ZoneFailoverFormat); err != nil {
		return nil, err
	}
	var record ZoneFailoverRecord
	if err := protocol.Decode(stored.Value, &record); err != nil {
		return nil, undecodable(stored.Key, err)
	}
	for _, zone := range record.Zones {
		if zone.Name == "" || zone.State < 0 || zone.Flaps < 0 {
			return nil, malformed(stored.Key, "zone %q", zone.Name)
		}
	}
	for i := range record.Loans {
		if loan := &record.Loans[i]; !loan.valid() {
			return nil, malformed(stored.Key, "loan of %q", loan.Lender)
		}
	}
	return &record, nil
}

func (l *LoanRow) valid() bool {
	validTask := l.Task >= 0 && l.Task < protocol.MaxTasks
	validLoss := l.LostSeconds >= 0 && !math.IsInf(l.LostSeconds, 0) // not true of NaN
	return protocol.ValidJobID(l.Lender) && protocol.ValidJobID(l.Borrower) && validTask && validLoss
}
