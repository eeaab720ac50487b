// Package leader runs one term of a leader: it reads the records, drives the
// scheduler, which is a state machine, and carries out its effects.
package leader

import (
	"context"
	"log/slog"
	"sync"
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

// Leadership is the election's side of one term.
type Leadership interface {
	// Confirmed returns whether this controller is the confirmed leader of the term at this moment.
	Confirmed() bool
	// JobsKnownUpTo is called when the leader has received every change of the accepted jobs up to a time.
	JobsKnownUpTo(at time.Duration)
	// StepDown is called when the leader gives up the term, with the reason.
	StepDown(reason scheduler.StepDown)
}

// CancellationIntents are the intents to cancel jobs that this controller knows of.
type CancellationIntents interface {
	// NewestByJob returns the jobs with an intent, each with the time of its newest one.
	NewestByJob(now time.Duration) map[string]time.Duration
	// HasIntent returns whether there is an intent to cancel the job.
	HasIntent(now time.Duration, job string) bool
}

// Observer is called for what the whole controller should know of a leader's work.
type Observer interface {
	// MachineTypesRead is called each time that the leader has read the cloud's machine types and prices.
	MachineTypesRead(types []protocol.MachineType)
	// FeatureLevelFinal is called when the leader has recorded that a feature level is final.
	FeatureLevelFinal(level featurelevel.Level)
}

// Dependencies are what a leader uses of its controller.
type Dependencies struct {
	Leadership Leadership
	Intents    CancellationIntents
	Observer   Observer
	Store      *storage.Client
	Cloud      *CloudClient
	Workers    *transport.Client
	Random     *random.Source
	Log        *slog.Logger
	Now        func() time.Duration
}

// Options are the settings of a leader.
type Options struct {
	Deployment *config.Deployment
	// WatchTimeout is how long one request for the store's changes may wait for a change.
	WatchTimeout time.Duration
	// ConfirmWithin is how long after its intent a cancellation is confirmed, or never without another intent.
	ConfirmWithin time.Duration
	// ZoneFailover is the order in which work recovers when a zone is lost; nil turns zone failover off.
	ZoneFailover *zonefailover.RecoveryOrder
	// Timing measures the steps; nil: off.
	Timing *timing.Recorder
}

// Leader is one term of leadership. Its methods may be called from any goroutine.
type Leader struct {
	deps    Dependencies
	options Options
	term    scheduler.Term
	log     *slog.Logger
	mailbox *actor.Mailbox[any] // of scheduler.Event, statusQuery and loadedRecords
	probes  *actor.Pool[scheduler.Probe]
	cancel  context.CancelFunc
	done    <-chan struct{} // closed when the term is over
	tasks   sync.WaitGroup  // goroutines of this term but its main loop
	stopped chan struct{}   // closed when the main loop and all tasks have ended
	ready   atomic.Bool     // the records are read
}

// statusQuery asks for the status of jobs.
type statusQuery struct {
	jobs  []string
	reply chan []protocol.JobStatus
}

// probeSocketDivisor is the part of a process's sockets, as its inverse, that may probe
// machines at a time: fewer than may send commands, so that commands are not held up.
const probeSocketDivisor = 32

// Start begins a term, which lasts until the context ends, Stop is called or the leader steps down.
func Start(ctx context.Context, deps Dependencies, options Options, term scheduler.Term) *Leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{
		deps:    deps,
		options: options,
		term:    term,
		log:     deps.Log.With("term", term.Number),
		mailbox: actor.NewMailbox[any](),
		cancel:  cancel,
		done:    ctx.Done(),
		stopped: make(chan struct{}),
	}
	concurrentProbes := max(1, options.Deployment.Quota.MaxSockets/probeSocketDivisor)
	l.probes = actor.NewPool(concurrentProbes, func(p scheduler.Probe) {
		defer l.tasks.Done()
		l.probe(ctx, p)
	})
	go func() {
		defer close(l.stopped)
		l.run(ctx)
	}()
	return l
}

// Stop ends the term and does not wait for it. Answers under way still go out: they are fenced.
func (l *Leader) Stop() { l.cancel() }

// Wait returns when the term is over and none of its goroutines is left.
func (l *Leader) Wait() { <-l.stopped }

// Term returns the term's number.
func (l *Leader) Term() uint64 { return l.term.Number }

// Ready says whether the leader has read the records, and so knows where tasks are.
func (l *Leader) Ready() bool { return l.ready.Load() }

// Heartbeat passes a worker's heartbeat to the leader and returns the answer. It returns
// false if none came in time. relayed says that the worker can't reach this controller.
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
	case <-l.done:
	case <-ctx.Done():
	}
	return protocol.WorkerHeartbeatReply{}, false
}

// UnchangedHeartbeats passes an owner's digest of unchanged heartbeats to the leader, and returns the machines of which
// the owner has to forward the next heartbeat. It returns false if no answer came in time.
func (l *Leader) UnchangedHeartbeats(ctx context.Context, machines []scheduler.UnchangedHeartbeat) ([]string, bool) {
	reply := make(chan []string, 1)
	l.mailbox.Send(
		scheduler.UnchangedHeartbeats{Heartbeats: machines, ForwardNext: func(passOn []string) { reply <- passOn }},
	)
	select {
	case passOn := <-reply:
		return passOn, true
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, false
}

// AddCancellationIntent says that a user may be about to learn that the job is cancelled.
func (l *Leader) AddCancellationIntent(job string, at time.Duration) {
	l.mailbox.Send(scheduler.CancellationIntent{ID: job, ValidUntil: at + l.options.ConfirmWithin})
}

// FinaliseLevel has the leader make a feature level final.
func (l *Leader) FinaliseLevel(level featurelevel.Level) {
	l.mailbox.Send(scheduler.FinaliseFeatureLevel{Level: level})
}

// JobStatuses returns what the leader knows of jobs; those that it does not know are missing.
// It returns false if no answer came in time.
func (l *Leader) JobStatuses(ctx context.Context, ids []string) ([]protocol.JobStatus, bool) {
	q := statusQuery{ids, make(chan []protocol.JobStatus, 1)}
	l.mailbox.Send(q)
	select {
	case s := <-q.reply:
		return s, true
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, false
}
