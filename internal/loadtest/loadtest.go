package loadtest

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
)

// Result is what a run came to.
type Result struct {
	At                time.Time    `json:"at"`
	Vary              Dimension    `json:"vary"`
	Seed              uint64       `json:"seed"`
	HeartbeatInterval string       `json:"report_interval"`
	Lease             string       `json:"lease"`
	RunTimeS          float64      `json:"run_time_s"`
	StateLimits       [2]float64   `json:"state_limits"` // requests and writes a second
	Sizes             []SizeResult `json:"sizes"`
	Slopes            []Slope      `json:"slopes"`
}

// Run plays all sizes, one after the other. A broken rule ends it with ErrInvariantViolated; what was
// measured until then is returned all the same.
func Run(ctx context.Context, cfg *Config, log *slog.Logger) (*Result, error) {
	result := &Result{
		At: time.Now().
			UTC().
			Truncate(time.Second),
		Vary:              cfg.Vary,
		Seed:              cfg.Seed,
		HeartbeatInterval: cfg.HeartbeatInterval.String(),
		Lease:             cfg.Lease.String(),
		RunTimeS:          cfg.MeanRunTime.Seconds(),
		StateLimits:       [2]float64{cfg.StateRPS, cfg.StateWriteRPS},
	}
	for _, size := range cfg.Sizes {
		log.Info("size", "vary", cfg.Vary, "size", size)
		one, err := runSize(ctx, cfg, size, log)
		result.Sizes = append(result.Sizes, one)
		if err != nil {
			result.Slopes = fitSlopes(result.Sizes)
			return result, fmt.Errorf("%s %d: %w", cfg.Vary, size, err)
		}
	}
	result.Slopes = fitSlopes(result.Sizes)
	return result, nil
}

// runSize plays one size.
func runSize(ctx context.Context, cfg *Config, size int, log *slog.Logger) (result SizeResult, err error) {
	result = SizeResult{Size: size, Load: cfg.loadAt(size)}
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
	if cause := context.Cause(r.ctx); err == nil && cause != nil {
		err = cause
	}
	if err == nil {
		err = r.checkInvariants()
	}
	r.mu.Lock()
	result.Starts = r.world.Starts
	r.mu.Unlock()
	result.CheckedReplies = r.ledger.BindingAnswers
	if err != nil {
		result.StopReason = err.Error()
	}
	return result, err
}

// warmupTimeoutFactor is how many warm-up times workers may take to be heard, and the standing work to run.
const warmupTimeoutFactor = 20

// execute brings everything up, lets it become steady, measures, and then breaks things.
func (r *run) execute(result *SizeResult) error {
	if err := r.start(); err != nil {
		return err
	}
	if ok, err := r.waitUntil("a leader", time.Minute, func() bool { return r.leader() != nil }); err != nil || !ok {
		return errors.Join(err, errorUnless(ok, "nobody leads within a minute"))
	}
	watch := r.countReplies()
	heard := func() bool { n, _ := watch.count(); return float64(n) >= nearlyAll*float64(r.load.Workers) }
	if ok, err := r.waitUntil("workers heard", warmupTimeoutFactor*r.cfg.Warmup, heard); err != nil || !ok {
		return errors.Join(err, errorUnless(ok, "most workers were not heard in time"))
	}
	r.submitServices()
	filled := func() bool {
		return r.tasksOnMachines() >= int(nearlyAll*serviceShare*float64(r.load.Workers)*r.load.TasksPerWorker)
	}
	var err error
	if result.ServicesRunning, err = r.waitUntil(
		"standing work runs",
		warmupTimeoutFactor*r.cfg.Warmup,
		filled,
	); err != nil {
		return err
	}
	r.log.Info("filled", "tasks", r.tasksOnMachines(), "after", r.now().Round(time.Second))
	r.submitArrivals()
	if err := r.sleep(r.cfg.Warmup); err != nil {
		return err
	}
	if err := r.measure(result); err != nil {
		return err
	}
	for _, t := range r.cfg.Faults {
		one, err := r.injectFault(t)
		if err != nil {
			return err
		}
		result.Faults = append(result.Faults, one)
	}
	return nil
}

// tasksOnMachines counts the tasks on machines.
func (r *run) tasksOnMachines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.world.TasksOnMachines()
}

func errorUnless(ok bool, what string) error {
	if ok {
		return nil
	}
	return errors.New(what)
}
