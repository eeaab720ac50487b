package loadtest

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
)

// Run tests all sizes, one after the other. It stops at the first error and returns it together with the results so
// far. The error of a violated invariant wraps [ErrInvariantViolated].
func Run(ctx context.Context, cfg *Config, log *slog.Logger) (*Result, error) {
	result := &Result{
		StartedAt:          time.Now().UTC().Truncate(time.Second),
		Vary:               cfg.Vary,
		Seed:               cfg.Seed,
		HeartbeatInterval:  cfg.HeartbeatInterval.String(),
		Lease:              cfg.Lease.String(),
		MeanRunTimeSeconds: cfg.MeanRunTime.Seconds(),
		StoreLimits:        [2]float64{cfg.Store.RPS, cfg.Store.WriteRPS},
	}
	defer func() { result.Slopes = fitSlopes(result.Sizes) }()
	for _, size := range cfg.Sizes {
		log.Info("size started", "vary", cfg.Vary, "size", size)
		sizeResult, err := runSize(ctx, cfg, size, log)
		result.Sizes = append(result.Sizes, sizeResult)
		if err != nil {
			return result, fmt.Errorf("%s %d: %w", cfg.Vary, size, err)
		}
	}
	return result, nil
}

// runSize tests one size. Result has what was measured even if it returns an error.
func runSize(ctx context.Context, cfg *Config, size int, log *slog.Logger) (result SizeResult, err error) {
	result = SizeResult{Size: size, Load: cfg.loadAt(size)}
	defer func() {
		if err != nil {
			result.StopReason = err.Error()
		}
	}()
	dir, remove, err := tempDir()
	if err != nil {
		return result, err
	}
	defer remove()
	r, err := newSizeRun(ctx, cfg, result.Load, dir, log)
	if err != nil {
		return result, err
	}
	defer r.shutdown()
	err = r.execute(&result)
	if err == nil {
		err = r.cause()
	}
	if err == nil {
		err = r.checkInvariants()
	}
	r.mu.Lock()
	result.Starts = r.world.Starts
	r.mu.Unlock()
	result.CheckedReplies = r.checker.StatusAnswers
	return result, err
}

// Limits on how long execute waits for each stage.
const (
	leaderTimeout = time.Minute
	// warmupTimeoutFactor is the timeout for the registration of the workers, and again for the start of the services,
	// as a multiple of the warm-up time.
	warmupTimeoutFactor = 20
)

// sufficientShare is the share of the workers, or tasks, that execute and awaitReplies wait for. It is less than 1
// because some may be missing for reasons other than the load.
const sufficientShare = 0.95

// execute starts all components, waits until the load is steady, measures, and then injects the faults.
func (r *sizeRun) execute(result *SizeResult) error {
	if err := r.start(); err != nil {
		return err
	}
	if err := r.awaitWorkers(); err != nil {
		return err
	}
	r.submitServices()
	var err error
	if result.ServicesRunning, err = r.awaitServices(); err != nil {
		return err
	}
	r.submitArrivals()
	if err := r.sleep(r.cfg.Warmup); err != nil {
		return err
	}
	if err := r.measure(result); err != nil {
		return err
	}
	for _, f := range r.cfg.Faults {
		faultResult, err := r.injectFault(f)
		if err != nil {
			return fmt.Errorf("fault %s: %w", f, err)
		}
		result.Faults = append(result.Faults, faultResult)
	}
	return nil
}

// awaitWorkers waits until a leader is elected and sufficientShare of the workers had a reply to a heartbeat.
func (r *sizeRun) awaitWorkers() error {
	ok, err := r.waitUntil("leader elected", leaderTimeout, func() bool { return r.leader() != nil })
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("no leader was elected within a minute")
	}
	replies := r.countReplies()
	ok, err = r.waitUntil("workers registered", warmupTimeoutFactor*r.cfg.Warmup, func() bool {
		workers, _ := replies.count()
		return float64(workers) >= sufficientShare*float64(r.load.Workers)
	})
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("too few workers were registered in time")
	}
	return nil
}

// awaitServices waits until sufficientShare of the tasks of services run. If they do not within the timeout, it returns
// false without an error, and the test continues.
func (r *sizeRun) awaitServices() (bool, error) {
	wanted := int(sufficientShare * serviceShare * float64(r.load.Workers) * r.load.TasksPerWorker)
	running, err := r.waitUntil("services running", warmupTimeoutFactor*r.cfg.Warmup, func() bool {
		return r.tasksOnMachines() >= wanted
	})
	if err != nil {
		return false, err
	}
	r.log.Info("services submitted", "task_count", r.tasksOnMachines(), "duration", r.now().Round(time.Second))
	return running, nil
}

func (r *sizeRun) tasksOnMachines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.world.TasksOnMachines()
}
