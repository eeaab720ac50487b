package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

// addViolation records that a rule of the protocol was broken.
func (w *World) addViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
}

// checkStart checks the rules for a task that gets onto its machine.
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
		w.addViolation("ran_cancelled: %s started %v after its cancellation", t.ID, now-at)
	}
	w.checkPlace(m, t, job)
	w.checkQuota(job)
}

// checkPlace checks that a task may be on a machine beside the other tasks of its job.
func (w *World) checkPlace(m *Worker, t *Task, job *protocol.Job) {
	if m.Spot && !job.SpotAllowed || job.Zone != "" && job.Zone != m.Zone {
		w.addViolation("wrong_place: %s on %s", t.ID, m.Name)
	}
	if w.occupied.tasks[t.ID] > 0 {
		w.addViolation("ran_twice: %s on %s and elsewhere", t.ID, m.Name)
	}
	tasksByZone := w.occupied.zones[job.ID]
	elsewhere := 0
	for zone, n := range tasksByZone {
		if zone != m.Zone {
			elsewhere += n
		}
	}
	if job.SameZone && elsewhere > 0 {
		w.addViolation("wrong_place: %s is in several zones", job.ID)
	}
	if here := tasksByZone[m.Zone] + 1; job.Spread && here > (job.TaskCount+1)/2 {
		w.addViolation("wrong_place: %s has %d tasks in %s", job.ID, here, m.Zone)
	}
}

// checkQuota checks that a team stays within its limits with one more task of a job.
func (w *World) checkQuota(job *protocol.Job) {
	used, limits := w.occupied.usage(job.Team).plus(resourcesOf(job)), w.TeamLimits[job.Team]
	for _, resource := range []struct{ used, limit float64 }{{used.CPUs, limits.CPUs}, {used.GPUs, limits.GPUs}} {
		if resource.limit > 0 && resource.used > resource.limit+resourceTolerance {
			w.addViolation("quota: %s uses %v of %v", job.Team, resource.used, resource.limit)
		}
	}
}

// checkCancelled checks that no task of a job is on a machine long after its user was told that it is cancelled.
func (w *World) checkCancelled(now time.Duration) {
	for id, at := range w.Cancelled {
		if now <= at+w.CancelTimeout || len(w.occupied.zones[id]) == 0 {
			continue
		}
		for _, m := range w.Workers {
			for _, t := range m.Tasks {
				if t.ID.JobID == id && t.OnMachine() {
					w.addViolation("ran_cancelled: %s is on %s %v after", t.ID, m.Name, now-at)
				}
			}
		}
	}
}
