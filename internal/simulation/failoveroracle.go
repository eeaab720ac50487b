package simulation

import (
	"fmt"
	"maps"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/storage"
)

// FreeCapacity describes the zone and the free resources of a machine.
type FreeCapacity struct {
	Zone string
	Free machineregistry.Resources
}

// WaitingJob is a job that waits for capacity after the failure of a zone.
type WaitingJob struct {
	ID                      string
	Position, PriorityLevel int // position in the recovery order, and priority level among jobs of the same position
	Resources               machineregistry.Resources
	// Tasks is the number of tasks that must be placed together: 1 if tasks may start one by one.
	Tasks int
	// SameZone requires all tasks to be in one zone.
	SameZone bool
	// MaxPerZone is the number of tasks that may still be placed in each zone.
	MaxPerZone map[string]int
	// ExcludedMachines are machines that must not run the job because an earlier attempt of it ran there.
	ExcludedMachines map[string]bool
}

// before reports whether the job precedes another one in the recovery order.
func (j WaitingJob) before(o WaitingJob) bool {
	if j.Position != o.Position {
		return j.Position < o.Position
	}
	return j.PriorityLevel < o.PriorityLevel
}

// PlacedTask is a task that a scheduling cycle placed on a machine.
type PlacedTask struct {
	Job     WaitingJob
	Machine string
	// WithinQuota marks a task within the guaranteed quota of its team. Such a task may precede jobs that come earlier
	// in the recovery order.
	WithinQuota bool
}

// RecoveryOrderOracle checks that jobs are restarted in the recovery order: no task may use capacity that would allow
// an earlier job, which still waits, to start.
type RecoveryOrderOracle struct{ Violations []string }

// CheckCycle checks one scheduling cycle. placed are the tasks that it placed, waiting the jobs that still wait after
// it, and machines the free resources after it, by machine name.
func (o *RecoveryOrderOracle) CheckCycle(placed []PlacedTask, waiting []WaitingJob, machines map[string]FreeCapacity) {
	for _, job := range waiting {
		withoutLaterJobs := maps.Clone(machines) // free resources if later jobs had not been placed
		placedInstead := ""
		for _, task := range placed {
			if machine, ok := withoutLaterJobs[task.Machine]; ok && job.before(task.Job) && !task.WithinQuota {
				machine.Free = machine.Free.Plus(task.Job.Resources)
				withoutLaterJobs[task.Machine] = machine
				placedInstead = task.Job.ID
			}
		}
		if placedInstead != "" && job.fits(withoutLaterJobs) && !job.fits(machines) {
			o.Violations = append(
				o.Violations,
				fmt.Sprintf("%s waits, and later job %s got its capacity", job.ID, placedInstead),
			)
		}
	}
}

// fits reports whether the tasks of the job fit into the free resources of the machines.
func (j WaitingJob) fits(machines map[string]FreeCapacity) bool {
	perZone := map[string]int{}
	for name, machine := range machines {
		if j.ExcludedMachines[name] {
			continue
		}
		free, limit := machine.Free, min(j.MaxPerZone[machine.Zone], j.Tasks)
		for j.Resources.Fits(free) && perZone[machine.Zone] < limit {
			free = free.Minus(j.Resources)
			perZone[machine.Zone]++
		}
	}
	total := 0
	for _, n := range perZone {
		if j.SameZone && n >= j.Tasks {
			return true
		}
		total += n
	}
	return !j.SameZone && total >= j.Tasks
}

// LenderObservation describes the lender and the borrower of a loan when the loan is first recorded.
type LenderObservation struct {
	LenderLevel, BorrowerLevel int // priority levels; a higher number is a lower priority, and 0 is critical
	// ProtectedByQuota is set if the lender's task is within the guaranteed quota of its team and must not be lent.
	ProtectedByQuota bool
}

// LoanOracle checks the loan records of zone failover. In a loan, a lender's task is stopped so that its resources go
// to a borrower of higher priority. No task attempt may be lent twice, no protected task may be lent, and every loan
// must end.
type LoanOracle struct {
	Violations    []string
	LoanCount     int
	LostSeconds   float64 // work that lenders lost, in seconds
	open          map[taskAttempt]storage.LoanRow
	firstRecorded map[taskAttempt]loanNumber
}

// loanNumber identifies a loan by the term of the leader that recorded it and its number within that term.
type loanNumber [2]uint64

// taskAttempt identifies an attempt of a lender's task.
type taskAttempt struct {
	job     string
	task    int
	attempt uint64
}

// NewLoanOracle returns an oracle without any recorded loans.
func NewLoanOracle() *LoanOracle {
	return &LoanOracle{open: map[taskAttempt]storage.LoanRow{}, firstRecorded: map[taskAttempt]loanNumber{}}
}

// CheckRecords checks the loans that are currently recorded. It must be called with all of them each time. observe
// describes the lender and the borrower of a loan and is called once for each new loan.
func (o *LoanOracle) CheckRecords(rows []storage.LoanRow, observe func(storage.LoanRow) LenderObservation) {
	current := map[taskAttempt]storage.LoanRow{}
	for _, row := range rows {
		task := taskAttempt{row.Lender, row.Task, row.Attempt}
		if _, duplicate := current[task]; duplicate {
			o.addViolation("lent twice at the same time: %+v", row)
		}
		current[task] = row
		number := loanNumber{row.Term, row.Number}
		if known, ok := o.firstRecorded[task]; ok {
			o.checkRepeatedLoan(row, known, task)
			if known == number {
				continue
			}
		}
		o.firstRecorded[task] = number
		o.LoanCount++
		o.LostSeconds += row.LostSeconds
		lender := observe(row)
		if lender.LenderLevel <= lender.BorrowerLevel || lender.LenderLevel == 0 || lender.ProtectedByQuota {
			o.addViolation("loan of a protected lender: %+v, %+v", row, lender)
		}
	}
	o.open = current
}

// checkRepeatedLoan checks a loan of a task attempt that was lent before, in the loan with the number known. Only a
// leader of a later term may lend the attempt again, because the earlier leader may have ended before it used the loan.
// If the earlier leader had used the loan, the attempt would have been stopped and would never run again.
func (o *LoanOracle) checkRepeatedLoan(row storage.LoanRow, known loanNumber, task taskAttempt) {
	_, open := o.open[task]
	switch same := known == (loanNumber{row.Term, row.Number}); {
	case same && !open:
		o.addViolation("loan recorded again after its end: %+v", row)
	case !same && row.Term <= known[0]:
		o.addViolation("lent twice: %+v, first in loan %v", row, known)
	}
}

// CheckAllClosed checks that no loan is open.
func (o *LoanOracle) CheckAllClosed() {
	for _, row := range o.open {
		o.addViolation("loan was never closed: %+v", row)
	}
}

func (o *LoanOracle) addViolation(format string, args ...any) {
	o.Violations = append(o.Violations, fmt.Sprintf(format, args...))
}
