// Command pinebay is the daemon of a controller. It schedules jobs that serve
// and train language models on rented machines.
package main

import (
	// Linked against the system's C library, as the platform asks.
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	_ "runtime/cgo"
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

// version is that of CHANGELOG.md.
const version = "0.1.0"

// errUsage marks errors that end the program with exit status 2.
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

// flags are the command line's.
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
		"watch the other controllers for failures, and part the machines among those that live")
	set.BoolVar(&f.stepTimes, "step-times", false, "log how long the leader's steps and heartbeats take")
	f.zoneFailover.add(cmd)
}

// newController checks flags, settings and environment, limits the runtime by the settings, and returns a controller
// that is not running yet. Every error is one of usage.
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

// run runs a controller until SIGINT or SIGTERM. The controller hands its machines to the others before it ends.
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
	// Should the controller end by itself, these end the wait for a signal, and nothing is drained any more.
	end()
	stop()
	draining.Wait()
	return err
}

// zoneFailoverFlags are the flags of zone failover.
type zoneFailoverFlags struct {
	enabled bool
	order   string
}

func (f *zoneFailoverFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.enabled, "zone-return", false, "bring work back in a stated order when a zone is lost")
	cmd.Flags().StringVar(&f.order, "zone-return-order", "",
		`with --zone-return, which classes and teams come first, as in "cluesmith > team guests"`)
}

// features checks the flags against the settings.
func (f *zoneFailoverFlags) features(cfg *config.Settings) (daemon.Features, error) {
	switch {
	case !f.enabled && f.order != "":
		return daemon.Features{}, errors.New("--zone-return-order: needs --zone-return")
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

// limitRuntime fits the runtime to the machine: one core, and a memory limit below
// which the collector may be lazy, since processor time is scarcer.
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
