//go:build review2

package main

import "time"

// runFlap: the link between two controllers is interrupted, the leadership changes every few seconds, and a machine that
// hangs with a task of a cancelled job is never returned to the cloud.
func runFlap(folder string, trouble bool) (string, error) {
	o := crosfhocal(folder, machineSpec{zone: "dublinbay", count: 3})
	o.links, o.runTime = true, 10*time.Minute
	f, err := startFleet(o)
	if err != nil {
		return "", err
	}
	const id = "j-000001"
	if !f.submit(gridsweep(id, 2)) || !f.waitFor(15*time.Second, func() bool { return f.running(id) == 2 }) {
		f.stop()
		return "", errCannotRun
	}
	if trouble {
		f.cutLeaderLink()
	}
	f.sleep(5 * time.Second)
	machine := f.machineOf(id, "dublinbay")
	f.mu.Lock()
	a := f.agents[machine]
	if trouble {
		a.Hang()
		f.log("%s hangs", machine)
	}
	f.mu.Unlock()
	if !f.cancelJob(id) {
		f.stop()
		return "", errCannotRun
	}
	told, terms, last := time.Now(), 0, ""
	for time.Since(told) < f.cancel+5*time.Second {
		if l := f.leader(); l != nil && l.name != last {
			terms, last = terms+1, l.name
			f.log("%s leads", last)
		}
		f.sleep(100 * time.Millisecond)
	}
	f.log("%d leaders in %.0f s; tasks of %s on machines: %d", terms, time.Since(told).Seconds(), id, f.running(id))
	return f.finish("")
}

// cutLeaderLink interrupts the link between the leader and one other controller, and holds back what is sent on it.
func (f *fleet) cutLeaderLink() {
	leader := f.leader()
	for i, c := range f.controllers {
		if c == leader {
			other := (i + 1) % controllerCount
			f.log("the link between %s and %s is interrupted", c.name, f.controllers[other].name)
			f.meshLinks[[2]int{i, other}].set(linkHold)
			f.meshLinks[[2]int{other, i}].set(linkHold)
			return
		}
	}
	f.log("no leader")
}
