package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

// addViolation records a violation of a rule of the protocol. Messages begin with the name of the rule.
func (w *World) addViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
}

// checkStart checks all rules for a task that starts to occupy its machine. It must be called before the task is
// counted.
func (w *World) checkStart(now time.Duration, m *Worker, t *Task, job *protocol.Job) {
	w.Starts++
	for _, dependency := range job.Dependencies {
		if !w.allTasksDone(dependency) {
			w.addViolation("too_early: %s started before %s was done", t.ID, dependency)
		}
	}
	if w.OnStart != nil {
		w.OnStart(now, t.ID)
	}
	if at, ok := w.Cancelled[job.ID]; ok && now > at+w.CancelTimeout {
		w.addViolation("ran_cancelled: %s started %v after the cancellation of its job", t.ID, now-at)
	}
	w.checkPlace(m, t, job)
	w.checkQuota(job)
}

// checkPlace checks that a task may run on a machine, given the zones of the other tasks of its job.
func (w *World) checkPlace(m *Worker, t *Task, job *protocol.Job) {
	if m.Spot && !job.SpotAllowed || job.Zone != "" && job.Zone != m.Zone {
		w.addViolation("wrong_place: %s on %s, whose zone or spot status its job does not allow", t.ID, m.Name)
	}
	if w.onMachines.tasks[t.ID] > 0 {
		w.addViolation("ran_twice: %s on %s and on another machine", t.ID, m.Name)
	}
	tasksByZone := w.onMachines.zones[job.ID]
	elsewhere := 0
	for zone, n := range tasksByZone {
		if zone != m.Zone {
			elsewhere += n
		}
	}
	if job.SameZone && elsewhere > 0 {
		w.addViolation("wrong_place: %s has tasks in several zones", job.ID)
	}
	if here := tasksByZone[m.Zone] + 1; job.Spread && here > (job.TaskCount+1)/2 {
		w.addViolation("wrong_place: %s has %d tasks in %s", job.ID, here, m.Zone)
	}
}

// checkQuota checks that the team of a job stays within its limits with one more task of the job.
func (w *World) checkQuota(job *protocol.Job) {
	used, limits := w.onMachines.usage(job.Team).plus(resourcesOf(job)), w.TeamLimits[job.Team]
	for _, resource := range []struct{ used, limit float64 }{{used.CPUs, limits.CPUs}, {used.GPUs, limits.GPUs}} {
		if resource.limit > 0 && resource.used > resource.limit+resourceTolerance {
			w.addViolation("quota: %s uses %v of %v", job.Team, resource.used, resource.limit)
		}
	}
}

// checkCancelled checks that no task of a job occupies a machine more than CancelTimeout after a user was told that the
// job is cancelled.
func (w *World) checkCancelled(now time.Duration) {
	for id, at := range w.Cancelled {
		if now <= at+w.CancelTimeout || len(w.onMachines.zones[id]) == 0 {
			continue
		}
		for _, m := range w.Workers {
			for _, t := range m.Tasks {
				if t.ID.JobID == id && t.OnMachine() {
					w.addViolation("ran_cancelled: %s is on %s %v after its cancellation", t.ID, m.Name, now-at)
				}
			}
		}
	}
}
