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

// newUnstartedJob returns a job with one placement that waits to be recorded.
func newUnstartedJob(id string, priority protocol.Priority, team string) *Job {
	spec := protocol.Job{ID: id, Team: team, Shape: protocol.Array, Priority: priority, TaskCount: 1}
	j := New(spec, 1, 0, 0, storage.PageLayout{TasksPerPage: 10})
	j.Unstarted = []*machineregistry.Placement{{}}
	return j
}

// TestStartQueue checks that a job in the queue is dequeued after at most four times as many others as the queue
// contains, even if urgent jobs keep arriving, and that the jobs that are dequeued by round have the highest priority
// in the queue.
func TestStartQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewStartQueue()
		now, created := time.Duration(0), 0
		waiting := map[*Job]int{} // number of other jobs that may still be dequeued before each job
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second
			for range rapid.IntRange(0, 2).Draw(t, "new") {
				created++
				team := rapid.SampledFrom([]string{"red", "blue", "green"})
				priority := rapid.SampledFrom([]protocol.Priority{"urgent", "urgent", "normal", "best_effort"}).
					Draw(t, "level")
				j := newUnstartedJob(fmt.Sprintf("j-%06d", created), priority, team.Draw(t, "team"))
				q.Add(j)
				waiting[j] = oldestFirstInterval * (len(waiting) + 1)
			}
			oldestFirst := q.oldestIsNext()
			j := q.Next(now, nil)
			if (j == nil) != (len(waiting) == 0) {
				t.Fatalf("next job is %v with %d jobs waiting, want nil only if none is", j, len(waiting))
			}
			if j == nil {
				continue
			}
			q.Dequeue(j)
			delete(waiting, j)
			for other, left := range waiting {
				if left == 0 {
					t.Fatalf("%s of priority %d starves", other.Spec.ID, other.EffectivePriority)
				}
				waiting[other] = left - 1
				if !oldestFirst && other.EffectivePriority < j.EffectivePriority {
					t.Fatalf(
						"a job of priority %d is dequeued before one of priority %d",
						j.EffectivePriority,
						other.EffectivePriority,
					)
				}
			}
		}
		if q.byRound.Len() != len(waiting) {
			t.Fatalf("%d jobs in the queue, want %d", q.byRound.Len(), len(waiting))
		}
	})
}

// TestStartQueueServesTeamsRoundRobin checks that the only job of a team does not have to wait for all of the hundred
// jobs of another team.
func TestStartQueueServesTeamsRoundRobin(t *testing.T) {
	q := NewStartQueue()
	for i := range 100 {
		q.Add(newUnstartedJob(fmt.Sprintf("j-%03d", i), "normal", "red"))
	}
	for range 10 {
		q.Dequeue(q.Next(0, nil))
	}
	q.Add(newUnstartedJob("j-blue", "normal", "blue"))
	for dequeued := 0; ; dequeued++ {
		j := q.Next(time.Second, nil)
		q.Dequeue(j)
		if j.Spec.Team == "blue" {
			if dequeued > oldestFirstInterval {
				t.Errorf("dequeued after %d jobs of the other team, want after 4 at most", dequeued)
			}
			return
		}
	}
}

// TestGangOfSeveralWritesKeepsItsAge guards against a gang that waits for the whole queue before each of its writes.
// The queue always contains other jobs, and the gang, which is the last to come, needs several writes.
func TestGangOfSeveralWritesKeepsItsAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewStartQueue()
		others := rapid.IntRange(1, 100).Draw(t, "others")
		writes := rapid.IntRange(1, 20).Draw(t, "writes")
		priorities := []protocol.Priority{"urgent", "normal", "best_effort"}
		added := 0
		addOther := func() {
			added++
			priority := rapid.SampledFrom(priorities).Draw(t, "priority")
			q.Add(newUnstartedJob(fmt.Sprintf("j-%06d", added), priority, "red"))
		}
		for range others {
			addOther()
		}
		gang := newUnstartedJob("j-gang", rapid.SampledFrom(priorities).Draw(t, "priority of the gang"), "red")
		gang.Spec.Shape = protocol.Gang
		q.Add(gang)
		maxDequeued := oldestFirstInterval * (others + writes)
		for dequeued := 0; writes > 0; dequeued++ {
			if dequeued > maxDequeued {
				t.Fatalf(
					"%d writes left after %d jobs were dequeued, want none after %d",
					writes,
					dequeued,
					maxDequeued,
				)
			}
			j := q.Next(0, nil)
			q.Dequeue(j)
			if j != gang {
				addOther()
				continue
			}
			if writes--; writes > 0 {
				q.AddRemaining(gang)
			}
		}
	})
}
