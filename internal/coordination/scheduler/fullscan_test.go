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

// fullScan is the reference of placement.Finder: it examines every machine for every task.
type fullScan struct{ scheduler *Scheduler }

func (f fullScan) BestMachine(
	now time.Duration,
	j *jobstate.Job,
	l *placement.ZoneLimits,
	admits placement.Filter,
) (best *candidates.Candidate) {
	bestScore := 0.0
	for _, x := range f.scheduler.candidates.All(now) {
		if !admits(x) {
			continue
		}
		if s := f.scheduler.rules.Score(now, j, x, l); best == nil || s < bestScore {
			best, bestScore = x, s
		}
	}
	return best
}

func (f fullScan) BestWithImage(
	now time.Duration,
	j *jobstate.Job,
	l *placement.ZoneLimits,
	admits placement.Filter,
) *candidates.Candidate {
	return f.BestMachine(now, j, l, func(x *candidates.Candidate) bool {
		return f.scheduler.machines.FetchTime(now, x.Machine, &j.Spec) == 0 && admits(x)
	})
}

func (f fullScan) CheapestPreemption(
	now time.Duration,
	j *jobstate.Job,
	l *placement.ZoneLimits,
	within time.Duration,
	level int,
) (best *candidates.Candidate, bestVictims []*machineregistry.Placement) {
	bestCost := math.Inf(1)
	for _, x := range f.scheduler.candidates.All(now) {
		if !f.scheduler.rules.Feasible(now, j, x, l) || x.Machine.IsNominatedFor(now, j.Spec.ID) ||
			!j.TaskResources.Fits(x.Capacity()) {
			continue
		}
		warm := f.scheduler.machines.FetchTime(now, x.Machine, &j.Spec)
		if warm > within {
			continue
		}
		victims, cost, ok := f.scheduler.rules.SelectVictims(now, j, x, level)
		cost += warm.Seconds()
		if ok && cost < bestCost {
			best, bestVictims, bestCost = x, victims, cost
		}
	}
	return best, bestVictims
}

func (f fullScan) MostFreeCapacity(
	now time.Duration,
	j *jobstate.Job,
	l *placement.ZoneLimits,
	taken map[*candidates.Candidate]bool,
) (best *candidates.Candidate) {
	for _, x := range f.scheduler.candidates.All(now) {
		if taken[x] || !f.scheduler.rules.Feasible(now, j, x, l) ||
			!j.TaskResources.Fits(x.Capacity()) {
			continue
		}
		if best == nil || freeShare(x) > freeShare(best) {
			best = x
		}
	}
	return best
}

func freeShare(x *candidates.Candidate) float64 { return x.Free.DominantShare(x.Capacity()) }

// indexFinderOf returns the finder of a scheduler that uses the index.
func indexFinderOf(tb testing.TB, c *Scheduler) *placement.Finder {
	tb.Helper()
	f, ok := c.finder.(*placement.Finder)
	if !ok {
		tb.Fatalf("the finder is a %T", c.finder)
	}
	return f
}

// schedulerPair is two schedulers that get the same events, one with the index and one that scans all
// machines.
type schedulerPair struct {
	t         *rapid.T
	rng       *rand.Rand
	harnesses [2]*harness
	effects   [2][]string
	jobs      []string
	machines  []string
	silent    map[string]bool // machines that send no heartbeats
	round     int
}

func newSchedulerPair(
	t *rapid.T,
	seed uint64,
	teams []config.Team,
	objectives []config.Objective,
	zoneFailover bool,
) *schedulerPair {
	w := &schedulerPair{t: t, rng: rand.New(rand.NewPCG(seed, 5)), silent: map[string]bool{}}
	for i := range w.harnesses {
		b := newHarness(teams, "a", "b", "c")
		b.setObjectives(objectives)
		if i == 1 {
			b.scheduler.finder = fullScan{b.scheduler}
		}
		if zoneFailover {
			b.scheduler.startZoneFailover(0, zonefailover.DefaultRecoveryOrder(), nil)
		}
		b.onEffect = func(e Effect) { w.effects[i] = append(w.effects[i], describe(e)) }
		w.harnesses[i] = b
	}
	return w
}

// describe returns all of an effect that is a decision. Lists in no particular order are sorted.
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

// applyToBoth does the same to both schedulers, and demands that they return the same effects.
func (w *schedulerPair) applyToBoth(what string, f func(b *harness)) {
	w.round++
	for i, b := range w.harnesses {
		w.effects[i] = nil
		f(b)
	}
	a, b := w.effects[0], w.effects[1]
	for i := range max(len(a), len(b)) {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			at := func(list []string) string {
				if i < len(list) {
					return list[i]
				}
				return "nothing"
			}
			w.t.Fatalf("round %d, %s, effect %d:\nindex:     %s\nfull scan: %s", w.round, what, i, at(a), at(b))
		}
	}
}

func (w *schedulerPair) chance(p float64) bool { return w.rng.Float64() < p }

func (w *schedulerPair) addMachine() {
	name := fmt.Sprintf("m%03d", len(w.machines))
	zone, spot := []string{"a", "b", "c"}[w.rng.IntN(3)], w.chance(0.25)
	w.machines = append(w.machines, name)
	w.applyToBoth("new machine", func(b *harness) { b.heartbeat(name, zone, spot) })
}

func (w *schedulerPair) submit() {
	shapes := []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}
	j := jobSpec(
		fmt.Sprintf("j-%d", len(w.jobs)),
		shapes[w.rng.IntN(3)],
		[]protocol.Priority{"critical", "urgent", "normal", "best_effort"}[w.rng.IntN(4)],
		1+w.rng.IntN(6),
		[]float64{0, 1, 2, 4, 8}[w.rng.IntN(5)],
	)
	j.Team = []string{"red", "blue", "green"}[w.rng.IntN(3)]
	j.Class = fmt.Sprintf("class-%d", w.rng.IntN(4))
	j.CPUs = []float64{1, 2.5, 8, 30.25}[w.rng.IntN(4)]
	j.MemoryGB = []float64{1, 10, 60}[w.rng.IntN(3)]
	image := w.rng.IntN(6)
	j.Image, j.ImageGB = fmt.Sprintf("image-%d", image), []float64{0, 1, 12, 30, 45, 2}[image]
	j.SpotAllowed = w.chance(0.5)
	j.SameZone = j.Shape == protocol.Gang && w.chance(0.5)
	j.Spread = !j.SameZone && w.chance(0.3)
	if w.chance(0.2) {
		j.Zone = "b"
	}
	if j.Shape != protocol.Service && w.chance(0.6) {
		j.CheckpointIntervalSeconds, j.SaveSeconds = 10, 2
	}
	j.EstimateSeconds = 30
	w.jobs = append(w.jobs, j.ID)
	w.applyToBoth("submission", func(b *harness) { b.addJob(j) })
}

// heartbeat sends a machine's heartbeat. What has become of its tasks is drawn by their names, so that it is
// the same for both.
func (w *schedulerPair) heartbeat(name string) {
	notice := w.chance(0.01)
	draw := w.rng.Uint64()
	w.applyToBoth("heartbeat of "+name, func(b *harness) {
		for _, id := range sortedIDs(b.tasks[name]) {
			t := b.tasks[name][id]
			task := uint64(len(id.JobID))<<32 | uint64(id.Index)<<8 | uint64(id.JobID[len(id.JobID)-1])
			fate := rand.New(rand.NewPCG(draw, task)).Float64()
			j := b.scheduler.jobs[id.JobID]
			switch {
			case t.State == protocol.TaskFetching && fate < 0.7, t.State == protocol.TaskWaiting:
				t.State = protocol.TaskRunning
			case t.State == protocol.TaskRunning && b.wasStopped(id):
				t.State, t.Cause = protocol.TaskExited, protocol.CauseStopped
			case t.State == protocol.TaskRunning && fate < 0.1 && j != nil && j.Spec.Shape != protocol.Service:
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
			case t.State == protocol.TaskRunning && fate > 0.98:
				t.State, t.Cause = protocol.TaskExited, protocol.CauseError
			}
			b.tasks[name][id] = t
		}
		r := b.nextHeartbeat(name)
		if notice {
			r.InterruptionNoticeSeconds = new(float64)
		}
		b.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: r})
	})
}

// wasStopped reports whether a task was commanded to stop.
func (b *harness) wasStopped(id protocol.TaskID) bool {
	_, ok := b.stops[id]
	return ok
}

func sortedIDs(tasks map[protocol.TaskID]protocol.TaskStatus) (ids []protocol.TaskID) {
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b protocol.TaskID) int { return strings.Compare(a.String(), b.String()) })
	return ids
}

// drawStep draws what happens next.
func (w *schedulerPair) drawStep() {
	switch {
	case w.chance(0.15) && len(w.machines) < 40:
		w.addMachine()
	case w.chance(0.5):
		w.submit()
	case w.chance(0.1) && len(w.jobs) > 0:
		id := w.jobs[w.rng.IntN(len(w.jobs))]
		w.applyToBoth("cancellation", func(b *harness) { b.apply(JobEnded{ID: id}) })
	case w.chance(0.1) && len(w.machines) > 0:
		name := w.machines[w.rng.IntN(len(w.machines))]
		w.silent[name] = !w.silent[name]
	case w.chance(0.05) && len(w.machines) > 4:
		name := w.machines[w.rng.IntN(len(w.machines))]
		w.silent[name] = true
		w.applyToBoth("loss of "+name, func(b *harness) {
			b.apply(ScaleInResult{Machines: []string{name}, Succeeded: true})
		})
	}
	for _, name := range w.machines {
		if !w.silent[name] && w.chance(0.7) {
			w.heartbeat(name)
		}
	}
	pause := []time.Duration{MinCycleInterval, MinCycleInterval, 3 * MinCycleInterval, CycleInterval}[w.rng.IntN(4)]
	w.applyToBoth("time", func(b *harness) {
		b.now += pause
		b.apply(Tick{})
	})
}

// TestIndexDecidesAsAFullScan: in drawn sequences of events, what is placed and where, and what is
// preempted for whom, is exactly what examining every machine decides. Teams have quotas, machines come, fall
// silent, return and are lost, images are cached, being fetched and missing, capacity is held for gangs and
// as headroom, and machines are nominated.
func TestIndexDecidesAsAFullScan(t *testing.T) {
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
		w := newSchedulerPair(
			t,
			rapid.Uint64().Draw(t, "seed"),
			teams,
			objectives,
			rapid.Bool().Draw(t, "zone failover"),
		)
		for range rapid.IntRange(3, 20).Draw(t, "machines") {
			w.addMachine()
		}
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			w.drawStep()
		}
		if with, without := len(w.harnesses[0].runs), len(w.harnesses[1].runs); with != without {
			t.Fatalf("%d starts with the index, %d without", with, without)
		}
	})
}
