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
func (l *cluster) runningJobs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	on := map[string]bool{}
	for _, m := range l.world.Workers {
		for _, t := range m.Tasks {
			if t.State == protocol.TaskRunning {
				on[t.ID.JobID] = true
			}
		}
	}
	var ids []string
	for id := range on {
		if _, over := l.answers.FinalState(id); !over {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// workersWithJob returns the workers on which a job has tasks. The caller holds l.mu.
func (l *cluster) workersWithJob(id string) (workers []*workerProcess) {
	for _, m := range l.world.sortedWorkers() {
		for _, t := range m.Tasks {
			if t.ID.JobID == id && t.OnMachine() && l.workers[m.Name] != nil {
				workers = append(workers, l.workers[m.Name])
				break
			}
		}
	}
	return workers
}

// checkViolations fails the test for each violation, and shows the end of the log if the test is verbose.
func (l *cluster) checkViolations() {
	l.t.Helper()
	l.mu.Lock()
	broken := append(append([]string{}, l.world.Violations...), l.answers.violations...)
	late := l.world.LateStarts
	l.mu.Unlock()
	for i, b := range broken {
		if i < 4 {
			l.t.Error(b)
		}
	}
	if late > 0 {
		l.t.Errorf("%d starts after a confirmed cancellation", late)
	}
	if l.t.Failed() && testing.Verbose() {
		all := strings.Split(l.logs.String(), "\n")
		l.t.Log(strings.Join(all[max(0, len(all)-400):], "\n"))
	}
}

// checkAllServed checks, some time after the last fault, that no job is forgotten or left waiting: queries about each
// accepted job are answered, and each is over, or a service that runs.
func (l *cluster) checkAllServed() {
	l.t.Helper()
	if ids := l.answers.Unanswered(l.now() - 75*time.Second); len(ids) > 0 {
		l.t.Errorf("no answer for 75 s about %v", ids)
	}
	running := l.runningJobs()
	for _, id := range l.jobIDs {
		_, over := l.answers.FinalState(id)
		if !over && (l.world.Jobs[id].Shape != protocol.Service || !slices.Contains(running, id)) {
			l.t.Errorf("%s %s is left waiting", l.world.Jobs[id].Shape, id)
		}
	}
}

// runScenario runs f on a new cluster in simulated time, and checks for violations after it.
func runScenario(
	t *testing.T,
	seed uint64,
	controllers int,
	w config.Workers,
	f func(l *cluster),
	options ...func(*cluster),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := newCluster(t, seed, controllers, w, options...)
		defer l.checkViolations()
		defer l.shutDown()
		f(l)
	})
}

// TestQuietCluster: without any faults, real controllers serve everything.
func TestQuietCluster(t *testing.T) {
	runScenario(t, 1, 3, fastTimings, func(l *cluster) {
		time.Sleep(5 * time.Second)
		l.submitMixture(9)
		time.Sleep(240 * time.Second)
		l.checkAllServed()
		if l.world.Starts < 15 {
			t.Errorf("only %d starts", l.world.Starts)
		}
		if l.term() != 1 {
			t.Errorf("term %d without any trouble", l.term())
		}
	})
}
