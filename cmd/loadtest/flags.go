package main

import (
	"fmt"
	"time"

	"github.com/spf13/pflag"

	"pinebay/internal/loadtest"
)

// flagSet defines flags for variables. The default of a flag is the value that the variable has at the definition.
type flagSet struct{ *pflag.FlagSet }

func (f flagSet) boolean(p *bool, name, usage string)           { f.BoolVar(p, name, *p, usage) }
func (f flagSet) integer(p *int, name, usage string)            { f.IntVar(p, name, *p, usage) }
func (f flagSet) number(p *float64, name, usage string)         { f.Float64Var(p, name, *p, usage) }
func (f flagSet) duration(p *time.Duration, name, usage string) { f.DurationVar(p, name, *p, usage) }
func (f flagSet) text(p *string, name, usage string)            { f.StringVar(p, name, *p, usage) }

// addConfigFlags defines the flags for the configuration of a load test.
func addConfigFlags(f flagSet, cfg *loadtest.Config) {
	f.text(&cfg.ControllerProgram, "program", "path of the controller executable")
	f.text((*string)(&cfg.Vary), "vary", "parameter that the sizes vary: workers, starts, teams, tasks or controllers")
	f.IntSliceVar(
		&cfg.Sizes,
		"sizes",
		cfg.Sizes,
		"sizes to test, in this order; at least four are needed to fit slopes",
	)
	addLoadFlags(f, &cfg.Load)
	addTimeFlags(f, cfg)
	addLimitFlags(f, cfg)
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed for all random numbers")
	f.integer(&cfg.FirstPort, "port", "first of the loopback ports to use")
	f.integer(
		&cfg.WorkerProcesses,
		"worker-processes",
		"number of workers, in addition to the hollow ones, that run as processes of their own",
	)
	f.boolean(&cfg.Ownership, "ownership", "enable shard ownership in the controllers")
	f.text(&cfg.LogDir, "log-dir", "directory for the logs of the controllers; if empty, they are discarded")
}

func addLoadFlags(f flagSet, l *loadtest.Load) {
	f.integer(&l.Controllers, "controllers", "number of controllers")
	f.integer(
		&l.Workers,
		"workers",
		"number of hollow workers; with --vary workers, the rates apply to this number and are scaled with the size",
	)
	f.integer(&l.Teams, "teams", "number of teams")
	f.integer(&l.Zones, "zones", "number of zones")
	f.number(&l.TasksPerWorker, "tasks", "tasks per worker")
	f.number(&l.StartsPerSecond, "starts", "task starts per second, not counting urgent jobs and pipelines")
	f.integer(&l.ArrayTasks, "array-tasks", "tasks per array; the rate of arrays follows from --starts")
	f.number(&l.GangShare, "gang-share", "share of the task starts that are tasks of gangs")
	f.integer(&l.GangTasks, "gang-tasks", "tasks in the largest gang")
	f.number(&l.UrgentJobsPerSecond, "urgent", "urgent jobs, of a single task each, per second")
	f.number(&l.CancelShare, "cancels", "share of the arrays that are cancelled")
	f.number(&l.PipelinesPerSecond, "pipelines", "pipelines, each a chain of three dependent arrays, per second")
	f.boolean(&l.TeamsAtLimit, "teams-at-limit", "give the teams limits and let them request more")
	f.number(
		&l.Overcommit,
		"overcommit",
		"with --teams-at-limit, the resources that a team requests, relative to its limit",
	)
}

func addTimeFlags(f flagSet, cfg *loadtest.Config) {
	f.duration(&cfg.HeartbeatInterval, "report", "interval between the heartbeats of a worker")
	f.duration(&cfg.Lease, "lease", "duration of a worker's lease")
	f.duration(&cfg.MeanRunTime, "run-time", "mean run time of all tasks except those of services")
	f.duration(&cfg.Warmup, "warm-up", "time before the measurement, for the load to become steady")
	f.duration(&cfg.MeasureTime, "measure", "duration of the measurement")
	f.integer(&cfg.Slices, "slices", "time slices of the measurement, which show how much a metric varies")
}

func addLimitFlags(f flagSet, cfg *loadtest.Config) {
	f.number(&cfg.Quota.CoreShare, "core-share", "CPU limit in the settings, as a share of a core; not enforced")
	f.number(&cfg.Quota.RAMMB, "ram-mb", "memory limit in the settings, in MB; not enforced")
	f.integer(&cfg.Quota.MaxSockets, "max-sockets", "limit on sockets in the settings")
	f.number(&cfg.Store.RPS, "state-rps", "requests per second that the key-value store accepts")
	f.number(&cfg.Store.WriteRPS, "state-write-rps", "writes per second that the key-value store accepts")
	f.integer(&cfg.Store.TxnOps, "state-txn-ops", "maximum number of writes in a transaction of the key-value store")
	f.number(&cfg.Cloud.RPS, "cloud-rps", "requests per second that the cloud accepts")
}

// addFaultsFlag defines the flag for the faults to inject. It takes names, which toFaults converts.
func addFaultsFlag(f flagSet, names *[]string) {
	usage := fmt.Sprintf("faults to inject after the measurement, any of %v", loadtest.FaultNames())
	f.StringSliceVar(names, "troubles", nil, usage)
}

func toFaults(names []string) (faults []loadtest.Fault) {
	for _, name := range names {
		faults = append(faults, loadtest.Fault(name))
	}
	return faults
}

// output has the paths of the files to which a result is written. A file with an empty path is not written.
type output struct{ jsonFile, plotFile string }

func addPlotFlag(f flagSet, out *output) {
	f.text(&out.plotFile, "picture", "file for plots of the metrics and their slopes (PNG)")
}
