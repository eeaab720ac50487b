package loadtest

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
)

// ErrInvariantViolated is wrapped when an invariant of the scheduler does not hold.
var ErrInvariantViolated = errors.New("a rule was broken")

// Names of machine types.
const (
	hollowWorkerType  = "hollow"
	workerProcessType = "process"
)

// What tasks and machines are like. All tasks request the same. A machine has capacity for a fifth
// more tasks than it is meant to run.
const (
	taskCPUs       = 2
	taskMemoryGB   = 4
	capacityFactor = 1.2
	machineGPUs    = 2
	imageGB        = 1
	imageCount     = 30
	fetchGBPerS    = 100
	fetchTime      = 50 * time.Millisecond
	hourlyPrice    = 10
	// bootSeconds is so long that idle machines are kept: the number of machines must not change.
	bootSeconds = 3600
)

// modelInterval is the interval at which models are advanced and invariants checked.
const modelInterval = 20 * time.Millisecond

// newMachineTypes returns the type of hollow workers and, if there are any, that of workers that are
// processes.
func newMachineTypes(cfg *Config, load Load) []protocol.MachineType {
	tasks := float64(int(load.TasksPerWorker*capacityFactor + 1))
	hollow := protocol.MachineType{
		Name:             hollowWorkerType,
		CPUs:             tasks * taskCPUs,
		GPUs:             machineGPUs,
		MemoryGB:         tasks * taskMemoryGB,
		CacheGB:          imageCount * imageGB,
		FetchGBPerSecond: fetchGBPerS,
		HourlyPrice:      hourlyPrice,
		HourlySpotPrice:  hourlyPrice / 2,
		BootSeconds:      bootSeconds,
		Zones:            zoneNames(load.Zones),
	}
	types := []protocol.MachineType{hollow}
	if cfg.WorkerProcesses > 0 {
		process := hollow
		process.Name = workerProcessType
		types = append(types, process)
	}
	return types
}

// newWorld returns the model of the workers, which checks the invariants of tasks.
func (r *run) newWorld() *simulation.World {
	const leasesToCancel = 4
	world := simulation.NewWorld(leasesToCancel*r.cfg.Lease, fetchTime, r.cfg.MeanRunTime)
	// The reply to a cancellation and the last command sent before it may be on their way for as
	// long as a direct command may take.
	world.CommandTransitTime = r.cfg.HeartbeatInterval
	world.RunTimeOf = r.runTime
	world.OnStart = r.recordTaskStart
	for _, t := range r.teams {
		world.TeamLimits[t.Name] = simulation.Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}
	}
	return world
}

// runTime is between a half and one and a half times the mean, and always the same for a task.
func (r *run) runTime(id protocol.TaskID) time.Duration {
	const parts = 1 << 10
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, id.JobID, id.Index) // a hash does not fail
	return r.cfg.MeanRunTime/2 + r.cfg.MeanRunTime*time.Duration(h.Sum32()%parts)/parts
}

// newCloud returns the model of the cloud. It lends no machines but those that the run starts.
func (r *run) newCloud() *simulation.Cloud {
	cloud := simulation.NewCloud(&r.mu, r.now)
	cloud.Types, cloud.ListLag = r.machineTypes, config.Seconds(r.cfg.Cloud.ListLagSeconds)
	cloud.Capacity = func(protocol.Rental) int { return 0 }
	cloud.BootTime = func(string) time.Duration { return 0 }
	cloud.Address = func(number int) string {
		if process := number - r.load.Workers; process > 0 {
			return r.cfg.workerProcessAddr(process)
		}
		return r.cfg.hollowWorkerAddr(number)
	}
	cloud.StartWorker, cloud.StopWorker = r.startWorker, r.stopWorker
	return cloud
}

// advanceModels advances the models and checks the invariants until the run ends.
func (r *run) advanceModels() {
	every(r.ctx, modelInterval, func() {
		now := r.now()
		r.store.Advance(now)
		r.mu.Lock()
		r.world.Advance(now)
		r.mu.Unlock()
		if err := r.checkInvariants(); err != nil {
			r.fail(err)
		}
	})
}

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// checkInvariants returns an error if a controller has exited by itself or an invariant of the
// scheduler does not hold.
func (r *run) checkInvariants() error {
	r.mu.Lock()
	violations := append([]string{}, r.world.Violations...)
	lateStarts := r.world.LateStarts
	r.mu.Unlock()
	violations = append(violations, r.checker.Violations()...)
	if lateStarts > 0 {
		violations = append(violations, fmt.Sprintf("%d starts after a confirmed cancellation", lateStarts))
	}
	for _, p := range r.controllers {
		if p.exitedUnexpectedly() {
			return fmt.Errorf("%s ended by itself", p.name)
		}
	}
	if len(violations) > 0 {
		return fmt.Errorf("%w: %s (%d in all)", ErrInvariantViolated, violations[0], len(violations))
	}
	return nil
}
