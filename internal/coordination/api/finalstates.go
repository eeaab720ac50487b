package api

import (
	"sync"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// finalState is how a job has ended.
type finalState struct {
	status protocol.JobStatus
	// announced says that users may be told without announcing an intent again.
	announced bool
}

// decodeFinalState decodes the ended record of a job. A job that was cancelled together with a dependency has never had
// tasks, so no controller needs to know of its cancellation before users do.
func decodeFinalState(id string, value []byte) (finalState, error) {
	var record storage.EndedJobRecord
	if err := protocol.Decode(value, &record); err != nil {
		return finalState{}, err
	}
	return finalState{
		status:    protocol.JobStatus{ID: id, State: record.State, DoneTasks: record.DoneTasks},
		announced: record.CancelledDependency != "",
	}, nil
}

// evictionDivisor sets the part of the final states that is dropped when there are too many.
const evictionDivisor = 8

// finalStates is a cache of final states, which never change. It is safe for concurrent use.
type finalStates struct {
	limit int

	mu    sync.Mutex
	byJob map[string]finalState
}

func newFinalStates(limit int) *finalStates {
	return &finalStates{limit: limit, byJob: map[string]finalState{}}
}

// get returns the final state of a job, if it is known.
func (f *finalStates) get(id string) (finalState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	final, ok := f.byJob[id]
	return final, ok
}

// put stores the final status of a job. A cancellation that was announced once stays announced.
func (f *finalStates) put(status protocol.JobStatus, announced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byJob) >= f.limit {
		f.evict()
	}
	f.byJob[status.ID] = finalState{status: status, announced: announced || f.byJob[status.ID].announced}
}

// evict drops a part of the final states, whichever they are. The caller holds f.mu.
func (f *finalStates) evict() {
	remaining := f.limit / evictionDivisor
	for id := range f.byJob {
		delete(f.byJob, id)
		if remaining--; remaining < 0 {
			return
		}
	}
}
