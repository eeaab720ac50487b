package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// reader answers questions about jobs, many with the same requests: it follows which
// jobs live, and looks at what has changed once for all questions that wait. A look
// that is sent after a question came shows everything that anybody was told before
// it. A question of its own for every user asked more of the state service, in a
// crowd, than the service gives, and most users were refused for minutes.
type reader struct {
	store  *storage.Client
	log    *slog.Logger
	status Statuses
	most   int // final states that are kept

	mu       sync.Mutex
	waiting  []*question
	working  bool
	quietTil time.Time // the leader did not answer; it is not asked until then

	// What follows belongs to the one batch under way, but for finals.
	known  bool
	rev    uint64 // up to which live is known
	end    uint64 // up to which finals were followed
	live   map[string]protocol.Shape
	graph  *dependency.Graph // of the live jobs
	finals map[string]final  // guarded by mu
}

// Statuses asks the leader about jobs, briefly. It returns those that it knows, and
// whether it answered.
type Statuses func(ctx context.Context, ids []string) (map[string]protocol.JobStatus, bool)

// final is how a job ended. told says that users may be told without another intent.
type final struct {
	st   protocol.JobStatus
	told bool
}

// question asks about a job; answer is closed once the rest is filled in.
type question struct {
	id     string
	answer chan struct{}
	st     protocol.JobStatus
	shape  protocol.Shape // of a job that lives
	found  bool
	missed bool // neither live nor among those that were seen to end
	// unread are jobs that it awaits, directly or not, of which it must be read how they ended.
	unread []string
	err    error
}

func newReader(store *storage.Client, log *slog.Logger, status Statuses, most int) *reader {
	return &reader{store: store, log: log, status: status, most: most, finals: map[string]final{}}
}

// maxBatch bounds the questions that go to the leader in one message.
const maxBatch = 256

// maxUnread bounds the ends that one question reads at a time.
const maxUnread = 16

// ask returns what is known of a job at some moment after the call.
func (r *reader) ask(ctx context.Context, id string) (answer, error) {
	for {
		a, unread, err := r.askOnce(ctx, id)
		if err != nil || len(unread) == 0 {
			return a, err
		}
		for _, need := range unread {
			if err := r.readEnd(ctx, need); err != nil {
				return answer{}, err
			}
		}
	}
}

// answer is what is known of a job.
type answer struct {
	st    protocol.JobStatus
	shape protocol.Shape // of a job that lives; "" of others
	found bool
}

// readEnd reads how a job has ended that others await, and remembers it.
func (r *reader) readEnd(ctx context.Context, id string) error {
	if _, ok := r.final(id); ok {
		return nil
	}
	_, found, err := r.readFinal(ctx, id)
	if err == nil && !found {
		err = fmt.Errorf("%w: the end of %s", errUnread, id)
	}
	return err
}

// readFinal reads how a job has ended, if there is a record of that, and remembers it.
func (r *reader) readFinal(ctx context.Context, id string) (f final, found bool, err error) {
	p, err := r.store.Get(ctx, storage.Consult, storage.EndedKey(id))
	if err != nil || p.Version == 0 {
		return final{}, false, err
	}
	if f, err = endedStatus(id, p.Value); err != nil {
		return final{}, false, err
	}
	r.keep(f.st, f.told)
	return f, true, nil
}

// errUnread says that a job is neither live nor recorded as over, for the moment.
var errUnread = errors.New("not to be read yet")

// askOnce asks once; unread are jobs whose ends have to be read before there is an answer.
func (r *reader) askOnce(ctx context.Context, id string) (a answer, unread []string, err error) {
	if f, ok := r.final(id); ok {
		return answer{st: f.st, found: true}, nil, nil
	}
	q := &question{id: id, answer: make(chan struct{})}
	r.mu.Lock()
	r.waiting = append(r.waiting, q)
	if !r.working {
		r.working = true
		go r.work()
	}
	r.mu.Unlock()
	select {
	case <-q.answer:
	case <-ctx.Done():
		return answer{}, nil, ctx.Err()
	}
	if !q.missed || q.err != nil {
		return answer{st: q.st, shape: q.shape, found: q.found}, q.unread, q.err
	}
	// It ended before we followed, or nobody submitted it.
	f, found, err := r.readFinal(ctx, id)
	return answer{st: f.st, found: found}, nil, err
}

// endedStatus reads the record of a job that is over. One that was cancelled with a job that it awaited has
// never had a task, so that nobody has to know of its cancellation before users are told.
func endedStatus(id string, value []byte) (final, error) {
	var rec storage.EndedRecord
	if err := protocol.Decode(value, &rec); err != nil {
		return final{}, err
	}
	return final{st: protocol.JobStatus{ID: id, Standing: rec.Standing, Done: rec.Done}, told: rec.Need != ""}, nil
}

// work answers batches until nobody waits.
func (r *reader) work() {
	for {
		r.mu.Lock()
		batch := r.waiting[:min(len(r.waiting), maxBatch)]
		r.waiting = r.waiting[len(batch):]
		if len(batch) == 0 {
			r.waiting, r.working = nil, false
			r.mu.Unlock()
			return
		}
		quiet := time.Now().Before(r.quietTil)
		r.mu.Unlock()
		r.batch(batch, quiet)
	}
}

func (r *reader) batch(batch []*question, quiet bool) {
	ctx, cancel := context.WithTimeout(context.Background(), pollPatience)
	defer cancel()
	// The leader first, the service last: a cancellation between the two would
	// otherwise be followed by an older answer.
	var statuses map[string]protocol.JobStatus
	if !quiet {
		ids := make([]string, len(batch))
		for i, q := range batch {
			ids[i] = q.id
		}
		var ok bool
		if statuses, ok = r.status(ctx, ids); !ok {
			r.mu.Lock()
			r.quietTil = time.Now().Add(storage.Queue)
			r.mu.Unlock()
		}
	}
	err := r.look(ctx)
	for _, q := range batch {
		q.err = err
		if err == nil {
			r.fill(q, statuses)
		}
		close(q.answer)
	}
}

func (r *reader) fill(q *question, statuses map[string]protocol.JobStatus) {
	q.found = true
	if f, ok := r.final(q.id); ok {
		q.st = f.st
		return
	}
	shape, live := r.live[q.id]
	if !live {
		q.found, q.missed = false, true
		return
	}
	q.shape = shape
	st, ok := statuses[q.id]
	if !ok {
		st = protocol.JobStatus{ID: q.id, Standing: protocol.Queued}
	}
	if st.Free {
		r.graph.Free(q.id) // the leader has read that all that it awaits is done
	}
	if q.unread = r.unread(q.id); len(q.unread) > 0 {
		return
	}
	if r.graph.State(q.id) == dependency.Cancelled {
		st = protocol.JobStatus{ID: q.id, Standing: protocol.Cancelled}
	}
	q.st = st
}

// unread lists jobs that a job awaits, directly or not, of which it must be read how they ended.
func (r *reader) unread(id string) []string {
	for {
		ids := r.graph.UnknownBefore(id, maxUnread)
		settled := false
		for _, need := range ids {
			if f, ok := r.final(need); ok {
				r.graph.End(need, stateOf(f.st.Standing))
				settled = true
			}
		}
		if !settled {
			return ids
		}
	}
}

// stateOf is a final standing as the graph has it.
func stateOf(standing protocol.Standing) dependency.State {
	if standing == protocol.Done {
		return dependency.Done
	}
	return dependency.Cancelled
}

// look takes in what has changed: first of the live keys, then of the final ones, for
// the move is one way.
func (r *reader) look(ctx context.Context) error {
	if !r.known {
		pairs, rev, err := r.store.ListFor(ctx, storage.Consult, storage.LivePrefix)
		if err != nil {
			return err
		}
		r.live, r.graph = make(map[string]protocol.Shape, len(pairs)), dependency.New()
		for _, p := range pairs {
			r.enter(p.Key, p.Value)
		}
		// The list came in pages, from its first on: what changed meanwhile follows.
		r.known, r.rev, r.end = true, rev, rev
	}
	ev, err := r.store.Changes(ctx, storage.Consult, storage.LivePrefix, r.rev)
	if err != nil {
		r.known = r.known && !errors.Is(err, storage.ErrCompacted)
		return err
	}
	dropped := false
	for _, e := range ev.Events {
		if e.Delete != "" {
			id := e.Delete[len(storage.LivePrefix):]
			delete(r.live, id)
			r.graph.EndUnknown(id)
			dropped = true
		} else {
			r.enter(e.Put, e.Value)
		}
	}
	r.rev = max(r.rev, ev.Revision)
	if !dropped {
		return nil
	}
	ev, err = r.store.Changes(ctx, storage.Consult, storage.EndedPrefix, r.end)
	if err != nil {
		// They are read one by one, until the next look.
		r.known = r.known && !errors.Is(err, storage.ErrCompacted)
		return nil
	}
	for _, e := range ev.Events {
		if e.Put == "" {
			continue
		}
		id := e.Put[len(storage.EndedPrefix):]
		f, err := endedStatus(id, e.Value)
		if err != nil {
			r.log.Error("ended record out of form", "key", e.Put, "err", err)
			continue
		}
		r.keep(f.st, f.told)
		r.graph.End(id, stateOf(f.st.Standing))
	}
	r.end = max(r.end, ev.Revision)
	return nil
}

// enter takes in a job that lives, with what it awaits.
func (r *reader) enter(key string, value []byte) {
	id := key[len(storage.LivePrefix):]
	var rec struct {
		Job struct {
			Shape  protocol.Shape `msgpack:"shape"`
			Awaits []string       `msgpack:"awaits"`
		} `msgpack:"job"`
	}
	if err := protocol.Decode(value, &rec); err != nil {
		r.log.Error("live record out of form", "key", key, "err", err)
	}
	r.live[id] = rec.Job.Shape
	r.graph.Add(dependency.Job{ID: id, Needs: rec.Job.Awaits, Due: dependency.Never})
}

func (r *reader) final(id string) (final, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.finals[id]
	return f, ok
}

// keep remembers how a job ended; that never changes.
func (r *reader) keep(st protocol.JobStatus, told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.finals) >= r.most {
		n := r.most / 8
		for id := range r.finals {
			delete(r.finals, id)
			if n--; n < 0 {
				break
			}
		}
	}
	r.finals[st.ID] = final{st, told || r.finals[st.ID].told}
}
