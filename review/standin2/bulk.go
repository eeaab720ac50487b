//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

func wordlistmega(id string) protocol.Job {
	return protocol.Job{
		ID: id, Class: "wordlistmega", Team: "corkpuzzlers", Shape: protocol.Array, Priority: "best_effort",
		TaskCount: 25000, CPUs: 0.25, MemoryGB: 1.35, Image: "img-word", ImageGB: 0.5, SpotAllowed: true,
		MachineTypes: []string{"bogoak"}, EstimateSeconds: 4,
	}
}

// machineView is what was on a machine when it was last looked at.
type machineView struct {
	session  uint64
	replicas int // running replicas of services
	tasks    int // running tasks of all jobs
}

// bulkWatch counts what sound machines lose because their reports are not answered.
type bulkWatch struct {
	seen                    map[string]machineView
	leases, replicas, tasks int
	largest                 int // longest report so far, in bytes as JSON
}

// runBulk: several huge arrays instead of one let the workers' reports grow beyond the limit, so that sound machines
// lose their leases and all their tasks.
func runBulk(folder string, trouble bool) (string, error) {
	const services = 6
	o := crosfhocal(folder, machineSpec{zone: "dublinbay", count: 12}, machineSpec{zone: "shannonside", count: 15})
	o.teams = append(o.teams, corkpuzzlers)
	o.runTime, o.terse = 4*time.Second, true
	f, err := startFleet(o)
	if err != nil {
		return "", err
	}
	for i := range services {
		id := fmt.Sprintf("j-%06d", i+1)
		service := cluesmith(id, 2)
		service.Image = fmt.Sprintf("img-clue-%d", i%3) // the class has three images
		if !f.submit(service) || !f.waitFor(15*time.Second, func() bool { return f.running(id) == 2 }) {
			f.stop()
			return "", errCannotRun
		}
	}
	f.mu.Lock()
	f.world.OnStart = nil // too many for the record
	f.mu.Unlock()
	arrays := 1
	if trouble {
		arrays = 3
	}
	for i := range arrays {
		if !f.submit(wordlistmega(fmt.Sprintf("j-00010%d", i))) {
			f.stop()
			return "", errCannotRun
		}
	}
	watch := bulkWatch{seen: map[string]machineView{}}
	for since := time.Now(); time.Since(since) < 90*time.Second; f.sleep(500 * time.Millisecond) {
		watch.look(f)
	}
	if watch.leases == 0 {
		return f.finish("")
	}
	return f.finish(fmt.Sprintf("%d leases ran out though all machines, links and controllers are sound; %d running "+
		"tasks, %d of them critical replicas, were killed; %d reports were answered with 400, the longest had %d bytes "+
		"as JSON", watch.leases, watch.tasks, watch.replicas, f.refused.Load(), watch.largest))
}

// look compares all machines with what they were before.
func (b *bulkWatch) look(f *fleet) {
	f.mu.Lock()
	entries, up, done := 0, 0, len(f.world.Done)
	for name, w := range f.world.Workers {
		view := machineView{session: w.Incarnation}
		for task, t := range w.Tasks {
			if t.State == protocol.TaskRunning {
				view.tasks++
				if f.world.Jobs[task.JobID].Shape == protocol.Service {
					view.replicas++
				}
			}
		}
		if before, ok := b.seen[name]; ok && before.session < view.session {
			b.leases++
			b.replicas += before.replicas
			b.tasks += before.tasks
			f.log("%s: its lease ran out; it ran %d tasks, %d of them replicas", name, before.tasks, before.replicas)
		}
		b.seen[name] = view
		up += view.replicas
		if len(w.Tasks) > entries {
			entries = len(w.Tasks)
			b.largest = max(b.largest, reportSize(w.PeekHeartbeat()))
		}
	}
	machines := len(f.world.Workers)
	f.mu.Unlock()
	f.log(
		"%d machines; longest list %d tasks; %d tasks done; %d replicas up; %d leases ran out; %d reports answered 400",
		machines,
		entries,
		done,
		up,
		b.leases,
		f.refused.Load(),
	)
}

// reportSize returns the size of a report in the form in which the limits are counted.
func reportSize(h *protocol.WorkerHeartbeat) int {
	raw, err := protocol.Encode(h)
	if err != nil {
		return 0
	}
	var v any
	if err := protocol.DecodeValue(raw, &v); err != nil {
		return 0
	}
	out, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(out)
}
