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
	"pinebay/internal/coordination/partition"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
)

// fullScan is the reference of the index: it looks at every machine for every task.
type fullScan struct{ c *Core }

func (f fullScan) best(now time.Duration, j *job, l *limits, allowed func(*candidate) bool) (best *candidate) {
	bestScore := 0.0
	for _, x := range f.c.candidates(now) {
		if !allowed(x) {
			continue
		}
		if s := f.c.score(now, j, x, l); best == nil || s < bestScore {
			best, bestScore = x, s
		}
	}
	return best
}

func (f fullScan) withImage(now time.Duration, j *job, l *limits, allowed func(*candidate) bool) *candidate {
	return f.best(now, j, l, func(x *candidate) bool { return f.c.machines.FetchTime(now, x.m, &j.spec) == 0 && allowed(x) })
}

func (f fullScan) cheapest(now time.Duration, j *job, l *limits, within time.Duration, level int) (best *candidate, bestVictims []*partition.Placement) {
	bestCost := math.Inf(1)
	for _, x := range f.c.candidates(now) {
		if !f.c.fits(now, j, x, l) || x.m.IsReservedFor(now, j.spec.ID) || !j.need.Fits(partition.CapacityOf(x.kind)) {
			continue
		}
		warm := f.c.machines.FetchTime(now, x.m, &j.spec)
		if warm > within {
			continue
		}
		victims, cost, ok := f.c.victims(now, j, x, level)
		cost += warm.Seconds()
		if ok && cost < bestCost {
			best, bestVictims, bestCost = x, victims, cost
		}
	}
	return best, bestVictims
}

func (f fullScan) nearest(now time.Duration, j *job, l *limits, taken map[*candidate]bool) (best *candidate) {
	for _, x := range f.c.candidates(now) {
		if taken[x] || !f.c.fits(now, j, x, l) || !j.need.Fits(partition.CapacityOf(x.kind)) {
			continue
		}
		if best == nil || x.free.DominantShare(partition.CapacityOf(x.kind)) > best.free.DominantShare(partition.CapacityOf(best.kind)) {
			best = x
		}
	}
	return best
}

// twins are two cores that get the same events, one with the index and one that scans all.
type twins struct {
	t     *rapid.T
	rng   *rand.Rand
	pair  [2]*bench
	seen  [2][]string
	jobs  []string
	names []string
	quiet map[string]bool // machines that do not report
	round int
}

func newTwins(t *rapid.T, seed uint64, teams []config.Team, objectives []config.Objective, zoneReturn bool) *twins {
	w := &twins{t: t, rng: rand.New(rand.NewPCG(seed, 5)), quiet: map[string]bool{}}
	for i := range w.pair {
		b := newBench(teams, "a", "b", "c")
		b.setObjectives(objectives)
		if i == 1 {
			b.c.find = fullScan{b.c}
		}
		if zoneReturn {
			b.c.startZoneFailover(0, zones.DefaultRecoveryOrder(), nil)
		}
		b.onEffect = func(e Effect) { w.seen[i] = append(w.seen[i], describe(e)) }
		w.pair[i] = b
	}
	return w
}

// describe tells all of an effect that is a decision. Lists that come in no order are sorted.
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
	case Answer:
		return fmt.Sprint("answer ", e.Tag, e.Body.FencingToken, commands(e.Body.Commands))
	case Order:
		return fmt.Sprint("order ", e.Machine, e.Orders.FencingToken, commands(e.Orders.Commands))
	case Write:
		var parts []string
		for _, op := range e.Txn.Then {
			parts = append(parts, fmt.Sprintf("%s=%x-%s", op.PutKey, op.Value, op.DeleteKey))
		}
		slices.Sort(parts)
		return fmt.Sprint("write ", e.ID, e.For, parts)
	default:
		return fmt.Sprintf("%T %+v", e, e)
	}
}

// both does the same to both, and demands that they ask for the same.
func (w *twins) both(what string, f func(b *bench)) {
	w.round++
	for i, b := range w.pair {
		w.seen[i] = nil
		f(b)
	}
	a, b := w.seen[0], w.seen[1]
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

func (w *twins) chance(p float64) bool { return w.rng.Float64() < p }

func (w *twins) machine() {
	name := fmt.Sprintf("m%03d", len(w.names))
	zone, spot := []string{"a", "b", "c"}[w.rng.IntN(3)], w.chance(0.25)
	w.names = append(w.names, name)
	w.both("new machine", func(b *bench) { b.machine(name, zone, spot) })
}

func (w *twins) submit() {
	shapes := []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}
	j := spec(fmt.Sprintf("j-%d", len(w.jobs)), shapes[w.rng.IntN(3)], []protocol.Priority{"critical", "urgent", "normal", "best_effort"}[w.rng.IntN(4)],
		1+w.rng.IntN(6), []float64{0, 1, 2, 4, 8}[w.rng.IntN(5)])
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
	w.both("submission", func(b *bench) { b.job(j) })
}

// report has a machine report; what its tasks have come to is drawn by their names.
func (w *twins) report(name string) {
	notice := w.chance(0.01)
	draw := w.rng.Uint64()
	w.both("report of "+name, func(b *bench) {
		for _, id := range sortedIDs(b.tasks[name]) {
			t := b.tasks[name][id]
			fate := rand.New(rand.NewPCG(draw, uint64(len(id.JobID))<<32|uint64(id.Index)<<8|uint64(id.JobID[len(id.JobID)-1]))).Float64()
			switch {
			case t.State == protocol.TaskFetching && fate < 0.7, t.State == protocol.TaskWaiting:
				t.State = protocol.TaskRunning
			case t.State == protocol.TaskRunning && b.stopped(id):
				t.State, t.Cause = protocol.TaskExited, protocol.CauseStopped
			case t.State == protocol.TaskRunning && fate < 0.1 && b.c.jobs[id.JobID] != nil && b.c.jobs[id.JobID].spec.Shape != protocol.Service:
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
			case t.State == protocol.TaskRunning && fate > 0.98:
				t.State, t.Cause = protocol.TaskExited, protocol.CauseError
			}
			b.tasks[name][id] = t
		}
		r := b.report(name)
		if notice {
			r.InterruptionNoticeSeconds = new(float64)
		}
		b.do(Reported{Tag: name, Report: r})
	})
}

// stopped says whether a task was told to stop.
func (b *bench) stopped(id protocol.TaskID) bool {
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

// step draws what happens next.
func (w *twins) step() {
	switch {
	case w.chance(0.15) && len(w.names) < 40:
		w.machine()
	case w.chance(0.5):
		w.submit()
	case w.chance(0.1) && len(w.jobs) > 0:
		id := w.jobs[w.rng.IntN(len(w.jobs))]
		w.both("cancellation", func(b *bench) { b.do(JobDropped{ID: id}) })
	case w.chance(0.1) && len(w.names) > 0:
		name := w.names[w.rng.IntN(len(w.names))]
		w.quiet[name] = !w.quiet[name]
	case w.chance(0.05) && len(w.names) > 4:
		name := w.names[w.rng.IntN(len(w.names))]
		w.quiet[name] = true
		w.both("loss of "+name, func(b *bench) { b.do(Released{Names: []string{name}, OK: true}) })
	}
	for _, name := range w.names {
		if !w.quiet[name] && w.chance(0.7) {
			w.report(name)
		}
	}
	pause := []time.Duration{Eager, Eager, 3 * Eager, Cycle}[w.rng.IntN(4)]
	w.both("time", func(b *bench) {
		b.now += pause
		b.do(Tick{})
	})
}

// TestIndexDecidesAsAFullScan: on drawn days, whoever is placed, where, and what is stopped for
// whom is just what looking at every machine decides. Teams have limits and guarantees, machines
// come, fall silent, return and are lost, images are cached, fetched and missing, and room is held,
// kept and cleared.
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
		if rapid.Bool().Draw(t, "aims") {
			objectives = []config.Objective{{Kind: "wait", Class: "class-0", WithinSeconds: 2, Fraction: 0.9}, {Kind: "wait", Class: "class-1", WithinSeconds: 20, Fraction: 0.9},
				{Kind: "finished", Class: "class-2", WithinSeconds: 60, Fraction: 0.9}}
		}
		w := newTwins(t, rapid.Uint64().Draw(t, "seed"), teams, objectives, rapid.Bool().Draw(t, "zone return"))
		for range rapid.IntRange(3, 20).Draw(t, "machines") {
			w.machine()
		}
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			w.step()
		}
		started := 0
		for range w.pair[0].runs {
			started++
		}
		if started != len(w.pair[1].runs) {
			t.Fatalf("%d starts with the index, %d without", started, len(w.pair[1].runs))
		}
	})
}
