// Command loadtest measures the resource usage, message rates and latencies of the controllers at several sizes of a
// deployment. It simulates workers that speak the real protocol, and checks invariants for every task start and every
// reply. See package loadtest for what it does.
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

	"github.com/spf13/cobra"

	"pinebay/internal/loadtest"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage is wrapped by all errors about flags and arguments.
var errUsage = errors.New("usage")

// workerCommand is the hidden subcommand with which a load test starts worker processes.
const workerCommand = "worker"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "loadtest:", strings.ReplaceAll(err.Error(), "\n", " "))
	if errors.Is(err, loadtest.ErrInvalidConfig) || errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

func newCommand() *cobra.Command {
	cfg := loadtest.DefaultConfig()
	var out output
	var faults []string
	cmd := &cobra.Command{
		Use:           "loadtest",
		Short:         "Measure the controllers at several sizes of a deployment",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Faults = toFaults(faults)
			return run(cmd, cfg, out)
		},
	}
	f := flagSet{cmd.Flags()}
	addConfigFlags(f, cfg)
	addFaultsFlag(f, &faults)
	f.text(&out.jsonFile, "json", "file for the result (JSON)")
	addPlotFlag(f, &out)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	cmd.AddCommand(newTablesCommand(), newCapacityCommand(), newWorkerCommand())
	return cmd
}

// run runs a load test and writes its result. If the test ends early, it writes what was measured up to then.
func run(cmd *cobra.Command, cfg *loadtest.Config, out output) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this executable: %w", err)
	}
	cfg.WorkerProgram, cfg.WorkerArgs = self, []string{workerCommand}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	result, err := loadtest.Run(cmd.Context(), cfg, log)
	if len(result.Sizes) > 0 {
		err = errors.Join(err, writeResult(cmd, result, out))
	}
	return err
}

func newWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    workerCommand,
		Short:  "Run a worker of a load test",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := loadtest.WorkerConfigFromEnv()
			if err != nil {
				return err
			}
			return loadtest.RunWorker(cmd.Context(), cfg)
		},
	}
}
