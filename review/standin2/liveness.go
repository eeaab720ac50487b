//go:build review2

package main

import (
	"fmt"
	"time"
)

// runSick: a machine fails every task that it starts for a while. A job whose task failed there waits for ever
// afterwards, although the machine is sound again and has room.
func runSick(folder string, trouble bool) (string, error) {
	f, err := startFleet(ndiaye(folder, machineSpec{zone: "dakarport", count: 1}))
	if err != nil {
		return "", err
	}
	replica := vanquery("j-000001", 1)
	if !f.submit(replica) || !f.waitFor(15*time.Second, func() bool { return f.running(replica.ID) == 1 }) {
		f.stop()
		return "", errCannotRun
	}
	f.setSick("host-000001", trouble)
	if !f.submit(districtsweep("j-000002", 2)) {
		f.stop()
		return "", errCannotRun
	}
	f.sleep(8 * time.Second)
	f.setSick("host-000001", false)
	healed := time.Now()
	if !f.submit(districtsweep("j-000003", 2)) {
		f.stop()
		return "", errCannotRun
	}
	later := f.waitDone("j-000003", 30*time.Second)
	f.log("j-000003, which was submitted after the trouble, is done: %t", later)
	if !f.waitDone("j-000002", waitLimit-time.Since(healed)) {
		return f.finish(fmt.Sprintf("j-000002 waits %.0f s after the trouble beside 7 free GPUs; j-000003 of the same "+
			"class, submitted after it, was done on that machine meanwhile: %t", time.Since(healed).Seconds(), later))
	}
	return f.finish("")
}

// setSick makes a machine fail every task that it starts, or ends that.
func (f *fleet) setSick(machine string, sick bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.world.Workers[machine]; w != nil {
		w.FailsTasks = sick
	}
	f.log("%s fails every task that it starts: %t", machine, sick)
}

// runGangs: a burst of gangs for which there is no capacity keeps a smaller job from the room that is there.
func runGangs(folder string, trouble bool) (string, error) {
	f, err := startFleet(crosfhocal(folder, machineSpec{zone: "dublinbay", count: 1}))
	if err != nil {
		return "", err
	}
	if !f.submit(cluesmith("j-000001", 1)) ||
		!f.waitFor(15*time.Second, func() bool { return f.running("j-000001") == 1 }) {
		f.stop()
		return "", errCannotRun
	}
	gangs := 1
	if trouble {
		gangs = 4
	}
	for i := range gangs {
		if !f.submit(cryptvet(fmt.Sprintf("j-00010%d", i))) {
			f.stop()
			return "", errCannotRun
		}
		f.sleep(700 * time.Millisecond)
	}
	if !f.submit(gridsweep("j-000002", 2)) {
		f.stop()
		return "", errCannotRun
	}
	since := time.Now()
	if !f.waitDone("j-000002", waitLimit) {
		return f.finish(fmt.Sprintf("j-000002 has waited for %.0f s beside 6 free GPUs", time.Since(since).Seconds()))
	}
	return f.finish("")
}
