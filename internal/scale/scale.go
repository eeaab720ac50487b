package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
)

// Result is what a run came to.
type Result struct {
	At     time.Time    `json:"at"`
	Vary   Dimension    `json:"vary"`
	Seed   uint64       `json:"seed"`
	Report string       `json:"report_interval"`
	Lease  string       `json:"lease"`
	RunS   float64      `json:"run_time_s"`
	State  [2]float64   `json:"state_limits"` // requests and writes a second
	Sizes  []SizeResult `json:"sizes"`
	Slopes []Slope      `json:"slopes"`
}

// Run plays all sizes, one after the other. A broken rule ends it with ErrBroken; what was
// measured until then is returned all the same.
func Run(ctx context.Context, cfg *Config, log *slog.Logger) (*Result, error) {
	result := &Result{At: time.Now().UTC().Truncate(time.Second), Vary: cfg.Vary, Seed: cfg.Seed, Report: cfg.Report.String(),
		Lease: cfg.Lease.String(), RunS: cfg.RunTime.Seconds(), State: [2]float64{cfg.StateRPS, cfg.StateWriteRPS}}
	for _, size := range cfg.Sizes {
		log.Info("size", "vary", cfg.Vary, "size", size)
		one, err := runSize(ctx, cfg, size, log)
		result.Sizes = append(result.Sizes, one)
		if err != nil {
			result.Slopes = slopes(result.Sizes)
			return result, fmt.Errorf("%s %d: %w", cfg.Vary, size, err)
		}
	}
	result.Slopes = slopes(result.Sizes)
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
	defer r.end()
	err = r.play(&result)
	if cause := context.Cause(r.ctx); err == nil && cause != nil {
		err = cause
	}
	if err == nil {
		err = r.judge()
	}
	r.mu.Lock()
	result.Starts = r.world.Starts
	r.mu.Unlock()
	result.Answers = r.ledger.BindingAnswers
	if err != nil {
		result.Stopped = err.Error()
	}
	return result, err
}

// fillPatience is how many warm-up times workers may take to be heard, and the standing work to run.
const fillPatience = 20

// play brings everything up, lets it become steady, measures, and then breaks things.
func (r *run) play(result *SizeResult) error {
	if err := r.start(); err != nil {
		return err
	}
	if ok, err := r.until("a leader", time.Minute, func() bool { return r.leader() != nil }); err != nil || !ok {
		return errors.Join(err, errorUnless(ok, "nobody leads within a minute"))
	}
	watch := r.watchContact()
	heard := func() bool { n, _ := watch.count(); return float64(n) >= most*float64(r.load.Workers) }
	if ok, err := r.until("workers heard", fillPatience*r.cfg.Warmup, heard); err != nil || !ok {
		return errors.Join(err, errorUnless(ok, "most workers were not heard in time"))
	}
	r.fill()
	filled := func() bool {
		return r.tasksOn() >= int(most*standingShare*float64(r.load.Workers)*r.load.TasksPerWorker)
	}
	var err error
	if result.Filled, err = r.until("standing work runs", fillPatience*r.cfg.Warmup, filled); err != nil {
		return err
	}
	r.log.Info("filled", "tasks", r.tasksOn(), "after", r.now().Round(time.Second))
	r.arrive()
	if err := r.sleep(r.cfg.Warmup); err != nil {
		return err
	}
	if err := r.measure(result); err != nil {
		return err
	}
	for _, t := range r.cfg.Troubles {
		one, err := r.trouble(t)
		if err != nil {
			return err
		}
		result.Troubles = append(result.Troubles, one)
	}
	return nil
}

// tasksOn counts the tasks on machines.
func (r *run) tasksOn() int {
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
