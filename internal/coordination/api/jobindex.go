package api

import (
	"context"
	"errors"
	"log/slog"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// maxFinalReads limits the number of ended dependencies whose outcomes are read at a time for one query.
const maxFinalReads = 16

// jobIndex holds the live jobs and their dependency graph. It follows the changes in the key-value store. It is not
// safe for concurrent use.
type jobIndex struct {
	store  *storage.Client
	log    *slog.Logger
	finals *finalStates

	synced        bool                      // set if the fields below are valid up to their revisions
	liveRevision  uint64                    // revision up to which changes of live records are applied
	endedRevision uint64                    // revision up to which changes of ended records are applied
	shapes        map[string]protocol.Shape // of the live jobs, by id
	graph         *dependency.Graph
}

func newJobIndex(store *storage.Client, log *slog.Logger, finals *finalStates) *jobIndex {
	return &jobIndex{store: store, log: log, finals: finals}
}

// refresh applies the changes since the last refresh. It reads live records before ended ones: a job moves from live to
// ended in one transaction, so it is found in at least one of them.
func (x *jobIndex) refresh(ctx context.Context) error {
	if !x.synced {
		if err := x.load(ctx); err != nil {
			return err
		}
	}
	ended, err := x.followLive(ctx)
	if err != nil || !ended {
		return err
	}
	x.followEnded(ctx)
	return nil
}

// load rebuilds the index from a list of all live records.
func (x *jobIndex) load(ctx context.Context) error {
	pairs, revision, err := x.store.ListWithBudget(ctx, storage.BudgetPoll, storage.LiveJobPrefix)
	if err != nil {
		return err
	}
	x.shapes = make(map[string]protocol.Shape, len(pairs))
	x.graph = dependency.New()
	for _, pair := range pairs {
		x.addLive(pair.Key, pair.Value)
	}
	// The revision is that of the first page of the list. Later changes are read by followLive and followEnded.
	x.synced, x.liveRevision, x.endedRevision = true, revision, revision
	return nil
}

// followLive applies the changes of live records, and reports whether a job has ended.
func (x *jobIndex) followLive(ctx context.Context) (ended bool, err error) {
	changes, err := x.store.Changes(ctx, storage.BudgetPoll, storage.LiveJobPrefix, x.liveRevision)
	if err != nil {
		x.resyncIfCompacted(err)
		return false, err
	}
	for _, event := range changes.Events {
		if event.DeleteKey == "" {
			x.addLive(event.PutKey, event.Value)
			continue
		}
		id := event.DeleteKey[len(storage.LiveJobPrefix):]
		delete(x.shapes, id)
		x.graph.EndWithUnknownOutcome(id)
		ended = true
	}
	x.liveRevision = max(x.liveRevision, changes.Revision)
	return ended, nil
}

// followEnded applies the changes of ended records. If they cannot be read, queries that need an outcome read its
// record individually until the next refresh.
func (x *jobIndex) followEnded(ctx context.Context) {
	changes, err := x.store.Changes(ctx, storage.BudgetPoll, storage.EndedJobPrefix, x.endedRevision)
	if err != nil {
		x.resyncIfCompacted(err)
		return
	}
	for _, event := range changes.Events {
		if event.PutKey == "" {
			continue
		}
		id := event.PutKey[len(storage.EndedJobPrefix):]
		final, err := decodeFinalState(id, event.Value)
		if err != nil {
			x.log.Error("malformed ended job record", "key", event.PutKey, "error", err)
			continue
		}
		x.finals.put(final.status, final.announced)
		x.graph.End(id, dependencyState(final.status.State))
	}
	x.endedRevision = max(x.endedRevision, changes.Revision)
}

// resyncIfCompacted makes the next refresh rebuild the index if the store has compacted changes that were not read yet.
func (x *jobIndex) resyncIfCompacted(err error) {
	if errors.Is(err, storage.ErrCompacted) {
		x.synced = false
	}
}

// addLive adds a live job and its dependencies.
func (x *jobIndex) addLive(key string, value []byte) {
	id := key[len(storage.LiveJobPrefix):]
	// Decode only the needed fields, as decoding the whole record would take most of the time of a refresh.
	var record struct {
		Job struct {
			Shape        protocol.Shape `msgpack:"shape"`
			Dependencies []string       `msgpack:"awaits"`
		} `msgpack:"job"`
	}
	if err := protocol.Decode(value, &record); err != nil {
		x.log.Error("malformed live job record", "key", key, "error", err)
	}
	x.shapes[id] = record.Job.Shape
	x.graph.Add(dependency.Job{
		ID:           id,
		Dependencies: record.Job.Dependencies,
		Deadline:     dependency.NoDeadline,
	})
}

// answer answers a query from the index and the statuses that the leader returned.
func (x *jobIndex) answer(query *jobQuery, statuses map[string]protocol.JobStatus) {
	if final, ok := x.finals.get(query.id); ok {
		query.answer = jobAnswer{status: final.status, found: true}
		return
	}
	shape, live := x.shapes[query.id]
	if !live {
		query.unknown = true
		return
	}
	status, ok := statuses[query.id]
	if !ok {
		status = protocol.JobStatus{ID: query.id, State: protocol.JobQueued}
	}
	if status.Unblocked {
		x.graph.Unblock(query.id) // the leader knows that all dependencies are done
	}
	query.answer = jobAnswer{shape: shape, found: true}
	if query.unread = x.unreadDependencies(query.id); len(query.unread) > 0 {
		return
	}
	if x.graph.State(query.id) == dependency.Cancelled {
		status = protocol.JobStatus{ID: query.id, State: protocol.JobCancelled}
	}
	query.answer.status = status
}

// unreadDependencies returns direct and indirect dependencies of a job that have ended with an outcome that is not
// known yet. An empty result means that all outcomes are known.
func (x *jobIndex) unreadDependencies(id string) []string {
	for {
		unknown := x.graph.UnresolvedDependencies(id, maxFinalReads)
		learned := false
		for _, dependencyID := range unknown {
			if final, ok := x.finals.get(dependencyID); ok {
				x.graph.End(dependencyID, dependencyState(final.status.State))
				learned = true
			}
		}
		if !learned {
			return unknown
		}
	}
}
