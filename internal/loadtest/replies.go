package loadtest

import (
	"sync"
	"time"

	"pinebay/internal/simulation"
)

// replyCounter counts the hollow workers that had a reply to a heartbeat since its creation.
type replyCounter struct {
	mu      sync.Mutex
	firstAt time.Time
	workers map[*simulation.Agent]bool
}

// countReplies begins to count anew.
func (r *run) countReplies() *replyCounter {
	c := &replyCounter{workers: map[*simulation.Agent]bool{}}
	r.replies.Store(c)
	return c
}

// recordHeartbeatReply counts a reply to a worker's heartbeat.
func (r *run) recordHeartbeatReply(worker *simulation.Agent) {
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

// count returns how many workers had a reply, and when the first one had.
func (c *replyCounter) count() (workers int, firstAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.workers), c.firstAt
}
