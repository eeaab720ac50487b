package api

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

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
	live   map[string]bool
	finals map[string]final // guarded by mu
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
	found  bool
	missed bool // neither live nor among those that were seen to end
	err    error
}

func newReader(store *storage.Client, log *slog.Logger, status Statuses, most int) *reader {
	return &reader{store: store, log: log, status: status, most: most, finals: map[string]final{}}
}

// maxBatch bounds the questions that go to the leader in one message.
const maxBatch = 256

// ask returns what is known of a job at some moment after the call.
func (r *reader) ask(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	if f, ok := r.final(id); ok {
		return f.st, true, nil
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
		return protocol.JobStatus{}, false, ctx.Err()
	}
	if !q.missed || q.err != nil {
		return q.st, q.found, q.err
	}
	// It ended before we followed, or nobody submitted it.
	p, err := r.store.Get(ctx, storage.Consult, storage.EndedKey(id))
	if err != nil || p.Version == 0 {
		return protocol.JobStatus{}, false, err
	}
	st, err := endedStatus(id, p.Value)
	if err != nil {
		return st, false, err
	}
	r.keep(st, false)
	return st, true, nil
}

func endedStatus(id string, value []byte) (protocol.JobStatus, error) {
	var rec storage.EndedRecord
	if err := protocol.Decode(value, &rec); err != nil {
		return protocol.JobStatus{}, err
	}
	return protocol.JobStatus{ID: id, Standing: rec.Standing, Done: rec.Done}, nil
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
	if !r.live[q.id] {
		q.found, q.missed = false, true
		return
	}
	st, ok := statuses[q.id]
	if !ok {
		st = protocol.JobStatus{ID: q.id, Standing: protocol.Queued}
	}
	q.st = st
}

// look takes in what has changed: first of the live keys, then of the final ones, for
// the move is one way.
func (r *reader) look(ctx context.Context) error {
	if !r.known {
		pairs, rev, err := r.store.ListFor(ctx, storage.Consult, storage.LivePrefix)
		if err != nil {
			return err
		}
		r.live = make(map[string]bool, len(pairs))
		for _, p := range pairs {
			r.live[p.Key[len(storage.LivePrefix):]] = true
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
			delete(r.live, e.Delete[len(storage.LivePrefix):])
			dropped = true
		} else {
			r.live[e.Put[len(storage.LivePrefix):]] = true
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
		st, err := endedStatus(e.Put[len(storage.EndedPrefix):], e.Value)
		if err != nil {
			r.log.Error("ended record out of form", "key", e.Put, "err", err)
			continue
		}
		r.keep(st, false)
	}
	r.end = max(r.end, ev.Revision)
	return nil
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
