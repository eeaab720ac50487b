package placement

import (
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
)

// A machine is nominated for a job while placements on it are being preempted for that job. The nomination keeps jobs
// that are scheduled later from taking the capacity as it becomes free.

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
		if x := r.Candidates.CandidateFor(now, m); x != nil {
			list = append(list, x)
		}
	}
	candidates.SortByName(list)
	return list
}

// NominatedForOther reports whether a machine is nominated for another job whose claim takes precedence. A job that
// is scheduled before the nominated one in this cycle may take the capacity: if every gang kept the capacity that was
// preempted for it, several gangs could each hold a part of the capacity that one of them needs. A job that has found
// capacity elsewhere has no claim any more.
func (r *Rules) NominatedForOther(now time.Duration, m *machineregistry.Machine, id string) bool {
	if m.NominatedJob == "" || m.NominatedJob == id || now >= m.NominatedUntil {
		return false
	}
	nominee := r.Jobs[m.NominatedJob]
	if nominee == nil || nominee.Ended || nominee.PendingTasks() == 0 && !nominee.HasStoppingTasks() {
		return false
	}
	return nominee.LastWaitingCycle != r.Cycle || nominee.LastTriedCycle == r.Cycle
}
