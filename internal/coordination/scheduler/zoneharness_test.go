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

// zoneHarness drives a scheduler with zone failover through the loss and return of zone a. Oracles check the recovery
// order and the loans.
type zoneHarness struct {
	*harness
	order          *zonefailover.RecoveryOrder
	unreachable    map[string]bool // machines whose heartbeats do not arrive
	incarnation    map[string]uint64
	decisions      []zonefailover.Decision
	records        map[string]protocol.KeyValue // stored records of zone failover
	orderOracle    simulation.RecoveryOrderOracle
	loanOracle     *simulation.LoanOracle
	excluded       map[string]map[string]bool // by job, machines that it could not use in the last cycle
	unanswered     func(Write) bool           // selects writes that the key-value store does not answer yet
	delayedAnswers []func()                   // answers of the cloud and the store that arrive after the cycle
}

func newZoneHarness(order *zonefailover.RecoveryOrder, teams ...config.Team) *zoneHarness {
	h := &zoneHarness{
		harness:     newHarness(teams, "a", "b"),
		order:       order,
		unreachable: map[string]bool{},
		incarnation: map[string]uint64{},
		records:     map[string]protocol.KeyValue{},
		loanOracle:  simulation.NewLoanOracle(),
	}
	h.scheduler.cfg.Quota.CoreShare = 1
	h.scheduler.cfg.Workers.CancelSeconds = 12 // loans that are never repaid are written off after a short time
	h.startTerm(5)
	return h
}

// addMachines adds empty machines, alternating between the two zones.
func (h *zoneHarness) addMachines(n int) {
	for i := range n {
		name := fmt.Sprintf("m%02d", i)
		h.tasks[name] = map[protocol.TaskID]protocol.TaskStatus{}
		h.zoneOf[name] = []string{"a", "b"}[i%2]
	}
}

// startTerm starts the term of a new leader, which recovers the stored records of zone failover.
func (h *zoneHarness) startTerm(term uint64) {
	var pages []protocol.KeyValue
	for _, p := range h.records {
		pages = append(pages, p)
	}
	records := RecoveredRecords{
		MachineTypes:      []protocol.MachineType{*h.scheduler.machines.MachineType("g8")},
		ZoneFailoverPages: pages,
	}
	h.scheduler = New(h.now, Options{
		Config:        h.scheduler.cfg,
		Log:           h.scheduler.log,
		Term:          Term{Number: term, Revision: term},
		Records:       records,
		WallClockMS:   h.now.Milliseconds(),
		RecoveryOrder: h.order,
	})
}

// step passes an event to the scheduler and carries out the resulting effects.
func (h *zoneHarness) step(e Event) {
	for _, out := range h.scheduler.Step(h.now, e) {
		switch o := out.(type) {
		case ZoneDecision:
			h.decisions = append(h.decisions, o.Decision)
		case Write:
			h.write(o)
		case SendCommandBatch:
			if h.unreachable[o.Machine] || h.tasks[o.Machine] == nil {
				h.step(CommandBatchResult{Machine: o.Machine})
				continue
			}
			h.executeCommands(o.Machine, o.Batch.FencingToken, o.Batch.Commands)
			h.step(CommandBatchResult{Machine: o.Machine, Acknowledged: true, Heartbeat: h.heartbeatOf(o.Machine)})
		case HeartbeatReply:
			machine, ok := o.ReplyTo.(string)
			if !ok {
				panic(fmt.Sprintf("reply to %v, which is not a machine", o.ReplyTo))
			}
			h.executeCommands(machine, o.Body.FencingToken, o.Body.Commands)
		case CloudRequest:
			h.callCloud(o.Effect)
		}
	}
}

func (h *zoneHarness) callCloud(e autoscaler.Effect) {
	switch e := e.(type) {
	case autoscaler.ListMachines:
		h.deliverAfterCycle(MachinesListed{RequestedAt: h.now, Failed: true})
	case autoscaler.ScaleOut:
		h.deliverAfterCycle(ScaleOutResult{Request: e.Rental.RequestID, RequestedAt: h.now, Refused: true})
	case autoscaler.ScaleIn:
		for _, name := range e.Machines {
			h.removeMachine(name)
		}
		h.deliverAfterCycle(ScaleInResult{Machines: e.Machines, Succeeded: true})
	}
}

// deliverAfterCycle passes an event to the scheduler after the current cycle.
func (h *zoneHarness) deliverAfterCycle(e Event) {
	h.delayedAnswers = append(h.delayedAnswers, func() { h.step(e) })
}

func (h *zoneHarness) removeMachine(name string) {
	delete(h.tasks, name)
	delete(h.unreachable, name)
}

// write commits a transaction, or keeps it for the next second if the key-value store does not answer yet.
func (h *zoneHarness) write(w Write) {
	if h.unanswered != nil && h.unanswered(w) {
		h.delayedAnswers = append(h.delayedAnswers, func() { h.write(w) })
		return
	}
	h.revision++
	zone := false
	for _, op := range w.Txn.Then {
		if strings.HasPrefix(op.PutKey, storage.ZoneFailoverPrefix) {
			h.records[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: h.revision}
			zone = true
		}
		if strings.HasPrefix(op.DeleteKey, storage.ZoneFailoverPrefix) {
			delete(h.records, op.DeleteKey)
			zone = true
		}
	}
	if zone {
		h.loanOracle.CheckRecords(h.storedLoans(), h.lenderObservation)
	}
	h.step(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: h.revision})
}

func (h *zoneHarness) storedLoans() (rows []storage.LoanRow) {
	for _, p := range h.records {
		rec, err := storage.DecodeZoneFailover(p)
		if err != nil {
			continue // unusable records must stay unchanged
		}
		rows = append(rows, rec.Loans...)
	}
	return rows
}

// lenderObservation describes the lender and the borrower of a loan by the state of the scheduler when the loan is
// recorded.
func (h *zoneHarness) lenderObservation(row storage.LoanRow) simulation.LenderObservation {
	lender, borrower := h.scheduler.jobs[row.Lender], h.scheduler.jobs[row.Borrower]
	return simulation.LenderObservation{
		LenderLevel:   lender.EffectivePriority,
		BorrowerLevel: borrower.EffectivePriority,
		ProtectedByQuota: fairshare.GuaranteeCovers(
			h.scheduler.cfg.Team(lender.Spec.Team),
			h.scheduler.machines.TeamUsage(lender.Spec.Team),
		),
	}
}

func (h *zoneHarness) heartbeatOf(name string) *protocol.WorkerHeartbeat {
	heartbeat := h.nextHeartbeat(name)
	heartbeat.Incarnation = max(1, h.incarnation[name])
	return heartbeat
}

// runSecond advances the time by a second: heartbeats arrive, fetches complete, stopped tasks exit, and the scheduler
// runs a cycle, which the oracle of the recovery order checks.
func (h *zoneHarness) runSecond() {
	h.now += CycleInterval
	later := h.delayedAnswers
	h.delayedAnswers = nil
	for _, f := range later {
		f()
	}
	h.advanceTasks()
	for _, name := range h.machineNames() {
		if !h.unreachable[name] {
			h.step(HeartbeatReceived{ReplyTo: name, Heartbeat: h.heartbeatOf(name)})
		}
	}
	before := h.placedAttempts()
	used := map[string]machineregistry.Resources{
		"red":  h.scheduler.machines.TeamUsage("red"),
		"blue": h.scheduler.machines.TeamUsage("blue"),
	}
	h.excluded = h.excludedMachines() // the cycle may remove old attempts
	h.step(Tick{})
	if h.scheduler.zoneFailover.InFailover() {
		h.orderOracle.CheckCycle(h.startsSince(before, used), h.waitingJobs(), h.freeCapacities())
	}
}

func (h *zoneHarness) machineNames() (names []string) {
	for name := range h.tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// advanceTasks starts tasks that were fetching their image and ends tasks that were told to stop.
func (h *zoneHarness) advanceTasks() {
	for name, tasks := range h.tasks {
		for id, t := range tasks {
			if _, stopped := h.stops[id]; stopped && t.State != protocol.TaskExited {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseStopped
				delete(h.stops, id)
			} else if t.State == protocol.TaskFetching && !h.unreachable[name] {
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

func (h *zoneHarness) placedAttempts() map[placedAttempt]bool {
	placed := map[placedAttempt]bool{}
	for _, j := range h.scheduler.jobs {
		for _, pl := range j.Placements {
			placed[placedAttempt{pl.Task, pl.Attempt}] = true
		}
	}
	return placed
}

// startsSince returns the tasks with placements that are not in before, given the usage of each team when before was
// collected. Tasks that fit into the guaranteed quota of their team need not wait for other teams.
func (h *zoneHarness) startsSince(
	before map[placedAttempt]bool,
	used map[string]machineregistry.Resources,
) (starts []simulation.PlacedTask) {
	for _, j := range h.scheduler.jobs {
		team := used[j.Spec.Team]
		for _, pl := range j.SortedPlacements() {
			if !before[placedAttempt{pl.Task, pl.Attempt}] {
				team = team.Plus(pl.Resources)
				guaranteed := fairshare.GuaranteeCovers(h.scheduler.cfg.Team(pl.Team), team)
				starts = append(
					starts,
					simulation.PlacedTask{Job: h.recoveryJob(j), Machine: pl.Machine, WithinQuota: guaranteed},
				)
			}
		}
	}
	return starts
}

// waitingJobs returns the jobs that wait for capacity, except those that wait for another reason: the quota limit of
// their team, a record in flight, or the end of a cycle in which smaller jobs may backfill.
func (h *zoneHarness) waitingJobs() (waiting []simulation.WaitingJob) {
	for _, j := range h.scheduler.jobs {
		allowed := h.scheduler.tasksWithinQuotaLimit(j)
		if !h.scheduler.placeableNow(h.now, j) || allowed == 0 {
			continue
		}
		backfills := j.UnschedulableCycles%(gangHoldCycles+1) == 0
		if j.Spec.Shape == protocol.Gang && (allowed < j.Spec.TaskCount || backfills) {
			continue
		}
		waiting = append(waiting, h.recoveryJob(j))
	}
	return waiting
}

// excludedMachines returns, for each job, the machines that still hold an earlier attempt of one of its pending tasks.
func (h *zoneHarness) excludedMachines() map[string]map[string]bool {
	excluded := map[string]map[string]bool{}
	for id, j := range h.scheduler.jobs {
		excluded[id] = map[string]bool{}
		h.scheduler.machines.Each(func(m *machineregistry.Machine) {
			for t := j.NextPending(0); t >= 0; t = j.NextPending(t + 1) {
				excluded[id][m.Name] = excluded[id][m.Name] || m.HasAttempt(protocol.TaskID{JobID: id, Index: t})
			}
		})
	}
	return excluded
}

func (h *zoneHarness) recoveryJob(j *jobstate.Job) simulation.WaitingJob {
	r := simulation.WaitingJob{
		ID:            j.Spec.ID,
		Position:      h.order.Position(j.Spec.Class, j.Spec.Team),
		PriorityLevel: j.EffectivePriority,
		Resources:     j.TaskResources,
		Tasks:         1,
		MaxPerZone:    map[string]int{},
	}
	if j.Spec.Shape == protocol.Gang {
		r.Tasks, r.SameZone = j.Spec.TaskCount, j.Spec.SameZone
	}
	r.ExcludedMachines = h.excluded[j.Spec.ID]
	l := placement.ZoneLimitsOf(j)
	for _, zone := range []string{"a", "b"} {
		if l.Allows(zone) {
			r.MaxPerZone[zone] = min(j.Spec.TaskCount, l.MaxTasksPerZone-l.TasksPerZone[zone])
		}
	}
	return r
}

func (h *zoneHarness) freeCapacities() map[string]simulation.FreeCapacity {
	free := map[string]simulation.FreeCapacity{}
	h.scheduler.machines.Each(func(m *machineregistry.Machine) {
		if h.scheduler.machines.Schedulable(h.now, m) && m.NominatedJob == "" {
			free[m.Name] = simulation.FreeCapacity{Zone: m.Zone, Free: h.scheduler.machines.FreeCapacity(m)}
		}
	})
	return free
}

// loseZone makes the machines of zone a unreachable.
func (h *zoneHarness) loseZone() {
	for name, zone := range h.zoneOf {
		if zone == "a" && h.tasks[name] != nil {
			h.unreachable[name] = true
		}
	}
}

// restoreZone lets the unreachable machines that the predicate selects send heartbeats again. They return as new
// incarnations without tasks.
func (h *zoneHarness) restoreZone(which func(i int) bool) {
	i := 0
	for _, name := range h.machineNames() {
		if !h.unreachable[name] {
			continue
		}
		if i++; which(i) {
			delete(h.unreachable, name)
			h.incarnation[name]++
			h.incarnation[name] = max(2, h.incarnation[name])
			h.tasks[name] = map[protocol.TaskID]protocol.TaskStatus{}
		}
	}
}

func (h *zoneHarness) describeDecisions() (lines []string) {
	for _, d := range h.decisions {
		lines = append(lines, d.Describe())
	}
	return lines
}

func (h *zoneHarness) runSeconds(n int) {
	for range n {
		h.runSecond()
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

// submitRandomJobs submits a random mixture of jobs that need the given number of GPUs in total.
func (h *zoneHarness) submitRandomJobs(t *rapid.T, gpus int) {
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
			j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 10, 2
		}
		gpus -= j.TaskCount * int(j.GPUs)
		h.step(
			JobAccepted{
				Record:   storage.LiveJobRecord{Job: j, AcceptedAtMS: h.now.Milliseconds()},
				Revision: uint64(i + 1),
			},
		)
	}
}

func (h *zoneHarness) submit(j protocol.Job) {
	h.revision++
	h.step(JobAccepted{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: h.now.Milliseconds()}, Revision: h.revision})
}

// runUntilLoan advances the time until a loan is opened.
func (h *zoneHarness) runUntilLoan(t *testing.T) {
	t.Helper()
	for range 60 {
		h.runSecond()
		if countDecisions[zonefailover.LoanOpened](h.decisions) > 0 {
			return
		}
	}
	t.Fatalf("no loan was opened:\n%s", strings.Join(h.describeDecisions(), "\n"))
}

func (h *zoneHarness) loanOutcomes() (ends []zonefailover.LoanOutcome) {
	for _, d := range h.decisions {
		if e, ok := d.(zonefailover.LoanEnded); ok {
			ends = append(ends, e.Outcome)
		}
	}
	return ends
}

func (h *zoneHarness) requireOutcomes(t *testing.T, want zonefailover.LoanOutcome) {
	t.Helper()
	ends := h.loanOutcomes()
	if len(ends) == 0 || slices.ContainsFunc(ends, func(e zonefailover.LoanOutcome) bool { return e != want }) {
		t.Errorf("loans ended as %v, want %s:\n%s", ends, want, strings.Join(h.describeDecisions(), "\n"))
	}
	h.loanOracle.CheckAllClosed()
	if len(h.loanOracle.Violations) > 0 {
		t.Error(h.loanOracle.Violations[0])
	}
}
