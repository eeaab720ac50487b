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
	classService = "standing" // services that fill half of the room
	classArray   = "array"
	classGang    = "gang"
	classUrgent  = "urgent"
)

// urgentTeam has no limit, so that only the scheduler can hold its work up.
const urgentTeam = "urgent"

// Times of users.
const (
	pollInterval         = 5 * time.Second
	retryPause           = time.Second
	serviceShare         = 0.5 // of the room
	tasksPerService      = 96  // of a service
	cancelRunTimeDivisor = 2   // parts of a run time, after which a user calls an array off
)

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// newTeams returns the teams with their limits.
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

// tasksPerTeam is how many tasks are a team's part of all that are to run.
func (l Load) tasksPerTeam() float64 { return float64(l.Workers) * l.TasksPerWorker / float64(l.Teams) }

// newJob makes up a job; the caller says what is special about it.
func (r *run) newJob(class string, shape protocol.Shape, tasks int, team string) protocol.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobCount++
	return protocol.Job{
		ID: fmt.Sprintf(
			"j-%06d",
			r.jobCount,
		),
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

// submitServices submits the services that run all the time.
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

// submitArrivals submits arrays, gangs and urgent work for as long as the run lasts.
func (r *run) submitArrivals() {
	if r.load.TeamsAtLimit {
		for team := range r.load.Teams {
			r.wg.Go(func() { r.keepTeamOverLimit(teamName(team)) })
		}
	} else {
		arrays := r.load.StartsPerS * (1 - r.load.GangShare) / float64(r.load.ArrayTasks)
		// As many as run at a time once the load is steady.
		for range int(arrays * r.cfg.MeanRunTime.Seconds()) {
			r.wg.Go(func() { r.runUserJob(r.newArray(r.randomTeam())) })
		}
		r.wg.Go(func() { r.atRate(arrays, func() { r.runUserJob(r.newArray(r.randomTeam())) }) })
		gangs := r.load.StartsPerS * r.load.GangShare / r.meanGang()
		r.wg.Go(func() { r.atRate(gangs, func() { r.runUserJob(r.newGang(r.randomTeam())) }) })
	}
	r.wg.Go(func() { r.atRate(r.load.UrgentPerS, func() { r.runUserJob(r.newUrgent()) }) })
	r.wg.Go(func() { r.atRate(r.load.PipelinesPerS, r.submitPipeline) })
}

// keepTeamOverLimit keeps a team asking for more than its limit.
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

// atRate calls f so many times a second, each call on its own.
func (r *run) atRate(rate float64, f func()) {
	if rate <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.wg.Go(f)
		}
	}
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

func (r *run) meanGang() float64 {
	sum := 0
	sizes := r.load.gangSizes()
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
	j.MachineTypes = []string{machineType} // hollow workers of a gang find each other, processes don't
	j.CheckpointIntervalSeconds, j.SaveSeconds = r.cfg.MeanRunTime.Seconds()/4, 1
	return j
}

// runUserJob submits a job, asks for it until it is over, and repeats what is refused. Some call
// arrays off.
func (r *run) runUserJob(j protocol.Job) {
	r.mu.Lock()
	r.world.Jobs[j.ID] = &j
	off := j.Class == classArray && r.rng.Float64() < r.load.CancelShare
	r.mu.Unlock()
	if !r.submit(&j) {
		return
	}
	if off {
		timer := time.AfterFunc(r.cfg.MeanRunTime/cancelRunTimeDivisor, func() { r.cancelJob(j.ID) })
		defer timer.Stop()
	}
	r.pollUntilFinal(j.ID)
}

// pollUntilFinal asks for an accepted job until it is over.
func (r *run) pollUntilFinal(id string) {
	for r.sleep(pollInterval) == nil {
		if status, st := r.users.Request(
			r.ctx,
			r.randomController(),
			simulation.RequestQuery,
			id,
			nil,
		); status == http.StatusOK &&
			st.State.Final() {
			return
		}
	}
}

// submit submits a job until it is accepted, and says whether it was.
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
		if r.sleep(retryPause) != nil {
			return false
		}
	}
	return false
}

// cancelJob calls a job off until told that it is over.
func (r *run) cancelJob(id string) {
	for r.ctx.Err() == nil {
		if status, st := r.users.Request(
			r.ctx,
			r.randomController(),
			simulation.RequestCancel,
			id,
			nil,
		); status == http.StatusOK &&
			st.State.Final() {
			return
		}
		if r.sleep(retryPause) != nil {
			return
		}
	}
}

func (r *run) randomController() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers[r.rng.IntN(len(r.controllers))].addr
}

// recordAccepted notes that a job was accepted, unless a task of it runs already.
func (r *run) recordAccepted(j *protocol.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.acceptedAt[j.ID]; ok && at < 0 {
		delete(r.acceptedAt, j.ID)
		r.meter.RecordLatency(startLatencyOf(j.Class), 0)
		return
	}
	r.acceptedAt[j.ID] = r.now()
}

// recordTaskStart takes in a task's start; the lock is held.
func (r *run) recordTaskStart(now time.Duration, id protocol.TaskID) {
	if id.Index != 0 {
		return
	}
	if freed, awaited := r.world.UnblockedAt(r.world.Jobs[id.JobID]); awaited {
		delete(r.acceptedAt, id.JobID)
		r.meter.RecordLatency(UnblockedStart, now-freed)
		return
	}
	at, ok := r.acceptedAt[id.JobID]
	switch {
	case !ok:
		// It runs before its user has the answer, or runs again.
		r.acceptedAt[id.JobID] = -1
	case at >= 0:
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

// recordUserReply takes in how long a user waited for an answer.
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

func (r *run) recordCancelled(id string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.Cancelled[id] = at
}
