package ownership

import (
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// UnchangedHeartbeat is the last report of a machine that told nothing new.
type UnchangedHeartbeat struct {
	Machine               string
	Incarnation, Sequence uint64
}

// HeartbeatFilter tells which reports an owner passes on to the leader, and which it may answer itself: those that tell
// nothing that the leader has not heard. It belongs to one goroutine at a time.
type HeartbeatFilter struct {
	refreshInterval time.Duration
	seed            maphash.Seed
	term            uint64
	forwarded       map[string]*forwardedHeartbeat
	unchanged       map[string]UnchangedHeartbeat
}

// forwardedHeartbeat is what the leader was last told of a machine.
type forwardedHeartbeat struct {
	forwardedAt        time.Duration
	incarnation, token uint64
	notice             bool
	tasksHash          uint64 // a hash of them
	forwardNext        bool   // the leader wants the next report, whatever it tells
}

// NewHeartbeatFilter returns an owner's memory of reports. Each machine's report is passed on at least as often as
// refresh.
func NewHeartbeatFilter(refresh time.Duration) *HeartbeatFilter {
	return &HeartbeatFilter{
		refreshInterval: refresh,
		seed:            maphash.MakeSeed(),
		forwarded:       map[string]*forwardedHeartbeat{},
		unchanged:       map[string]UnchangedHeartbeat{},
	}
}

// MustForward says whether a report is to be passed on to the leader of a term: it tells something new, or a task that
// has exited, which only the leader may have forgotten, or the leader has asked for it.
func (r *HeartbeatFilter) MustForward(now time.Duration, rep *protocol.WorkerHeartbeat, term uint64) bool {
	if term != r.term {
		r.term = term
		clear(r.forwarded) // another leader knows nothing of them
		clear(r.unchanged)
	}
	s := r.forwarded[rep.Machine]
	return s == nil || s.forwardNext || now-s.forwardedAt >= r.refreshInterval || s.incarnation != rep.Incarnation || s.token != rep.FencingToken ||
		s.notice != (rep.InterruptionNoticeSeconds != nil) ||
		s.tasksHash != r.tasksHash(rep) ||
		protocol.TermOfToken(rep.FencingToken) != term ||
		slices.ContainsFunc(rep.Tasks, func(t protocol.TaskStatus) bool { return t.State == protocol.TaskExited })
}

// tasksHash tells one list of tasks from another.
func (r *HeartbeatFilter) tasksHash(rep *protocol.WorkerHeartbeat) uint64 {
	var h maphash.Hash
	h.SetSeed(r.seed)
	for _, t := range rep.Tasks {
		maphash.WriteComparable(&h, t)
	}
	return h.Sum64()
}

// Forwarded notes that the leader has answered a report.
func (r *HeartbeatFilter) Forwarded(now time.Duration, rep *protocol.WorkerHeartbeat) {
	r.forwarded[rep.Machine] = &forwardedHeartbeat{
		forwardedAt: now,
		incarnation: rep.Incarnation,
		token:       rep.FencingToken,
		notice:      rep.InterruptionNoticeSeconds != nil,
		tasksHash:   r.tasksHash(rep),
	}
	delete(r.unchanged, rep.Machine)
}

// AnsweredLocally notes that the owner has answered a report that told nothing new.
func (r *HeartbeatFilter) AnsweredLocally(rep *protocol.WorkerHeartbeat) {
	r.unchanged[rep.Machine] = UnchangedHeartbeat{
		Machine:     rep.Machine,
		Incarnation: rep.Incarnation,
		Sequence:    rep.Sequence,
	}
}

// TakeUnchanged returns the machines that were answered since it was last called, in name order.
func (r *HeartbeatFilter) TakeUnchanged() []UnchangedHeartbeat {
	list := make([]UnchangedHeartbeat, 0, len(r.unchanged))
	for _, name := range slices.Sorted(maps.Keys(r.unchanged)) {
		list = append(list, r.unchanged[name])
	}
	clear(r.unchanged)
	return list
}

// ForwardNext has the next reports of machines passed on.
func (r *HeartbeatFilter) ForwardNext(machines []string) {
	for _, name := range machines {
		if s := r.forwarded[name]; s != nil {
			s.forwardNext = true
		}
	}
}

// Expire drops the machines that were not passed on for long: they report elsewhere.
func (r *HeartbeatFilter) Expire(now time.Duration) {
	maps.DeleteFunc(
		r.forwarded,
		func(_ string, s *forwardedHeartbeat) bool { return now-s.forwardedAt > 2*r.refreshInterval },
	)
}
