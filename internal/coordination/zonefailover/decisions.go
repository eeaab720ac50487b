package zonefailover

import (
	"fmt"
	"time"
)

// Decision is something that was decided because of a zone, with its reasons.
type Decision interface {
	// Describe returns the decision in words, for logs.
	Describe() string
	decision()
}

type (
	// ZoneChanged says that a zone has changed its state.
	ZoneChanged struct{ Change }
	// RecoveryOrderInEffect says in which order work recovers.
	RecoveryOrderInEffect struct {
		Order string
		// ZoneCount is how many zones there are; with a single one there is nothing to do.
		ZoneCount int
	}
	// LoanMade says that a loan was opened.
	LoanMade struct{ Loan }
	// LoanEnded says how a loan has ended.
	LoanEnded struct {
		Loan
		Outcome LoanOutcome
	}
	// MachineFenced says that a machine of a lost zone is terminated, which proves its tasks gone, since there is
	// capacity elsewhere for those of the named job.
	MachineFenced struct {
		Machine, Zone, Job string
		LostFor            time.Duration
	}
	// RecordIgnored says that a record, or a loan of it, cannot be used. What it holds counts as ended.
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
		return "recovery order: " + d.Order + "; a single zone, nothing to do"
	}
	return "recovery order: " + d.Order
}

// Describe implements Decision.
func (d LoanMade) Describe() string { return "loan " + d.String() }

// Describe implements Decision.
func (d LoanEnded) Describe() string { return fmt.Sprintf("loan %s: %s", d.Loan, d.Outcome) }

// Describe implements Decision.
func (d MachineFenced) Describe() string {
	return fmt.Sprintf("machine %s of zone %s, lost for %v, is fenced for job %s", d.Machine, d.Zone, d.LostFor, d.Job)
}

// Describe implements Decision.
func (d RecordIgnored) Describe() string {
	return fmt.Sprintf("record %s is ignored, its loans count as ended: %s", d.Key, d.Reason)
}
