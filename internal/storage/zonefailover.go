package storage

import (
	"fmt"
	"math"

	"pinebay/internal/protocol"
)

// ZoneFailoverPrefix is the prefix of the keys of the zone failover pages.
const ZoneFailoverPrefix = "zone-return/"

// ZoneFailoverKey returns the key of a zone failover page.
func ZoneFailoverKey(page int) string { return fmt.Sprintf("%s%04d", ZoneFailoverPrefix, page) }

// ZoneFailoverFormat is the page format that this version reads and writes.
const ZoneFailoverFormat = 1

// ZoneFailoverRecord is a page with open loans of capacity. The first page also contains the states of the zones.
type ZoneFailoverRecord struct {
	Format    int       `msgpack:"v"`
	WriteName string    `msgpack:"w"`
	Zones     []ZoneRow `msgpack:"z,omitempty"`
	Loans     []LoanRow `msgpack:"l,omitempty"`
}

// ZoneRow is the state of a zone. It is encoded as an array.
type ZoneRow struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	State    int
	SinceMS  int64 // Unix time in milliseconds
	Flaps    int   // number of relapses that have not decayed yet
}

// LoanRow is an open loan of a task's capacity to a job. It is encoded as an array.
type LoanRow struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack     struct{} `msgpack:",as_array"`
	Term, Number uint64
	Lender       string
	Task         int
	Attempt      uint64
	Borrower     string
	Machine      string
	Zone         string
	LostSeconds  float64 // work that the lender loses
	CreatedMS    int64   // Unix time in milliseconds
	ExpiresMS    int64   // Unix time in milliseconds
}

// loanBytes is an upper bound of the size of a stored loan with names of usual length, in JSON, the encoding in which
// the store measures values against its limits.
const loanBytes = 256

// LoansPerPage returns the number of loans on a page. A full page is well within the value limit.
func LoansPerPage(valueKB float64) int {
	return max(1, int(valueKB*BytesPerKiB*pageFillShare/loanBytes))
}

// DecodeZoneFailover decodes and validates a page.
func DecodeZoneFailover(stored protocol.KeyValue) (*ZoneFailoverRecord, error) {
	if err := checkFormat(stored.Key, stored.Value, ZoneFailoverFormat); err != nil {
		return nil, err
	}
	var record ZoneFailoverRecord
	if err := protocol.Decode(stored.Value, &record); err != nil {
		return nil, decodeError(stored.Key, err)
	}
	for _, zone := range record.Zones {
		if zone.Name == "" || zone.State < 0 || zone.Flaps < 0 {
			return nil, malformed(stored.Key, "invalid zone %q", zone.Name)
		}
	}
	for i := range record.Loans {
		if loan := &record.Loans[i]; !loan.valid() {
			return nil, malformed(stored.Key, "invalid loan from job %q", loan.Lender)
		}
	}
	return &record, nil
}

func (l *LoanRow) valid() bool {
	validTask := l.Task >= 0 && l.Task < protocol.MaxTasks
	validLoss := l.LostSeconds >= 0 && !math.IsInf(l.LostSeconds, 0) // false for NaN
	return protocol.ValidJobID(l.Lender) && protocol.ValidJobID(l.Borrower) && validTask && validLoss
}
