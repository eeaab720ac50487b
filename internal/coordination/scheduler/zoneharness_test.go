package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/fairshare"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
	"pinebay/internal/storage"
)

// zoneHarness drives a scheduler with zone failover through the loss and return of zone a, under the oracles of the
// recovery order and of loans.
type zoneHarness struct {
	*harness
	order       *zonefailover.RecoveryOrder
	silent      map[string]bool // machines whose heartbeats are lost
	incarnation map[string]uint64
	decisions   []zonefailover.Decision
	records     map[string]protocol.KeyValue // of zone failover, as stored
	orderOracle simulation.RecoveryOrderOracle
	loanOracle  *simulation.LoanOracle
	excluded    map[string]map[string]bool // machines that each job could not use in the last cycle
	unanswered  func(Write) bool           // writes that the state service does not answer yet
	nextSecond  []func()                   // answers of the cloud and of the state service that arrive after the cycle
}

func newZoneHarness(order *zonefailover.RecoveryOrder, teams ...config.Team) *zoneHarness {
	b := &zoneHarness{
		harness:     newHarness(teams, "a", "b"),
		order:       order,
		silent:      map[string]bool{},
		incarnation: map[string]uint64{},
		records:     map[string]protocol.KeyValue{},
		loanOracle:  simulation.NewLoanOracle(),
	}
	b.scheduler.cfg.Quota.CoreShare = 1
	b.scheduler.cfg.Workers.CancelSeconds = 12 // so that a loan that is never repaid is written off soon
	b.takeOver(5)
	return b
}

// addMachines adds empty machines, in both zones by turns.
func (b *zoneHarness) addMachines(n int) {
	for i := range n {
		name := fmt.Sprintf("m%02d", i)
		b.tasks[name] = map[protocol.TaskID]protocol.TaskStatus{}
		b.zoneOf[name] = []string{"a", "b"}[i%2]
	}
}

// takeOver begins a term of a new leader with what the last one recorded.
func (b *zoneHarness) takeOver(term uint64) {
	var pages []protocol.KeyValue
	for _, p := range b.records {
		pages = append(pages, p)
	}
	records := RecoveredRecords{
		MachineTypes:      []protocol.MachineType{*b.scheduler.machines.MachineType("g8")},
		ZoneFailoverPages: pages,
	}
	b.scheduler = New(b.now, Options{
		Config:        b.scheduler.cfg,
		Log:           b.scheduler.log,
		Term:          Term{Number: term, Revision: term},
		Records:       records,
		WallClockMS:   b.now.Milliseconds(),
		RecoveryOrder: b.order,
	})
}

// step gives an event to the scheduler and carries out its effects.
func (b *zoneHarness) step(e Event) {
	for _, out := range b.scheduler.Step(b.now, e) {
		switch o := out.(type) {
		case ZoneDecision:
			b.decisions = append(b.decisions, o.Decision)
		case Write:
			b.write(o)
		case SendCommandBatch:
			if b.silent[o.Machine] || b.tasks[o.Machine] == nil {
				b.step(CommandBatchResult{Machine: o.Machine})
				continue
			}
			b.executeCommands(o.Machine, o.Batch.FencingToken, o.Batch.Commands)
			b.step(CommandBatchResult{Machine: o.Machine, Acknowledged: true, Heartbeat: b.heartbeatOf(o.Machine)})
		case HeartbeatReply:
			machine, ok := o.ReplyTo.(string)
			if !ok {
				panic(fmt.Sprintf("reply to %v, which is no machine", o.ReplyTo))
			}
			b.executeCommands(machine, o.Body.FencingToken, o.Body.Commands)
		case CloudRequest:
			b.callCloud(o.Effect)
		}
	}
}

func (b *zoneHarness) callCloud(e autoscaler.Effect) {
	switch e := e.(type) {
	case autoscaler.ListMachines:
		b.after(MachinesListed{RequestedAt: b.now, Failed: true})
	case autoscaler.ScaleOut:
		b.after(ScaleOutResult{Request: e.Rental.RequestID, RequestedAt: b.now, Refused: true})
	case autoscaler.ScaleIn:
		for _, name := range e.Machines {
			b.removeMachine(name)
		}
		b.after(ScaleInResult{Machines: e.Machines, Succeeded: true})
	}
}

// after gives an event to the scheduler when the cycle is over.
func (b *zoneHarness) after(e Event) { b.nextSecond = append(b.nextSecond, func() { b.step(e) }) }

func (b *zoneHarness) removeMachine(name string) {
	delete(b.tasks, name)
	delete(b.silent, name)
}

// write carries out a transaction, unless the state service is out.
func (b *zoneHarness) write(w Write) {
	if b.unanswered != nil && b.unanswered(w) {
		b.nextSecond = append(b.nextSecond, func() { b.write(w) })
		return
	}
	b.revision++
	zone := false
	for _, op := range w.Txn.Then {
		if strings.HasPrefix(op.PutKey, storage.ZoneFailoverPrefix) {
			b.records[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: b.revision}
			zone = true
		}
		if strings.HasPrefix(op.DeleteKey, storage.ZoneFailoverPrefix) {
			delete(b.records, op.DeleteKey)
			zone = true
		}
	}
	if zone {
		b.loanOracle.CheckRecords(b.storedLoans(), b.lenderFacts)
	}
	b.step(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: b.revision})
}

func (b *zoneHarness) storedLoans() (rows []storage.LoanRow) {
	for _, p := range b.records {
		rec, err := storage.DecodeZoneFailover(p)
		if err != nil {
			continue // an unusable one, which must stay as it is
		}
		rows = append(rows, rec.Loans...)
	}
	return rows
}

// lenderFacts describes a loan's lender and borrower by the scheduler's state when the loan is recorded.
func (b *zoneHarness) lenderFacts(row storage.LoanRow) simulation.LenderObservation {
	lender, borrower := b.scheduler.jobs[row.Lender], b.scheduler.jobs[row.Borrower]
	return simulation.LenderObservation{
		LenderLevel:   lender.EffectivePriority,
		BorrowerLevel: borrower.EffectivePriority,
		ProtectedByQuota: fairshare.GuaranteeCovers(
			b.scheduler.cfg.Team(lender.Spec.Team),
			b.scheduler.machines.TeamUsage(lender.Spec.Team),
		),
	}
}

func (b *zoneHarness) heartbeatOf(name string) *protocol.WorkerHeartbeat {
	r := b.nextHeartbeat(name)
	r.Incarnation = max(1, b.incarnation[name])
	return r
}

// runSecond lets a second pass: heartbeats and images arrive, stopped tasks exit, and the scheduler runs a cycle, which
// the oracle of the recovery order checks.
func (b *zoneHarness) runSecond() {
	b.now += CycleInterval
	later := b.nextSecond
	b.nextSecond = nil
	for _, f := range later {
		f()
	}
	b.advanceTasks()
	for _, name := range b.machineNames() {
		if !b.silent[name] {
			b.step(HeartbeatReceived{ReplyTo: name, Heartbeat: b.heartbeatOf(name)})
		}
	}
	before := b.placedAttempts()
	used := map[string]machineregistry.Resources{
		"red":  b.scheduler.machines.TeamUsage("red"),
		"blue": b.scheduler.machines.TeamUsage("blue"),
	}
	b.excluded = b.excludedMachines() // some are free for another attempt once the cycle is over
	b.step(Tick{})
	if b.scheduler.zoneFailover.InFailover() {
		b.orderOracle.CheckCycle(b.startsSince(before, used), b.waitingJobs(), b.freeCapacities())
	}
}

func (b *zoneHarness) machineNames() (names []string) {
	for name := range b.tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// advanceTasks lets tasks run that fetch their image, and tasks exit that were told to stop.
func (b *zoneHarness) advanceTasks() {
	for name, tasks := range b.tasks {
		for id, t := range tasks {
			if _, stopped := b.stops[id]; stopped && t.State != protocol.TaskExited {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseStopped
				delete(b.stops, id)
			} else if t.State == protocol.TaskFetching && !b.silent[name] {
				t.State = protocol.TaskRunning
			}
			tasks[id] = t
		}
	}
}

type placedAttempt struct {
	id      protocol.TaskID
	attempt uint64
}

func (b *zoneHarness) placedAttempts() map[placedAttempt]bool {
	on := map[placedAttempt]bool{}
	for _, j := range b.scheduler.jobs {
		for _, pl := range j.Placements {
			on[placedAttempt{pl.Task, pl.Attempt}] = true
		}
	}
	return on
}

// startsSince returns the tasks placed since, given what teams used before. Those that fit into their team's guaranteed
// quota wait for no other team.
func (b *zoneHarness) startsSince(
	before map[placedAttempt]bool,
	used map[string]machineregistry.Resources,
) (starts []simulation.PlacedTask) {
	for _, j := range b.scheduler.jobs {
		team := used[j.Spec.Team]
		for _, pl := range j.SortedPlacements() {
			if !before[placedAttempt{pl.Task, pl.Attempt}] {
				team = team.Plus(pl.Resources)
				guaranteed := fairshare.GuaranteeCovers(b.scheduler.cfg.Team(pl.Team), team)
				starts = append(
					starts,
					simulation.PlacedTask{Job: b.recoveryJob(j), Machine: pl.Machine, WithinQuota: guaranteed},
				)
			}
		}
	}
	return starts
}

// waitingJobs returns the jobs that wait for capacity, but those that wait for something else: their team's quota
// limit, a record in flight, or the end of a cycle in which backfill is allowed.
func (b *zoneHarness) waitingJobs() (waiting []simulation.WaitingJob) {
	for _, j := range b.scheduler.jobs {
		allowed := b.scheduler.tasksWithinQuotaLimit(j)
		if !b.scheduler.placeableNow(b.now, j) || allowed == 0 {
			continue
		}
		backfills := j.UnschedulableCycles%(gangHoldCycles+1) == 0
		if j.Spec.Shape == protocol.Gang && (allowed < j.Spec.TaskCount || backfills) {
			continue
		}
		waiting = append(waiting, b.recoveryJob(j))
	}
	return waiting
}

// excludedMachines returns, for each job, the machines that still hold an earlier attempt of a pending task.
func (b *zoneHarness) excludedMachines() map[string]map[string]bool {
	excluded := map[string]map[string]bool{}
	for id, j := range b.scheduler.jobs {
		excluded[id] = map[string]bool{}
		b.scheduler.machines.Each(func(m *machineregistry.Machine) {
			for t := j.NextPending(0); t >= 0; t = j.NextPending(t + 1) {
				excluded[id][m.Name] = excluded[id][m.Name] || m.HasAttempt(protocol.TaskID{JobID: id, Index: t})
			}
		})
	}
	return excluded
}

func (b *zoneHarness) recoveryJob(j *jobstate.Job) simulation.WaitingJob {
	r := simulation.WaitingJob{
		ID:            j.Spec.ID,
		Position:      b.order.Position(j.Spec.Class, j.Spec.Team),
		PriorityLevel: j.EffectivePriority,
		Resources:     j.TaskResources,
		Tasks:         1,
		MaxPerZone:    map[string]int{},
	}
	if j.Spec.Shape == protocol.Gang {
		r.Tasks, r.SameZone = j.Spec.TaskCount, j.Spec.SameZone
	}
	r.ExcludedMachines = b.excluded[j.Spec.ID]
	l := placement.ZoneLimitsOf(j)
	for _, zone := range []string{"a", "b"} {
		if l.Allows(zone) {
			r.MaxPerZone[zone] = min(j.Spec.TaskCount, l.MaxTasksPerZone-l.TasksPerZone[zone])
		}
	}
	return r
}

func (b *zoneHarness) freeCapacities() map[string]simulation.FreeMachine {
	free := map[string]simulation.FreeMachine{}
	b.scheduler.machines.Each(func(m *machineregistry.Machine) {
		if b.scheduler.machines.Schedulable(b.now, m) && m.NominatedJob == "" {
			free[m.Name] = simulation.FreeMachine{Zone: m.Zone, Free: b.scheduler.machines.FreeCapacity(m)}
		}
	})
	return free
}

// loseZone makes the machines of zone a silent.
func (b *zoneHarness) loseZone() {
	for name, zone := range b.zoneOf {
		if zone == "a" && b.tasks[name] != nil {
			b.silent[name] = true
		}
	}
}

// restoreZone lets those of the silent machines be heard again that the function selects, with nothing on them.
func (b *zoneHarness) restoreZone(which func(i int) bool) {
	i := 0
	for _, name := range b.machineNames() {
		if !b.silent[name] {
			continue
		}
		if i++; which(i) {
			delete(b.silent, name)
			b.incarnation[name]++
			b.incarnation[name] = max(2, b.incarnation[name])
			b.tasks[name] = map[protocol.TaskID]protocol.TaskStatus{}
		}
	}
}

func (b *zoneHarness) describeDecisions() (lines []string) {
	for _, d := range b.decisions {
		lines = append(lines, d.Describe())
	}
	return lines
}

func (b *zoneHarness) runSeconds(n int) {
	for range n {
		b.runSecond()
	}
}

func countDecisions[D zonefailover.Decision](decisions []zonefailover.Decision) (n int) {
	for _, d := range decisions {
		if _, ok := d.(D); ok {
			n++
		}
	}
	return n
}

// submitRandomJobs submits a mixture of jobs that asks for so many GPUs in all.
func (b *zoneHarness) submitRandomJobs(t *rapid.T, gpus int) {
	for i := 0; gpus > 0; i++ {
		shape := rapid.SampledFrom([]protocol.Shape{protocol.Array, protocol.Array, protocol.Gang, protocol.Service}).
			Draw(t, "shape")
		prio := rapid.SampledFrom([]protocol.Priority{"critical", "urgent", "normal", "best_effort"}).Draw(t, "prio")
		j := jobSpec(
			fmt.Sprintf("j-%d", i),
			shape,
			prio,
			rapid.IntRange(1, 4).Draw(t, "tasks"),
			float64(rapid.IntRange(1, 8).Draw(t, "gpus")),
		)
		j.Class = rapid.SampledFrom([]string{"c", "d", "e"}).Draw(t, "class")
		j.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
		j.Spread = shape == protocol.Service && rapid.Bool().Draw(t, "spread")
		j.SameZone = shape == protocol.Gang && rapid.Bool().Draw(t, "same")
		if rapid.Bool().Draw(t, "saves") {
			j.CheckpointIntervalSeconds, j.SaveSeconds = 10, 2
		}
		gpus -= j.TaskCount * int(j.GPUs)
		b.step(
			JobAccepted{
				Record:   storage.LiveJobRecord{Job: j, AcceptedAtMS: b.now.Milliseconds()},
				Revision: uint64(i + 1),
			},
		)
	}
}

func (b *zoneHarness) submit(j protocol.Job) {
	b.revision++
	b.step(JobAccepted{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: b.now.Milliseconds()}, Revision: b.revision})
}

// runUntilLoan lets time pass until a loan is opened.
func (b *zoneHarness) runUntilLoan(t *testing.T) {
	t.Helper()
	for range 60 {
		b.runSecond()
		if countDecisions[zonefailover.LoanMade](b.decisions) > 0 {
			return
		}
	}
	t.Fatalf("no loan was made:\n%s", strings.Join(b.describeDecisions(), "\n"))
}

func (b *zoneHarness) loanOutcomes() (ends []zonefailover.LoanOutcome) {
	for _, d := range b.decisions {
		if e, ok := d.(zonefailover.LoanEnded); ok {
			ends = append(ends, e.Outcome)
		}
	}
	return ends
}

func (b *zoneHarness) requireOutcomes(t *testing.T, want zonefailover.LoanOutcome) {
	t.Helper()
	ends := b.loanOutcomes()
	if len(ends) == 0 || slices.ContainsFunc(ends, func(e zonefailover.LoanOutcome) bool { return e != want }) {
		t.Errorf("loans ended as %v, want %s:\n%s", ends, want, strings.Join(b.describeDecisions(), "\n"))
	}
	b.loanOracle.CheckAllClosed()
	if len(b.loanOracle.Violations) > 0 {
		t.Error(b.loanOracle.Violations[0])
	}
}
