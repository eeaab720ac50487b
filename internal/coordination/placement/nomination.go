package placement

import (
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
)

// A machine is nominated for a job while work on it is being preempted for the job, so that the capacity
// does not go to a later one as it becomes free.

// Nominate nominates a machine for a job until the given time.
func (r *Rules) Nominate(m *machineregistry.Machine, j *jobstate.Job, until time.Duration) {
	m.NominateFor(j.Spec.ID, until)
	if j.NominatedMachines == nil {
		j.NominatedMachines = map[*machineregistry.Machine]bool{}
	}
	j.NominatedMachines[m] = true
}

// Nominated returns the candidates that are nominated for a job, in name order.
func (r *Rules) Nominated(now time.Duration, j *jobstate.Job) (list []*candidates.Candidate) {
	for m := range j.NominatedMachines {
		if !m.IsNominatedFor(now, j.Spec.ID) || m.Removed() {
			delete(j.NominatedMachines, m)
			continue
		}
		if x := r.Candidates.Of(now, m); x != nil {
			list = append(list, x)
		}
	}
	candidates.SortByName(list)
	return list
}

// NominatedForOther reports whether a machine is nominated for another job that goes first. A job that
// comes before the nominated one in this cycle may take the capacity: if every gang kept what was
// preempted for it, each could hold a part of what one of them needs. A job that has found capacity
// elsewhere keeps none.
func (r *Rules) NominatedForOther(now time.Duration, m *machineregistry.Machine, id string) bool {
	if m.NominatedJob == "" || m.NominatedJob == id || now >= m.NominatedUntil {
		return false
	}
	o := r.Jobs[m.NominatedJob]
	if o == nil || o.Ended || o.PendingTasks() == 0 && !o.HasStoppingTasks() {
		return false
	}
	return o.LastWaitingCycle != r.Cycle || o.LastTriedCycle == r.Cycle
}
