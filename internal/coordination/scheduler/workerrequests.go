package scheduler

import "time"

// workerRequests counts the requests to the addresses of workers that are in flight. The scheduler emits a request only
// if it can be sent at once. Until then nothing is decided, so that commands that have become due or obsolete in the
// meantime are taken into account: a start command that waited to be sent, for example behind commands to machines that
// do not answer, could reach its machine after the job was cancelled.
type workerRequests struct {
	limit    int
	commands int // command batches in flight
	// commandsWaiting is set if machines may have to wait for commands because of the limit.
	commandsWaiting bool
}

func (r *workerRequests) free() int { return r.limit - r.commands }

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

// commandBatchEnded records that a command batch is no longer in flight, and sends commands that waited for that.
func (s *Scheduler) commandBatchEnded(now time.Duration) {
	s.workerRequests.commands--
	if s.workerRequests.commandsWaiting {
		s.sendUrgentCommands(now)
	}
}
