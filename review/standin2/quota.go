//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
)

// runQuota: the answer to the record of a start is lost, the start is withdrawn, another job of the team gets its share
// of the limit, and the leader ends. The next leader starts what was withdrawn.
func runQuota(folder string, trouble bool) (string, error) {
	o := crosfhocal(folder, machineSpec{zone: "dublinbay", count: 1}, machineSpec{zone: "shannonside", count: 1})
	o.teams = append(o.teams, config.Team{Name: "corkpuzzlers", MaxCPUs: 8, MaxGPUs: 1})
	o.runTime = time.Minute
	f, err := startFleet(o)
	if err != nil {
		return "", err
	}
	recorded := make(chan bool, 1)
	f.store.SetOutcomes(func(_ string, txn *protocol.Txn) simulation.Outcome {
		for _, op := range txn.Then {
			if strings.HasPrefix(op.PutKey, "place/j-000001/") {
				select {
				case recorded <- true:
					f.log("the start of j-000001 is recorded; the answer is lost: %t", trouble)
					return simulation.Outcome{Reply: !trouble}
				default:
				}
			}
		}
		return simulation.Outcome{Reply: true}
	})
	f.sleep(3 * time.Second) // both machines have reported by then
	first, second := guestTask("j-000001", "dublinbay"), guestTask("j-000002", "shannonside")
	if !f.submit(first) {
		f.stop()
		return "", errCannotRun
	}
	select {
	case <-recorded:
	case <-time.After(10 * time.Second):
		f.stop()
		return "", errCannotRun
	}
	replica := cluesmith("j-000003", 1)
	replica.Zone = "dublinbay"
	if !f.submit(second) || !f.submit(replica) {
		f.stop()
		return "", errCannotRun
	}
	if trouble {
		if !f.waitFor(3*time.Second, func() bool { return f.running(second.ID) == 1 }) {
			f.log("j-000002 was not started")
			f.stop()
			return "", fmt.Errorf("%w: the start was not withdrawn", errCannotRun)
		}
		leader := f.leader()
		leader.kill()
		f.sleep(6 * time.Second)
		_ = leader.start()
	}
	f.sleep(10 * time.Second)
	f.log("running: %s %d, %s %d; the limit of corkpuzzlers is one task", first.ID, f.running(first.ID), second.ID,
		f.running(second.ID))
	return f.finish("")
}

// guestTask is a job of gridsweep's size of a team with a limit, bound to a zone.
func guestTask(id, zone string) protocol.Job {
	j := gridsweep(id, 1)
	j.Team, j.Zone = "corkpuzzlers", zone
	return j
}
