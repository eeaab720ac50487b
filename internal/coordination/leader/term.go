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

// cyclePauseFactor is the length of the pause after a scheduling cycle, as a multiple of the duration of the cycle.
const cyclePauseFactor = 3

// termLoop is the state of a term's main loop. Only the goroutine of the main loop may use it.
type termLoop struct {
	*Leader
	startedAt          time.Duration
	scheduler          *scheduler.Scheduler // nil until the records are loaded
	bufferedHeartbeats heartbeatBuffer
	bufferedEvents     []scheduler.Event // received before the records were loaded, other than heartbeats
	nextCycleAt        time.Duration     // earliest time of the next scheduling cycle
}

// run is the main loop of the term. It returns when the term is over and all its goroutines have ended.
func (l *Leader) run(ctx context.Context) {
	defer l.goroutines.Wait()
	defer l.cancel()
	l.log.Info("leadership acquired")
	t := &termLoop{Leader: l, startedAt: l.deps.Now()}
	l.goroutines.Go(func() { l.loadRecords(ctx) })
	step := func(message any) { t.handle(ctx, message) }
	l.mailbox.Run(ctx, scheduler.CycleInterval/8, step, func() { t.tick(ctx) })
	l.log.Info("leadership ended")
}

// handle processes one message from the mailbox.
func (t *termLoop) handle(ctx context.Context, message any) {
	if !t.ensureConfirmed(ctx) {
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
		if result, ok := m.(scheduler.CommandBatchResult); ok {
			delete(t.batches, result.Machine)
		}
		t.step(ctx, now, m)
		t.recordStepTime(m, now)
	}
}

// handleBeforeRecovery processes a message that arrives before the records are loaded. Workers receive replies, which
// renew their leases, but the scheduler makes no decisions yet.
func (t *termLoop) handleBeforeRecovery(ctx context.Context, now time.Duration, message any) {
	switch m := message.(type) {
	case statusQuery:
		m.reply <- nil
	case scheduler.UnchangedHeartbeats:
		m.ForwardNext(machineNames(m.Heartbeats)) // nothing is known about these machines yet
	case scheduler.HeartbeatReceived:
		t.replyBeforeRecovery(m)
	case loadedRecords:
		t.startScheduler(ctx, now, m)
	case scheduler.JobAccepted, scheduler.JobEnded, scheduler.WatchProgress, scheduler.FinaliseFeatureLevel:
		if event, ok := m.(scheduler.Event); ok {
			t.bufferedEvents = append(t.bufferedEvents, event)
		}
	}
}

// replyBeforeRecovery replies to a heartbeat before the records are loaded, and buffers it for the scheduler.
func (t *termLoop) replyBeforeRecovery(m scheduler.HeartbeatReceived) {
	if laterTerm := protocol.TermOfToken(m.Heartbeat.FencingToken); laterTerm > t.term.Number {
		t.deps.Leadership.StepDown(scheduler.StepDown{LaterTerm: laterTerm, Reason: "a worker has seen a later term"})
		return
	}
	if reply, ok := m.ReplyTo.(chan protocol.WorkerHeartbeatReply); ok {
		// A job must end in any case if its user may have been told that it is cancelled.
		reply <- protocol.WorkerHeartbeatReply{
			FencingToken: protocol.FencingToken(t.term.Number, 0),
			Commands: m.Heartbeat.StopCommands(func(job string) bool {
				return t.deps.Intents.HasIntent(t.deps.Now(), job)
			}),
		}
	}
	m.ReplyTo = nil // the reply has been sent
	t.bufferedHeartbeats.add(m)
}

// startScheduler creates the scheduler from the loaded records and passes it the events that have arrived since loading
// began: first the cancellation intents, then the changes to jobs, and last the heartbeats, because these may cause the
// scheduler to act.
func (t *termLoop) startScheduler(ctx context.Context, now time.Duration, loaded loadedRecords) {
	records := scheduler.RecoveredRecords{
		MachineTypes:      loaded.types,
		LiveJobs:          loaded.liveJobs,
		PlacementPages:    loaded.pages,
		ImageHints:        loaded.images,
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
		validUntil := intents[job] + t.options.IntentValidity
		t.step(ctx, now, scheduler.CancellationIntent{ID: job, ValidUntil: validUntil})
	}
	for _, event := range t.bufferedEvents {
		t.step(ctx, now, event)
	}
	t.bufferedEvents = nil
	t.ready.Store(true)
	for _, heartbeat := range t.bufferedHeartbeats.heartbeats {
		t.step(ctx, now, heartbeat)
	}
	t.goroutines.Go(func() { t.refreshMachineTypes(ctx) })
}

// step passes an event to the scheduler and applies the resulting effects.
func (t *termLoop) step(ctx context.Context, now time.Duration, event scheduler.Event) {
	effects := t.scheduler.Step(now, event) //nolint:contextcheck // the state machine does no I/O except logging
	t.applyEffects(ctx, effects)
}

// tick runs a scheduling cycle if one is due. The cycle is followed by a pause proportional to its duration, so that
// heartbeats and queries get most of the time, however many jobs are waiting.
func (t *termLoop) tick(ctx context.Context) {
	now := t.deps.Now()
	if t.scheduler == nil || now < t.nextCycleAt || !t.ensureConfirmed(ctx) {
		return
	}
	previousCycles := t.scheduler.CycleCount()
	t.step(ctx, now, scheduler.Tick{})
	if t.scheduler.CycleCount() > previousCycles {
		t.options.Timing.Record(timing.Cycle, t.deps.Now()-now)
	}
	t.nextCycleAt = t.deps.Now() + cyclePauseFactor*(t.deps.Now()-now)
}

// recordStepTime records the duration of a step that started at the given time.
func (t *termLoop) recordStepTime(event scheduler.Event, start time.Duration) {
	if t.options.Timing == nil {
		return
	}
	kind := timing.Other
	if _, ok := event.(scheduler.HeartbeatReceived); ok {
		kind = timing.WorkerHeartbeat
	}
	t.options.Timing.Record(kind, t.deps.Now()-start)
}

// ensureConfirmed reports whether the term is still confirmed, and ends the term if it is not. After a suspension of
// the process during which its clocks continued, all machines would seem unreachable and all leases expired. By then
// another controller may lead, so this one must not act on these observations.
func (t *termLoop) ensureConfirmed(ctx context.Context) bool {
	if t.deps.Leadership.Confirmed() {
		return true
	}
	if ctx.Err() == nil {
		t.deps.Leadership.StepDown(scheduler.StepDown{Reason: "unconfirmed"})
		t.cancel()
	}
	return false
}

// heartbeatBuffer holds the newest heartbeat of each machine that arrived before the records were loaded, in the order
// in which the first heartbeats of the machines arrived.
type heartbeatBuffer struct {
	heartbeats []scheduler.HeartbeatReceived
	index      map[string]int
}

func (b *heartbeatBuffer) add(h scheduler.HeartbeatReceived) {
	if i, ok := b.index[h.Heartbeat.Machine]; ok {
		b.heartbeats[i] = h
		return
	}
	if b.index == nil {
		b.index = map[string]int{}
	}
	b.index[h.Heartbeat.Machine] = len(b.heartbeats)
	b.heartbeats = append(b.heartbeats, h)
}

func machineNames(machines []scheduler.UnchangedHeartbeat) (names []string) {
	for _, m := range machines {
		names = append(names, m.Machine)
	}
	return names
}
