package jobstate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// queuedJob returns a job with one placement that waits for its record.
func queuedJob(id string, priority protocol.Priority, team string) *Job {
	spec := protocol.Job{ID: id, Team: team, Shape: protocol.Array, Priority: priority, TaskCount: 1}
	j := New(spec, 1, 0, 0, storage.PageLayout{TasksPerPage: 10})
	j.Unstarted = []*machineregistry.Placement{{}}
	return j
}

// TestStartQueue: whatever comes and goes, a job in the queue is served after no more than four times
// as many others as there are, urgent ones that keep coming included; of those that are chosen by
// their turn the most urgent goes first.
func TestStartQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewStartQueue()
		now, made := time.Duration(0), 0
		waiting := map[*Job]int{} // and after how many others it must be served
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second
			for range rapid.IntRange(0, 2).Draw(t, "new") {
				made++
				team := rapid.SampledFrom([]string{"red", "blue", "green"})
				priority := rapid.SampledFrom([]protocol.Priority{"urgent", "urgent", "normal", "best_effort"}).
					Draw(t, "level")
				j := queuedJob(fmt.Sprintf("j-%06d", made), priority, team.Draw(t, "team"))
				q.Add(j)
				waiting[j] = oldestEvery * (len(waiting) + 1)
			}
			byWait := q.oldestIsNext()
			j := q.Next(now, nil)
			if (j == nil) != (len(waiting) == 0) {
				t.Fatalf("%v with %d waiting", j, len(waiting))
			}
			if j == nil {
				continue
			}
			q.Dequeue(j)
			delete(waiting, j)
			for o, left := range waiting {
				if left == 0 {
					t.Fatalf("%s of level %d is passed over for ever", o.Spec.ID, o.EffectivePriority)
				}
				waiting[o] = left - 1
				if !byWait && o.EffectivePriority < j.EffectivePriority {
					t.Fatalf("level %d before level %d", j.EffectivePriority, o.EffectivePriority)
				}
			}
		}
		if q.byTurn.Len() != len(waiting) {
			t.Fatalf("%d in the queue, %d wait", q.byTurn.Len(), len(waiting))
		}
	})
}

// TestStartQueueServesTeamsInTurn: a team with one job to record does not wait for all of one with a hundred.
func TestStartQueueServesTeamsInTurn(t *testing.T) {
	q := NewStartQueue()
	for i := range 100 {
		q.Add(queuedJob(fmt.Sprintf("j-%03d", i), "normal", "red"))
	}
	for range 10 {
		q.Dequeue(q.Next(0, nil))
	}
	q.Add(queuedJob("j-blue", "normal", "blue"))
	for served := 0; ; served++ {
		j := q.Next(time.Second, nil)
		q.Dequeue(j)
		if j.Spec.Team == "blue" {
			if served > oldestEvery {
				t.Errorf("served after %d of the other team", served)
			}
			return
		}
	}
}
