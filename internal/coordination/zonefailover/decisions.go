package zonefailover

import (
	"fmt"
	"time"
)

// Decision is an event or action of zone failover that is reported to the log, with its reasons.
type Decision interface {
	// Describe returns a description of the decision for logs.
	Describe() string
	decision()
}

type (
	// ZoneChanged reports a state change of a zone.
	ZoneChanged struct{ Change }
	// RecoveryOrderInEffect reports the order in which work recovers.
	RecoveryOrderInEffect struct {
		Order string
		// ZoneCount is the number of zones. With a single zone, failover has nothing to do.
		ZoneCount int
	}
	// LoanOpened reports that a loan was opened.
	LoanOpened struct{ Loan }
	// LoanEnded reports the outcome of a loan.
	LoanEnded struct {
		Loan
		Outcome LoanOutcome
	}
	// MachineFenced reports that a machine of a lost zone is fenced because there is capacity elsewhere for the named
	// job's tasks. The termination proves that no task runs on the machine any more.
	MachineFenced struct {
		Machine, Zone, Job string
		LostFor            time.Duration
	}
	// RecordIgnored reports that a record, or one of its loans, cannot be used. Such loans count as ended.
	RecordIgnored struct{ Key, Reason string }
)

func (ZoneChanged) decision()           {}
func (RecoveryOrderInEffect) decision() {}
func (LoanOpened) decision()            {}
func (LoanEnded) decision()             {}
func (MachineFenced) decision()         {}
func (RecordIgnored) decision()         {}

// Describe implements Decision.
func (d ZoneChanged) Describe() string {
	return fmt.Sprintf(
		"zone %s was %s and is %s (%s), hold time on return %v",
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
func (d LoanOpened) Describe() string { return "loan " + d.String() }

// Describe implements Decision.
func (d LoanEnded) Describe() string { return fmt.Sprintf("loan %s: %s", d.Loan, d.Outcome) }

// Describe implements Decision.
func (d MachineFenced) Describe() string {
	return fmt.Sprintf("machine %s of zone %s, lost for %v, is fenced for job %s", d.Machine, d.Zone, d.LostFor, d.Job)
}

// Describe implements Decision.
func (d RecordIgnored) Describe() string {
	return fmt.Sprintf("record %s ignored, its loans count as ended: %s", d.Key, d.Reason)
}
