package simulation

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// runningJobs returns the jobs with a running task, except those for which a user was told a final state.
func (c *cluster) runningJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := map[string]bool{}
	for _, m := range c.world.Workers {
		for _, t := range m.Tasks {
			if t.State == protocol.TaskRunning {
				running[t.ID.JobID] = true
			}
		}
	}
	var ids []string
	for id := range running {
		if _, final := c.answers.FinalState(id); !final {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// starts returns the number of task starts so far.
func (c *cluster) starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.world.Starts
}

// workersWithJob returns the workers whose machines are occupied by tasks of a job. The caller holds c.mu.
func (c *cluster) workersWithJob(id string) (workers []*workerProcess) {
	for _, m := range c.world.sortedWorkers() {
		for _, t := range m.Tasks {
			if t.ID.JobID == id && t.OnMachine() && c.workers[m.Name] != nil {
				workers = append(workers, c.workers[m.Name])
				break
			}
		}
	}
	return workers
}

// checkViolations reports the first violations that the oracles have found as test errors. If the test has failed and
// is verbose, it also prints the end of the log.
func (c *cluster) checkViolations() {
	c.t.Helper()
	c.mu.Lock()
	allViolations := append(append([]string{}, c.world.Violations...), c.answers.violations...)
	lateStarts := c.world.LateStarts
	c.mu.Unlock()
	for i, violation := range allViolations {
		if i < 4 {
			c.t.Error(violation)
		}
	}
	if lateStarts > 0 {
		c.t.Errorf("%d start commands were executed after the cancellation was confirmed", lateStarts)
	}
	if c.t.Failed() && testing.Verbose() {
		lines := strings.Split(c.logs.String(), "\n")
		c.t.Log(strings.Join(lines[max(0, len(lines)-400):], "\n"))
	}
}

// checkAllServed checks that no job was lost or is stuck: queries about every accepted job are answered, and every job
// has a final state or is a running service. It must be called some time after the last fault.
func (c *cluster) checkAllServed() {
	c.t.Helper()
	if ids := c.answers.Unanswered(c.now() - 75*time.Second); len(ids) > 0 {
		c.t.Errorf("no query was answered for 75 s about jobs %v", ids)
	}
	running := c.runningJobs()
	for _, id := range c.jobIDs {
		_, final := c.answers.FinalState(id)
		if !final && (c.world.Jobs[id].Shape != protocol.Service || !slices.Contains(running, id)) {
			c.t.Errorf("%s %s is neither running nor in a final state", c.world.Jobs[id].Shape, id)
		}
	}
}

// runScenario runs f on a new cluster in simulated time and then checks for violations.
func runScenario(
	t *testing.T,
	seed uint64,
	controllers int,
	w config.Workers,
	f func(c *cluster),
	options ...func(*cluster),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, controllers, w, options...)
		defer c.checkViolations()
		defer c.shutDown()
		f(c)
	})
}

// TestClusterWithoutFaults checks that a cluster without faults serves all jobs and keeps its first leader.
func TestClusterWithoutFaults(t *testing.T) {
	runScenario(t, 1, 3, fastTimings, func(c *cluster) {
		time.Sleep(5 * time.Second)
		c.submitMixture(9)
		time.Sleep(240 * time.Second)
		c.checkAllServed()
		if n := c.starts(); n < 15 {
			t.Errorf("only %d tasks were started, want at least 15", n)
		}
		if c.term() != 1 {
			t.Errorf("term is %d without any fault, want 1", c.term())
		}
	})
}
