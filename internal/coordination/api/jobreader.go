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

// maxBatch limits the number of queries in a batch, and so of jobs in one message to the leader.
const maxBatch = 256

// jobReader answers queries about jobs in batches. Queries that arrive while a batch is being answered form the next
// one, and each batch reads the changes in the key-value store once. Since that read starts after the queries of the
// batch arrived, an answer includes everything that any user was told before.
//
// Batches are necessary because the request rate of the key-value store does not allow one read per query when hundreds
// of users query at once.
type jobReader struct {
	store          *storage.Client
	log            *slog.Logger
	leaderStatuses LeaderStatusesFunc
	finals         *finalStates
	index          *jobIndex // used only by the goroutine in answerBatches

	mu                 sync.Mutex
	waiting            []*jobQuery
	running            bool      // set while a goroutine is in answerBatches
	leaderBackoffUntil time.Time // the leader did not answer and is not asked until then
}

// jobQuery is a query in a batch, and its result.
type jobQuery struct {
	id   string
	done chan struct{} // closed when the fields below are set

	answer jobAnswer
	// unknown is set if the job is not live and its outcome is not cached.
	unknown bool
	// unread lists direct and indirect dependencies whose outcomes must be read before the query can be answered.
	unread []string
	err    error
}

// jobAnswer is the result of a lookup.
type jobAnswer struct {
	status protocol.JobStatus
	shape  protocol.Shape // shape of a live job; empty for other jobs
	found  bool
}

// live reports whether the job has a live record.
func (a *jobAnswer) live() bool { return a.shape != "" }

func newJobReader(
	store *storage.Client,
	log *slog.Logger,
	statuses LeaderStatusesFunc,
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

// lookup returns the state of a job at some time after the call.
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

// lookupOnce returns the answer to a query, or the dependencies whose outcomes must be read first.
func (r *jobReader) lookupOnce(ctx context.Context, id string) (answer jobAnswer, unread []string, err error) {
	if final, ok := r.finals.get(id); ok {
		return jobAnswer{status: final.status, found: true}, nil, nil
	}
	query := r.enqueue(id) //nolint:contextcheck // a batch outlives the request that starts it
	select {
	case <-query.done:
	case <-ctx.Done():
		return jobAnswer{}, nil, ctx.Err()
	}
	if query.err != nil || !query.unknown {
		return query.answer, query.unread, query.err
	}
	// The job ended before the index was loaded, or it was never submitted.
	final, found, err := r.readFinalState(ctx, id)
	return jobAnswer{status: final.status, found: found}, nil, err
}

// enqueue adds a query to the next batch, and starts answerBatches if it is not running.
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

// answerBatches answers batches until no query is waiting.
func (r *jobReader) answerBatches() {
	for {
		batch, askLeader := r.nextBatch()
		if len(batch) == 0 {
			return
		}
		r.answerBatch(batch, askLeader)
	}
}

// nextBatch returns the queries of the next batch, and whether to ask the leader about them. After it has returned an
// empty batch, answerBatches must end.
func (r *jobReader) nextBatch() (batch []*jobQuery, askLeader bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch = r.waiting[:min(len(r.waiting), maxBatch)]
	r.waiting = r.waiting[len(batch):]
	if len(batch) == 0 {
		r.waiting, r.running = nil, false
		return nil, false
	}
	return batch, !time.Now().Before(r.leaderBackoffUntil)
}

// answerBatch answers the queries of a batch with one message to the leader and one read of the key-value store.
func (r *jobReader) answerBatch(batch []*jobQuery, askLeader bool) {
	// The batch is independent of its requests, each of which has its own context.
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	// Read the store after asking the leader. In the opposite order, a job that is cancelled between the two would get
	// an outdated answer.
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

// askLeader returns the leader's statuses of the jobs in a batch. If the leader does not answer, it is not asked again
// for MaxQueueTime.
func (r *jobReader) askLeader(ctx context.Context, batch []*jobQuery) map[string]protocol.JobStatus {
	ids := make([]string, len(batch))
	for i, query := range batch {
		ids[i] = query.id
	}
	statuses, ok := r.leaderStatuses(ctx, ids)
	if !ok {
		r.mu.Lock()
		r.leaderBackoffUntil = time.Now().Add(storage.MaxQueueTime)
		r.mu.Unlock()
	}
	return statuses
}

// ensureFinalState caches the outcome of a job, which must have ended.
func (r *jobReader) ensureFinalState(ctx context.Context, id string) error {
	if _, ok := r.finals.get(id); ok {
		return nil
	}
	_, found, err := r.readFinalState(ctx, id)
	if err == nil && !found {
		err = fmt.Errorf("%w: job %s", errNoJobRecord, id)
	}
	return err
}

// readFinalState reads the ended record of a job, if there is one, and caches the outcome.
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

// dependencyState converts the final state of a job to its state in the dependency graph.
func dependencyState(state protocol.JobState) dependency.State {
	if state == protocol.JobDone {
		return dependency.Done
	}
	return dependency.Cancelled
}
