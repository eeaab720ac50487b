package simulation

import (
	"fmt"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/storage"
)

// ReturnRoom is what is free on a machine.
type ReturnRoom struct {
	Zone string
	Free partition.Need
}

// ReturnJob is a job in the order of return.
type ReturnJob struct {
	ID              string
	Position, Level int
	Need            partition.Need
	// Tasks must be placed together; 1 for a job whose tasks start one by one.
	Tasks int
	// SameZone says that they must be in one zone.
	SameZone bool
	// PerZone is how many tasks of it each zone may still take.
	PerZone map[string]int
	// Barred are machines that must not have it, as an earlier attempt of it was there.
	Barred map[string]bool
}

// before says whether a job comes before another in the order of return.
func (j ReturnJob) before(o ReturnJob) bool {
	if j.Position != o.Position {
		return j.Position < o.Position
	}
	return j.Level < o.Level
}

// ReturnStart is a task that was placed.
type ReturnStart struct {
	Job     ReturnJob
	Machine string
	// Guaranteed: its team runs it within its guarantee, and so waits for nobody.
	Guaranteed bool
}

// OrderOracle checks that work returns in the order that was stated: nothing starts in room
// that a job before it could take.
type OrderOracle struct{ Broken []string }

// Cycle checks one scheduling cycle: what was placed, which jobs still wait, and the room that
// is free after it.
func (o *OrderOracle) Cycle(starts []ReturnStart, waiting []ReturnJob, rooms map[string]ReturnRoom) {
	for _, w := range waiting {
		free := map[string]ReturnRoom{}
		for name, room := range rooms {
			free[name] = room
		}
		taken := ""
		for _, s := range starts {
			if room, ok := free[s.Machine]; ok && w.before(s.Job) && !s.Guaranteed {
				room.Free = room.Free.Plus(s.Job.Need)
				free[s.Machine] = room
				taken = s.Job.ID
			}
		}
		if taken != "" && w.fits(free) && !w.fits(rooms) {
			o.Broken = append(o.Broken, fmt.Sprintf("%s waits, and %s was placed in its room", w.ID, taken))
		}
	}
}

// fits says whether the job's tasks fit into the rooms.
func (j ReturnJob) fits(rooms map[string]ReturnRoom) bool {
	perZone := map[string]int{}
	for name, room := range rooms {
		free := room.Free
		for !j.Barred[name] && j.Need.Fits(free) && perZone[room.Zone] < min(j.PerZone[room.Zone], j.Tasks) {
			free = free.Minus(j.Need)
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

// LenderFacts is what the rules on lending ask of a lender, when a loan of it is first seen.
type LenderFacts struct {
	LenderLevel, BorrowerLevel int
	// Protected: its team runs the lender's task within its guarantee.
	Protected bool
}

// LoanOracle checks the records of loans: nothing is lent twice, nobody lends who must not,
// and every loan ends.
type LoanOracle struct {
	Broken []string
	Seen   int
	LostS  float64 // work that lenders lost, in seconds
	open   map[lentTask]storage.LoanRow
	ever   map[lentTask][2]uint64
}

type lentTask struct {
	job     string
	task    int
	attempt uint64
}

// NewLoanOracle returns an oracle that has seen nothing.
func NewLoanOracle() *LoanOracle {
	return &LoanOracle{open: map[lentTask]storage.LoanRow{}, ever: map[lentTask][2]uint64{}}
}

// Records takes in all loans that are recorded now. facts tells of the lender of a new one.
func (o *LoanOracle) Records(rows []storage.LoanRow, facts func(storage.LoanRow) LenderFacts) {
	now := map[lentTask]storage.LoanRow{}
	for _, row := range rows {
		task := lentTask{row.Lender, row.Task, row.Attempt}
		if _, twice := now[task]; twice {
			o.broken("lent twice at a time: %+v", row)
		}
		now[task] = row
		number := [2]uint64{row.Term, row.Number}
		if known, ok := o.ever[task]; ok {
			o.again(row, known, task)
			if known == number {
				continue
			}
		}
		o.ever[task] = number
		o.Seen++
		o.LostS += row.LostS
		if f := facts(row); f.LenderLevel <= f.BorrowerLevel || f.LenderLevel == 0 || f.Protected {
			o.broken("a protected lender: %+v, %+v", row, f)
		}
	}
	o.open = now
}

// again checks a loan of an attempt that has lent before. Only a leader of a later term may lend
// it again, when the earlier one ended before it took the loan: what was taken is stopped, and
// its attempt never runs again.
func (o *LoanOracle) again(row storage.LoanRow, known [2]uint64, task lentTask) {
	_, open := o.open[task]
	switch same := known == [2]uint64{row.Term, row.Number}; {
	case same && !open:
		o.broken("opened again after its end: %+v", row)
	case !same && row.Term <= known[0]:
		o.broken("lent twice: %+v, first as %v", row, known)
	}
}

// Calm demands that all loans have ended.
func (o *LoanOracle) Calm() {
	for _, row := range o.open {
		o.broken("never closed: %+v", row)
	}
}

func (o *LoanOracle) broken(format string, args ...any) {
	o.Broken = append(o.Broken, fmt.Sprintf(format, args...))
}
