package simulation

import (
	"strings"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestAnswerCheckerFindsEveryViolation runs short histories of answers, each of which violates one rule or none.
func TestAnswerCheckerFindsEveryViolation(t *testing.T) {
	type step struct {
		kind      string
		sent, now int
		status    int
		state     protocol.JobState
	}
	const q, d, c, r = protocol.JobQueued, protocol.JobDone, protocol.JobCancelled, protocol.JobRunning
	for name, h := range map[string]struct {
		steps     []step
		done      bool
		violation string
	}{
		"accepted, running, done": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestQuery, 2, 3, 200, r},
				{RequestSubmit, 3, 4, 200, r},
				{RequestQuery, 5, 6, 200, d},
				{RequestQuery, 7, 8, 200, d},
			},
			done: true,
		},
		"cancelled": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestCancel, 2, 3, 200, c},
				{RequestQuery, 4, 5, 200, c},
			},
		},
		"cancelled when done": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestCancel, 2, 3, 200, d},
				{RequestQuery, 4, 5, 200, d},
			},
			done: true,
		},
		"query sent before the cancellation was confirmed": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestCancel, 2, 3, 200, c},
				{RequestQuery, 2, 5, 200, r},
			},
		},
		"unknown before": {
			steps: []step{
				{RequestQuery, 0, 1, 404, ""},
				{RequestSubmit, 0, 1, 201, q},
			},
		},
		"refused, then accepted": {
			steps: []step{
				{RequestSubmit, 0, 1, 503, ""},
				{RequestSubmit, 2, 3, 201, q},
				{RequestQuery, 4, 5, 503, ""},
			},
		},
		"404": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestQuery, 2, 3, 404, ""},
			},
			violation: "forgotten",
		},
		"404 to a cancel": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestCancel, 2, 3, 404, ""},
			},
			violation: "forgotten",
		},
		"422 to a repeat": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestSubmit, 2, 3, 422, ""},
			},
			violation: "forgotten",
		},
		"job that was never submitted": {
			steps: []step{
				{RequestQuery, 0, 1, 200, q},
			},
			violation: "invented",
		},
		"done too early": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestQuery, 2, 3, 200, d},
			},
			violation: "not_done",
		},
		"back from done": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestQuery, 2, 3, 200, d},
				{RequestQuery, 4, 5, 200, r},
			},
			done:      true,
			violation: "went_back",
		},
		"back from cancelled": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestCancel, 2, 3, 200, c},
				{RequestSubmit, 4, 5, 200, q},
			},
			violation: "went_back",
		},
		"done and cancelled in concurrent answers": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestCancel, 2, 4, 200, c},
				{RequestQuery, 2, 5, 200, d},
			},
			done:      true,
			violation: "went_back",
		},
		"cancelled without a request": {
			steps: []step{
				{RequestSubmit, 0, 1, 201, q},
				{RequestQuery, 2, 3, 200, c},
			},
			violation: "went_back",
		},
	} {
		var cancelled []string
		checker := NewAnswerChecker(
			func(string) bool { return h.done },
			func(id string, _ time.Duration) { cancelled = append(cancelled, id) },
		)
		for _, s := range h.steps {
			checker.RecordRequest(s.kind, "j-1")
			checker.RecordAnswer(
				s.kind,
				"j-1",
				time.Duration(s.sent)*time.Second,
				time.Duration(s.now)*time.Second,
				s.status,
				protocol.JobStatus{ID: "j-1", State: s.state},
			)
		}
		switch {
		case h.violation == "" && len(checker.violations) > 0, h.violation != "" && len(checker.violations) != 1,
			h.violation != "" && !strings.HasPrefix(checker.violations[0], h.violation):
			t.Errorf(
				"%s: violations %v, want one that begins with %q, or none if that is empty",
				name,
				checker.violations,
				h.violation,
			)
		}
		if f, _ := checker.FinalState("j-1"); (f == c) != (len(cancelled) == 1) {
			t.Errorf("%s: final state %q, but OnCancelled was called for %v", name, f, cancelled)
		}
	}
}

// TestAnswerCheckerFindsOrphanedJobs runs histories of three jobs that depend on each other in a chain. The checker
// must find a violation if a dependency was cancelled and a job is in another state more than CancelTimeout later.
func TestAnswerCheckerFindsOrphanedJobs(t *testing.T) {
	const q, d, c = protocol.JobQueued, protocol.JobDone, protocol.JobCancelled
	dependsOn := map[string][]string{"j-2": {"j-1"}, "j-3": {"j-2"}}
	type answer struct {
		kind, id string
		at       int
		state    protocol.JobState
	}
	for name, h := range map[string]struct {
		steps     []answer
		violation string
	}{
		"cancelled in time": {
			steps: []answer{
				{RequestCancel, "j-1", 10, c},
				{RequestQuery, "j-3", 45, q},
				{RequestQuery, "j-3", 51, c},
			},
		},
		"queued for too long": {
			steps: []answer{
				{RequestCancel, "j-1", 10, c},
				{RequestQuery, "j-3", 51, q},
			},
			violation: "orphaned",
		},
		"done after all": {
			steps: []answer{
				{RequestCancel, "j-1", 10, c},
				{RequestQuery, "j-2", 51, d},
			},
			violation: "orphaned",
		},
		"submitted after its dependency was cancelled": {
			steps: []answer{
				{RequestCancel, "j-2", 10, c},
				{RequestSubmit, "j-3", 90, c},
			},
		},
		"the first is done": {
			steps: []answer{
				{RequestCancel, "j-1", 10, d},
				{RequestQuery, "j-3", 90, q},
			},
		},
		"cancelled without a request": {
			steps: []answer{
				{RequestQuery, "j-1", 10, d},
				{RequestQuery, "j-3", 90, c},
			},
			violation: "went_back",
		},
		"cancellation of a dependent job only": {
			steps: []answer{
				{RequestCancel, "j-3", 10, c},
				{RequestQuery, "j-1", 90, c},
			},
			violation: "went_back",
		},
	} {
		checker := NewAnswerChecker(func(string) bool { return true }, func(string, time.Duration) {})
		checker.Dependencies, checker.CancelTimeout = func(id string) []string { return dependsOn[id] }, 40*time.Second
		for _, id := range []string{"j-1", "j-2", "j-3"} {
			checker.RecordRequest(RequestSubmit, id)
			checker.RecordAnswer(RequestSubmit, id, 0, 0, 201, protocol.JobStatus{ID: id, State: q})
		}
		for _, a := range h.steps {
			checker.RecordRequest(a.kind, a.id)
			at := time.Duration(a.at) * time.Second
			checker.RecordAnswer(a.kind, a.id, at, at, 200, protocol.JobStatus{ID: a.id, State: a.state})
		}
		if h.violation == "" && len(checker.violations) > 0 ||
			h.violation != "" &&
				(len(checker.violations) != 1 || !strings.HasPrefix(checker.violations[0], h.violation)) {
			t.Errorf(
				"%s: violations %v, want one that begins with %q, or none if that is empty",
				name,
				checker.violations,
				h.violation,
			)
		}
	}
}

// runCommand returns a batch with one command to start a task.
func runCommand(taskName string, attempt uint64) protocol.CommandBatch {
	return protocol.CommandBatch{
		Incarnation: 1,
		Commands:    []protocol.Command{{Verb: protocol.VerbRun, TaskName: taskName, Attempt: attempt}},
	}
}

// TestWorldFindsTasksStartedTooEarly checks that a start is reported if a dependency of the job still has unfinished
// tasks, and not once all of them are done.
func TestWorldFindsTasksStartedTooEarly(t *testing.T) {
	kind := &protocol.MachineType{Name: "g8", CPUs: 8, GPUs: 8, MemoryGB: 64}
	for done := range 3 {
		w := NewWorld(10*time.Second, 0, time.Hour)
		w.Jobs["j-1"] = &protocol.Job{ID: "j-1", Shape: protocol.Array, TaskCount: 2, Team: "red"}
		w.Jobs["j-2"] = &protocol.Job{
			ID:           "j-2",
			Shape:        protocol.Array,
			TaskCount:    1,
			Team:         "red",
			Dependencies: []string{"j-1"},
		}
		for task := range done {
			w.Done[protocol.TaskID{JobID: "j-1", Index: task}] = true
		}
		machine := w.AddMachine(0, "a1", "a", false, kind, time.Minute)
		machine.HandleCommands(0, runCommand("j-2/0", 1))
		for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
			w.Advance(now)
		}
		early := len(w.Violations) == 1 && strings.HasPrefix(w.Violations[0], "too_early")
		if w.Starts != 1 || early != (done < 2) {
			t.Errorf(
				"with %d of 2 tasks done: %d starts, want 1; violations %v, want too_early unless both are done",
				done,
				w.Starts,
				w.Violations,
			)
		}
	}
}

// TestWorldFindsEveryViolation violates each rule about tasks once.
func TestWorldFindsEveryViolation(t *testing.T) {
	kind := &protocol.MachineType{Name: "g8", CPUs: 8, GPUs: 8, MemoryGB: 64}
	for name, h := range map[string]struct {
		job       protocol.Job
		runs      []string // machine and task
		cancel    bool
		hang      bool
		violation string
	}{
		"well": {
			job:  protocol.Job{TaskCount: 2},
			runs: []string{"a1 0", "b1 1"},
		},
		"twice": {
			job:       protocol.Job{TaskCount: 1},
			runs:      []string{"a1 0", "b1 0"},
			violation: "ran_twice",
		},
		"limit": {
			job:       protocol.Job{TaskCount: 5},
			runs:      []string{"a1 0", "a1 1", "b1 2", "b1 3", "b2 4"},
			violation: "quota",
		},
		"zone": {
			job:       protocol.Job{TaskCount: 1, Zone: "a"},
			runs:      []string{"b1 0"},
			violation: "wrong_place",
		},
		"spot": {
			job:       protocol.Job{TaskCount: 1},
			runs:      []string{"spot 0"},
			violation: "wrong_place",
		},
		"one zone": {
			job:       protocol.Job{TaskCount: 2, SameZone: true},
			runs:      []string{"a1 0", "b1 1"},
			violation: "wrong_place",
		},
		"spread": {
			job:       protocol.Job{TaskCount: 2, Spread: true},
			runs:      []string{"b1 0", "b2 1"},
			violation: "wrong_place",
		},
		"cancelled": {
			job:       protocol.Job{TaskCount: 1},
			runs:      []string{"a1 0"},
			cancel:    true,
			violation: "ran_cancelled",
		},
		"cancelled while hung": {
			job:       protocol.Job{TaskCount: 1},
			runs:      []string{"a1 0"},
			cancel:    true,
			hang:      true,
			violation: "ran_cancelled",
		},
	} {
		w := NewWorld(10*time.Second, time.Second, time.Hour)
		w.TeamLimits["red"] = Resources{GPUs: 4}
		j := h.job
		j.ID, j.Team, j.Shape, j.GPUs = "j-1", "red", protocol.Array, 1
		w.Jobs[j.ID] = &j
		for _, m := range []string{"a1", "b1", "b2", "spot"} {
			w.AddMachine(0, m, m[:1], m == "spot", kind, time.Hour)
		}
		for i, r := range h.runs {
			m, task, _ := strings.Cut(r, " ")
			w.Workers[m].HandleCommands(0, runCommand("j-1/"+task, uint64(i+1)))
			w.Advance(time.Duration(i+2) * time.Second)
		}
		if h.cancel {
			w.Cancelled[j.ID] = 3 * time.Second
		}
		w.Workers["a1"].Hung = h.hang
		w.Advance(13 * time.Second)
		if len(w.Violations) > 0 && h.violation == "" {
			t.Errorf("%s: violations %v, want none", name, w.Violations)
		}
		w.Workers["a1"].Hung = false
		w.Advance(14 * time.Second)
		if (h.violation == "") != (len(w.Violations) == 0) ||
			h.violation != "" && !strings.HasPrefix(w.Violations[0], h.violation) {
			t.Errorf(
				"%s: violations %v, want the first to begin with %q, or none if that is empty",
				name,
				w.Violations,
				h.violation,
			)
		}
	}
}
