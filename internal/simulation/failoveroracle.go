package simulation

import (
	"fmt"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/storage"
)

// FreeMachine is what is free on a machine.
type FreeMachine struct {
	Zone string
	Free machineregistry.Resources
}

// WaitingJob is a job in the order of return.
type WaitingJob struct {
	ID                      string
	Position, PriorityLevel int
	Resources               machineregistry.Resources
	// Tasks must be placed together; 1 for a job whose tasks start one by one.
	Tasks int
	// SameZone says that they must be in one zone.
	SameZone bool
	// MaxPerZone is how many tasks of it each zone may still take.
	MaxPerZone map[string]int
	// ExcludedMachines are machines that must not have it, as an earlier attempt of it was there.
	ExcludedMachines map[string]bool
}

// before says whether a job comes before another in the order of return.
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
	// WithinQuota: its team runs it within its guarantee, and so waits for nobody.
	WithinQuota bool
}

// RecoveryOrderOracle checks that work returns in the order that was stated: nothing starts in room
// that a job before it could take.
type RecoveryOrderOracle struct{ Violations []string }

// CheckCycle checks one scheduling cycle: what was placed, which jobs still wait, and the room that
// is free after it.
func (o *RecoveryOrderOracle) CheckCycle(starts []PlacedTask, waiting []WaitingJob, rooms map[string]FreeMachine) {
	for _, w := range waiting {
		free := map[string]FreeMachine{}
		for name, room := range rooms {
			free[name] = room
		}
		taken := ""
		for _, s := range starts {
			if room, ok := free[s.Machine]; ok && w.before(s.Job) && !s.WithinQuota {
				room.Free = room.Free.Plus(s.Job.Resources)
				free[s.Machine] = room
				taken = s.Job.ID
			}
		}
		if taken != "" && w.fits(free) && !w.fits(rooms) {
			o.Violations = append(o.Violations, fmt.Sprintf("%s waits, and %s was placed in its room", w.ID, taken))
		}
	}
}

// fits says whether the job's tasks fit into the rooms.
func (j WaitingJob) fits(rooms map[string]FreeMachine) bool {
	perZone := map[string]int{}
	for name, room := range rooms {
		free := room.Free
		for !j.ExcludedMachines[name] && j.Resources.Fits(free) && perZone[room.Zone] < min(j.MaxPerZone[room.Zone], j.Tasks) {
			free = free.Minus(j.Resources)
			perZone[room.Zone]++
		}
	}
	all := 0
	for _, n := range perZone {
		if j.SameZone && n >= j.Tasks {
			return true
		}
		all += n
	}
	return !j.SameZone && all >= j.Tasks
}

// LenderObservation is what the rules on lending ask of a lender, when a loan of it is first seen.
type LenderObservation struct {
	LenderLevel, BorrowerLevel int
	// ProtectedByQuota: its team runs the lender's task within its guarantee.
	ProtectedByQuota bool
}

// LoanOracle checks the records of loans: nothing is lent twice, nobody lends who must not,
// and every loan ends.
type LoanOracle struct {
	Violations    []string
	LoanCount     int
	LostSeconds   float64 // work that lenders lost, in seconds
	open          map[taskAttempt]storage.LoanRow
	firstRecorded map[taskAttempt][2]uint64
}

type taskAttempt struct {
	job     string
	task    int
	attempt uint64
}

// NewLoanOracle returns an oracle that has seen nothing.
func NewLoanOracle() *LoanOracle {
	return &LoanOracle{open: map[taskAttempt]storage.LoanRow{}, firstRecorded: map[taskAttempt][2]uint64{}}
}

// CheckRecords takes in all loans that are recorded now. facts tells of the lender of a new one.
func (o *LoanOracle) CheckRecords(rows []storage.LoanRow, facts func(storage.LoanRow) LenderObservation) {
	now := map[taskAttempt]storage.LoanRow{}
	for _, row := range rows {
		task := taskAttempt{row.Lender, row.Task, row.Attempt}
		if _, twice := now[task]; twice {
			o.addViolation("lent twice at a time: %+v", row)
		}
		now[task] = row
		number := [2]uint64{row.Term, row.Number}
		if known, ok := o.firstRecorded[task]; ok {
			o.checkRepeatedLoan(row, known, task)
			if known == number {
				continue
			}
		}
		o.firstRecorded[task] = number
		o.LoanCount++
		o.LostSeconds += row.LostSeconds
		if f := facts(row); f.LenderLevel <= f.BorrowerLevel || f.LenderLevel == 0 || f.ProtectedByQuota {
			o.addViolation("a protected lender: %+v, %+v", row, f)
		}
	}
	o.open = now
}

// checkRepeatedLoan checks a loan of an attempt that has lent before. Only a leader of a later term may lend
// it again, when the earlier one ended before it took the loan: what was taken is stopped, and
// its attempt never runs again.
func (o *LoanOracle) checkRepeatedLoan(row storage.LoanRow, known [2]uint64, task taskAttempt) {
	_, open := o.open[task]
	switch same := known == [2]uint64{row.Term, row.Number}; {
	case same && !open:
		o.addViolation("opened again after its end: %+v", row)
	case !same && row.Term <= known[0]:
		o.addViolation("lent twice: %+v, first as %v", row, known)
	}
}

// CheckAllClosed demands that all loans have ended.
func (o *LoanOracle) CheckAllClosed() {
	for _, row := range o.open {
		o.addViolation("never closed: %+v", row)
	}
}

func (o *LoanOracle) addViolation(format string, args ...any) {
	o.Violations = append(o.Violations, fmt.Sprintf(format, args...))
}
