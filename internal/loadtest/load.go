package loadtest

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
)

// Classes of jobs.
const (
	classService = "standing" // services, which run all the time
	classArray   = "array"
	classGang    = "gang"
	classUrgent  = "urgent"
)

// urgentTeam has no limit, so that only the scheduler can delay its jobs.
const urgentTeam = "urgent"

// What users do.
const (
	pollInterval    = 5 * time.Second
	retryInterval   = time.Second
	serviceShare    = 0.5 // of the tasks that are to run
	tasksPerService = 96
	// cancelRunTimeDivisor is the part of a run time after which a user cancels an array.
	cancelRunTimeDivisor = 2
)

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// newTeams returns the teams, which have limits if they are to reach them.
func newTeams(l Load) []config.Team {
	teams := []config.Team{{Name: urgentTeam}}
	for i := range l.Teams {
		t := config.Team{Name: teamName(i)}
		if l.TeamsAtLimit {
			t.MaxCPUs = math.Ceil(l.tasksPerTeam()) * taskCPUs
		}
		teams = append(teams, t)
	}
	return teams
}

// tasksPerTeam is each team's share of the tasks that are to run.
func (l Load) tasksPerTeam() float64 { return float64(l.Workers) * l.TasksPerWorker / float64(l.Teams) }

// newJob returns a new job with a random image.
func (r *run) newJob(class string, shape protocol.Shape, tasks int, team string) protocol.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobCount++
	return protocol.Job{
		ID:              fmt.Sprintf("j-%06d", r.jobCount),
		Class:           class,
		Team:            team,
		Shape:           shape,
		Priority:        "normal",
		TaskCount:       tasks,
		CPUs:            taskCPUs,
		MemoryGB:        taskMemoryGB,
		Image:           fmt.Sprintf("image-%02d", r.rng.IntN(imageCount)),
		ImageGB:         imageGB,
		EstimateSeconds: r.cfg.MeanRunTime.Seconds(),
	}
}

func (r *run) randomTeam() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return teamName(r.rng.IntN(r.load.Teams))
}

// submitServices submits the services of all teams.
func (r *run) submitServices() {
	perTeam := int(r.load.tasksPerTeam() * serviceShare)
	for team := range r.load.Teams {
		for left := perTeam; left > 0; left -= tasksPerService {
			j := r.newJob(classService, protocol.Service, min(left, tasksPerService), teamName(team))
			j.EstimateSeconds = 0
			r.wg.Go(func() { r.runUserJob(j) })
		}
	}
}

// submitArrivals begins to submit arrays, gangs, urgent jobs and pipelines until the run ends.
func (r *run) submitArrivals() {
	if r.load.TeamsAtLimit {
		for team := range r.load.Teams {
			r.keepTeamOverLimit(teamName(team))
		}
	} else {
		r.submitAtRates()
	}
	r.atRate(r.load.UrgentPerS, func() { r.runUserJob(r.newUrgent()) })
	r.atRate(r.load.PipelinesPerS, r.submitPipeline)
}

// submitAtRates begins to submit arrays and gangs at the rates of the load, and as many arrays at
// once as run at a time when the load is steady.
func (r *run) submitAtRates() {
	submitArray := func() { r.runUserJob(r.newArray(r.randomTeam())) }
	submitGang := func() { r.runUserJob(r.newGang(r.randomTeam())) }
	arraysPerS := r.load.StartsPerS * (1 - r.load.GangShare) / float64(r.load.ArrayTasks)
	for range int(arraysPerS * r.cfg.MeanRunTime.Seconds()) {
		r.wg.Go(submitArray)
	}
	r.atRate(arraysPerS, submitArray)
	r.atRate(r.load.StartsPerS*r.load.GangShare/r.load.meanGangTasks(), submitGang)
}

// keepTeamOverLimit begins to keep a team's demand above its limit.
func (r *run) keepTeamOverLimit(team string) {
	wanted := r.load.tasksPerTeam() * (r.load.Overcommit - serviceShare)
	for range max(1, int(wanted)/r.load.ArrayTasks) {
		r.wg.Go(func() {
			for r.ctx.Err() == nil {
				r.runUserJob(r.newArray(team))
			}
		})
	}
}

// atRate begins to call f at a rate a second, each call in a goroutine of its own.
func (r *run) atRate(perSecond float64, f func()) {
	if perSecond <= 0 {
		return
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	r.wg.Go(func() { every(r.ctx, interval, func() { r.wg.Go(f) }) })
}

func (r *run) newArray(team string) protocol.Job {
	return r.newJob(classArray, protocol.Array, r.load.ArrayTasks, team)
}

func (r *run) newUrgent() protocol.Job {
	j := r.newJob(classUrgent, protocol.Array, 1, urgentTeam)
	j.Priority = "urgent"
	return j
}

// gangSizes are powers of two up to the largest gang.
func (l Load) gangSizes() (sizes []int) {
	for n := 2; n <= max(2, l.GangTasks); n *= 2 {
		sizes = append(sizes, n)
	}
	return sizes
}

func (l Load) meanGangTasks() float64 {
	sum := 0
	sizes := l.gangSizes()
	for _, n := range sizes {
		sum += n
	}
	return float64(sum) / float64(len(sizes))
}

func (r *run) newGang(team string) protocol.Job {
	r.mu.Lock()
	sizes := r.load.gangSizes()
	n := sizes[r.rng.IntN(len(sizes))]
	r.mu.Unlock()
	j := r.newJob(classGang, protocol.Gang, n, team)
	j.SameZone = true
	j.MachineTypes = []string{hollowWorkerType} // workers that are processes know nothing of a gang's other tasks
	j.CheckpointIntervalSeconds, j.SaveSeconds = r.cfg.MeanRunTime.Seconds()/4, 1
	return j
}

// runUserJob submits a job and polls it until it is final. Some arrays are cancelled meanwhile.
func (r *run) runUserJob(j protocol.Job) {
	r.mu.Lock()
	r.world.Jobs[j.ID] = &j
	cancels := j.Class == classArray && r.rng.Float64() < r.load.CancelShare
	r.mu.Unlock()
	if !r.submit(&j) {
		return
	}
	if cancels {
		timer := time.AfterFunc(r.cfg.MeanRunTime/cancelRunTimeDivisor, func() { r.cancelJob(j.ID) })
		defer timer.Stop()
	}
	r.pollUntilFinal(j.ID)
}

// pollUntilFinal queries an accepted job until it is final.
func (r *run) pollUntilFinal(id string) {
	for r.sleep(pollInterval) == nil {
		if r.isFinalAfter(simulation.RequestQuery, id) {
			return
		}
	}
}

// isFinalAfter sends a request about a job to any controller, and reports whether the answer shows
// a final state.
func (r *run) isFinalAfter(request, id string) bool {
	status, answer := r.users.Request(r.ctx, r.randomController(), request, id, nil)
	return status == http.StatusOK && answer.State.Final()
}

// submit submits a job until it is accepted, and reports whether it was.
func (r *run) submit(j *protocol.Job) bool {
	for r.ctx.Err() == nil {
		status, _ := r.users.Request(r.ctx, r.randomController(), simulation.RequestSubmit, j.ID, j)
		switch status {
		case http.StatusOK, http.StatusCreated:
			r.acceptedJobs.Add(1)
			r.recordAccepted(j)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			r.fail(fmt.Errorf("%s was refused with status %d", j.ID, status))
			return false
		}
		if r.sleep(retryInterval) != nil {
			return false
		}
	}
	return false
}

// cancelJob repeats a cancellation until the job is final.
func (r *run) cancelJob(id string) {
	for r.ctx.Err() == nil {
		if r.isFinalAfter(simulation.RequestCancel, id) || r.sleep(retryInterval) != nil {
			return
		}
	}
}

func (r *run) randomController() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers[r.rng.IntN(len(r.controllers))].addr
}

// startedBefore marks in acceptedAt a job that was started before its user had the answer, or a
// second time.
const startedBefore = -1

// recordAccepted notes when a job was accepted, unless it has started already.
func (r *run) recordAccepted(j *protocol.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.acceptedAt[j.ID]; ok && at == startedBefore {
		delete(r.acceptedAt, j.ID)
		r.meter.RecordLatency(startLatencyOf(j.Class), 0)
		return
	}
	r.acceptedAt[j.ID] = r.now()
}

// recordTaskStart records the start latency of a job when its first task starts: since the end of
// its last dependency, or since it was accepted. The world's model calls it, with mu held.
func (r *run) recordTaskStart(now time.Duration, id protocol.TaskID) {
	if id.Index != 0 {
		return
	}
	if unblockedAt, ok := r.world.UnblockedAt(r.world.Jobs[id.JobID]); ok {
		delete(r.acceptedAt, id.JobID)
		r.meter.RecordLatency(UnblockedStart, now-unblockedAt)
		return
	}
	at, ok := r.acceptedAt[id.JobID]
	switch {
	case !ok:
		r.acceptedAt[id.JobID] = startedBefore
	case at != startedBefore:
		delete(r.acceptedAt, id.JobID)
		r.meter.RecordLatency(startLatencyOf(r.world.Jobs[id.JobID].Class), now-at)
	}
}

func startLatencyOf(class string) Latency {
	if class == classUrgent {
		return UrgentStart
	}
	return TaskStart
}

// recordUserReply records how long a user waited for an answer.
func (r *run) recordUserReply(kind string, took time.Duration, status int) {
	r.meter.CountMessage(LinkUsers, fmt.Sprintf("%s %d", kind, status))
	switch kind {
	case simulation.RequestSubmit:
		r.meter.RecordLatency(SubmissionReply, took)
	case simulation.RequestQuery:
		r.meter.RecordLatency(QueryReply, took)
	case simulation.RequestCancel:
		r.meter.RecordLatency(CancellationReply, took)
	}
}

// allTasksDone reports whether all tasks of a job have succeeded.
func (r *run) allTasksDone(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.world.Jobs[id]
	for i := range j.TaskCount {
		if !r.world.Done[protocol.TaskID{JobID: id, Index: i}] {
			return false
		}
	}
	return true
}

// recordCancelled notes when a user learned that a job is cancelled.
func (r *run) recordCancelled(id string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.Cancelled[id] = at
}
