package simulation

import (
	"strings"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestAnswerCheckerFindsEveryViolation plays short histories of answers, each of which breaks
// one rule or none.
func TestAnswerCheckerFindsEveryViolation(t *testing.T) {
	type step struct {
		kind      string
		sent, now int
		status    int
		standing  protocol.JobState
	}
	const q, d, c, r = protocol.JobQueued, protocol.JobDone, protocol.JobCancelled, protocol.JobRunning
	for name, h := range map[string]struct {
		steps  []step
		done   bool
		broken string
	}{
		"a job's life":             {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestQuery, 2, 3, 200, r}, {RequestSubmit, 3, 4, 200, r}, {RequestQuery, 5, 6, 200, d}, {RequestQuery, 7, 8, 200, d}}, true, ""},
		"cancelled":                {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestCancel, 2, 3, 200, c}, {RequestQuery, 4, 5, 200, c}}, false, ""},
		"cancelled when done":      {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestCancel, 2, 3, 200, d}, {RequestQuery, 4, 5, 200, d}}, true, ""},
		"asked before it was told": {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestCancel, 2, 3, 200, c}, {RequestQuery, 2, 5, 200, r}}, false, ""},
		"unknown before":           {[]step{{RequestQuery, 0, 1, 404, ""}, {RequestSubmit, 0, 1, 201, q}}, false, ""},
		"refused, then accepted":   {[]step{{RequestSubmit, 0, 1, 503, ""}, {RequestSubmit, 2, 3, 201, q}, {RequestQuery, 4, 5, 503, ""}}, false, ""},
		"404":                      {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestQuery, 2, 3, 404, ""}}, false, "forgotten"},
		"404 to a cancel":          {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestCancel, 2, 3, 404, ""}}, false, "forgotten"},
		"422 to a repeat":          {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestSubmit, 2, 3, 422, ""}}, false, "forgotten"},
		"nobody's job":             {[]step{{RequestQuery, 0, 1, 200, q}}, false, "invented"},
		"done too early":           {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestQuery, 2, 3, 200, d}}, false, "not_done"},
		"back from done":           {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestQuery, 2, 3, 200, d}, {RequestQuery, 4, 5, 200, r}}, true, "went_back"},
		"back from cancelled":      {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestCancel, 2, 3, 200, c}, {RequestSubmit, 4, 5, 200, q}}, false, "went_back"},
		"both at once":             {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestCancel, 2, 4, 200, c}, {RequestQuery, 2, 5, 200, d}}, true, "went_back"},
		"cancelled by nobody":      {[]step{{RequestSubmit, 0, 1, 201, q}, {RequestQuery, 2, 3, 200, c}}, false, "went_back"},
	} {
		var told []string
		l := NewAnswerChecker(
			func(string) bool { return h.done },
			func(id string, _ time.Duration) { told = append(told, id) },
		)
		for _, s := range h.steps {
			l.RecordRequest(s.kind, "j-1")
			l.RecordAnswer(s.kind, "j-1", time.Duration(s.sent)*time.Second, time.Duration(s.now)*time.Second, s.status,
				protocol.JobStatus{ID: "j-1", State: s.standing})
		}
		switch {
		case h.broken == "" && len(l.violations) > 0, h.broken != "" && len(l.violations) != 1,
			h.broken != "" && !strings.HasPrefix(l.violations[0], h.broken):
			t.Errorf("%s: %v, want %q", name, l.violations, h.broken)
		}
		if f, _ := l.FinalState("j-1"); (f == c) != (len(told) == 1) {
			t.Errorf("%s: final %q, told %v", name, f, told)
		}
	}
}

// TestAnswerCheckerFindsOrphans plays histories of a chain of three jobs, of which the first is cancelled or done.
func TestAnswerCheckerFindsOrphans(t *testing.T) {
	const q, d, c = protocol.JobQueued, protocol.JobDone, protocol.JobCancelled
	awaits := map[string][]string{"j-2": {"j-1"}, "j-3": {"j-2"}}
	type answer struct {
		kind, id string
		at       int
		standing protocol.JobState
	}
	for name, h := range map[string]struct {
		steps  []answer
		broken string
	}{
		"cancelled in time":        {[]answer{{RequestCancel, "j-1", 10, c}, {RequestQuery, "j-3", 45, q}, {RequestQuery, "j-3", 51, c}}, ""},
		"queued for too long":      {[]answer{{RequestCancel, "j-1", 10, c}, {RequestQuery, "j-3", 51, q}}, "orphaned"},
		"done after all":           {[]answer{{RequestCancel, "j-1", 10, c}, {RequestQuery, "j-2", 51, d}}, "orphaned"},
		"accepted when it is late": {[]answer{{RequestCancel, "j-2", 10, c}, {RequestSubmit, "j-3", 90, c}}, ""},
		"the first is done":        {[]answer{{RequestCancel, "j-1", 10, d}, {RequestQuery, "j-3", 90, q}}, ""},
		"cancelled by nobody":      {[]answer{{RequestQuery, "j-1", 10, d}, {RequestQuery, "j-3", 90, c}}, "went_back"},
		"the one after is no need": {[]answer{{RequestCancel, "j-3", 10, c}, {RequestQuery, "j-1", 90, c}}, "went_back"},
	} {
		l := NewAnswerChecker(func(string) bool { return true }, func(string, time.Duration) {})
		l.Dependencies, l.CancelTimeout = func(id string) []string { return awaits[id] }, 40*time.Second
		for _, id := range []string{"j-1", "j-2", "j-3"} {
			l.RecordRequest(RequestSubmit, id)
			l.RecordAnswer(RequestSubmit, id, 0, 0, 201, protocol.JobStatus{ID: id, State: q})
		}
		for _, a := range h.steps {
			l.RecordRequest(a.kind, a.id)
			at := time.Duration(a.at) * time.Second
			l.RecordAnswer(a.kind, a.id, at, at, 200, protocol.JobStatus{ID: a.id, State: a.standing})
		}
		if h.broken == "" && len(l.violations) > 0 ||
			h.broken != "" && (len(l.violations) != 1 || !strings.HasPrefix(l.violations[0], h.broken)) {
			t.Errorf("%s: %v, want %q", name, l.violations, h.broken)
		}
	}
}

// TestWorldFindsTasksStartedTooEarly: a task starts when another one of a job that its job awaits has still to
// complete, and once all have.
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
		w.AddMachine(0, "a1", "a", false, kind, time.Minute).
			HandleCommands(0, protocol.CommandBatch{Incarnation: 1, Commands: []protocol.Command{{Verb: protocol.VerbRun, TaskName: "j-2/0", Attempt: 1}}})
		for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
			w.Advance(now)
		}
		early := len(w.Violations) == 1 && strings.HasPrefix(w.Violations[0], "too_early")
		if w.Starts != 1 || early != (done < 2) {
			t.Errorf("with %d of 2 tasks done: %d starts, %v", done, w.Starts, w.Violations)
		}
	}
}

// TestWorldFindsEveryViolation breaks each rule about tasks once.
func TestWorldFindsEveryViolation(t *testing.T) {
	kind := &protocol.MachineType{Name: "g8", CPUs: 8, GPUs: 8, MemoryGB: 64}
	for name, h := range map[string]struct {
		job    protocol.Job
		runs   []string // machine and task
		cancel bool
		hang   bool
		broken string
	}{
		"well":          {protocol.Job{TaskCount: 2}, []string{"a1 0", "b1 1"}, false, false, ""},
		"twice":         {protocol.Job{TaskCount: 1}, []string{"a1 0", "b1 0"}, false, false, "ran_twice"},
		"limit":         {protocol.Job{TaskCount: 5}, []string{"a1 0", "a1 1", "b1 2", "b1 3", "b2 4"}, false, false, "quota"},
		"zone":          {protocol.Job{TaskCount: 1, Zone: "a"}, []string{"b1 0"}, false, false, "wrong_place"},
		"spot":          {protocol.Job{TaskCount: 1}, []string{"spot 0"}, false, false, "wrong_place"},
		"one zone":      {protocol.Job{TaskCount: 2, SameZone: true}, []string{"a1 0", "b1 1"}, false, false, "wrong_place"},
		"spread":        {protocol.Job{TaskCount: 2, Spread: true}, []string{"b1 0", "b2 1"}, false, false, "wrong_place"},
		"cancelled":     {protocol.Job{TaskCount: 1}, []string{"a1 0"}, true, false, "ran_cancelled"},
		"hung meantime": {protocol.Job{TaskCount: 1}, []string{"a1 0"}, true, true, "ran_cancelled"},
	} {
		w := NewWorld(10*time.Second, time.Second, time.Hour)
		w.TeamLimits["red"] = [2]float64{0, 4}
		j := h.job
		j.ID, j.Team, j.Shape, j.GPUs = "j-1", "red", protocol.Array, 1
		w.Jobs[j.ID] = &j
		for _, m := range []string{"a1", "b1", "b2", "spot"} {
			w.AddMachine(0, m, m[:1], m == "spot", kind, time.Hour)
		}
		for i, r := range h.runs {
			m, task, _ := strings.Cut(r, " ")
			w.Workers[m].HandleCommands(
				0,
				protocol.CommandBatch{
					Incarnation: 1,
					Commands: []protocol.Command{
						{Verb: protocol.VerbRun, TaskName: "j-1/" + task, Attempt: uint64(i + 1)},
					},
				},
			)
			w.Advance(time.Duration(i+2) * time.Second)
		}
		if h.cancel {
			w.Cancelled[j.ID] = 3 * time.Second
		}
		w.Workers["a1"].Hung = h.hang
		w.Advance(13 * time.Second)
		if len(w.Violations) > 0 && h.broken == "" {
			t.Errorf("%s: %v", name, w.Violations)
		}
		w.Workers["a1"].Hung = false
		w.Advance(14 * time.Second)
		if (h.broken == "") != (len(w.Violations) == 0) ||
			h.broken != "" && !strings.HasPrefix(w.Violations[0], h.broken) {
			t.Errorf("%s: %v, want %q", name, w.Violations, h.broken)
		}
	}
}
