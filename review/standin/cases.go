//go:build review

package main

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// cases returns the cases by name. The last four are not among the cases of the review; the report describes them.
func cases() map[string]testCase {
	small := ndiaye(dakarport)
	small.runTime = 20 * time.Second
	vans := ndiaye(dakarport)
	vans.fetchTime = 1800 * time.Millisecond // of an image of 16 GB, as vanquery has them
	return map[string]testCase{
		"huge-array": {site: crossword(65), run: runHugeArray},
		"backfill":   {site: ndiaye(dakarport, dakarport), run: runBackfill},
		"large-gang": {
			site:      ndiaye(slices.Repeat([]string{dakarport}, 7)...),
			run:       runLargeGang,
			announced: config.FutureStoreLimits{ValueKB: 2, TxnOps: 5, WriteRPS: 35},
		},
		"quarantine":  {site: ndiaye(dakarport, dakarport, dakarport), run: runQuarantine},
		"failed-on":   {site: ndiaye(dakarport, dakarport, dakarport), run: runFailedOn},
		"small-tasks": {site: small, run: runSmallTasks},
		"headroom":    {site: vans, run: runHeadroom},
	}
}

// waitForReplicas waits until the given number of tasks runs.
func (l *lab) waitForReplicas(count int) error {
	return l.waitUntil(fmt.Sprintf("%d replicas run", count), 20*time.Second, func() bool {
		running := 0
		for _, worker := range l.world.Workers {
			for _, task := range worker.Tasks {
				if task.State == protocol.TaskRunning {
					running++
				}
			}
		}
		return running == count
	})
}

const (
	// usualGangs is the number of gangs that arrive without the disruption, burstGangs with it: three times as many.
	usualGangs = 2
	burstGangs = 6
	// burstTime is the time in which they arrive.
	burstTime = 9 * time.Second
)

// runBackfill: gangs that each need a whole machine wait, as every machine has a replica. A job that comes later must
// run in what the machines have left.
func runBackfill(l *lab, trouble bool) error {
	replicas := len(l.site.machineZones)
	for i := range replicas {
		job := l.site.job(1+i, "tracereader", protocol.Service, protocol.PriorityCritical, 1, 33, 8, 100)
		job.Spread = true
		if err := l.submit(job); err != nil {
			return err
		}
	}
	if err := l.waitForReplicas(replicas); err != nil {
		return err
	}
	gangs := usualGangs
	if trouble {
		gangs = burstGangs
		l.record("disruption begins: jobs of the class burstcast come three times as often")
	}
	for i := range gangs {
		job := l.site.job(11+i, "burstcast", protocol.Gang, protocol.PriorityUrgent, 1, 43, 8, 150)
		job.SameZone, job.EstimateSeconds = true, 150
		job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 30, 4
		if err := l.submit(job); err != nil {
			return err
		}
		l.sleep(burstTime / time.Duration(gangs))
	}
	l.record("the arrival of gangs is over")
	job := l.site.job(31, "loggerclean", protocol.Array, protocol.PriorityBestEffort, 1, 1, 0, 3.2)
	job.SpotAllowed = true
	if err := l.submit(job); err != nil {
		return err
	}
	return l.awaitJobs(job.ID)
}

// smallBatch returns an array of one task as the class districtsweep has them.
func (l *lab) smallBatch(number int) protocol.Job {
	job := l.site.job(number, "districtsweep", protocol.Array, protocol.PriorityNormal, 1, 8, 2, 25)
	job.SpotAllowed, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = true, 20, 1
	return job
}

// sickTime is how long a machine fails every task that it starts.
const sickTime = 5 * time.Second

// fillFleet submits five replicas, each of which takes half of a machine, and returns the only one of three machines
// that has room left.
func (l *lab) fillFleet() (room string, err error) {
	const replicas = 5
	for i := range replicas {
		job := l.site.job(1+i, "tracereader", protocol.Service, protocol.PriorityCritical, 1, 24, 4, 96)
		if err := l.submit(job); err != nil {
			return "", err
		}
	}
	if err := l.waitForReplicas(replicas); err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range l.machines() {
		if l.free(name).GPUs > 0 {
			if room != "" {
				return "", fmt.Errorf("both %s and %s have room", room, name)
			}
			room = name
		}
	}
	return room, nil
}

// setSick makes a machine fail every task that it starts, or ends that.
func (l *lab) setSick(name string, sick bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.Workers[name].FailsTasks = sick
	l.record("disruption: %s fails every task that it starts: %t", name, sick)
}

// runSick fills the fleet, submits jobs while the machine that has room is sick, and one more job afterwards. It
// returns when the machine is well.
func (l *lab) runSick(trouble bool, jobs ...int) error {
	room, err := l.fillFleet()
	if err != nil {
		return err
	}
	if trouble {
		l.setSick(room, true)
	}
	sickUntil := l.now() + sickTime
	for _, number := range jobs {
		if err := l.submit(l.smallBatch(number)); err != nil {
			return err
		}
	}
	l.sleep(sickUntil - l.now())
	if trouble {
		l.setSick(room, false)
	}
	return l.submit(l.smallBatch(31))
}

// runQuarantine: two jobs fail on a machine while it is sick. A later job must run there once the machine is well.
func runQuarantine(l *lab, trouble bool) error {
	if err := l.runSick(trouble, 11, 12); err != nil {
		return err
	}
	return l.awaitJobs(jobID(31))
}

// runFailedOn: one job fails on a machine while it is sick. It must run there once the machine is well, as a later job
// does.
func runFailedOn(l *lab, trouble bool) error {
	if err := l.runSick(trouble, 11); err != nil {
		return err
	}
	return l.awaitJobs(jobID(11), jobID(31))
}

// settleTime is how long a new fleet takes to make its feature level final.
const settleTime = 4 * time.Second

// runLargeGang: a gang of 300 tasks must start although the key-value store has lowered its limits. The settings
// announce the lower limits from the start.
func runLargeGang(l *lab, trouble bool) error {
	const tasks = 300
	l.setSummary()
	l.sleep(settleTime)
	if trouble {
		lower := l.site.deployment.Store.Lowest()
		l.store.SetLimits(lower)
		l.record("disruption: the state service lowers its limits to %.0f KiB, %d changes a transaction, %.0f a second",
			lower.ValueKB, lower.TxnOps, lower.WriteRPS)
	}
	job := l.site.job(11, "crossmesh", protocol.Gang, protocol.PriorityNormal, tasks, 1, 0, 0.5)
	if err := l.submit(job); err != nil {
		return err
	}
	return l.awaitJobs(job.ID)
}

// runSmallTasks: jobs of many small tasks come three times as often as usual. All their tasks fit on the machine at the
// same time. Every job must be done some time.
func runSmallTasks(l *lab, trouble bool) error {
	const tasks, burstFactor = 600, 3
	l.setSummary()
	jobs := 1
	if trouble {
		jobs = burstFactor
	}
	for i := range jobs {
		job := l.site.job(11+i, "districtsweep", protocol.Array, protocol.PriorityNormal, tasks, 0.025, 0, 0.1)
		if err := l.submit(job); err != nil {
			return err
		}
	}
	for end := l.now() + 95*time.Second; jobs > 0; l.sleep(pollPause) {
		if l.state(jobID(10+jobs)) == protocol.JobDone {
			jobs--
			continue
		}
		if l.now() > end {
			l.mu.Lock()
			defer l.mu.Unlock()
			return fmt.Errorf("%w: %d tasks have completed; reports refused with 400, by machine: %v",
				errBroken, len(l.world.Done), l.rejected)
		}
	}
	return nil
}

// runHugeArray: a guest team submits one huge array of small tasks. The jobs of the other team must run on.
func runHugeArray(l *lab, trouble bool) error {
	const replicas = 2
	l.setSummary()
	service := l.site.job(1, "cluesmith", protocol.Service, protocol.PriorityCritical, replicas, 16, 2, 80)
	service.Spread = true
	if err := l.submit(service); err != nil {
		return err
	}
	if err := l.waitForReplicas(replicas); err != nil {
		return err
	}
	if trouble {
		huge := l.site.job(11, "wordlistmega", protocol.Array, protocol.PriorityBestEffort, protocol.MaxTasks,
			0.12, 0, 0.7)
		huge.Team, huge.SpotAllowed = "corkpuzzlers", true
		l.record("disruption: the guest team submits an array of %d tasks", huge.TaskCount)
		if err := l.submit(huge); err != nil {
			return err
		}
	}
	batch := l.site.job(31, "gridsweep", protocol.Array, protocol.PriorityNormal, 1, 8, 1, 40)
	batch.SpotAllowed, batch.CheckpointIntervalSeconds, batch.CheckpointSaveSeconds = true, 10, 1
	if err := l.submit(batch); err != nil {
		return err
	}
	return l.awaitJobs(batch.ID)
}

// runHeadroom: services of a class with a short start objective come three times as often as usual. A later small job
// must run in the room that they leave.
func runHeadroom(l *lab, trouble bool) error {
	const replicas, burstFactor = 2, 3
	jobs := 1
	if trouble {
		jobs = burstFactor
	}
	for i := range jobs {
		job := l.site.job(1+i, "vanquery", protocol.Service, protocol.PriorityCritical, replicas, 4, 1, 12)
		if err := l.submit(job); err != nil {
			return err
		}
		l.sleep(pollPause)
	}
	if err := l.waitForReplicas(replicas * jobs); err != nil {
		return err
	}
	if err := l.submit(l.smallBatch(31)); err != nil {
		return err
	}
	return l.awaitJobs(jobID(31))
}
