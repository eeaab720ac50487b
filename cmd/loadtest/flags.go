package main

import (
	"fmt"
	"time"

	"github.com/spf13/pflag"

	"pinebay/internal/loadtest"
)

// flagSet defines flags whose defaults are the present values of their variables.
type flagSet struct{ *pflag.FlagSet }

func (f flagSet) boolean(p *bool, name, usage string)           { f.BoolVar(p, name, *p, usage) }
func (f flagSet) integer(p *int, name, usage string)            { f.IntVar(p, name, *p, usage) }
func (f flagSet) number(p *float64, name, usage string)         { f.Float64Var(p, name, *p, usage) }
func (f flagSet) duration(p *time.Duration, name, usage string) { f.DurationVar(p, name, *p, usage) }
func (f flagSet) text(p *string, name, usage string)            { f.StringVar(p, name, *p, usage) }

// addConfigFlags defines the flags of a load test's configuration.
func addConfigFlags(f flagSet, cfg *loadtest.Config) {
	f.text(&cfg.Program, "program", "the built controller")
	f.text((*string)(&cfg.Vary), "vary", "what differs between the sizes: workers, starts, teams, tasks or controllers")
	f.IntSliceVar(&cfg.Sizes, "sizes", cfg.Sizes, "the sizes, one after the other; slopes need four")
	addLoadFlags(f, &cfg.Load)
	addTimeFlags(f, cfg)
	addLimitFlags(f, cfg)
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of all random numbers")
	f.integer(&cfg.Port, "port", "first of the loopback ports")
	f.integer(
		&cfg.WorkerProcesses,
		"worker-processes",
		"workers beside the hollow ones that are processes of their own",
	)
	f.boolean(&cfg.Ownership, "ownership", "the controllers shard the machines")
	f.text(&cfg.LogDir, "log-dir", "directory for the controllers' logs")
}

func addLoadFlags(f flagSet, l *loadtest.Load) {
	f.integer(&l.Controllers, "controllers", "controllers")
	f.integer(
		&l.Workers,
		"workers",
		"hollow workers to which the rates below belong; with --vary workers they follow the size",
	)
	f.integer(&l.Teams, "teams", "teams")
	f.integer(&l.Zones, "zones", "zones")
	f.number(&l.TasksPerWorker, "tasks", "tasks a worker")
	f.number(&l.StartsPerS, "starts", "task starts a second")
	f.integer(&l.ArrayTasks, "array-tasks", "tasks of an array; jobs a second follow from the starts")
	f.number(&l.GangShare, "gang-share", "share of the starts that gangs make")
	f.integer(&l.GangTasks, "gang-tasks", "tasks of the largest gang")
	f.number(&l.UrgentPerS, "urgent", "urgent jobs of a single task a second")
	f.number(&l.CancelShare, "cancels", "share of the arrays that are cancelled")
	f.number(&l.PipelinesPerS, "pipelines", "pipelines a second, each of three arrays that depend on one another")
	f.boolean(&l.TeamsAtLimit, "teams-at-limit", "teams have limits and ask for more")
	f.number(&l.Overcommit, "overcommit", "with --teams-at-limit, how many times its limit a team asks for")
}

func addTimeFlags(f flagSet, cfg *loadtest.Config) {
	f.duration(&cfg.HeartbeatInterval, "report", "interval of a worker's heartbeats")
	f.duration(&cfg.Lease, "lease", "a worker's lease")
	f.duration(&cfg.MeanRunTime, "run-time", "mean run time of an array's task")
	f.duration(&cfg.Warmup, "warm-up", "time to become steady before the measurement")
	f.duration(&cfg.MeasureTime, "measure", "measured time")
	f.integer(&cfg.Slices, "slices", "parts of the measured time, which show the spread")
}

func addLimitFlags(f flagSet, cfg *loadtest.Config) {
	f.number(&cfg.Quota.CoreShare, "core-share", "share of a core in the settings; it is not enforced")
	f.number(&cfg.Quota.RAMMB, "ram-mb", "memory in the settings; it is not enforced")
	f.integer(&cfg.Quota.MaxSockets, "max-sockets", "sockets in the settings")
	f.number(&cfg.Store.RPS, "state-rps", "requests a second that the key-value store accepts")
	f.number(&cfg.Store.WriteRPS, "state-write-rps", "writes a second that the key-value store accepts")
	f.integer(&cfg.Store.TxnOps, "state-txn-ops", "writes of a transaction")
	f.number(&cfg.Cloud.RPS, "cloud-rps", "calls a second that the cloud accepts")
}

// addFaultsFlag defines the flag of the faults, whose names are converted by faultsOf.
func addFaultsFlag(f flagSet, names *[]string) {
	usage := fmt.Sprintf("faults that are injected after the measurement: %v", loadtest.FaultNames())
	f.StringSliceVar(names, "troubles", nil, usage)
}

func faultsOf(names []string) (faults []loadtest.Fault) {
	for _, name := range names {
		faults = append(faults, loadtest.Fault(name))
	}
	return faults
}

// output is where results are written; empty: nowhere.
type output struct{ json, picture string }

func addPictureFlag(f flagSet, out *output) {
	f.text(&out.picture, "picture", "file for plots of the slopes (PNG)")
}
