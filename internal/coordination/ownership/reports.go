package ownership

import (
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// Alive is the last report of a machine that told nothing new.
type Alive struct {
	Machine      string
	Session, Seq uint64
}

// Reports tells which reports an owner passes on to the leader, and which it may answer itself: those that tell nothing
// that the leader has not heard. It belongs to one goroutine at a time.
type Reports struct {
	refresh time.Duration
	seed    maphash.Seed
	term    uint64
	seen    map[string]*seen
	alive   map[string]Alive
}

// seen is what the leader was last told of a machine.
type seen struct {
	at             time.Duration
	session, token uint64
	notice         bool
	tasks          uint64 // a hash of them
	passOn         bool   // the leader wants the next report, whatever it tells
}

// NewReports returns an owner's memory of reports. Each machine's report is passed on at least as often as refresh.
func NewReports(refresh time.Duration) *Reports {
	return &Reports{refresh: refresh, seed: maphash.MakeSeed(), seen: map[string]*seen{}, alive: map[string]Alive{}}
}

// News says whether a report is to be passed on to the leader of a term: it tells something new, or a task that has
// exited, which only the leader may have forgotten, or the leader has asked for it.
func (r *Reports) News(now time.Duration, rep *protocol.WorkerHeartbeat, term uint64) bool {
	if term != r.term {
		r.term = term
		clear(r.seen) // another leader knows nothing of them
		clear(r.alive)
	}
	s := r.seen[rep.Machine]
	return s == nil || s.passOn || now-s.at >= r.refresh || s.session != rep.Incarnation || s.token != rep.FencingToken ||
		s.notice != (rep.InterruptionNoticeSeconds != nil) || s.tasks != r.hash(rep) || protocol.TermOfToken(rep.FencingToken) != term ||
		slices.ContainsFunc(rep.Tasks, func(t protocol.TaskStatus) bool { return t.State == protocol.TaskExited })
}

// hash tells one list of tasks from another.
func (r *Reports) hash(rep *protocol.WorkerHeartbeat) uint64 {
	var h maphash.Hash
	h.SetSeed(r.seed)
	for _, t := range rep.Tasks {
		maphash.WriteComparable(&h, t)
	}
	return h.Sum64()
}

// Passed notes that the leader has answered a report.
func (r *Reports) Passed(now time.Duration, rep *protocol.WorkerHeartbeat) {
	r.seen[rep.Machine] = &seen{at: now, session: rep.Incarnation, token: rep.FencingToken, notice: rep.InterruptionNoticeSeconds != nil, tasks: r.hash(rep)}
	delete(r.alive, rep.Machine)
}

// Answered notes that the owner has answered a report that told nothing new.
func (r *Reports) Answered(rep *protocol.WorkerHeartbeat) {
	r.alive[rep.Machine] = Alive{Machine: rep.Machine, Session: rep.Incarnation, Seq: rep.Sequence}
}

// TakeAlive returns the machines that were answered since it was last called, in name order.
func (r *Reports) TakeAlive() []Alive {
	list := make([]Alive, 0, len(r.alive))
	for _, name := range slices.Sorted(maps.Keys(r.alive)) {
		list = append(list, r.alive[name])
	}
	clear(r.alive)
	return list
}

// PassOn has the next reports of machines passed on.
func (r *Reports) PassOn(machines []string) {
	for _, name := range machines {
		if s := r.seen[name]; s != nil {
			s.passOn = true
		}
	}
}

// Forget drops the machines that were not passed on for long: they report elsewhere.
func (r *Reports) Forget(now time.Duration) {
	maps.DeleteFunc(r.seen, func(_ string, s *seen) bool { return now-s.at > 2*r.refresh })
}
