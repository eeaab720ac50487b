package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// workerRequests counts the requests to the addresses of workers that are in flight. The scheduler emits a request only
// if it can be sent at once. Until then nothing is decided, so that commands that have become due or obsolete in the
// meantime are taken into account: a start command that waited to be sent, for example behind commands to machines that
// do not answer, could reach its machine after the job was cancelled.
type workerRequests struct {
	limit    int
	commands int             // command batches in flight
	probes   map[string]bool // machines with a probe in flight
	// commandsWaiting is set if machines may have to wait for commands because of the limit.
	commandsWaiting bool
}

// probeDivisor limits the probes in flight to a fraction of all requests, so that probes do not delay commands.
const probeDivisor = 2

func newWorkerRequests(limit int) workerRequests {
	return workerRequests{limit: limit, probes: map[string]bool{}}
}

func (r *workerRequests) free() int { return r.limit - r.commands - len(r.probes) }

// mayProbe reports whether another probe may be sent now.
func (r *workerRequests) mayProbe() bool {
	return r.free() > 0 && len(r.probes) < max(1, r.limit/probeDivisor)
}

// sendUrgentCommands sends the commands that should not wait for the next heartbeat of their machine, as far as the
// limit of requests allows.
func (s *Scheduler) sendUrgentCommands(now time.Duration) {
	free := s.workerRequests.free()
	s.workerRequests.commandsWaiting = free <= 0
	if free <= 0 {
		return
	}
	machines, more := s.machines.MachinesToCommand(now, free)
	s.workerRequests.commandsWaiting = more
	for _, m := range machines {
		s.sendCommandBatch(now, m)
	}
}

// sendCommandBatch sends the commands that are due for a machine.
func (s *Scheduler) sendCommandBatch(now time.Duration, m *machineregistry.Machine) {
	commands := s.machines.TakeDueCommands(now, m)
	if len(commands) == 0 {
		return
	}
	s.machines.RecordCommandSent(m, commands)
	s.workerRequests.commands++
	s.emit(SendCommandBatch{
		Machine: m.Name,
		Addr:    m.Addr,
		Batch: protocol.CommandBatch{
			FencingToken: s.machines.FencingToken(m),
			Incarnation:  m.Incarnation,
			Commands:     commands,
		},
	})
}

// handleCommandBatchResult applies the heartbeat with which a machine has answered a command batch. A machine that did
// not answer gets no new tasks until it has had time for another heartbeat, since heartbeats can arrive even if
// commands do not.
func (s *Scheduler) handleCommandBatchResult(now time.Duration, e CommandBatchResult) {
	s.workerRequests.commands--
	if e.Heartbeat != nil && s.stepDownForLaterTerm(e.Heartbeat) {
		return
	}
	if m := s.machines.Machine(e.Machine); m != nil {
		s.applyCommandBatchResult(now, m, e)
	}
	s.sendWaitingCommands(now)
}

func (s *Scheduler) applyCommandBatchResult(now time.Duration, m *machineregistry.Machine, e CommandBatchResult) {
	if e.NotSent {
		s.machines.RecordCommandNotSent(m)
		return
	}
	if e.Heartbeat != nil && e.Heartbeat.Machine == e.Machine {
		s.applyHeartbeat(now, e.Heartbeat)
	}
	s.machines.RecordCommandResult(now, m, e.Acknowledged || e.Heartbeat != nil)
	if e.Heartbeat == nil {
		m.MarkUnresponsive(now + config.Seconds(2*s.cfg.Workers.HeartbeatSeconds))
	}
}

// sendWaitingCommands sends commands that waited for the end of another request. It is called when a request has ended.
func (s *Scheduler) sendWaitingCommands(now time.Duration) {
	if s.workerRequests.commandsWaiting {
		s.sendUrgentCommands(now)
	}
}

// revokeOutdatedBatches revokes the command batches in flight with a start command of a placement that has been stopped
// in the meantime. A batch may still be waiting for a connection to its machine.
func (s *Scheduler) revokeOutdatedBatches() {
	for _, m := range s.machines.TakeOutdatedBatches() {
		s.emit(RevokeCommandBatch{Machine: m.Name})
	}
}
