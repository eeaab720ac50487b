package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// jobsInWrite returns the IDs of the jobs whose placements a transaction records.
func jobsInWrite(t *protocol.Txn) (jobs []string) {
	for _, op := range t.Then {
		if id, _, ok := strings.Cut(
			strings.TrimPrefix(op.PutKey, storage.PlacementPrefix),
			"/",
		); ok && strings.HasPrefix(op.PutKey, storage.PlacementPrefix) &&
			!slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

// faultySharedWrites replaces the outcome of a random share of the transactions that record placements of several jobs.
func faultySharedWrites(share float64, outcome func(c *cluster, transaction string) Outcome) fault {
	return func(c *cluster) func() {
		c.store.SetOutcomes(func(host string, txn *protocol.Txn) Outcome {
			jobs := jobsInWrite(txn)
			name := host + " " + strings.Join(jobs, " ")
			if len(jobs) < 2 || !c.chance("shared "+name, share) {
				return Outcome{Reply: true}
			}
			c.recordOccurrence("shared")
			return outcome(c, name)
		})
		return func() { c.store.SetOutcomes(nil) }
	}
}

// loseReply returns the outcome of a transaction that is applied but never answered.
func loseReply(*cluster, string) Outcome { return Outcome{} }

// delayWrite returns the outcome of a transaction that is applied late and never answered.
func delayWrite(c *cluster, name string) Outcome {
	return Outcome{Delay: 2*s + c.randomDuration("late "+name, 10*s)}
}

// delayReply returns the outcome of a transaction that is applied at once and answered late.
func delayReply(c *cluster, name string) Outcome {
	return Outcome{Reply: true, Delay: c.randomDuration("late "+name, 800*ms)}
}

// smallStoreLimits configures small rate limits of the key-value store and makes it enforce them.
func smallStoreLimits(c *cluster) {
	c.cfg.Store = config.StoreLimits{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 16}
	c.store.SetLimits(c.cfg.Store)
}

// submitBatches returns a step that submits n batches of four arrays, so that the placements of several jobs are
// recorded in one transaction.
func submitBatches(n int) func(*cluster) {
	return func(c *cluster) {
		for range n {
			for range 4 {
				j := c.newJob(protocol.Array, 2, 1)
				c.mu.Lock()
				c.world.RunTimes[j.ID] = 3*s + c.randomDuration("run time "+j.ID, 4*s)
				c.mu.Unlock()
				c.submit(j)
			}
			time.Sleep(2 * s)
		}
	}
}

// TestSharedRecords runs scenarios with every outcome of a transaction that records the placements of several jobs. No
// rule may be violated, and every job must be served in the end.
func TestSharedRecords(t *testing.T) {
	scenarios := []scenario{
		{
			name:    "its answer is lost",
			timings: fastTimings,
			steps: []step{
				{0, during(40*s, faultySharedWrites(0.5, loseReply))},
				{1 * s, submissionStorm(20 * s)},
				{2 * s, submitBatches(8)},
			},
			occurred: []string{"shared"},
		},
		{
			name:    "it is carried out late, after newer ones",
			timings: fastTimings,
			steps: []step{
				{0, during(40*s, faultySharedWrites(0.5, delayWrite))},
				{1 * s, submissionStorm(20 * s)},
				{2 * s, submitBatches(8)},
				{20 * s, cancelJobs(3, 0)},
			},
			occurred: []string{"shared"},
		},
		{
			name:    "by a deposed leader",
			timings: fastTimings,
			steps: []step{
				{0, during(20*s, faultySharedWrites(1, delayWrite))},
				{1 * s, submitBatches(2)},
				{5500 * ms, crashLeader(5 * s)},
				{6 * s, submitBatches(4)},
				{14 * s, crashLeader(300 * ms)},
				{15 * s, submitBatches(3)},
			},
			occurred: []string{"shared", "crash"},
		},
		{
			name:    "a job of it is cancelled",
			timings: fastTimings,
			steps: []step{
				{0, during(40*s, faultySharedWrites(0.7, delayReply))},
				{1 * s, submissionStorm(30 * s)},
				{2 * s, submitBatches(4)},
				{10 * s, cancelJobs(4, 0)},
				{11 * s, submitBatches(3)},
				{17 * s, cancelJobs(4, 0)},
			},
			occurred: []string{"shared", "cancelled"},
		},
		{
			name:    "a job ends in it",
			timings: fastTimings,
			steps: []step{
				{0, during(40*s, faultySharedWrites(0.5, delayReply))},
				{0, staggeredCompletions(8)},
				{1 * s, submissionStorm(20 * s)},
				{2 * s, submitBatches(4)},
				{12 * s, staggeredCompletions(4)},
			},
			occurred: []string{"shared"},
		},
		{
			name:    "the state service is at its limits, slow, out and back",
			timings: fastTimings,
			steps: []step{
				{0, during(30*s, faultySharedWrites(0.5, delayReply))},
				{0, submissionStorm(30 * s)},
				{1 * s, submitBatches(5)},
				{32 * s, during(15*s, storeOutage)},
				{40 * s, submissionStorm(15 * s)},
			},
			occurred: []string{"shared", "outage"},
			options:  []func(*cluster){smallStoreLimits},
		},
		{
			name:    "the same, slowly",
			timings: slowTimings,
			steps: []step{
				{0, during(60*s, faultySharedWrites(0.5, delayWrite))},
				{0, submissionStorm(30 * s)},
				{1 * s, submitBatches(5)},
				{15 * s, cancelJobs(3, 0)},
				{20 * s, crashLeader(5 * s)},
				{32 * s, during(40*s, storeOutage)},
			},
			occurred: []string{"shared", "outage", "crash"},
			options:  []func(*cluster){smallStoreLimits},
		},
	}
	runScenarios(t, 600, scenarios, func(c *cluster, x *scenario) { c.runToCompletion(x.steps, x.occurred) })
}

// TestRecordThatIsAlwaysRejected checks that a job which cannot be recorded does not affect others. The key-value store
// rejects every transaction that records that job. The job must wait, and jobs that shared transactions with it must
// not.
func TestRecordThatIsAlwaysRejected(t *testing.T) {
	runScenario(t, 620, 3, fastTimings, func(c *cluster) {
		c.startJobs(9)
		bad := c.newJob(protocol.Array, 2, 1)
		c.store.SetOutcomes(func(_ string, txn *protocol.Txn) Outcome {
			jobs := jobsInWrite(txn)
			if !slices.Contains(jobs, bad.ID) {
				return Outcome{Reply: true}
			}
			if len(jobs) > 1 {
				c.recordOccurrence("shared")
			}
			return Outcome{Rejected: true}
		})
		c.submit(bad)
		submitBatches(6)(c)
		time.Sleep(3 * time.Minute)
		if c.occurrences("shared") == 0 {
			t.Error("the job shared no transaction with other jobs, so the test did not exercise shared records")
		}
		if c.term() != 1 {
			t.Errorf("term is %d, want 1: the rejected job has ended the term of the leader", c.term())
		}
		c.jobIDs = slices.DeleteFunc(c.jobIDs, func(id string) bool { return id == bad.ID })
		c.checkAllServed()
		if _, ended := c.answers.FinalState(bad.ID); ended {
			t.Error("the job has a final state although it could not be recorded")
		}
		c.store.SetOutcomes(nil)
		time.Sleep(3 * time.Minute)
		if _, ended := c.answers.FinalState(bad.ID); !ended {
			t.Error("the job has no final state although it can be recorded now")
		}
	})
}
