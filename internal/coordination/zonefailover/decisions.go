package zonefailover

import (
	"fmt"
	"time"
)

// Decision is something that was decided because of a zone, with its reasons. Logs, tests
// and operators' commands read the same values.
type Decision interface {
	// Describe returns the decision in words, for logs.
	Describe() string
	decision()
}

type (
	// ZoneChanged says that a zone's state was judged anew.
	ZoneChanged struct{ Change }
	// RecoveryOrderInEffect says in which order work returns.
	RecoveryOrderInEffect struct {
		Order string
		// ZoneCount is how many zones there are; with a single one there is nothing to do.
		ZoneCount int
	}
	// LoanMade says that room was lent.
	LoanMade struct{ Loan }
	// LoanEnded says how a loan ended.
	LoanEnded struct {
		Loan
		Outcome LoanOutcome
	}
	// MachineFenced says that a machine of a lost zone is returned, since only that proves
	// its tasks gone, and that there is room elsewhere for those of the named job.
	MachineFenced struct {
		Machine, Zone, Job string
		LostFor            time.Duration
	}
	// RecordIgnored says that a record could not be used; its loans count as ended.
	RecordIgnored struct{ Key, Reason string }
)

func (ZoneChanged) decision()           {}
func (RecoveryOrderInEffect) decision() {}
func (LoanMade) decision()              {}
func (LoanEnded) decision()             {}
func (MachineFenced) decision()         {}
func (RecordIgnored) decision()         {}

// Describe implements Decision.
func (d ZoneChanged) Describe() string {
	return fmt.Sprintf(
		"zone %s was %s and is %s (%s), watched for %v on its return",
		d.Zone,
		d.From,
		d.To,
		d.Evidence,
		d.Hold,
	)
}

// Describe implements Decision.
func (d RecoveryOrderInEffect) Describe() string {
	if d.ZoneCount < 2 {
		return "order of return: " + d.Order + "; a single zone, nothing to do"
	}
	return "order of return: " + d.Order
}

// Describe implements Decision.
func (d LoanMade) Describe() string { return "loan " + d.Loan.String() }

// Describe implements Decision.
func (d LoanEnded) Describe() string { return fmt.Sprintf("loan %s: %s", d.Loan, d.Outcome) }

// Describe implements Decision.
func (d MachineFenced) Describe() string {
	return fmt.Sprintf("machine %s of zone %s, lost for %v, is returned for %s", d.Machine, d.Zone, d.LostFor, d.Job)
}

// Describe implements Decision.
func (d RecordIgnored) Describe() string {
	return fmt.Sprintf("record %s is left alone, its loans count as ended: %s", d.Key, d.Reason)
}
