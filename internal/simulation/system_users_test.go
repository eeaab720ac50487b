package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// submitJob submits a random job, starts to query it, and may cancel it later.
func (s *simulatedSystem) submitJob(n int) {
	id := fmt.Sprintf("j-%06d", n)
	shape := []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}[s.rng.IntN(3)]
	j := protocol.Job{
		ID: id, Class: string(shape), Team: []string{"red", "blue"}[s.rng.IntN(2)], Shape: shape,
		Priority:  []protocol.Priority{"critical", "urgent", "normal", "best_effort"}[s.rng.IntN(4)],
		TaskCount: 1 + s.rng.IntN(5), CPUs: 4, GPUs: float64(1 + s.rng.IntN(4)), MemoryGB: 16,
		Image: fmt.Sprintf("img-%d", s.rng.IntN(3)), ImageGB: 4, SpotAllowed: s.rng.IntN(2) == 0,
	}
	if s.rng.IntN(8) == 0 {
		j.TaskCount = 20 + s.rng.IntN(20) // needs several placement pages
		j.GPUs = 1
	}
	switch s.rng.IntN(3) {
	case 0:
		j.SameZone = shape == protocol.Gang
	case 1:
		j.Spread = true
	}
	if shape != protocol.Service && s.rng.IntN(2) == 0 {
		j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 2, 1
	}
	s.world.Jobs[id] = &j
	_, failed, _ := s.store.Txn(protocol.Txn{
		If: []protocol.Compare{{Key: storage.LiveJobKey(id)}, {Key: storage.EndedJobKey(id)}},
		Then: []protocol.Op{
			{
				PutKey: storage.LiveJobKey(id),
				Value:  s.encode(storage.LiveJobRecord{Job: j, AcceptedAtMS: s.now.Milliseconds()}),
			},
		},
	})
	if failed != nil {
		s.t.Fatalf("the transaction of a submission failed its comparisons: %v", failed)
	}
	s.accepted[id] = true
	s.queryRecords(id)
	if shape == protocol.Service || s.rng.IntN(4) == 0 {
		s.callAfter(s.randomDuration(60*time.Second), func() { s.cancelJob(id) })
	}
}

// cancelJob cancels a job. It does nothing if the job has ended.
func (s *simulatedSystem) cancelJob(id string) {
	p := s.store.Get(storage.LiveJobKey(id))
	if p.Revision == 0 {
		return
	}
	_, failed, _ := s.store.Txn(protocol.Txn{
		If: []protocol.Compare{{Key: storage.LiveJobKey(id), Revision: p.Revision}, {Key: storage.EndedJobKey(id)}},
		Then: []protocol.Op{
			{DeleteKey: storage.LiveJobKey(id)},
			{PutKey: storage.EndedJobKey(id), Value: s.encode(storage.EndedJobRecord{State: protocol.JobCancelled})},
		},
	})
	if failed == nil {
		s.world.Cancelled[id] = s.now
	}
}

// queryRecords reads the records of a job as a query of a user does and checks the state against earlier ones. It
// repeats that until the state is final.
func (s *simulatedSystem) queryRecords(id string) {
	state := protocol.JobQueued
	if s.store.Get(storage.LiveJobKey(id)).Revision == 0 {
		p := s.store.Get(storage.EndedJobKey(id))
		if p.Revision == 0 {
			s.world.addViolation("forgotten: %s", id)
			return
		}
		var rec storage.EndedJobRecord
		if err := protocol.Decode(p.Value, &rec); err != nil {
			s.t.Fatal(err)
		}
		state = rec.State
	}
	if old := s.answeredStates[id]; old.Final() && state != old {
		s.world.addViolation("went_back: %s from %s to %s", id, old, state)
	}
	s.answeredStates[id] = state
	if state == protocol.JobDone {
		for i := range s.world.Jobs[id].TaskCount {
			if !s.world.Done[protocol.TaskID{JobID: id, Index: i}] {
				s.world.addViolation("not_done: %s/%d", id, i)
			}
		}
	}
	if !state.Final() {
		s.callAfter(time.Second+s.randomDuration(time.Second), func() { s.queryRecords(id) })
	}
}

// injectFault injects a random fault and schedules the next one, until the faults end.
func (s *simulatedSystem) injectFault() {
	s.callAfter(s.randomDuration(6*time.Second), s.injectFault)
	if s.faultsEnded {
		return
	}
	workers := s.world.sortedWorkers()
	if len(workers) == 0 {
		return
	}
	m := workers[s.rng.IntN(len(workers))]
	switch s.rng.IntN(5) {
	case 0:
		s.world.RemoveMachine(m.Name) // the machine fails, and stays listed for a while
		s.removedAt[m.Name] = s.now
	case 1:
		s.unreachableUntil[m.Name] = s.now + s.randomDuration(20*time.Second)
	case 2:
		m.FailsTasks = !m.FailsTasks
	case 3, 4:
		if s.rng.IntN(3) == 0 {
			s.takeOver()
		}
	}
}
