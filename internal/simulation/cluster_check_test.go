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

// runningJobs returns the jobs with a running task, except those that users were told are over.
func (c *cluster) runningJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	on := map[string]bool{}
	for _, m := range c.world.Workers {
		for _, t := range m.Tasks {
			if t.State == protocol.TaskRunning {
				on[t.ID.JobID] = true
			}
		}
	}
	var ids []string
	for id := range on {
		if _, over := c.answers.FinalState(id); !over {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// workersWithJob returns the workers on which a job has tasks. The caller holds c.mu.
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

// checkViolations fails the test for each violation, and shows the end of the log if the test is verbose.
func (c *cluster) checkViolations() {
	c.t.Helper()
	c.mu.Lock()
	broken := append(append([]string{}, c.world.Violations...), c.answers.violations...)
	late := c.world.LateStarts
	c.mu.Unlock()
	for i, b := range broken {
		if i < 4 {
			c.t.Error(b)
		}
	}
	if late > 0 {
		c.t.Errorf("%d starts after a confirmed cancellation", late)
	}
	if c.t.Failed() && testing.Verbose() {
		all := strings.Split(c.logs.String(), "\n")
		c.t.Log(strings.Join(all[max(0, len(all)-400):], "\n"))
	}
}

// checkAllServed checks, some time after the last fault, that no job is forgotten or left waiting: queries about each
// accepted job are answered, and each is over, or a service that runs.
func (c *cluster) checkAllServed() {
	c.t.Helper()
	if ids := c.answers.Unanswered(c.now() - 75*time.Second); len(ids) > 0 {
		c.t.Errorf("no answer for 75 s about %v", ids)
	}
	running := c.runningJobs()
	for _, id := range c.jobIDs {
		_, over := c.answers.FinalState(id)
		if !over && (c.world.Jobs[id].Shape != protocol.Service || !slices.Contains(running, id)) {
			c.t.Errorf("%s %s is left waiting", c.world.Jobs[id].Shape, id)
		}
	}
}

// runScenario runs f on a new cluster in simulated time, and checks for violations after it.
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

// TestQuietCluster: without any faults, real controllers serve everything.
func TestQuietCluster(t *testing.T) {
	runScenario(t, 1, 3, fastTimings, func(c *cluster) {
		time.Sleep(5 * time.Second)
		c.submitMixture(9)
		time.Sleep(240 * time.Second)
		c.checkAllServed()
		if c.world.Starts < 15 {
			t.Errorf("only %d starts", c.world.Starts)
		}
		if c.term() != 1 {
			t.Errorf("term %d without any trouble", c.term())
		}
	})
}
