package ownership

import (
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// UnchangedHeartbeat identifies the latest heartbeat of a machine that the owner answered without the leader.
type UnchangedHeartbeat struct {
	Machine               string
	Incarnation, Sequence uint64
}

// HeartbeatFilter determines, on an owner, which heartbeats must be forwarded to the leader. The owner may answer the
// others itself because they contain nothing that the leader does not know. A HeartbeatFilter is not safe for
// concurrent use.
type HeartbeatFilter struct {
	refreshInterval time.Duration
	seed            maphash.Seed
	term            uint64
	forwarded       map[string]*forwardedHeartbeat // by machine
	unchanged       map[string]UnchangedHeartbeat  // by machine, since the last TakeUnchanged
}

// forwardedHeartbeat describes the latest heartbeat of a machine that the leader has answered.
type forwardedHeartbeat struct {
	forwardedAt        time.Duration
	incarnation, token uint64
	interruptionNotice bool
	tasksHash          uint64
	forwardNext        bool // whether the next heartbeat must be forwarded regardless of its content
}

// NewHeartbeatFilter returns a filter that has not forwarded anything yet. Each machine's heartbeats are forwarded at
// least once per refresh interval.
func NewHeartbeatFilter(refreshInterval time.Duration) *HeartbeatFilter {
	return &HeartbeatFilter{
		refreshInterval: refreshInterval,
		seed:            maphash.MakeSeed(),
		forwarded:       map[string]*forwardedHeartbeat{},
		unchanged:       map[string]UnchangedHeartbeat{},
	}
}

// MustForward reports whether a heartbeat must be forwarded to the leader of a term: because it contains new
// information, because it contains an exited task, which only the leader may drop, or because the leader requested it.
func (f *HeartbeatFilter) MustForward(now time.Duration, h *protocol.WorkerHeartbeat, term uint64) bool {
	if term != f.term {
		f.term = term
		clear(f.forwarded) // the new leader has received none of these heartbeats
		clear(f.unchanged)
	}
	last := f.forwarded[h.Machine]
	return last == nil ||
		last.forwardNext ||
		now-last.forwardedAt >= f.refreshInterval ||
		last.incarnation != h.Incarnation ||
		last.token != h.FencingToken ||
		last.interruptionNotice != (h.InterruptionNoticeSeconds != nil) ||
		last.tasksHash != f.tasksHash(h) ||
		protocol.TermOfToken(h.FencingToken) != term ||
		slices.ContainsFunc(h.Tasks, func(t protocol.TaskStatus) bool { return t.State == protocol.TaskExited })
}

// tasksHash returns a hash of the reported task statuses.
func (f *HeartbeatFilter) tasksHash(h *protocol.WorkerHeartbeat) uint64 {
	var hash maphash.Hash
	hash.SetSeed(f.seed)
	for _, t := range h.Tasks {
		maphash.WriteComparable(&hash, t)
	}
	return hash.Sum64()
}

// RecordForwarded records that the leader has answered a heartbeat.
func (f *HeartbeatFilter) RecordForwarded(now time.Duration, h *protocol.WorkerHeartbeat) {
	f.forwarded[h.Machine] = &forwardedHeartbeat{
		forwardedAt:        now,
		incarnation:        h.Incarnation,
		token:              h.FencingToken,
		interruptionNotice: h.InterruptionNoticeSeconds != nil,
		tasksHash:          f.tasksHash(h),
	}
	delete(f.unchanged, h.Machine)
}

// RecordLocalReply records that the owner has answered a heartbeat itself.
func (f *HeartbeatFilter) RecordLocalReply(h *protocol.WorkerHeartbeat) {
	f.unchanged[h.Machine] = UnchangedHeartbeat{Machine: h.Machine, Incarnation: h.Incarnation, Sequence: h.Sequence}
}

// TakeUnchanged returns the latest heartbeat of each machine that was answered locally, sorted by machine name, and
// clears the list.
func (f *HeartbeatFilter) TakeUnchanged() []UnchangedHeartbeat {
	list := make([]UnchangedHeartbeat, 0, len(f.unchanged))
	for _, name := range slices.Sorted(maps.Keys(f.unchanged)) {
		list = append(list, f.unchanged[name])
	}
	clear(f.unchanged)
	return list
}

// ForwardNext ensures that the next heartbeat of each of the machines is forwarded regardless of its content.
func (f *HeartbeatFilter) ForwardNext(machines []string) {
	for _, name := range machines {
		if last := f.forwarded[name]; last != nil {
			last.forwardNext = true
		}
	}
}

// Expire drops machines for which no heartbeat was forwarded for a long time. They now report to other controllers.
func (f *HeartbeatFilter) Expire(now time.Duration) {
	maps.DeleteFunc(f.forwarded, func(_ string, last *forwardedHeartbeat) bool {
		return now-last.forwardedAt > 2*f.refreshInterval
	})
}
