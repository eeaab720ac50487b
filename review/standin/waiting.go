//go:build review

package main

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

const (
	// maxWaiting is the limit of the rule: no job is left waiting for longer while a machine that fits has room.
	maxWaiting = 90 * time.Second
	pollPause  = 5 * time.Second // between two questions of a user
)

// awaitJobs polls jobs as their users do until all are done. It returns an error that matches errBroken as soon as one
// of them has had no task on any machine for maxWaiting, while at every moment of that time machines that fit had room.
// The time counts from the call, when all troubles must be over.
func (l *lab) awaitJobs(ids ...string) error {
	since := map[string]time.Duration{}
	for _, id := range ids {
		since[id] = l.now()
	}
	for nextPoll := l.now(); len(since) > 0; l.sleep(modelInterval) {
		if err := l.controllersAlive(); err != nil {
			return err
		}
		if l.now() >= nextPoll {
			nextPoll = l.now() + pollPause
			for _, id := range ids {
				if _, open := since[id]; open && l.state(id) == protocol.JobDone {
					delete(since, id)
				}
			}
		}
		if err := l.checkWaiting(since); err != nil {
			return err
		}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
	}
	return nil
}

// checkWaiting restarts the time of each job that does not wait or that there is no room for, and returns an error for
// a job that has waited too long. No team has a limit.
func (l *lab) checkWaiting(since map[string]time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range since {
		where := l.whereRoom(id)
		switch {
		case l.onMachines(id) > 0 || where == "":
			since[id] = l.now()
		case l.now()-since[id] > maxWaiting:
			return fmt.Errorf(
				"%w: %s has been waiting for %.0f s without any trouble, and all the time there was room: %s",
				errBroken,
				id,
				(l.now() - since[id]).Seconds(),
				where,
			)
		}
	}
	return nil
}

// whereRoom describes the room for a job, or returns "" if there is not enough. One task is enough for an array or a
// service, a gang needs room for all its tasks at once. A machine that fails tasks has no room. The caller holds mu.
func (l *lab) whereRoom(id string) string {
	job := l.jobs[id]
	needed := 1
	if job.Shape == protocol.Gang {
		needed = job.TaskCount
	}
	tasks := map[string]int{} // by zone, or under "" if the zone does not matter
	machines, example := 0, ""
	for _, name := range l.machines() {
		worker := l.world.Workers[name]
		n := l.room(name, job, needed)
		if worker.FailsTasks || n == 0 {
			continue
		}
		zone := ""
		if job.SameZone {
			zone = worker.Zone
		}
		tasks[zone] += n
		machines++
		free := l.free(name)
		example = fmt.Sprintf("%s has %.0f CPUs, %.0f GPUs and %.0f GB free", name, free.CPUs, free.GPUs, free.MemoryGB)
	}
	for _, n := range tasks {
		if n >= needed {
			return fmt.Sprintf("%d machines with room, for example %s", machines, example)
		}
	}
	return ""
}
