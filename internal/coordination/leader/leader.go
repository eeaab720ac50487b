// Package leader runs one term of a leader: it reads the records, drives the
// scheduler's state machine and carries out its effects.
package leader

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/storage"
	"pinebay/internal/timing"
	"pinebay/internal/transport"
)

// Deps is what a leader needs of its controller.
type Deps struct {
	Deployment *config.Deployment
	Log        *slog.Logger
	Store      *storage.Client
	Random     *random.Source
	Cloud      *CloudClient
	Workers    *transport.Client
	Now        func() time.Duration
	// Confirmed says whether the leadership is, at this moment.
	Confirmed func() bool
	// WatchTimeout is how long a look at the state service's changes may wait for one, and
	// Fresh is told up to when all of them are known.
	WatchTimeout time.Duration
	Fresh        func(term uint64, at time.Duration)
	// CancellationIntents returns the jobs of which an intent of cancellation is held, and when
	// the newest came; HasCancellationIntent says it of one. Without another, a cancellation is
	// confirmed within Confirm of its intent or not at all.
	CancellationIntents   func(now time.Duration) map[string]time.Duration
	HasCancellationIntent func(job string) bool
	ConfirmWithin         time.Duration
	// Deposed is told that the term is over, and why.
	Deposed func(term uint64, d scheduler.StepDown)
	// ZoneReturn is the order in which work returns when a zone is lost; nil: off.
	ZoneReturn *zonefailover.RecoveryOrder
	// MachineTypesRead is told of machine types that were read.
	MachineTypesRead func([]protocol.MachineType)
	// LevelReached is told of a feature level that this leader has made final.
	LevelReached func(featurelevel.Level)
	// Timing measures the steps; nil: off.
	Timing *timing.Recorder
}

// Leader is one term of leadership.
type Leader struct {
	Deps
	schedulerTerm scheduler.Term
	term          uint64
	mailbox       *actor.Mailbox[any] // of scheduler.Event, query and loaded
	ctx           context.Context
	cancel        context.CancelFunc
	probes        *actor.Pool[scheduler.Probe]
	ready         atomic.Bool // the records are read
}

// earlyHeartbeats keeps the newest report of each machine that came before the records were read,
// in the order in which the machines were first heard.
type earlyHeartbeats struct {
	heartbeats []scheduler.HeartbeatReceived
	index      map[string]int
}

func (e *earlyHeartbeats) add(r scheduler.HeartbeatReceived) {
	if i, ok := e.index[r.Heartbeat.Machine]; ok {
		e.heartbeats[i] = r
		return
	}
	if e.index == nil {
		e.index = map[string]int{}
	}
	e.index[r.Heartbeat.Machine] = len(e.heartbeats)
	e.heartbeats = append(e.heartbeats, r)
}

// statusQuery asks for the status of jobs.
type statusQuery struct {
	jobs  []string
	reply chan []protocol.JobStatus
}

// probeSocketDivisor is the part of a process's sockets that may ask machines how
// they stand at a time: fewer than may command, so that commands have their turn.
const probeSocketDivisor = 32

// Start begins a term.
func Start(ctx context.Context, d Deps, term scheduler.Term) *Leader {
	l := &Leader{Deps: d, schedulerTerm: term, term: term.Number, mailbox: actor.NewMailbox[any]()}
	l.probes = actor.NewPool(max(1, d.Deployment.Quota.MaxSockets/probeSocketDivisor), l.probe)
	l.Log = d.Log.With("term", term.Number)
	l.ctx, l.cancel = context.WithCancel(ctx)
	go l.run()
	return l
}

// Stop ends the term. Answers under way still go out: they are fenced.
func (l *Leader) Stop() { l.cancel() }

// Term returns the term's number.
func (l *Leader) Term() uint64 { return l.term }

// Ready says whether the leader has read the records, and so knows where tasks are.
func (l *Leader) Ready() bool { return l.ready.Load() }

// Heartbeat hands a worker's report to the leader and returns the answer, or
// false if none came in time. relayed says that another controller passed it on.
func (l *Leader) Heartbeat(
	ctx context.Context,
	r *protocol.WorkerHeartbeat,
	relayed bool,
) (protocol.WorkerHeartbeatReply, bool) {
	reply := make(chan protocol.WorkerHeartbeatReply, 1)
	l.mailbox.Send(scheduler.HeartbeatReceived{ReplyTo: reply, Heartbeat: r, Relayed: relayed})
	select {
	case a := <-reply:
		return a, true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return protocol.WorkerHeartbeatReply{}, false
}

// UnchangedHeartbeats hands in which machines an owner has heard that told nothing new, and returns those of which the
// next report is to be passed on; false if no answer came in time.
func (l *Leader) UnchangedHeartbeats(ctx context.Context, machines []scheduler.UnchangedHeartbeat) ([]string, bool) {
	reply := make(chan []string, 1)
	l.mailbox.Send(
		scheduler.UnchangedHeartbeats{Heartbeats: machines, ForwardNext: func(passOn []string) { reply <- passOn }},
	)
	select {
	case passOn := <-reply:
		return passOn, true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return nil, false
}

// AddCancellationIntent tells that a user may be about to hear that the job is cancelled.
func (l *Leader) AddCancellationIntent(job string, at time.Duration) {
	l.mailbox.Send(scheduler.CancellationIntent{ID: job, ValidUntil: at + l.ConfirmWithin})
}

func machineNames(machines []scheduler.UnchangedHeartbeat) (names []string) {
	for _, m := range machines {
		names = append(names, m.Machine)
	}
	return names
}

// FinaliseLevel asks that a feature level be made final.
func (l *Leader) FinaliseLevel(level featurelevel.Level) {
	l.mailbox.Send(scheduler.FinaliseFeatureLevel{Level: level})
}

// JobStatuses asks what the leader knows of jobs; those that it does not know are missing.
// false means that it did not answer.
func (l *Leader) JobStatuses(ctx context.Context, ids []string) ([]protocol.JobStatus, bool) {
	q := statusQuery{ids, make(chan []protocol.JobStatus, 1)}
	l.mailbox.Send(q)
	select {
	case s := <-q.reply:
		return s, true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return nil, false
}

func (l *Leader) run() {
	defer l.cancel()
	l.Log.Info("leading")
	began := l.Now()
	go l.loadRecords()
	var core *scheduler.Scheduler
	var early earlyHeartbeats
	var changes []scheduler.Event // of the accepted jobs, since they were read
	step := func(e any) {
		if !l.stillConfirmed() {
			return
		}
		now := l.Now()
		if core != nil {
			switch e := e.(type) {
			case statusQuery:
				e.reply <- core.Statuses(e.jobs)
			case scheduler.Event:
				l.applyEffects(core.Step(now, e))
				l.recordStepTime(e, now)
			}
			return
		}
		// Until the records are read, workers get answers that renew their
		// leases, and nothing is decided.
		switch e := e.(type) {
		case statusQuery:
			e.reply <- nil
		case scheduler.UnchangedHeartbeats:
			e.ForwardNext(machineNames(e.Heartbeats)) // nothing is known of them yet
		case scheduler.HeartbeatReceived:
			if t := protocol.TermOfToken(e.Heartbeat.FencingToken); t > l.term {
				l.Deposed(l.term, scheduler.StepDown{LaterTerm: t, Reason: "a worker has seen a later term"})
				return
			}
			// What users may have been told is cancelled ends all the same.
			e.ReplyTo.(chan protocol.WorkerHeartbeatReply) <- protocol.WorkerHeartbeatReply{FencingToken: protocol.FencingToken(l.term, 0), Commands: e.Heartbeat.StopCommands(l.HasCancellationIntent)}
			e.ReplyTo = nil // it has its answer
			early.add(e)
		case loadedRecords:
			records := scheduler.RecoveredRecords{
				MachineTypes:    e.types,
				LiveJobs:        e.liveJobs,
				Pages:           e.pages,
				Images:          e.images,
				ZoneReturnPages: e.zones,
			}
			core = scheduler.New(
				now,
				l.Deployment,
				l.Log,
				l.schedulerTerm,
				records,
				time.Now().UnixMilli(),
				l.ZoneReturn,
			)
			l.Log.Info("records read", "jobs", len(e.liveJobs), "pages", len(e.pages), "took", now-began)
			withdrawals := l.CancellationIntents(now)
			for _, job := range slices.Sorted(maps.Keys(withdrawals)) {
				l.applyEffects(
					core.Step(
						now,
						scheduler.CancellationIntent{ID: job, ValidUntil: withdrawals[job] + l.ConfirmWithin},
					),
				)
			}
			for _, c := range changes {
				l.applyEffects(core.Step(now, c))
			}
			changes = nil
			l.ready.Store(true)
			for _, r := range early.heartbeats {
				l.applyEffects(core.Step(now, r))
			}
			go l.refreshMachineTypes()
		case scheduler.JobAccepted, scheduler.JobEnded, scheduler.WatchProgress, scheduler.FinaliseFeatureLevel:
			changes = append(changes, e.(scheduler.Event))
		}
	}
	rest := time.Duration(0)
	l.mailbox.Run(l.ctx, scheduler.CycleInterval/8, step, func() {
		now := l.Now()
		if core == nil || now < rest || !l.stillConfirmed() {
			return
		}
		cycles := core.CycleCount()
		l.applyEffects(core.Step(now, scheduler.Tick{}))
		if core.CycleCount() > cycles {
			l.Timing.Record(timing.Cycle, l.Now()-now)
		}
		// A cycle that takes long is followed by a pause, so that reports and
		// questions have most of the time, however many jobs wait.
		rest = l.Now() + cyclePauseFactor*(l.Now()-now)
	})
	l.Log.Info("term over")
}

// recordStepTime notes how long a step took that began at the given time.
func (l *Leader) recordStepTime(e scheduler.Event, began time.Duration) {
	if l.Timing == nil {
		return
	}
	kind := timing.Other
	if _, ok := e.(scheduler.HeartbeatReceived); ok {
		kind = timing.WorkerHeartbeat
	}
	l.Timing.Record(kind, l.Now()-began)
}

// cyclePauseFactor is how many times as long as a cycle the pause after it is.
const cyclePauseFactor = 3

// stillConfirmed says whether the term still stands, and ends it if not. A process that
// stood still while its clocks ran on finds its books full of machines that seem
// silent and leases that seem over; by then others may lead, and it must not act on
// any of that.
func (l *Leader) stillConfirmed() bool {
	if l.Confirmed() {
		return true
	}
	if l.ctx.Err() == nil {
		l.Deposed(l.term, scheduler.StepDown{Reason: "unconfirmed"})
		l.cancel()
	}
	return false
}
