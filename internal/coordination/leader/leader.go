// Package leader runs one term of a leader. It loads the stored records, feeds events to the scheduler, which is a
// state machine, and carries out the effects that the scheduler returns.
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

// Leadership connects a leader to the election for the duration of one term.
type Leadership interface {
	// Confirmed reports whether this controller is the confirmed leader of the term at this moment.
	Confirmed() bool
	// JobWatchProgress reports that the leader has received all changes to the accepted jobs up to the given time.
	JobWatchProgress(at time.Duration)
	// StepDown gives up the term for the given reason.
	StepDown(reason scheduler.StepDown)
}

// CancellationIntents gives access to the intents to cancel jobs that this controller knows of.
type CancellationIntents interface {
	// NewestByJob returns the jobs that have an intent, with the time of the newest intent of each.
	NewestByJob(now time.Duration) map[string]time.Duration
	// HasIntent reports whether there is an intent to cancel the job.
	HasIntent(now time.Duration, job string) bool
	// HasIntentSince reports whether an intent to cancel the job has arrived at the given time or later.
	HasIntentSince(since time.Duration, job string) bool
}

// Observer is notified of the results of a leader that concern the whole controller.
type Observer interface {
	// MachineTypesRead is called whenever the leader has read the cloud's machine types and prices.
	MachineTypesRead(types []protocol.MachineType)
	// FeatureLevelFinal is called when the leader has recorded that a feature level is final.
	FeatureLevelFinal(level featurelevel.Level)
}

// Dependencies holds the components of the controller that a leader uses.
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

// Options holds the settings of a leader.
type Options struct {
	Deployment *config.Deployment
	// WatchTimeout limits how long one watch request to the store waits for a change.
	WatchTimeout time.Duration
	// IntentValidity is how long a cancellation intent remains valid. A cancellation that has not been confirmed within
	// this time needs a new intent.
	IntentValidity time.Duration
	// ZoneFailover is the order in which work is recovered after the loss of a zone; nil disables zone failover.
	ZoneFailover *zonefailover.RecoveryOrder
	// Timing records the duration of steps; nil disables the recording.
	Timing *timing.Recorder
}

// Leader runs one term of leadership. It is safe for concurrent use.
type Leader struct {
	deps       Dependencies
	options    Options
	term       scheduler.Term
	log        *slog.Logger
	mailbox    *actor.Mailbox[any]      // holds scheduler.Event, statusQuery and loadedRecords
	batches    map[string]*commandBatch // in flight, by machine; used by the main loop only
	cancel     context.CancelFunc
	done       <-chan struct{} // closed when the term is over
	goroutines sync.WaitGroup  // all goroutines of this term except the main loop
	stopped    chan struct{}   // closed when the main loop and all other goroutines have ended
	ready      atomic.Bool     // set once the records are loaded
}

// statusQuery requests the status of jobs from the main loop.
type statusQuery struct {
	jobs  []string
	reply chan []protocol.JobStatus
}

// Start begins a term. The term lasts until the context ends, Stop is called or the leader steps down.
func Start(ctx context.Context, deps Dependencies, options Options, term scheduler.Term) *Leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{
		deps:    deps,
		options: options,
		term:    term,
		log:     deps.Log.With("term", term.Number),
		mailbox: actor.NewMailbox[any](),
		batches: map[string]*commandBatch{},
		cancel:  cancel,
		done:    ctx.Done(),
		stopped: make(chan struct{}),
	}
	go func() {
		defer close(l.stopped)
		l.run(ctx)
	}()
	return l
}

// Stop ends the term without waiting for its goroutines. Replies in progress may still be sent; this is safe because
// they carry a fencing token.
func (l *Leader) Stop() { l.cancel() }

// Wait blocks until the term is over and all its goroutines have ended.
func (l *Leader) Wait() { <-l.stopped }

// Term returns the number of the term.
func (l *Leader) Term() uint64 { return l.term.Number }

// Ready reports whether the leader has loaded the records, from which it knows the placements of tasks.
func (l *Leader) Ready() bool { return l.ready.Load() }

// Heartbeat passes a worker's heartbeat to the leader and returns the reply. It returns false if the term or the
// context ends before there is a reply. relayed is set if the worker can't reach this controller, and another one
// forwarded the heartbeat.
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

// UnchangedHeartbeats passes a digest of unchanged heartbeats from the owner of a shard to the leader, and returns the
// machines whose next heartbeat the owner must forward. It returns false if the term or the context ends before there
// is a reply.
func (l *Leader) UnchangedHeartbeats(ctx context.Context, machines []scheduler.UnchangedHeartbeat) ([]string, bool) {
	reply := make(chan []string, 1)
	l.mailbox.Send(
		scheduler.UnchangedHeartbeats{Heartbeats: machines, ForwardNext: func(names []string) { reply <- names }},
	)
	select {
	case names := <-reply:
		return names, true
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, false
}

// AddCancellationIntent tells the leader that a user may soon be told that the job is cancelled.
func (l *Leader) AddCancellationIntent(job string, at time.Duration) {
	l.mailbox.Send(scheduler.CancellationIntent{ID: job, ValidUntil: at + l.options.IntentValidity})
}

// FinaliseLevel requests that the leader make a feature level final.
func (l *Leader) FinaliseLevel(level featurelevel.Level) {
	l.mailbox.Send(scheduler.FinaliseFeatureLevel{Level: level})
}

// JobStatuses returns the status of the given jobs; jobs that the leader doesn't know are omitted. It returns false if
// the term or the context ends before there is a reply.
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
