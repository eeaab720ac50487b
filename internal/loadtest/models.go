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

// ErrInvariantViolated is wrapped by errors that report a violated invariant of the scheduler.
var ErrInvariantViolated = errors.New("invariant violated")

// Names of the machine types.
const (
	hollowWorkerType  = "hollow"
	workerProcessType = "process"
)

// Properties of tasks and machines. All tasks request the same resources. Because of capacityFactor, a machine has room
// for a fifth more tasks than it is intended to run.
const (
	taskCPUs         = 2
	taskMemoryGB     = 4
	capacityFactor   = 1.2
	machineGPUs      = 2
	imageGB          = 1
	imageCount       = 30
	fetchGBPerSecond = 100
	fetchTime        = 50 * time.Millisecond
	hourlyPrice      = 10
	// bootSeconds is so long that the controllers keep idle machines: the number of machines must not change during a
	// test.
	bootSeconds = 3600
)

// modelInterval is the interval at which the models are advanced and the invariants are checked.
const modelInterval = 20 * time.Millisecond

// newMachineTypes returns the machine type of hollow workers and, if there are worker processes, a second one for them.
func newMachineTypes(cfg *Config, load Load) []protocol.MachineType {
	tasks := float64(int(load.TasksPerWorker*capacityFactor + 1))
	hollow := protocol.MachineType{
		Name:             hollowWorkerType,
		CPUs:             tasks * taskCPUs,
		GPUs:             machineGPUs,
		MemoryGB:         tasks * taskMemoryGB,
		CacheGB:          imageCount * imageGB,
		FetchGBPerSecond: fetchGBPerSecond,
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

// newWorld returns the model of the workers, which also checks the invariants that concern tasks.
func (r *sizeRun) newWorld() *simulation.World {
	const cancelTimeoutLeases = 4
	world := simulation.NewWorld(cancelTimeoutLeases*r.cfg.Lease, fetchTime, r.cfg.MeanRunTime)
	// The response to a cancellation may be in transit for as long as a command that a controller sends directly to a
	// worker, and so may the last command that was sent before that response.
	world.CommandTransitTime = r.cfg.HeartbeatInterval
	world.RunTimeOf = r.runTime
	world.OnStart = r.recordTaskStart
	for _, t := range r.teams {
		world.TeamLimits[t.Name] = simulation.Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}
	}
	return world
}

// runTime returns the run time of a task: between 0.5 and 1.5 times the mean, and always the same for the same task.
func (r *sizeRun) runTime(id protocol.TaskID) time.Duration {
	const buckets = 1 << 10
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, id.JobID, id.Index) // writing to a hash cannot fail
	return r.cfg.MeanRunTime/2 + r.cfg.MeanRunTime*time.Duration(h.Sum32()%buckets)/buckets
}

// newCloud returns the model of the cloud. It has only the machines that the run adds itself: controllers cannot rent
// any.
func (r *sizeRun) newCloud() *simulation.Cloud {
	cloud := simulation.NewCloud(&r.mu, r.now)
	cloud.Types, cloud.ListLag = r.machineTypes, config.Seconds(r.cfg.Cloud.ListLagSeconds)
	cloud.Capacity = func(protocol.RentalRequest) int { return 0 }
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

// advanceModels periodically advances the models and checks the invariants until the run ends.
func (r *sizeRun) advanceModels() {
	callPeriodically(r.ctx, modelInterval, func() {
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

// callPeriodically calls f at the given interval until the context ends.
func callPeriodically(ctx context.Context, interval time.Duration, f func()) {
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

// checkInvariants returns an error if a controller has exited unexpectedly or an invariant of the scheduler is
// violated.
func (r *sizeRun) checkInvariants() error {
	r.mu.Lock()
	violations := append([]string{}, r.world.Violations...)
	lateStarts := r.world.LateStarts
	r.mu.Unlock()
	violations = append(violations, r.checker.Violations()...)
	if lateStarts > 0 {
		violations = append(violations, fmt.Sprintf("%d task starts after a confirmed cancellation", lateStarts))
	}
	for _, p := range r.controllers {
		if p.exitedUnexpectedly() {
			return fmt.Errorf("%s exited unexpectedly", p.name)
		}
	}
	if len(violations) > 0 {
		return fmt.Errorf("%w: %s (%d violations in total)", ErrInvariantViolated, violations[0], len(violations))
	}
	return nil
}
