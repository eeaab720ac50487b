package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/fairshare"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// noFailover is the ZonePolicy while no zone failover is in progress.
type noFailover struct{}

func (noFailover) RiskPenalty(*jobstate.Job, string) float64 { return 0 }

func (noFailover) RecoversBefore(*machineregistry.Placement, *jobstate.Job) bool { return false }

// newTestRules returns rules for the teams "red" and "blue" and one empty machine "m1" with 8 GPUs.
func newTestRules(t *testing.T, red, blue config.Team) (*Rules, *candidates.Candidate) {
	t.Helper()
	red.Name, blue.Name = "red", "blue"
	machines := machineregistry.New(1, config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10})
	machines.SetMachineTypes([]protocol.MachineType{{
		Name:        "g8",
		CPUs:        64,
		GPUs:        8,
		MemoryGB:    256,
		BootSeconds: 30,
		Zones:       []string{"a"},
	}})
	machines.HandleHeartbeat(0, &protocol.WorkerHeartbeat{
		Machine: "m1", Addr: "x", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 1,
	})
	r := &Rules{
		Machines:   machines,
		Candidates: candidates.NewIndex(machines),
		Quotas:     fairshare.NewQuotas([]config.Team{red, blue}, machines),
		Zones:      noFailover{},
		Jobs:       map[string]*jobstate.Job{},
	}
	r.Candidates.Refresh(0)
	return r, r.Candidates.CandidateFor(0, machines.Machine("m1"))
}

// newTestJob returns an array job with one task.
func newTestJob(id, team string, priority protocol.Priority, gpus float64) *jobstate.Job {
	spec := protocol.Job{
		ID:        id,
		Team:      team,
		Class:     "c",
		Shape:     protocol.Array,
		Priority:  priority,
		TaskCount: 1,
		CPUs:      1,
		GPUs:      gpus,
		MemoryGB:  1,
	}
	return jobstate.New(spec, 1, 0, 0, storage.PageLayout{TasksPerPage: 10})
}

// mustReserve reserves capacity for the task of a job on "m1", which must succeed.
func mustReserve(t *testing.T, r *Rules, j *jobstate.Job, now time.Duration) *machineregistry.Placement {
	t.Helper()
	pl := &machineregistry.Placement{
		Task:          protocol.TaskID{JobID: j.Spec.ID},
		Attempt:       1,
		Machine:       "m1",
		Resources:     j.TaskResources,
		Team:          j.Spec.Team,
		PriorityLevel: j.EffectivePriority,
		Job:           &j.Spec,
		StateSince:    now,
	}
	if !r.Machines.Reserve(now, []*machineregistry.Placement{pl}) {
		t.Fatalf("no capacity for %s", j.Spec.ID)
	}
	r.Jobs[j.Spec.ID] = j
	return pl
}

func TestFeasible(t *testing.T) {
	type fixture struct {
		rules     *Rules
		job       *jobstate.Job
		other     *jobstate.Job
		candidate *candidates.Candidate
		limits    *ZoneLimits
	}
	const cycle = 7
	for _, test := range []struct {
		name   string
		change func(*fixture)
		want   bool
	}{
		{"no constraints", func(*fixture) {}, true},
		{"spot machine", func(f *fixture) { f.candidate.Machine.Spot = true }, false},
		{"spot machine for a job that allows it", func(f *fixture) {
			f.candidate.Machine.Spot, f.job.Spec.SpotAllowed = true, true
		}, true},
		{"other type", func(f *fixture) { f.job.Spec.MachineTypes = []string{"other"} }, false},
		{"other zone", func(f *fixture) { f.limits.OnlyZone = "b" }, false},
		{"zone is full", func(f *fixture) { f.limits.TasksPerZone["a"], f.limits.MaxTasksPerZone = 2, 2 }, false},
		{"the job has failed here", func(f *fixture) { f.job.FailedOn["m1"] = true }, false},
		{"nominated for the job", func(f *fixture) {
			f.rules.Nominate(f.candidate.Machine, f.job, time.Minute)
		}, true},
		{"nominated for a job that had its turn", func(f *fixture) {
			f.other.LastWaitingCycle, f.other.LastTriedCycle = cycle, cycle
			f.rules.Nominate(f.candidate.Machine, f.other, time.Minute)
		}, false},
		{"nominated for a job whose turn comes later", func(f *fixture) {
			f.other.LastWaitingCycle, f.other.LastTriedCycle = cycle, cycle-1
			f.rules.Nominate(f.candidate.Machine, f.other, time.Minute)
		}, true},
		{"nominated for a job that does not wait in this cycle", func(f *fixture) {
			f.other.LastWaitingCycle = cycle - 1
			f.rules.Nominate(f.candidate.Machine, f.other, time.Minute)
		}, false},
		{"nominated for a job that needs nothing more", func(f *fixture) {
			f.other.SetTask(0, jobstate.TaskPlaced)
			f.rules.Nominate(f.candidate.Machine, f.other, time.Minute)
		}, true},
		{"nomination has expired", func(f *fixture) { f.rules.Nominate(f.candidate.Machine, f.other, 0) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, x := newTestRules(t, config.Team{}, config.Team{})
			f := &fixture{
				rules:     r,
				job:       newTestJob("j-1", "red", "normal", 1),
				other:     newTestJob("j-2", "red", "urgent", 1),
				candidate: x,
			}
			f.limits = ZoneLimitsOf(f.job)
			r.Cycle, r.Jobs["j-2"] = cycle, f.other
			test.change(f)
			if got := r.Feasible(0, f.job, x, f.limits); got != test.want {
				t.Errorf("Feasible returned %v, want the opposite", got)
			}
		})
	}
}

func TestZoneLimitsOf(t *testing.T) {
	j := newTestJob("j-1", "red", "normal", 1)
	j.Spec.TaskCount = 5
	j.Placements[0] = &machineregistry.Placement{Zone: "a"}
	j.Placements[1] = &machineregistry.Placement{Zone: "a"}
	if l := ZoneLimitsOf(j); !l.Allows("a") || !l.Allows("b") || l.TasksPerZone["a"] != 2 {
		t.Errorf("no constraint: %+v, want both zones allowed and two tasks in zone a", l)
	}
	j.Spec.Spread = true
	j.Placements[2] = &machineregistry.Placement{Zone: "a"}
	if l := ZoneLimitsOf(j); l.MaxTasksPerZone != 3 || l.Allows("a") || !l.Allows("b") {
		t.Errorf("spread: %+v, want zone a full with 3 tasks and zone b allowed", l)
	}
	j.Spec.Spread, j.Spec.SameZone = false, true
	if l := ZoneLimitsOf(j); !l.Allows("a") || l.Allows("b") {
		t.Errorf("same zone: %+v, want only zone a allowed", l)
	}
}

func TestStartLatencyObjectives(t *testing.T) {
	s := StartLatencyObjectivesOf([]config.Objective{
		{Kind: "wait", Class: "quick", WithinSeconds: 20},
		{Kind: "wait", Class: "quick", WithinSeconds: 12},
		{Kind: "wait", Class: "quick", WithinSeconds: 30},
		{Kind: "finished", Class: "batch", WithinSeconds: 5},
	})
	if got := s.Seconds("quick"); got != 12 || !s.Has("quick") {
		t.Errorf("objective of quick: %v s, want the strictest, 12 s", got)
	}
	if got := s.Seconds("batch"); !math.IsInf(got, 1) || s.Has("batch") {
		t.Errorf("objective of batch: %v s, want none", got)
	}
}

// TestVictims checks that less important priorities are preempted first, then younger jobs, and no more placements
// than needed, and that guaranteed quotas protect the placements of other teams.
func TestVictims(t *testing.T) {
	type runningJob struct {
		id, team string
		priority protocol.Priority
		gpus     float64
		age      time.Duration
	}
	for _, test := range []struct {
		name      string
		red, blue config.Team
		running   []runningJob
		gpus      float64
		want      []string // nil if preemption does not help
	}{
		{
			name:    "lowest priority first",
			running: []runningJob{{"j-1", "red", "normal", 4, 0}, {"j-2", "red", "best_effort", 4, 0}},
			gpus:    4,
			want:    []string{"j-2"},
		},
		{
			name:    "younger job first",
			running: []runningJob{{"j-1", "red", "normal", 4, 0}, {"j-2", "red", "normal", 4, time.Minute}},
			gpus:    4,
			want:    []string{"j-1"},
		},
		{
			name:    "as many as needed",
			running: []runningJob{{"j-1", "red", "normal", 4, 0}, {"j-2", "red", "normal", 4, time.Minute}},
			gpus:    5,
			want:    []string{"j-1", "j-2"},
		},
		{
			name:    "not of the same priority",
			running: []runningJob{{"j-1", "red", "urgent", 8, 0}},
			gpus:    1,
		},
		{
			name:    "lower work of a team without a quota",
			running: []runningJob{{"j-1", "blue", "normal", 8, 0}},
			gpus:    1,
			want:    []string{"j-1"},
		},
		{
			name:    "lower work within another team's guaranteed quota",
			blue:    config.Team{GuaranteedGPUs: 8},
			running: []runningJob{{"j-1", "blue", "normal", 8, 0}},
			gpus:    1,
		},
		{
			name:    "equal work beyond another team's guaranteed quota, for a guaranteed quota",
			red:     config.Team{GuaranteedGPUs: 8},
			running: []runningJob{{"j-1", "blue", "urgent", 8, 0}},
			gpus:    1,
			want:    []string{"j-1"},
		},
		{
			name:    "too little in all",
			running: []runningJob{{"j-1", "red", "urgent", 4, 0}, {"j-2", "red", "normal", 4, 0}},
			gpus:    5,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			const now = time.Hour
			r, x := newTestRules(t, test.red, test.blue)
			for _, w := range test.running {
				j := newTestJob(w.id, w.team, w.priority, w.gpus)
				j.WaitingSince = now - w.age
				mustReserve(t, r, j, 0)
			}
			r.Candidates.Refresh(0)
			j := newTestJob("j-new", "red", "urgent", test.gpus)
			victims, cost, ok := r.SelectVictims(now, j, x, j.EffectivePriority+1)
			if !ok {
				victims = nil
			}
			var ids []string
			for _, pl := range victims {
				ids = append(ids, pl.Task.JobID)
			}
			if !slices.Equal(ids, test.want) || ok != (test.want != nil) || ok && cost <= 0 {
				t.Errorf("victims %v, cost %v, %v; want %v", ids, cost, ok, test.want)
			}
		})
	}
}

// TestPreemptionBudget checks that a search that found no victims is not repeated until capacity may have been freed,
// and that a job that searched in a round waits for those that have not.
func TestPreemptionBudget(t *testing.T) {
	b := NewPreemptionBudget()
	b.PerCycle = 1
	var jobs []*jobstate.Job
	for i := range 3 {
		j := newTestJob(fmt.Sprintf("j-%d", i), "red", "normal", float64(i+1))
		jobs = append(jobs, j)
	}
	admitted := map[string]int{}
	for cycle := range uint64(3) {
		b.BeginCycle()
		for _, j := range jobs {
			if b.Admit(j, SearchKeyOf(j), cycle) {
				admitted[j.Spec.ID]++
				b.spend(1)
			}
		}
		b.EndCycle()
	}
	for _, j := range jobs {
		if admitted[j.Spec.ID] != 1 {
			t.Errorf("%s: %d searches in three cycles, want 1", j.Spec.ID, admitted[j.Spec.ID])
		}
	}
	b = NewPreemptionBudget()
	b.BeginCycle()
	j := newTestJob("j-new", "red", "normal", 1)
	key := SearchKeyOf(j)
	if !b.Admit(j, key, 4) {
		t.Error("first search not admitted")
	}
	b.RecordFailedSearch(key)
	if b.Admit(j, key, 4) {
		t.Error("failed search repeated although no capacity was freed")
	}
	b.InvalidateFailedSearches()
	if !b.Admit(j, key, 4) {
		t.Error("search not admitted after capacity may have been freed")
	}
}
