package api

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// maxBatch is the limit of the queries that the leader is asked for in one message.
const maxBatch = 256

// jobReader answers queries about jobs. It coalesces them: queries that arrive while others are being answered form the
// next batch, and one read of what has changed in the key-value store answers all of a batch. An answer includes
// everything that any user was told before the query came, since the read begins after it.
//
// The key-value store does not allow enough requests for one read per query when hundreds of users ask at once.
type jobReader struct {
	store          *storage.Client
	log            *slog.Logger
	leaderStatuses LeaderStatuses
	finals         *finalStates
	index          *jobIndex // used by answerBatches only

	mu                sync.Mutex
	waiting           []*jobQuery
	running           bool      // there is a goroutine in answerBatches
	leaderSilentUntil time.Time // the leader did not answer, and is not asked before
}

// jobQuery is a query that waits for its batch.
type jobQuery struct {
	id   string
	done chan struct{} // closed when the fields below are set

	answer jobAnswer
	// unknown says that the job is not live and that its end was not observed.
	unknown bool
	// unread are direct and indirect dependencies whose ends must be read before there is an answer.
	unread []string
	err    error
}

// jobAnswer is what is known of a job.
type jobAnswer struct {
	status protocol.JobStatus
	shape  protocol.Shape // of a live job, otherwise empty
	found  bool
}

// live reports whether the job has a live record.
func (a *jobAnswer) live() bool { return a.shape != "" }

func newJobReader(
	store *storage.Client,
	log *slog.Logger,
	statuses LeaderStatuses,
	finals *finalStates,
) *jobReader {
	return &jobReader{
		store:          store,
		log:            log,
		leaderStatuses: statuses,
		finals:         finals,
		index:          newJobIndex(store, log, finals),
	}
}

// lookup returns what is known of a job at some moment after the call.
func (r *jobReader) lookup(ctx context.Context, id string) (jobAnswer, error) {
	for {
		answer, unread, err := r.lookupOnce(ctx, id)
		if err != nil || len(unread) == 0 {
			return answer, err
		}
		for _, dependencyID := range unread {
			if err := r.ensureFinalState(ctx, dependencyID); err != nil {
				return jobAnswer{}, err
			}
		}
	}
}

// lookupOnce returns an answer, or the jobs whose ends must be read before there is one.
func (r *jobReader) lookupOnce(ctx context.Context, id string) (answer jobAnswer, unread []string, err error) {
	if final, ok := r.finals.get(id); ok {
		return jobAnswer{status: final.status, found: true}, nil, nil
	}
	query := r.enqueue(id) //nolint:contextcheck // the batch outlives the request that starts it
	select {
	case <-query.done:
	case <-ctx.Done():
		return jobAnswer{}, nil, ctx.Err()
	}
	if query.err != nil || !query.unknown {
		return query.answer, query.unread, query.err
	}
	// The job ended before the index began, or nobody submitted it.
	final, found, err := r.readFinalState(ctx, id)
	return jobAnswer{status: final.status, found: found}, nil, err
}

// enqueue adds a query to the next batch, and makes sure that it will be answered.
func (r *jobReader) enqueue(id string) *jobQuery {
	query := &jobQuery{id: id, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, query)
	if !r.running {
		r.running = true
		go r.answerBatches()
	}
	return query
}

// answerBatches answers batches of queries until none waits.
func (r *jobReader) answerBatches() {
	for {
		batch, askLeader := r.nextBatch()
		if len(batch) == 0 {
			return
		}
		r.answerBatch(batch, askLeader)
	}
}

// nextBatch returns the next queries to answer, and whether to ask the leader about them. An empty batch ends
// answerBatches.
func (r *jobReader) nextBatch() (batch []*jobQuery, askLeader bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch = r.waiting[:min(len(r.waiting), maxBatch)]
	r.waiting = r.waiting[len(batch):]
	if len(batch) == 0 {
		r.waiting, r.running = nil, false
		return nil, false
	}
	return batch, !time.Now().Before(r.leaderSilentUntil)
}

// answerBatch answers queries with one message to the leader and one read of the key-value store.
func (r *jobReader) answerBatch(batch []*jobQuery, askLeader bool) {
	// The context is not that of a request: every request of the batch has one of its own.
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	// The store is read last: otherwise a cancellation between the two would be followed by an older answer.
	var statuses map[string]protocol.JobStatus
	if askLeader {
		statuses = r.askLeader(ctx, batch)
	}
	err := r.index.refresh(ctx)
	for _, query := range batch {
		query.err = err
		if err == nil {
			r.index.answer(query, statuses)
		}
		close(query.done)
	}
}

// askLeader returns the leader's statuses of the jobs. If the leader does not answer, it is not asked for a while.
func (r *jobReader) askLeader(ctx context.Context, batch []*jobQuery) map[string]protocol.JobStatus {
	ids := make([]string, len(batch))
	for i, query := range batch {
		ids[i] = query.id
	}
	statuses, ok := r.leaderStatuses(ctx, ids)
	if !ok {
		r.mu.Lock()
		r.leaderSilentUntil = time.Now().Add(storage.MaxQueueTime)
		r.mu.Unlock()
	}
	return statuses
}

// ensureFinalState makes sure that the final state of a job that must have ended is known.
func (r *jobReader) ensureFinalState(ctx context.Context, id string) error {
	if _, ok := r.finals.get(id); ok {
		return nil
	}
	_, found, err := r.readFinalState(ctx, id)
	if err == nil && !found {
		err = fmt.Errorf("%w: job %s", errNotReadable, id)
	}
	return err
}

// readFinalState reads the ended record of a job, if there is one, and remembers its final state.
func (r *jobReader) readFinalState(ctx context.Context, id string) (final finalState, found bool, err error) {
	pair, err := r.store.Get(ctx, storage.BudgetPoll, storage.EndedJobKey(id))
	if err != nil || pair.Revision == 0 {
		return finalState{}, false, err
	}
	if final, err = decodeFinalState(id, pair.Value); err != nil {
		return finalState{}, false, err
	}
	r.finals.put(final.status, final.announced)
	return final, true, nil
}

// dependencyState returns a final state of a job as the graph of dependencies has it.
func dependencyState(state protocol.JobState) dependency.State {
	if state == protocol.JobDone {
		return dependency.Done
	}
	return dependency.Cancelled
}
