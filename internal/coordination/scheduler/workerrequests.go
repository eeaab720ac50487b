package scheduler

import "time"

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
