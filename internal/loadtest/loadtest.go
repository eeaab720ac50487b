package loadtest

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
)

// Run tests all sizes, one after the other. The first error ends it, a violated invariant with
// ErrInvariantViolated; the result then holds what was measured until that.
func Run(ctx context.Context, cfg *Config, log *slog.Logger) (*Result, error) {
	result := &Result{
		At:                time.Now().UTC().Truncate(time.Second),
		Vary:              cfg.Vary,
		Seed:              cfg.Seed,
		HeartbeatInterval: cfg.HeartbeatInterval.String(),
		Lease:             cfg.Lease.String(),
		RunTimeS:          cfg.MeanRunTime.Seconds(),
		StateLimits:       [2]float64{cfg.Store.RPS, cfg.Store.WriteRPS},
	}
	defer func() { result.Slopes = fitSlopes(result.Sizes) }()
	for _, size := range cfg.Sizes {
		log.Info("size started", "vary", cfg.Vary, "size", size)
		one, err := runSize(ctx, cfg, size, log)
		result.Sizes = append(result.Sizes, one)
		if err != nil {
			return result, fmt.Errorf("%s %d: %w", cfg.Vary, size, err)
		}
	}
	return result, nil
}

// runSize tests one size.
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
	r, err := newRun(ctx, cfg, result.Load, dir, log)
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
	result.CheckedReplies = r.checker.BindingAnswers
	return result, err
}

// How long execute waits for each stage.
const (
	leaderTimeout = time.Minute
	// warmupTimeoutFactor is in warm-up times, for the workers' registration and for the services.
	warmupTimeoutFactor = 20
)

// nearlyAll is the share of workers, or tasks, that counts as all: some may be missing for other
// reasons than the load.
const nearlyAll = 0.95

// execute starts everything, waits until the load is steady, measures, and injects the faults.
func (r *run) execute(result *SizeResult) error {
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
		one, err := r.injectFault(f)
		if err != nil {
			return fmt.Errorf("fault %s: %w", f, err)
		}
		result.Faults = append(result.Faults, one)
	}
	return nil
}

// awaitWorkers waits until a leader is elected and nearly all workers had a reply to a heartbeat.
func (r *run) awaitWorkers() error {
	ok, err := r.waitUntil("leader elected", leaderTimeout, func() bool { return r.leader() != nil })
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("nobody leads within a minute")
	}
	replies := r.countReplies()
	ok, err = r.waitUntil("workers registered", warmupTimeoutFactor*r.cfg.Warmup, func() bool {
		workers, _ := replies.count()
		return float64(workers) >= nearlyAll*float64(r.load.Workers)
	})
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("most workers were not heard in time")
	}
	return nil
}

// awaitServices waits until nearly all tasks of services run. It returns false if they do not in
// time; the test goes on then.
func (r *run) awaitServices() (bool, error) {
	wanted := int(nearlyAll * serviceShare * float64(r.load.Workers) * r.load.TasksPerWorker)
	running, err := r.waitUntil("services running", warmupTimeoutFactor*r.cfg.Warmup, func() bool {
		return r.tasksOnMachines() >= wanted
	})
	if err != nil {
		return false, err
	}
	r.log.Info("services submitted", "task_count", r.tasksOnMachines(), "duration", r.now().Round(time.Second))
	return running, nil
}

func (r *run) tasksOnMachines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.world.TasksOnMachines()
}
