package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// fullScan is the reference implementation of placement.Finder. It examines every machine for every task.
type fullScan struct{ scheduler *Scheduler }

func (f fullScan) BestMachine(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	admits placement.Filter,
) (best *candidates.Candidate) {
	bestScore := 0.0
	for _, candidate := range f.scheduler.candidates.All(now) {
		if !admits(candidate) {
			continue
		}
		if score := f.scheduler.rules.Score(now, j, candidate, limits); best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

func (f fullScan) BestWithImage(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	admits placement.Filter,
) *candidates.Candidate {
	return f.BestMachine(now, j, limits, func(candidate *candidates.Candidate) bool {
		return f.scheduler.machines.FetchTime(now, candidate.Machine, &j.Spec) == 0 && admits(candidate)
	})
}

func (f fullScan) CheapestPreemption(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	maxFetchTime time.Duration,
	victimPriority int,
) (best *candidates.Candidate, bestVictims []*machineregistry.Placement) {
	bestCost := math.Inf(1)
	for _, candidate := range f.scheduler.candidates.All(now) {
		if !f.scheduler.rules.Feasible(now, j, candidate, limits) || candidate.Machine.IsNominatedFor(now, j.Spec.ID) ||
			!j.TaskResources.Fits(candidate.Capacity()) {
			continue
		}
		fetchTime := f.scheduler.machines.FetchTime(now, candidate.Machine, &j.Spec)
		if fetchTime > maxFetchTime {
			continue
		}
		victims, cost, ok := f.scheduler.rules.SelectVictims(now, j, candidate, victimPriority)
		cost += fetchTime.Seconds()
		if ok && cost < bestCost {
			best, bestVictims, bestCost = candidate, victims, cost
		}
	}
	return best, bestVictims
}

func (f fullScan) MostFreeCapacity(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	except map[*candidates.Candidate]bool,
) (best *candidates.Candidate) {
	for _, candidate := range f.scheduler.candidates.All(now) {
		if except[candidate] || !f.scheduler.rules.Feasible(now, j, candidate, limits) ||
			!j.TaskResources.Fits(candidate.Capacity()) {
			continue
		}
		if best == nil || freeShare(candidate) > freeShare(best) {
			best = candidate
		}
	}
	return best
}

func freeShare(candidate *candidates.Candidate) float64 {
	return candidate.Free.DominantShare(candidate.Capacity())
}

// indexFinderOf returns the finder of a scheduler, which must use the index.
func indexFinderOf(tb testing.TB, s *Scheduler) *placement.Finder {
	tb.Helper()
	f, ok := s.finder.(*placement.Finder)
	if !ok {
		tb.Fatalf("the finder is a %T", s.finder)
	}
	return f
}

// schedulerPair holds two schedulers that receive the same events. One of them uses the index, the other one examines
// all machines.
type schedulerPair struct {
	t           *rapid.T
	rng         *rand.Rand
	harnesses   [2]*harness
	effects     [2][]string
	jobs        []string
	machines    []string
	unreachable map[string]bool // machines that send no heartbeats
	round       int
}

func newSchedulerPair(
	t *rapid.T,
	seed uint64,
	teams []config.Team,
	objectives []config.Objective,
	zoneFailover bool,
) *schedulerPair {
	p := &schedulerPair{t: t, rng: rand.New(rand.NewPCG(seed, 5)), unreachable: map[string]bool{}}
	for i := range p.harnesses {
		h := newHarness(teams, "a", "b", "c")
		h.setObjectives(objectives)
		if i == 1 {
			h.scheduler.finder = fullScan{h.scheduler}
		}
		if zoneFailover {
			h.scheduler.startZoneFailover(0, zonefailover.DefaultRecoveryOrder(), nil)
		}
		h.onEffect = func(e Effect) { p.effects[i] = append(p.effects[i], describe(e)) }
		p.harnesses[i] = h
	}
	return p
}

// describe returns a description of an effect that contains every decision in it. Lists without a defined order are
// sorted.
func describe(e Effect) string {
	commands := func(list []protocol.Command) string {
		var parts []string
		for _, c := range list {
			grace := -1.0
			if c.GraceSeconds != nil {
				grace = *c.GraceSeconds
			}
			parts = append(parts, fmt.Sprint(c.Verb, c.TaskName, c.Attempt, grace))
		}
		slices.Sort(parts)
		return strings.Join(parts, ",")
	}
	switch e := e.(type) {
	case HeartbeatReply:
		return fmt.Sprint("heartbeat reply ", e.ReplyTo, e.Body.FencingToken, commands(e.Body.Commands))
	case SendCommandBatch:
		return fmt.Sprint("command batch ", e.Machine, e.Batch.FencingToken, commands(e.Batch.Commands))
	case Write:
		var parts []string
		for _, op := range e.Txn.Then {
			parts = append(parts, fmt.Sprintf("%s=%x-%s", op.PutKey, op.Value, op.DeleteKey))
		}
		slices.Sort(parts)
		return fmt.Sprint("write ", e.ID, e.Priority, parts)
	default:
		return fmt.Sprintf("%T %+v", e, e)
	}
}

// applyToBoth applies an action to both schedulers and checks that they return the same effects.
func (p *schedulerPair) applyToBoth(what string, f func(h *harness)) {
	p.round++
	for i, h := range p.harnesses {
		p.effects[i] = nil
		f(h)
	}
	indexed, scanned := p.effects[0], p.effects[1]
	for i := range max(len(indexed), len(scanned)) {
		if i >= len(indexed) || i >= len(scanned) || indexed[i] != scanned[i] {
			at := func(list []string) string {
				if i < len(list) {
					return list[i]
				}
				return "nothing"
			}
			p.t.Fatalf(
				"round %d, %s, effect %d:\nindex:     %s\nfull scan: %s",
				p.round,
				what,
				i,
				at(indexed),
				at(scanned),
			)
		}
	}
}

func (p *schedulerPair) chance(probability float64) bool { return p.rng.Float64() < probability }

func (p *schedulerPair) addMachine() {
	name := fmt.Sprintf("m%03d", len(p.machines))
	zone, spot := []string{"a", "b", "c"}[p.rng.IntN(3)], p.chance(0.25)
	p.machines = append(p.machines, name)
	p.applyToBoth("new machine", func(h *harness) { h.heartbeat(name, zone, spot) })
}

func (p *schedulerPair) submit() {
	shapes := []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}
	j := jobSpec(
		fmt.Sprintf("j-%d", len(p.jobs)),
		shapes[p.rng.IntN(3)],
		[]protocol.Priority{"critical", "urgent", "normal", "best_effort"}[p.rng.IntN(4)],
		1+p.rng.IntN(6),
		[]float64{0, 1, 2, 4, 8}[p.rng.IntN(5)],
	)
	j.Team = []string{"red", "blue", "green"}[p.rng.IntN(3)]
	j.Class = fmt.Sprintf("class-%d", p.rng.IntN(4))
	j.CPUs = []float64{1, 2.5, 8, 30.25}[p.rng.IntN(4)]
	j.MemoryGB = []float64{1, 10, 60}[p.rng.IntN(3)]
	image := p.rng.IntN(6)
	j.Image, j.ImageGB = fmt.Sprintf("image-%d", image), []float64{0, 1, 12, 30, 45, 2}[image]
	j.SpotAllowed = p.chance(0.5)
	j.SameZone = j.Shape == protocol.Gang && p.chance(0.5)
	j.Spread = !j.SameZone && p.chance(0.3)
	if p.chance(0.2) {
		j.Zone = "b"
	}
	if j.Shape != protocol.Service && p.chance(0.6) {
		j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 10, 2
	}
	j.EstimateSeconds = 30
	p.jobs = append(p.jobs, j.ID)
	p.applyToBoth("submission", func(h *harness) { h.addJob(j) })
}

// heartbeat delivers a heartbeat of a machine to both schedulers. The changes of its tasks are random, derived from the
// task names, and therefore the same in both.
func (p *schedulerPair) heartbeat(name string) {
	interrupted := p.chance(0.01)
	draw := p.rng.Uint64()
	p.applyToBoth("heartbeat of "+name, func(h *harness) {
		for _, id := range sortedIDs(h.tasks[name]) {
			t := h.tasks[name][id]
			task := uint64(len(id.JobID))<<32 | uint64(id.Index)<<8 | uint64(id.JobID[len(id.JobID)-1])
			outcome := rand.New(rand.NewPCG(draw, task)).Float64()
			j := h.scheduler.jobs[id.JobID]
			switch {
			case t.State == protocol.TaskFetching && outcome < 0.7, t.State == protocol.TaskWaiting:
				t.State = protocol.TaskRunning
			case t.State == protocol.TaskRunning && h.wasStopped(id):
				t.State, t.Cause = protocol.TaskExited, protocol.CauseStopped
			case t.State == protocol.TaskRunning && outcome < 0.1 && j != nil && j.Spec.Shape != protocol.Service:
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
			case t.State == protocol.TaskRunning && outcome > 0.98:
				t.State, t.Cause = protocol.TaskExited, protocol.CauseError
			}
			h.tasks[name][id] = t
		}
		workerHeartbeat := h.nextHeartbeat(name)
		if interrupted {
			workerHeartbeat.InterruptionNoticeSeconds = new(float64)
		}
		h.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: workerHeartbeat})
	})
}

// wasStopped reports whether a task was told to stop.
func (h *harness) wasStopped(id protocol.TaskID) bool {
	_, ok := h.stops[id]
	return ok
}

func sortedIDs(tasks map[protocol.TaskID]protocol.TaskStatus) (ids []protocol.TaskID) {
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b protocol.TaskID) int { return strings.Compare(a.String(), b.String()) })
	return ids
}

// applyRandomStep applies a random step to both schedulers.
func (p *schedulerPair) applyRandomStep() {
	switch {
	case p.chance(0.15) && len(p.machines) < 40:
		p.addMachine()
	case p.chance(0.5):
		p.submit()
	case p.chance(0.1) && len(p.jobs) > 0:
		id := p.jobs[p.rng.IntN(len(p.jobs))]
		p.applyToBoth("cancellation", func(h *harness) { h.apply(JobEnded{ID: id}) })
	case p.chance(0.1) && len(p.machines) > 0:
		name := p.machines[p.rng.IntN(len(p.machines))]
		p.unreachable[name] = !p.unreachable[name]
	case p.chance(0.05) && len(p.machines) > 4:
		name := p.machines[p.rng.IntN(len(p.machines))]
		p.unreachable[name] = true
		p.applyToBoth("loss of "+name, func(h *harness) {
			h.apply(ScaleInResult{Machines: []string{name}, Succeeded: true})
		})
	}
	for _, name := range p.machines {
		if !p.unreachable[name] && p.chance(0.7) {
			p.heartbeat(name)
		}
	}
	pause := []time.Duration{MinCycleInterval, MinCycleInterval, 3 * MinCycleInterval, CycleInterval}[p.rng.IntN(4)]
	p.applyToBoth("time", func(h *harness) {
		h.now += pause
		h.apply(Tick{})
	})
}

// TestIndexMatchesFullScan checks, for random sequences of events, that placements and preemptions with the index are
// exactly those that examining every machine leads to. The sequences cover teams with quotas; machines that are added,
// become unreachable, return and are lost; images that are cached, being fetched and missing; capacity held for gangs
// and as headroom; and nominated machines.
func TestIndexMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := []config.Team{{Name: "red"}, {Name: "blue"}, {Name: "green"}}
		if rapid.Bool().Draw(t, "limits") {
			teams[0].MaxGPUs, teams[1].MaxCPUs = 24, 90
		}
		if rapid.Bool().Draw(t, "guarantees") {
			teams[1].GuaranteedGPUs, teams[2].GuaranteedGPUs, teams[2].GuaranteedCPUs = 16, 8, 60
		}
		var objectives []config.Objective
		if rapid.Bool().Draw(t, "objectives") {
			objectives = []config.Objective{
				{Kind: "wait", Class: "class-0", WithinSeconds: 2, Fraction: 0.9},
				{Kind: "wait", Class: "class-1", WithinSeconds: 20, Fraction: 0.9},
				{Kind: "finished", Class: "class-2", WithinSeconds: 60, Fraction: 0.9},
			}
		}
		p := newSchedulerPair(
			t,
			rapid.Uint64().Draw(t, "seed"),
			teams,
			objectives,
			rapid.Bool().Draw(t, "zone failover"),
		)
		for range rapid.IntRange(3, 20).Draw(t, "machines") {
			p.addMachine()
		}
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			p.applyRandomStep()
		}
		if with, without := len(p.harnesses[0].runs), len(p.harnesses[1].runs); with != without {
			t.Fatalf("%d starts with the index, %d without", with, without)
		}
	})
}
