package simulation

import (
	"fmt"
	"maps"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/storage"
)

// FreeMachine is the free capacity of a machine.
type FreeMachine struct {
	Zone string
	Free machineregistry.Resources
}

// WaitingJob is a job that waits for capacity after the failure of a zone.
type WaitingJob struct {
	ID                      string
	Position, PriorityLevel int // in the recovery order
	Resources               machineregistry.Resources
	// Tasks is the number of tasks that must be placed together, and 1 if they start one by one.
	Tasks int
	// SameZone says that all tasks must be in one zone.
	SameZone bool
	// MaxPerZone is the number of tasks that may still be placed in each zone.
	MaxPerZone map[string]int
	// ExcludedMachines must not get the job, because of an earlier attempt of it there.
	ExcludedMachines map[string]bool
}

// before reports whether a job comes before another one in the recovery order.
func (j WaitingJob) before(o WaitingJob) bool {
	if j.Position != o.Position {
		return j.Position < o.Position
	}
	return j.PriorityLevel < o.PriorityLevel
}

// PlacedTask is a task that was placed.
type PlacedTask struct {
	Job     WaitingJob
	Machine string
	// WithinQuota says that the task is within the guaranteed quota of its team, and so need not wait for other jobs.
	WithinQuota bool
}

// RecoveryOrderOracle checks that jobs are restarted in the recovery order: no task is placed in capacity that a job
// before it could use.
type RecoveryOrderOracle struct{ Violations []string }

// CheckCycle checks one scheduling cycle: the tasks that were placed, the jobs that still wait, and the capacity that
// is free after the cycle.
func (o *RecoveryOrderOracle) CheckCycle(placed []PlacedTask, waiting []WaitingJob, machines map[string]FreeMachine) {
	for _, job := range waiting {
		before := maps.Clone(machines) // without the tasks that should have waited
		usedBy := ""
		for _, task := range placed {
			if machine, ok := before[task.Machine]; ok && job.before(task.Job) && !task.WithinQuota {
				machine.Free = machine.Free.Plus(task.Job.Resources)
				before[task.Machine] = machine
				usedBy = task.Job.ID
			}
		}
		if usedBy != "" && job.fits(before) && !job.fits(machines) {
			o.Violations = append(o.Violations, fmt.Sprintf("%s waits, and %s was placed in its room", job.ID, usedBy))
		}
	}
}

// fits reports whether the job's tasks fit on the machines.
func (j WaitingJob) fits(machines map[string]FreeMachine) bool {
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

// LenderObservation is what is known of a lender when a loan of it is first recorded.
type LenderObservation struct {
	LenderLevel, BorrowerLevel int // priority levels
	// ProtectedByQuota says that the lender's task is within the guaranteed quota of its team.
	ProtectedByQuota bool
}

// LoanOracle checks the records of loans: no task attempt is lent twice, no protected lender lends, and every loan
// ends.
type LoanOracle struct {
	Violations    []string
	LoanCount     int
	LostSeconds   float64 // of work that lenders lost
	open          map[taskAttempt]storage.LoanRow
	firstRecorded map[taskAttempt]loanNumber
}

// loanNumber identifies a loan by the term of its leader and its number within the term.
type loanNumber [2]uint64

// taskAttempt identifies an attempt of a lender's task.
type taskAttempt struct {
	job     string
	task    int
	attempt uint64
}

// NewLoanOracle returns an oracle that has seen no records.
func NewLoanOracle() *LoanOracle {
	return &LoanOracle{open: map[taskAttempt]storage.LoanRow{}, firstRecorded: map[taskAttempt]loanNumber{}}
}

// CheckRecords checks all loans that are recorded now. observe returns what is known of the lender of a new loan.
func (o *LoanOracle) CheckRecords(rows []storage.LoanRow, observe func(storage.LoanRow) LenderObservation) {
	now := map[taskAttempt]storage.LoanRow{}
	for _, row := range rows {
		task := taskAttempt{row.Lender, row.Task, row.Attempt}
		if _, twice := now[task]; twice {
			o.addViolation("lent twice at a time: %+v", row)
		}
		now[task] = row
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
			o.addViolation("a protected lender: %+v, %+v", row, lender)
		}
	}
	o.open = now
}

// checkRepeatedLoan checks a loan of an attempt that has lent before. Only a leader of a later term may lend it again,
// if the earlier leader ended before it used the loan: otherwise the attempt was stopped, and never runs again.
func (o *LoanOracle) checkRepeatedLoan(row storage.LoanRow, known loanNumber, task taskAttempt) {
	_, open := o.open[task]
	switch same := known == (loanNumber{row.Term, row.Number}); {
	case same && !open:
		o.addViolation("opened again after its end: %+v", row)
	case !same && row.Term <= known[0]:
		o.addViolation("lent twice: %+v, first as %v", row, known)
	}
}

// CheckAllClosed checks that all loans have ended.
func (o *LoanOracle) CheckAllClosed() {
	for _, row := range o.open {
		o.addViolation("never closed: %+v", row)
	}
}

func (o *LoanOracle) addViolation(format string, args ...any) {
	o.Violations = append(o.Violations, fmt.Sprintf(format, args...))
}
