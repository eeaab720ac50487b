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

// Classes of the jobs that the simulated users submit.
const (
	classService = "standing" // services, which run during the whole test
	classArray   = "array"
	classGang    = "gang"
	classUrgent  = "urgent"
)

// urgentTeam is the team of urgent jobs and pipelines. It has no limit, so that only the scheduler can delay its jobs.
const urgentTeam = "urgent"

// Parameters of the simulated users.
const (
	pollInterval    = 5 * time.Second
	retryInterval   = time.Second
	serviceShare    = 0.5 // share of the intended running tasks that belong to services
	tasksPerService = 96
	// cancelRunTimeDivisor sets when a user cancels an array: after MeanRunTime divided by it.
	cancelRunTimeDivisor = 2
)

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// newTeams returns the teams. They have limits only if the load has TeamsAtLimit.
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

// tasksPerTeam returns the number of tasks that each team is intended to run at a time.
func (l Load) tasksPerTeam() float64 { return float64(l.Workers) * l.TasksPerWorker / float64(l.Teams) }

// newJob returns a job with a new ID and a random image.
func (r *sizeRun) newJob(class string, shape protocol.Shape, tasks int, team string) protocol.Job {
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

func (r *sizeRun) randomTeam() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return teamName(r.rng.IntN(r.load.Teams))
}

// submitServices starts to submit the services of all teams.
func (r *sizeRun) submitServices() {
	perTeam := int(r.load.tasksPerTeam() * serviceShare)
	for team := range r.load.Teams {
		for left := perTeam; left > 0; left -= tasksPerService {
			j := r.newJob(classService, protocol.Service, min(left, tasksPerService), teamName(team))
			j.EstimateSeconds = 0
			r.wg.Go(func() { r.runUserJob(j) })
		}
	}
}

// submitArrivals starts goroutines that submit arrays, gangs, urgent jobs and pipelines until the run ends.
func (r *sizeRun) submitArrivals() {
	if r.load.TeamsAtLimit {
		for team := range r.load.Teams {
			r.keepTeamOverLimit(teamName(team))
		}
	} else {
		r.submitAtRates()
	}
	r.callAtRate(r.load.UrgentJobsPerSecond, func() { r.runUserJob(r.newUrgentJob()) })
	r.callAtRate(r.load.PipelinesPerSecond, r.submitPipeline)
}

// submitAtRates starts goroutines that submit arrays and gangs at the rates of the load. In addition, it submits at
// once as many arrays as run at a time when the load is steady.
func (r *sizeRun) submitAtRates() {
	submitArray := func() { r.runUserJob(r.newArrayJob(r.randomTeam())) }
	submitGang := func() { r.runUserJob(r.newGangJob(r.randomTeam())) }
	arraysPerSecond := r.load.StartsPerSecond * (1 - r.load.GangShare) / float64(r.load.ArrayTasks)
	for range int(arraysPerSecond * r.cfg.MeanRunTime.Seconds()) {
		r.wg.Go(submitArray)
	}
	r.callAtRate(arraysPerSecond, submitArray)
	r.callAtRate(r.load.StartsPerSecond*r.load.GangShare/r.load.meanGangTasks(), submitGang)
}

// keepTeamOverLimit starts goroutines that each submit one array after the other for a team, so that the team always
// requests more than its limit.
func (r *sizeRun) keepTeamOverLimit(team string) {
	wanted := r.load.tasksPerTeam() * (r.load.Overcommit - serviceShare)
	for range max(1, int(wanted)/r.load.ArrayTasks) {
		r.wg.Go(func() {
			for r.ctx.Err() == nil {
				r.runUserJob(r.newArrayJob(team))
			}
		})
	}
}

// callAtRate starts to call f perSecond times per second, each time in a new goroutine, until the run ends.
func (r *sizeRun) callAtRate(perSecond float64, f func()) {
	if perSecond <= 0 {
		return
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	r.wg.Go(func() { callPeriodically(r.ctx, interval, func() { r.wg.Go(f) }) })
}

func (r *sizeRun) newArrayJob(team string) protocol.Job {
	return r.newJob(classArray, protocol.Array, r.load.ArrayTasks, team)
}

func (r *sizeRun) newUrgentJob() protocol.Job {
	j := r.newJob(classUrgent, protocol.Array, 1, urgentTeam)
	j.Priority = "urgent"
	return j
}

// gangSizes returns the numbers of tasks that gangs can have: powers of two from 2 up to GangTasks.
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

func (r *sizeRun) newGangJob(team string) protocol.Job {
	r.mu.Lock()
	sizes := r.load.gangSizes()
	n := sizes[r.rng.IntN(len(sizes))]
	r.mu.Unlock()
	j := r.newJob(classGang, protocol.Gang, n, team)
	j.SameZone = true
	j.MachineTypes = []string{hollowWorkerType} // worker processes have no information about the other tasks of a gang
	j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = r.cfg.MeanRunTime.Seconds()/4, 1
	return j
}

// runUserJob submits a job and polls its status until it is final. A random share of the arrays is cancelled meanwhile.
func (r *sizeRun) runUserJob(j protocol.Job) {
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

// pollUntilFinal queries the status of an accepted job until it is final or the run ends.
func (r *sizeRun) pollUntilFinal(id string) {
	for r.sleep(pollInterval) == nil {
		if r.isFinalAfter(simulation.RequestQuery, id) {
			return
		}
	}
}

// isFinalAfter sends a request about a job to a random controller, and reports whether the response shows a final
// state.
func (r *sizeRun) isFinalAfter(request, id string) bool {
	status, response := r.users.Request(r.ctx, r.randomController(), request, id, nil)
	return status == http.StatusOK && response.State.Final()
}

// submit repeats the submission of a job until it is accepted or the run ends, and reports whether it was accepted. A
// controller that rejects the job as invalid ends the run.
func (r *sizeRun) submit(j *protocol.Job) bool {
	for r.ctx.Err() == nil {
		status, _ := r.users.Request(r.ctx, r.randomController(), simulation.RequestSubmit, j.ID, j)
		switch status {
		case http.StatusOK, http.StatusCreated:
			r.acceptedJobs.Add(1)
			r.recordAccepted(j)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			r.fail(fmt.Errorf("submission of %s was rejected with status %d", j.ID, status))
			return false
		}
		if r.sleep(retryInterval) != nil {
			return false
		}
	}
	return false
}

// cancelJob repeats the cancellation of a job until the response shows a final state or the run ends.
func (r *sizeRun) cancelJob(id string) {
	for r.ctx.Err() == nil {
		if r.isFinalAfter(simulation.RequestCancel, id) || r.sleep(retryInterval) != nil {
			return
		}
	}
}

func (r *sizeRun) randomController() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers[r.rng.IntN(len(r.controllers))].addr
}

// startedBeforeAccepted is the value in acceptedAt for a job whose first task started before the user received the
// response to the submission, or whose first task started again later.
const startedBeforeAccepted = -1

// recordAccepted records when a job was accepted. If its first task has started already, it records a start latency of
// zero instead.
func (r *sizeRun) recordAccepted(j *protocol.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.acceptedAt[j.ID]; ok && at == startedBeforeAccepted {
		delete(r.acceptedAt, j.ID)
		r.meter.RecordLatency(startLatencyOf(j.Class), 0)
		return
	}
	r.acceptedAt[j.ID] = r.now()
}

// recordTaskStart records the start latency of a job when its first task starts: the time since its last dependency was
// done or, for a job without dependencies, since it was accepted. The model of the workers calls it with mu held.
func (r *sizeRun) recordTaskStart(now time.Duration, id protocol.TaskID) {
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
		r.acceptedAt[id.JobID] = startedBeforeAccepted
	case at != startedBeforeAccepted:
		delete(r.acceptedAt, id.JobID)
		r.meter.RecordLatency(startLatencyOf(r.world.Jobs[id.JobID].Class), now-at)
	}
}

func startLatencyOf(class string) LatencyKind {
	if class == classUrgent {
		return UrgentStart
	}
	return TaskStart
}

// recordUserReply counts a response to a user and records its latency.
func (r *sizeRun) recordUserReply(kind string, took time.Duration, status int) {
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

// allTasksDone reports whether all tasks of a job are done.
func (r *sizeRun) allTasksDone(id string) bool {
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

// recordCancelled records when a user was told that a job is cancelled.
func (r *sizeRun) recordCancelled(id string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.Cancelled[id] = at
}
