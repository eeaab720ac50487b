//go:build review2

package main

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

// runSpread: machines stop with all that is on them. The replicas that can't be replaced, because their zone has no
// room, keep a replica from being replaced whose zone has room.
func runSpread(folder string, trouble bool) (string, error) {
	const services = 28 // four replicas fill a machine
	f, err := startFleet(crosfhocal(folder, machineSpec{zone: "dublinbay", count: 38},
		machineSpec{zone: "shannonside", count: 22}))
	if err != nil {
		return "", err
	}
	last := ""
	for i := range services {
		last = fmt.Sprintf("j-%06d", i+1)
		if !f.submit(cluesmith(last, 2)) || !f.waitFor(15*time.Second, func() bool { return f.running(last) == 2 }) {
			f.stop()
			return "", errCannotRun
		}
	}
	others := cluesmith("j-000100", 60)
	others.Image, others.Zone, others.Spread = "img-clue-2", "shannonside", false
	if !f.submit(others) || !f.waitFor(15*time.Second, func() bool { return f.running("j-000100") == 60 }) {
		f.stop()
		return "", errCannotRun
	}
	dublin, shannon := f.machineOf(last, "dublinbay"), f.machineOf(last, "shannonside")
	f.log("%s, the youngest service, is on %s (dublinbay) and %s (shannonside)", last, dublin, shannon)
	if trouble {
		for i := range services {
			if name := f.machineOf(fmt.Sprintf("j-%06d", i+1), "shannonside"); name != "" && name != shannon {
				f.die(name)
			}
		}
		f.sleep(2 * time.Second)
		f.die(dublin)
	}
	since := time.Now()
	replaced := f.waitFor(waitLimit+2*time.Second, func() bool {
		return f.running(last) == 2 && (!trouble || time.Since(since) > 20*time.Second)
	})
	f.mu.Lock()
	room := 0.0
	for name, w := range f.world.Workers {
		free := w.Capacity.GPUs
		for task, t := range w.Tasks {
			if t.State != protocol.TaskExited {
				free -= f.world.Jobs[task.JobID].GPUs
			}
		}
		f.log("%s in %s has %.0f GPUs free", name, w.Zone, free)
		if w.Zone == "dublinbay" {
			room = max(room, free)
		}
	}
	f.mu.Unlock()
	if !replaced {
		return f.finish(fmt.Sprintf("the replica of %s in dublinbay is missing for %.0f s beside %.0f free GPUs there",
			last, time.Since(since).Seconds(), room))
	}
	return f.finish("")
}

// machineOf returns the machine in a zone that has a task of a job.
func (f *fleet) machineOf(id, zone string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, w := range f.world.Workers {
		for task, t := range w.Tasks {
			if task.JobID == id && t.State == protocol.TaskRunning && w.Zone == zone {
				return name
			}
		}
	}
	return ""
}

// die makes a machine stop with all that is on it. The cloud lists it until it is released.
func (f *fleet) die(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log("%s stops with all that is on it", name)
	if a := f.agents[name]; a != nil {
		a.Stop()
		delete(f.agents, name)
	}
	f.world.RemoveMachine(name)
}
