package loadtest

import (
	"sync"
	"time"

	"pinebay/internal/simulation"
)

// replyCounter counts the distinct hollow workers that received a reply to a heartbeat since its creation.
type replyCounter struct {
	mu      sync.Mutex
	firstAt time.Time
	workers map[*simulation.Agent]bool
}

// countReplies installs and returns a new counter, which starts at zero.
func (r *sizeRun) countReplies() *replyCounter {
	c := &replyCounter{workers: map[*simulation.Agent]bool{}}
	r.replies.Store(c)
	return c
}

// recordHeartbeatReply counts a reply to a heartbeat of a hollow worker.
func (r *sizeRun) recordHeartbeatReply(worker *simulation.Agent) {
	r.replyCount.Add(1)
	if c := r.replies.Load(); c != nil {
		c.add(worker)
	}
}

func (c *replyCounter) add(worker *simulation.Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.workers) == 0 {
		c.firstAt = time.Now()
	}
	c.workers[worker] = true
}

// count returns the number of workers that received a reply, and the time at which the first one did.
func (c *replyCounter) count() (workers int, firstAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.workers), c.firstAt
}
