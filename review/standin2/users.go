//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
)

// The classes of crosfhocal-fleet, with the sizes of its page.
var (
	liffeydesk   = config.Team{Name: "liffeydesk"}
	corkpuzzlers = config.Team{Name: "corkpuzzlers"}
	bogoak       = protocol.MachineType{
		Name: "bogoak", CPUs: 96, GPUs: 8, MemoryGB: 576, CacheGB: 800, FetchGBPerSecond: 1.7,
		HourlyPrice: 27.18, HourlySpotPrice: 9.12, BootSeconds: 35, Zones: []string{"dublinbay", "shannonside"},
	}
	crosfhocalObjectives = []config.Objective{
		{Kind: "wait", Class: "cluesmith", WithinSeconds: 12, Fraction: 0.82},
		{Kind: "finished", Class: "gridsweep", WithinSeconds: 180, Fraction: 0.93},
		{Kind: "wait", Class: "cryptvet", WithinSeconds: 80, Fraction: 0.9},
		{Kind: "wait", Class: "cryptvet", WithinSeconds: 120, Fraction: 0.93},
		{Kind: "finished", Class: "cryptvet", WithinSeconds: 300, Fraction: 0.93},
		{Kind: "wait", Class: "settertune", WithinSeconds: 30, Fraction: 0.85},
		{Kind: "finished", Class: "settertune", WithinSeconds: 250, Fraction: 0.85},
	}
)

func cluesmith(id string, tasks int) protocol.Job {
	return protocol.Job{
		ID:           id,
		Class:        "cluesmith",
		Team:         "liffeydesk",
		Shape:        protocol.Service,
		Priority:     "critical",
		TaskCount:    tasks,
		CPUs:         16,
		GPUs:         2,
		MemoryGB:     80,
		Image:        "img-clue",
		ImageGB:      72.7,
		MachineTypes: []string{"bogoak"},
		Spread:       true,
	}
}

func gridsweep(id string, tasks int) protocol.Job {
	return protocol.Job{
		ID: id, Class: "gridsweep", Team: "liffeydesk", Shape: protocol.Array, Priority: "normal", TaskCount: tasks,
		CPUs: 8, GPUs: 1, MemoryGB: 40, Image: "img-grid", ImageGB: 42.7, MachineTypes: []string{"bogoak"},
		SpotAllowed: true, EstimateSeconds: 60, CheckpointIntervalSeconds: 10, CheckpointSaveSeconds: 5,
	}
}

// ask sends one request of a user to a controller and records it with its answer.
func (f *fleet) ask(c *controller, kind, id string, j *protocol.Job) (int, protocol.JobStatus) {
	status, answer := f.users.Request(f.ctx, c.userLink.addr(), kind, id, j)
	f.log("%s of %s at %s: %d %s done=%d running=%d", kind, id, c.name, status, answer.State, answer.DoneTasks,
		answer.RunningTasks)
	return status, answer
}

// pick returns a controller for a new connection of a user.
func (f *fleet) pick(purpose string) *controller {
	return f.controllers[f.environment.Random.For(purpose).IntN(len(f.controllers))]
}

// submit repeats a submission for up to 60 s, and reports whether the job was accepted.
func (f *fleet) submit(j protocol.Job) bool {
	f.mu.Lock()
	f.world.Jobs[j.ID] = &j
	f.mu.Unlock()
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && f.ctx.Err() == nil; f.sleep(time.Second) {
		status, _ := f.ask(f.pick("submit "+j.ID), simulation.RequestSubmit, j.ID, &j)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
	}
	return false
}

// cancelJob repeats a cancellation until it is answered.
func (f *fleet) cancelJob(id string) bool {
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && f.ctx.Err() == nil; f.sleep(time.Second) {
		status, _ := f.ask(f.pick("cancel "+id), simulation.RequestCancel, id, nil)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// waitDone polls until a job is done, and reports whether it was in time.
func (f *fleet) waitDone(id string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && f.ctx.Err() == nil; f.sleep(time.Second) {
		status, answer := f.ask(f.pick("poll "+id), simulation.RequestQuery, id, nil)
		if status == http.StatusOK && answer.State.Final() {
			return true
		}
	}
	return false
}

// running returns how many tasks of a job are running on machines.
func (f *fleet) running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.world.Workers {
		for task, t := range w.Tasks {
			if task.JobID == id && t.State == protocol.TaskRunning {
				n++
			}
		}
	}
	return n
}

// violations returns the broken rules that the stand-ins have seen.
func (f *fleet) violations() []string {
	f.mu.Lock()
	list := append([]string{}, f.world.Violations...)
	f.mu.Unlock()
	list = append(list, f.checker.Violations()...)
	for _, c := range f.controllers {
		c.mu.Lock()
		if c.unexpected {
			list = append(list, fmt.Sprintf("%s ended by itself", c.name))
		}
		c.mu.Unlock()
	}
	return list
}
