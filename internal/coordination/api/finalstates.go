package api

import (
	"sync"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// finalState is the outcome of a job that has ended.
type finalState struct {
	status protocol.JobStatus
	// announced is set if the outcome may be reported to users without announcing another cancellation intent.
	announced bool
}

// decodeFinalState decodes the ended record of a job. A job that was cancelled because of a dependency counts as
// announced: it has never had tasks, so no controller has to learn of the cancellation before users do.
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

// evictionDivisor divides the limit of a full cache to get the approximate number of entries to evict.
const evictionDivisor = 8

// finalStates caches the outcomes of ended jobs, which never change. It is safe for concurrent use.
type finalStates struct {
	limit int

	mu    sync.Mutex
	byJob map[string]finalState
}

func newFinalStates(limit int) *finalStates {
	return &finalStates{limit: limit, byJob: map[string]finalState{}}
}

// get returns the cached outcome of a job, if there is one.
func (f *finalStates) get(id string) (finalState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	final, ok := f.byJob[id]
	return final, ok
}

// put caches the outcome of a job. A cancellation that was announced once stays announced.
func (f *finalStates) put(status protocol.JobStatus, announced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byJob) >= f.limit {
		f.evict()
	}
	f.byJob[status.ID] = finalState{status: status, announced: announced || f.byJob[status.ID].announced}
}

// evict removes arbitrary entries to make room. The caller must hold f.mu.
func (f *finalStates) evict() {
	remaining := f.limit / evictionDivisor
	for id := range f.byJob {
		delete(f.byJob, id)
		if remaining--; remaining < 0 {
			return
		}
	}
}
