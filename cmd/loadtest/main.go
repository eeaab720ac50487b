// Command loadtest measures what the built controllers cost at several sizes of a fleet, with
// hollow workers that speak the real protocol, while oracles judge every rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pinebay/internal/loadtest"
)

// Exit statuses.
const (
	statusFailed = 1
	statusUsage  = 2
)

// errUsage marks complaints about flags.
var errUsage = errors.New("usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "loadtest:", strings.ReplaceAll(err.Error(), "\n", " "))
	if errors.Is(err, loadtest.ErrInvalidConfig) || errors.Is(err, errUsage) {
		os.Exit(statusUsage)
	}
	os.Exit(statusFailed)
}

// output says where results go.
type output struct{ json, picture string }

func newCommand() *cobra.Command {
	cfg := defaultConfig()
	var out output
	var vary string
	var troubles []string
	cmd := &cobra.Command{
		Use:           "loadtest",
		Short:         "Measure controllers at several sizes of a fleet",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Vary = loadtest.Dimension(vary)
			for _, t := range troubles {
				cfg.Faults = append(cfg.Faults, loadtest.Fault(t))
			}
			return run(cmd, cfg, out)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Program, "program", cfg.Program, "the built controller")
	f.StringVar(
		&vary,
		"vary",
		string(loadtest.Workers),
		"what differs between the sizes: workers, starts, teams, tasks or controllers",
	)
	f.IntSliceVar(&cfg.Sizes, "sizes", cfg.Sizes, "the sizes, one after the other; slopes need four")
	f.IntVar(&cfg.Load.Controllers, "controllers", cfg.Load.Controllers, "controllers")
	f.IntVar(
		&cfg.Load.Workers,
		"workers",
		cfg.Load.Workers,
		"hollow workers to which the rates below belong; with --vary workers they follow the size",
	)
	f.IntVar(&cfg.Load.Teams, "teams", cfg.Load.Teams, "teams")
	f.IntVar(&cfg.Load.Zones, "zones", cfg.Load.Zones, "zones")
	f.Float64Var(&cfg.Load.TasksPerWorker, "tasks", cfg.Load.TasksPerWorker, "tasks a worker")
	f.Float64Var(&cfg.Load.StartsPerS, "starts", cfg.Load.StartsPerS, "task starts a second")
	f.IntVar(
		&cfg.Load.ArrayTasks,
		"array-tasks",
		cfg.Load.ArrayTasks,
		"tasks of an array; jobs a second follow from the starts",
	)
	f.Float64Var(&cfg.Load.GangShare, "gang-share", cfg.Load.GangShare, "share of the starts that gangs make")
	f.IntVar(&cfg.Load.GangTasks, "gang-tasks", cfg.Load.GangTasks, "tasks of the largest gang")
	f.Float64Var(&cfg.Load.UrgentPerS, "urgent", cfg.Load.UrgentPerS, "urgent single tasks a second")
	f.Float64Var(&cfg.Load.CancelShare, "cancels", cfg.Load.CancelShare, "share of the arrays that are called off")
	f.Float64Var(
		&cfg.Load.PipelinesPerS,
		"pipelines",
		cfg.Load.PipelinesPerS,
		"pipelines a second, each of three arrays of which one awaits the other",
	)
	f.BoolVar(&cfg.Load.TeamsAtLimit, "teams-at-limit", cfg.Load.TeamsAtLimit, "teams have limits and ask for more")
	f.Float64Var(
		&cfg.Load.Overcommit,
		"overcommit",
		cfg.Load.Overcommit,
		"with --teams-at-limit, how many times its limit a team asks for",
	)
	f.DurationVar(&cfg.HeartbeatInterval, "report", cfg.HeartbeatInterval, "time between a worker's reports")
	f.DurationVar(&cfg.Lease, "lease", cfg.Lease, "a worker's lease")
	f.DurationVar(&cfg.MeanRunTime, "run-time", cfg.MeanRunTime, "mean run time of an array's task")
	f.DurationVar(&cfg.Warmup, "warm-up", cfg.Warmup, "time to become steady before the measurement")
	f.DurationVar(&cfg.MeasureTime, "measure", cfg.MeasureTime, "measured time")
	f.IntVar(&cfg.Slices, "slices", cfg.Slices, "parts of the measured time, which tell the spread")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of all that is drawn")
	f.StringSliceVar(
		&troubles,
		"troubles",
		nil,
		fmt.Sprintf("what is broken after the measurement: %v", loadtest.FaultNames()),
	)
	f.IntVar(&cfg.Port, "port", cfg.Port, "first of the loopback ports")
	f.Float64Var(
		&cfg.CoreShare,
		"core-share",
		cfg.CoreShare,
		"share of a core in the settings; processor time is counted, not throttled",
	)
	f.Float64Var(&cfg.RAMMB, "ram-mb", cfg.RAMMB, "memory in the settings")
	f.IntVar(&cfg.MaxSockets, "max-sockets", cfg.MaxSockets, "sockets in the settings")
	f.Float64Var(&cfg.StateRPS, "state-rps", cfg.StateRPS, "requests a second that the state service takes")
	f.Float64Var(
		&cfg.StateWriteRPS,
		"state-write-rps",
		cfg.StateWriteRPS,
		"writes a second that the state service takes",
	)
	f.IntVar(&cfg.StateTxnOps, "state-txn-ops", cfg.StateTxnOps, "writes of a transaction")
	f.Float64Var(&cfg.CloudRPS, "cloud-rps", cfg.CloudRPS, "calls a second that the cloud takes")
	f.IntVar(
		&cfg.WorkerProcesses,
		"worker-processes",
		cfg.WorkerProcesses,
		"workers beside the hollow ones that are processes of their own",
	)
	f.BoolVar(&cfg.Ownership, "ownership", false, "the controllers part the machines among them")
	f.StringVar(&cfg.LogDir, "log-dir", "", "folder for the controllers' logs")
	f.StringVar(&out.json, "json", "", "file for the result")
	f.StringVar(&out.picture, "picture", "", "file for a picture of the slopes (PNG)")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	cmd.AddCommand(newTablesCommand(), newCapacityCommand(), newWorkerCommand())
	return cmd
}

// defaultConfig are the letter's proportions: 18,000 workers with 240,000 tasks and 3,000 starts a second.
func defaultConfig() *loadtest.Config {
	return &loadtest.Config{
		Program: "target/pinebay",
		Sizes:   []int{250, 500, 750, 1000},
		Load: loadtest.Load{
			Controllers:    3,
			Workers:        18_000,
			Teams:          200,
			Zones:          3,
			TasksPerWorker: 240_000. / 18_000,
			StartsPerS:     3000,
			ArrayTasks:     500,
			GangShare:      0.1,
			GangTasks:      64,
			UrgentPerS:     10,
			PipelinesPerS:  30,
			CancelShare:    0.03,
			Overcommit:     1.5,
		},
		HeartbeatInterval: 5 * time.Second,
		Lease:             29 * time.Second,
		MeanRunTime:       40 * time.Second,
		Warmup:            45 * time.Second,
		MeasureTime:       30 * time.Second,
		Slices:            6,
		Seed:              1,
		Port:              21_000,
		CoreShare:         1,
		RAMMB:             2048,
		MaxSockets:        19_000,
		WorkerProcesses:   3,
		StateRPS:          600,
		StateWriteRPS:     180,
		StateTxnOps:       16,
		CloudRPS:          4,
	}
}

func run(cmd *cobra.Command, cfg *loadtest.Config, out output) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("own program: %w", err)
	}
	cfg.WorkerProgram, cfg.WorkerArgs = self, []string{workerCommand}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	result, err := loadtest.Run(cmd.Context(), cfg, log)
	if result != nil && len(result.Sizes) > 0 {
		err = errors.Join(err, writeResult(cmd, result, out))
	}
	return err
}

func writeResult(cmd *cobra.Command, result *loadtest.Result, out output) error {
	if err := result.WriteTables(cmd.OutOrStdout()); err != nil {
		return err
	}
	if out.json != "" {
		if err := result.WriteJSON(out.json); err != nil {
			return err
		}
	}
	if out.picture != "" {
		return result.WritePlots(out.picture, loadtest.PlottedFigures())
	}
	return nil
}

// newTablesCommand writes the tables of earlier results again.
func newTablesCommand() *cobra.Command {
	var picture string
	cmd := &cobra.Command{
		Use:   "tables RESULT...",
		Short: "Write the tables of results that were kept",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: no result is named", errUsage)
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				result, err := loadtest.ReadResult(path)
				if err != nil {
					return fmt.Errorf("%w: %w", errUsage, err)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "\n%s\n", path)
				if err := writeResult(cmd, result, output{picture: picture}); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&picture, "picture", "", "file for a picture of the slopes (PNG)")
	return cmd
}

// newCapacityCommand writes what figures come to at a size that need not have been measured.
func newCapacityCommand() *cobra.Command {
	var at int
	cmd := &cobra.Command{
		Use:   "capacity --at SIZE RESULT",
		Short: "Write what each figure comes to at a size, by its slope",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 {
				return fmt.Errorf("%w: one result is to be named", errUsage)
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if at < 1 {
				return fmt.Errorf("%w: --at %d is not a size", errUsage, at)
			}
			result, err := loadtest.ReadResult(args[0])
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return result.WriteCapacity(cmd.OutOrStdout(), at)
		},
	}
	cmd.Flags().IntVar(&at, "at", 0, "the size")
	return cmd
}

// workerCommand is how the scale run starts workers that are processes of their own.
const workerCommand = "worker"

func newWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    workerCommand,
		Short:  "Be a worker of a scale run",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := loadtest.WorkerFromEnvironment()
			if err != nil {
				return err
			}
			return loadtest.RunWorker(cmd.Context(), cfg)
		},
	}
}
