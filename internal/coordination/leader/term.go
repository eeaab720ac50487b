package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/timing"
)

// cyclePauseFactor is the length of the pause after a scheduling cycle, as a multiple of the cycle's.
const cyclePauseFactor = 3

// termLoop is the state of a term's main loop. Only its goroutine uses it.
type termLoop struct {
	*Leader
	startedAt time.Duration
	scheduler *scheduler.Scheduler // nil until the records are read
	early     earlyHeartbeats
	changes   []scheduler.Event // of the accepted jobs, received before the records were read
	restUntil time.Duration     // no scheduling cycle before
}

// run is the main loop of the term. It returns when the term is over and all its tasks have ended.
func (l *Leader) run(ctx context.Context) {
	defer l.tasks.Wait()
	defer l.cancel()
	l.log.Info("leadership acquired")
	t := &termLoop{Leader: l, startedAt: l.deps.Now()}
	l.tasks.Go(func() { l.loadRecords(ctx) })
	step := func(message any) { t.handle(ctx, message) }
	l.mailbox.Run(ctx, scheduler.CycleInterval/8, step, func() { t.tick(ctx) })
	l.log.Info("leadership ended")
}

// handle processes one message of the mailbox.
func (t *termLoop) handle(ctx context.Context, message any) {
	if !t.stillConfirmed(ctx) {
		return
	}
	now := t.deps.Now()
	if t.scheduler == nil {
		t.handleBeforeRecovery(ctx, now, message)
		return
	}
	switch m := message.(type) {
	case statusQuery:
		m.reply <- t.scheduler.Statuses(m.jobs)
	case scheduler.Event:
		t.step(ctx, now, m)
		t.recordStepTime(m, now)
	}
}

// handleBeforeRecovery processes a message until the records are read: workers get answers that renew their leases, and
// nothing is decided.
func (t *termLoop) handleBeforeRecovery(ctx context.Context, now time.Duration, message any) {
	switch m := message.(type) {
	case statusQuery:
		m.reply <- nil
	case scheduler.UnchangedHeartbeats:
		m.ForwardNext(machineNames(m.Heartbeats)) // nothing is known of them yet
	case scheduler.HeartbeatReceived:
		t.answerEarly(m)
	case loadedRecords:
		t.startScheduler(ctx, now, m)
	case scheduler.JobAccepted, scheduler.JobEnded, scheduler.WatchProgress, scheduler.FinaliseFeatureLevel:
		if change, ok := m.(scheduler.Event); ok {
			t.changes = append(t.changes, change)
		}
	}
}

// answerEarly answers a heartbeat before the records are read, and keeps it for the scheduler.
func (t *termLoop) answerEarly(m scheduler.HeartbeatReceived) {
	if later := protocol.TermOfToken(m.Heartbeat.FencingToken); later > t.term.Number {
		t.deps.Leadership.StepDown(scheduler.StepDown{LaterTerm: later, Reason: "a worker has seen a later term"})
		return
	}
	if reply, ok := m.ReplyTo.(chan protocol.WorkerHeartbeatReply); ok {
		// Jobs of which users may have been told that they are cancelled end all the same.
		reply <- protocol.WorkerHeartbeatReply{
			FencingToken: protocol.FencingToken(t.term.Number, 0),
			Commands: m.Heartbeat.StopCommands(func(job string) bool {
				return t.deps.Intents.HasIntent(t.deps.Now(), job)
			}),
		}
	}
	m.ReplyTo = nil // it has its answer
	t.early.add(m)
}

// startScheduler creates the scheduler from the records. It gets what has arrived since they were asked for: the
// intents of cancellation first, then the changes of jobs, then the heartbeats, by which it may act.
func (t *termLoop) startScheduler(ctx context.Context, now time.Duration, loaded loadedRecords) {
	records := scheduler.RecoveredRecords{
		MachineTypes:      loaded.types,
		LiveJobs:          loaded.liveJobs,
		Pages:             loaded.pages,
		Images:            loaded.images,
		ZoneFailoverPages: loaded.zones,
	}
	t.scheduler = scheduler.New(now, scheduler.Options{
		Config:        t.options.Deployment,
		Log:           t.log,
		Term:          t.term,
		Records:       records,
		WallClockMS:   time.Now().UnixMilli(),
		RecoveryOrder: t.options.ZoneFailover,
	})
	t.log.Info("records read",
		"job_count", len(loaded.liveJobs),
		"page_count", len(loaded.pages),
		"duration", now-t.startedAt,
	)
	intents := t.deps.Intents.NewestByJob(now)
	for _, job := range slices.Sorted(maps.Keys(intents)) {
		validUntil := intents[job] + t.options.ConfirmWithin
		t.step(ctx, now, scheduler.CancellationIntent{ID: job, ValidUntil: validUntil})
	}
	for _, change := range t.changes {
		t.step(ctx, now, change)
	}
	t.changes = nil
	t.ready.Store(true)
	for _, heartbeat := range t.early.heartbeats {
		t.step(ctx, now, heartbeat)
	}
	t.tasks.Go(func() { t.refreshMachineTypes(ctx) })
}

// step has the scheduler process an event, and applies the effects.
func (t *termLoop) step(ctx context.Context, now time.Duration, event scheduler.Event) {
	effects := t.scheduler.Step(now, event) //nolint:contextcheck // a state machine without I/O; it only logs
	t.applyEffects(ctx, effects)
}

// tick runs a scheduling cycle if one is due. One that takes long is followed by a pause, so that heartbeats and
// queries have most of the time, however many jobs wait.
func (t *termLoop) tick(ctx context.Context) {
	now := t.deps.Now()
	if t.scheduler == nil || now < t.restUntil || !t.stillConfirmed(ctx) {
		return
	}
	cycles := t.scheduler.CycleCount()
	t.step(ctx, now, scheduler.Tick{})
	if t.scheduler.CycleCount() > cycles {
		t.options.Timing.Record(timing.Cycle, t.deps.Now()-now)
	}
	t.restUntil = t.deps.Now() + cyclePauseFactor*(t.deps.Now()-now)
}

// recordStepTime records the duration of a step that began at the given time.
func (t *termLoop) recordStepTime(event scheduler.Event, began time.Duration) {
	if t.options.Timing == nil {
		return
	}
	kind := timing.Other
	if _, ok := event.(scheduler.HeartbeatReceived); ok {
		kind = timing.WorkerHeartbeat
	}
	t.options.Timing.Record(kind, t.deps.Now()-began)
}

// stillConfirmed returns whether the term is still confirmed, and ends it if not. A process that was suspended while
// its clocks ran on would find all machines silent and all leases expired; by then others may lead, and it must not act
// on any of that.
func (t *termLoop) stillConfirmed(ctx context.Context) bool {
	if t.deps.Leadership.Confirmed() {
		return true
	}
	if ctx.Err() == nil {
		t.deps.Leadership.StepDown(scheduler.StepDown{Reason: "unconfirmed"})
		t.cancel()
	}
	return false
}

// earlyHeartbeats keeps the newest heartbeat of each machine that arrived before the records were read,
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

func machineNames(machines []scheduler.UnchangedHeartbeat) (names []string) {
	for _, m := range machines {
		names = append(names, m.Machine)
	}
	return names
}
