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

// jobReader answers questions about jobs, many with the same requests: it follows which
// jobs live, and looks at what has changed once for all questions that wait. A look
// that is sent after a question came shows everything that anybody was told before
// it. A question of its own for every user asked more of the state service, in a
// crowd, than the service gives, and most users were refused for minutes.
type jobReader struct {
	store          *storage.Client
	log            *slog.Logger
	leaderStatuses LeaderStatuses
	maxFinals      int // final states that are kept

	mu                sync.Mutex
	waiting           []*jobQuery
	running           bool
	leaderSilentUntil time.Time // the leader did not answer; it is not asked until then

	// What follows belongs to the one batch under way, but for finals.
	synced        bool
	liveRevision  uint64 // up to which live is known
	endedRevision uint64 // up to which finals were followed
	liveShapes    map[string]protocol.Shape
	graph         *dependency.Graph     // of the live jobs
	finals        map[string]finalState // guarded by mu
}

// LeaderStatuses asks the leader about jobs, briefly. It returns those that it knows, and
// whether it answered.
type LeaderStatuses func(ctx context.Context, ids []string) (map[string]protocol.JobStatus, bool)

// finalState is how a job ended. told says that users may be told without another intent.
type finalState struct {
	status    protocol.JobStatus
	announced bool
}

// jobQuery asks about a job; answer is closed once the rest is filled in.
type jobQuery struct {
	id      string
	done    chan struct{}
	status  protocol.JobStatus
	shape   protocol.Shape // of a job that lives
	found   bool
	unknown bool // neither live nor among those that were seen to end
	// unreadDependencies are jobs that it awaits, directly or not, of which it must be read how they ended.
	unreadDependencies []string
	err                error
}

func newJobReader(store *storage.Client, log *slog.Logger, status LeaderStatuses, most int) *jobReader {
	return &jobReader{store: store, log: log, leaderStatuses: status, maxFinals: most, finals: map[string]finalState{}}
}

// maxBatch bounds the questions that go to the leader in one message.
const maxBatch = 256

// maxFinalReads bounds the ends that one question reads at a time.
const maxFinalReads = 16

// lookup returns what is known of a job at some moment after the call.
func (r *jobReader) lookup(ctx context.Context, id string) (jobAnswer, error) {
	for {
		a, unread, err := r.lookupOnce(ctx, id)
		if err != nil || len(unread) == 0 {
			return a, err
		}
		for _, need := range unread {
			if err := r.ensureFinalState(ctx, need); err != nil {
				return jobAnswer{}, err
			}
		}
	}
}

// jobAnswer is what is known of a job.
type jobAnswer struct {
	status protocol.JobStatus
	shape  protocol.Shape // of a job that lives; "" of others
	found  bool
}

// ensureFinalState reads how a job has ended that others await, and remembers it.
func (r *jobReader) ensureFinalState(ctx context.Context, id string) error {
	if _, ok := r.finalState(id); ok {
		return nil
	}
	_, found, err := r.readFinalState(ctx, id)
	if err == nil && !found {
		err = fmt.Errorf("%w: the end of %s", errNotReadable, id)
	}
	return err
}

// readFinalState reads how a job has ended, if there is a record of that, and remembers it.
func (r *jobReader) readFinalState(ctx context.Context, id string) (f finalState, found bool, err error) {
	p, err := r.store.Get(ctx, storage.BudgetPoll, storage.EndedJobKey(id))
	if err != nil || p.Revision == 0 {
		return finalState{}, false, err
	}
	if f, err = decodeFinalState(id, p.Value); err != nil {
		return finalState{}, false, err
	}
	r.rememberFinal(f.status, f.announced)
	return f, true, nil
}

// errNotReadable says that a job is neither live nor recorded as over, for the moment.
var errNotReadable = errors.New("not to be read yet")

// lookupOnce asks once; unread are jobs whose ends have to be read before there is an answer.
func (r *jobReader) lookupOnce(ctx context.Context, id string) (a jobAnswer, unread []string, err error) {
	if f, ok := r.finalState(id); ok {
		return jobAnswer{status: f.status, found: true}, nil, nil
	}
	q := &jobQuery{id: id, done: make(chan struct{})}
	r.mu.Lock()
	r.waiting = append(r.waiting, q)
	if !r.running {
		r.running = true
		go r.answerBatches()
	}
	r.mu.Unlock()
	select {
	case <-q.done:
	case <-ctx.Done():
		return jobAnswer{}, nil, ctx.Err()
	}
	if !q.unknown || q.err != nil {
		return jobAnswer{status: q.status, shape: q.shape, found: q.found}, q.unreadDependencies, q.err
	}
	// It ended before we followed, or nobody submitted it.
	f, found, err := r.readFinalState(ctx, id)
	return jobAnswer{status: f.status, found: found}, nil, err
}

// decodeFinalState reads the record of a job that is over. One that was cancelled with a job that it awaited has
// never had a task, so that nobody has to know of its cancellation before users are told.
func decodeFinalState(id string, value []byte) (finalState, error) {
	var rec storage.EndedJobRecord
	if err := protocol.Decode(value, &rec); err != nil {
		return finalState{}, err
	}
	return finalState{
		status:    protocol.JobStatus{ID: id, State: rec.State, DoneTasks: rec.DoneTasks},
		announced: rec.CancelledDependency != "",
	}, nil
}

// answerBatches answers batches until nobody waits.
func (r *jobReader) answerBatches() {
	for {
		r.mu.Lock()
		batch := r.waiting[:min(len(r.waiting), maxBatch)]
		r.waiting = r.waiting[len(batch):]
		if len(batch) == 0 {
			r.waiting, r.running = nil, false
			r.mu.Unlock()
			return
		}
		quiet := time.Now().Before(r.leaderSilentUntil)
		r.mu.Unlock()
		r.answerBatch(batch, quiet)
	}
}

func (r *jobReader) answerBatch(batch []*jobQuery, quiet bool) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
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
		if statuses, ok = r.leaderStatuses(ctx, ids); !ok {
			r.mu.Lock()
			r.leaderSilentUntil = time.Now().Add(storage.MaxQueueTime)
			r.mu.Unlock()
		}
	}
	err := r.refresh(ctx)
	for _, q := range batch {
		q.err = err
		if err == nil {
			r.answerQuery(q, statuses)
		}
		close(q.done)
	}
}

func (r *jobReader) answerQuery(q *jobQuery, statuses map[string]protocol.JobStatus) {
	q.found = true
	if f, ok := r.finalState(q.id); ok {
		q.status = f.status
		return
	}
	shape, live := r.liveShapes[q.id]
	if !live {
		q.found, q.unknown = false, true
		return
	}
	q.shape = shape
	st, ok := statuses[q.id]
	if !ok {
		st = protocol.JobStatus{ID: q.id, State: protocol.JobQueued}
	}
	if st.Unblocked {
		r.graph.Unblock(q.id) // the leader has read that all that it awaits is done
	}
	if q.unreadDependencies = r.unreadDependencies(q.id); len(q.unreadDependencies) > 0 {
		return
	}
	if r.graph.State(q.id) == dependency.Cancelled {
		st = protocol.JobStatus{ID: q.id, State: protocol.JobCancelled}
	}
	q.status = st
}

// unreadDependencies lists jobs that a job awaits, directly or not, of which it must be read how they ended.
func (r *jobReader) unreadDependencies(id string) []string {
	for {
		ids := r.graph.UnknownOutcomesBefore(id, maxFinalReads)
		settled := false
		for _, need := range ids {
			if f, ok := r.finalState(need); ok {
				r.graph.End(need, dependencyState(f.status.State))
				settled = true
			}
		}
		if !settled {
			return ids
		}
	}
}

// dependencyState is a final standing as the graph has it.
func dependencyState(standing protocol.JobState) dependency.State {
	if standing == protocol.JobDone {
		return dependency.Done
	}
	return dependency.Cancelled
}

// refresh takes in what has changed: first of the live keys, then of the final ones, for
// the move is one way.
func (r *jobReader) refresh(ctx context.Context) error {
	if !r.synced {
		pairs, rev, err := r.store.ListWithBudget(ctx, storage.BudgetPoll, storage.LiveJobPrefix)
		if err != nil {
			return err
		}
		r.liveShapes, r.graph = make(map[string]protocol.Shape, len(pairs)), dependency.New()
		for _, p := range pairs {
			r.addLiveJob(p.Key, p.Value)
		}
		// The list came in pages, from its first on: what changed meanwhile follows.
		r.synced, r.liveRevision, r.endedRevision = true, rev, rev
	}
	ev, err := r.store.Changes(ctx, storage.BudgetPoll, storage.LiveJobPrefix, r.liveRevision)
	if err != nil {
		r.synced = r.synced && !errors.Is(err, storage.ErrCompacted)
		return err
	}
	dropped := false
	for _, e := range ev.Events {
		if e.DeleteKey != "" {
			id := e.DeleteKey[len(storage.LiveJobPrefix):]
			delete(r.liveShapes, id)
			r.graph.EndWithUnknownOutcome(id)
			dropped = true
		} else {
			r.addLiveJob(e.PutKey, e.Value)
		}
	}
	r.liveRevision = max(r.liveRevision, ev.Revision)
	if !dropped {
		return nil
	}
	ev, err = r.store.Changes(ctx, storage.BudgetPoll, storage.EndedJobPrefix, r.endedRevision)
	if err != nil {
		// They are read one by one, until the next look.
		r.synced = r.synced && !errors.Is(err, storage.ErrCompacted)
		return nil
	}
	for _, e := range ev.Events {
		if e.PutKey == "" {
			continue
		}
		id := e.PutKey[len(storage.EndedJobPrefix):]
		f, err := decodeFinalState(id, e.Value)
		if err != nil {
			r.log.Error("ended record out of form", "key", e.PutKey, "err", err)
			continue
		}
		r.rememberFinal(f.status, f.announced)
		r.graph.End(id, dependencyState(f.status.State))
	}
	r.endedRevision = max(r.endedRevision, ev.Revision)
	return nil
}

// addLiveJob takes in a job that lives, with what it awaits.
func (r *jobReader) addLiveJob(key string, value []byte) {
	id := key[len(storage.LiveJobPrefix):]
	var rec struct {
		Job struct {
			Shape  protocol.Shape `msgpack:"shape"`
			Awaits []string       `msgpack:"awaits"`
		} `msgpack:"job"`
	}
	if err := protocol.Decode(value, &rec); err != nil {
		r.log.Error("live record out of form", "key", key, "err", err)
	}
	r.liveShapes[id] = rec.Job.Shape
	r.graph.Add(dependency.Job{ID: id, Dependencies: rec.Job.Awaits, Deadline: dependency.NoDeadline})
}

func (r *jobReader) finalState(id string) (finalState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.finals[id]
	return f, ok
}

// rememberFinal remembers how a job ended; that never changes.
func (r *jobReader) rememberFinal(st protocol.JobStatus, told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.finals) >= r.maxFinals {
		n := r.maxFinals / 8
		for id := range r.finals {
			delete(r.finals, id)
			if n--; n < 0 {
				break
			}
		}
	}
	r.finals[st.ID] = finalState{st, told || r.finals[st.ID].announced}
}
