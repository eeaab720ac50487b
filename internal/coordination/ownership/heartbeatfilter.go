package ownership

import (
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// UnchangedHeartbeat identifies the last heartbeat of a machine that the owner answered itself.
type UnchangedHeartbeat struct {
	Machine               string
	Incarnation, Sequence uint64
}

// HeartbeatFilter decides, on an owner, which heartbeats must be forwarded to the leader and which
// the owner may answer itself: those that contain nothing that the leader does not know. It is not
// safe for concurrent use.
type HeartbeatFilter struct {
	refreshInterval time.Duration
	seed            maphash.Seed
	term            uint64
	forwarded       map[string]*forwardedHeartbeat // by machine
	unchanged       map[string]UnchangedHeartbeat  // by machine, since the last TakeUnchanged
}

// forwardedHeartbeat is the last heartbeat of a machine that the leader has answered.
type forwardedHeartbeat struct {
	forwardedAt        time.Duration
	incarnation, token uint64
	notice             bool
	tasksHash          uint64
	forwardNext        bool // the leader wants the next heartbeat, whatever it contains
}

// NewHeartbeatFilter returns a filter that has forwarded nothing. A heartbeat of each machine is
// forwarded at least once per refresh interval.
func NewHeartbeatFilter(refreshInterval time.Duration) *HeartbeatFilter {
	return &HeartbeatFilter{
		refreshInterval: refreshInterval,
		seed:            maphash.MakeSeed(),
		forwarded:       map[string]*forwardedHeartbeat{},
		unchanged:       map[string]UnchangedHeartbeat{},
	}
}

// MustForward says whether a heartbeat must be forwarded to the leader of a term: it contains
// something new, or an exited task, which only the leader may drop, or the leader has asked for it.
func (f *HeartbeatFilter) MustForward(now time.Duration, h *protocol.WorkerHeartbeat, term uint64) bool {
	if term != f.term {
		f.term = term
		clear(f.forwarded) // the new leader knows none of them
		clear(f.unchanged)
	}
	last := f.forwarded[h.Machine]
	return last == nil ||
		last.forwardNext ||
		now-last.forwardedAt >= f.refreshInterval ||
		last.incarnation != h.Incarnation ||
		last.token != h.FencingToken ||
		last.notice != (h.InterruptionNoticeSeconds != nil) ||
		last.tasksHash != f.tasksHash(h) ||
		protocol.TermOfToken(h.FencingToken) != term ||
		slices.ContainsFunc(h.Tasks, func(t protocol.TaskStatus) bool { return t.State == protocol.TaskExited })
}

// tasksHash returns a hash of the reported tasks.
func (f *HeartbeatFilter) tasksHash(h *protocol.WorkerHeartbeat) uint64 {
	var hash maphash.Hash
	hash.SetSeed(f.seed)
	for _, t := range h.Tasks {
		maphash.WriteComparable(&hash, t)
	}
	return hash.Sum64()
}

// Forwarded notes that the leader has answered a heartbeat.
func (f *HeartbeatFilter) Forwarded(now time.Duration, h *protocol.WorkerHeartbeat) {
	f.forwarded[h.Machine] = &forwardedHeartbeat{
		forwardedAt: now,
		incarnation: h.Incarnation,
		token:       h.FencingToken,
		notice:      h.InterruptionNoticeSeconds != nil,
		tasksHash:   f.tasksHash(h),
	}
	delete(f.unchanged, h.Machine)
}

// AnsweredLocally notes that the owner has answered a heartbeat itself.
func (f *HeartbeatFilter) AnsweredLocally(h *protocol.WorkerHeartbeat) {
	f.unchanged[h.Machine] = UnchangedHeartbeat{Machine: h.Machine, Incarnation: h.Incarnation, Sequence: h.Sequence}
}

// TakeUnchanged returns and forgets the machines that were answered locally, in name order.
func (f *HeartbeatFilter) TakeUnchanged() []UnchangedHeartbeat {
	list := make([]UnchangedHeartbeat, 0, len(f.unchanged))
	for _, name := range slices.Sorted(maps.Keys(f.unchanged)) {
		list = append(list, f.unchanged[name])
	}
	clear(f.unchanged)
	return list
}

// ForwardNext makes the next heartbeats of machines be forwarded, whatever they contain.
func (f *HeartbeatFilter) ForwardNext(machines []string) {
	for _, name := range machines {
		if last := f.forwarded[name]; last != nil {
			last.forwardNext = true
		}
	}
}

// Expire drops the machines of which nothing was forwarded for long: they report elsewhere.
func (f *HeartbeatFilter) Expire(now time.Duration) {
	maps.DeleteFunc(f.forwarded, func(_ string, last *forwardedHeartbeat) bool {
		return now-last.forwardedAt > 2*f.refreshInterval
	})
}
