// Command pinebay runs a controller, which schedules jobs that train and serve language models on rented machines.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	_ "runtime/cgo" // the platform requires programs to be linked with the system's C library
	"runtime/debug"
	"strings"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"pinebay/internal/config"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/daemon"
	"pinebay/internal/random"
	"pinebay/internal/timing"
	"pinebay/internal/transport"
)

// version is the version in CHANGELOG.md.
const version = "0.1.0"

// errUsage matches errors in flags, settings or the environment, for which the program exits with status 2.
var errUsage = errors.New("usage")

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pinebay:", strings.ReplaceAll(err.Error(), "\n", " "))
		if errors.Is(err, errUsage) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

// flags holds the values of the command-line flags.
type flags struct {
	settingsPath string
	stepTimes    bool
	ownership    bool
	zoneFailover zoneFailoverFlags
}

func newCommand() *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:           "pinebay --config FILE",
		Short:         "Run a controller of the pinebay scheduler",
		Version:       version,
		Args:          func(_ *cobra.Command, args []string) error { return noArgs(args) },
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			controller, err := f.newController()
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return run(cmd.Context(), controller)
		},
	}
	cmd.SetContext(context.Background())
	f.add(cmd)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	return cmd
}

func (f *flags) add(cmd *cobra.Command) {
	set := cmd.Flags()
	set.StringVar(&f.settingsPath, "config", "", "settings file of this controller (TOML)")
	set.BoolVar(&f.ownership, "ownership", false,
		"detect failures of other controllers, and divide the machines among the live ones")
	set.BoolVar(&f.stepTimes, "step-times", false, "log how long the leader's steps and heartbeats take")
	f.zoneFailover.add(cmd)
}

// newController validates the flags, the settings and the environment, applies the resource limits in the settings to
// the runtime, and returns a controller that is not running yet. All of its errors are usage errors.
func (f *flags) newController() (*daemon.Controller, error) {
	if f.settingsPath == "" {
		return nil, errors.New("--config FILE is missing")
	}
	settings, err := config.Load(f.settingsPath)
	if err != nil {
		return nil, err
	}
	features, err := f.zoneFailover.features(settings)
	if err != nil {
		return nil, err
	}
	features.Ownership = f.ownership
	if f.stepTimes {
		features.Timing = timing.NewRecorder()
	}
	log, err := newLogger(os.Stderr, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return nil, err
	}
	limitRuntime(settings)
	return daemon.New(transport.TCP{}, random.NewSystemSeeded(), settings, features, log), nil
}

// run runs a controller until SIGINT or SIGTERM. The controller is drained before it ends: it hands its machines over
// to the other controllers.
func run(ctx context.Context, controller *daemon.Controller) error {
	signalled, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	ctx, end := context.WithCancel(ctx)
	var draining sync.WaitGroup
	draining.Go(func() {
		<-signalled.Done()
		controller.Drain(ctx)
		end()
	})
	err := controller.Run(ctx)
	// If the controller has ended without a signal, end the wait for one. The machines are not handed over in this
	// case, because ctx has ended.
	end()
	stop()
	draining.Wait()
	return err
}

// zoneFailoverFlags holds the values of the flags for zone failover.
type zoneFailoverFlags struct {
	enabled bool
	order   string
}

func (f *zoneFailoverFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.enabled, "zone-return", false, "recover jobs in a fixed order when a zone is lost")
	cmd.Flags().StringVar(&f.order, "zone-return-order", "",
		`with --zone-return, the order of classes and teams, such as "cluesmith > team guests"`)
}

// features validates the flags against the settings.
func (f *zoneFailoverFlags) features(cfg *config.Settings) (daemon.Features, error) {
	switch {
	case !f.enabled && f.order != "":
		return daemon.Features{}, errors.New("--zone-return-order: requires --zone-return")
	case !f.enabled:
		return daemon.Features{}, nil
	case f.order == "":
		return daemon.Features{ZoneFailover: zonefailover.DefaultRecoveryOrder()}, nil
	}
	order, err := zonefailover.ParseRecoveryOrder(f.order, &cfg.Deployment)
	if err != nil {
		return daemon.Features{}, fmt.Errorf("--zone-return-order: %w", err)
	}
	return daemon.Features{ZoneFailover: order}, nil
}

func noArgs(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
	}
	return nil
}

// limitRuntime limits the Go runtime to one core and to a share of the memory quota. Below the memory limit the garbage
// collector runs rarely, because CPU time is scarcer than memory.
func limitRuntime(cfg *config.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(cfg.Deployment.Quota.RAMMB * 0.6 * (1 << 20)))
}

func newLogger(w io.Writer, level string) (*slog.Logger, error) {
	l := slog.LevelInfo
	switch level {
	case "", "info":
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, fmt.Errorf("variable LOG_LEVEL: %q is not error, info or debug", level)
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})), nil
}
