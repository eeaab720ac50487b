package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// user submits a job, asks for it, and may cancel it.
func (s *system) user(n int) {
	id := fmt.Sprintf("j-%06d", n)
	shape := []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}[s.rng.IntN(3)]
	j := protocol.Job{
		ID: id, Class: string(shape), Team: []string{"red", "blue"}[s.rng.IntN(2)], Shape: shape,
		Priority: []protocol.Priority{"critical", "urgent", "normal", "best_effort"}[s.rng.IntN(4)],
		Tasks:    1 + s.rng.IntN(5), CPUs: 4, GPUs: float64(1 + s.rng.IntN(4)), MemoryGB: 16,
		Image: fmt.Sprintf("img-%d", s.rng.IntN(3)), ImageGB: 4, Spot: s.rng.IntN(2) == 0,
	}
	if s.rng.IntN(8) == 0 {
		j.Tasks = 20 + s.rng.IntN(20) // several pages
		j.GPUs = 1
	}
	switch s.rng.IntN(3) {
	case 0:
		j.SameZone = shape == protocol.Gang
	case 1:
		j.Spread = true
	}
	if shape != protocol.Service && s.rng.IntN(2) == 0 {
		j.CheckpointS, j.SaveS = 2, 1
	}
	s.world.Jobs[id] = &j
	_, failed, _ := s.state.Txn(protocol.Txn{
		If:   []protocol.Cond{{Key: storage.LiveKey(id)}, {Key: storage.EndedKey(id)}},
		Then: []protocol.Op{{Put: storage.LiveKey(id), Value: s.encode(storage.LiveRecord{Job: j, AtMS: s.now.Milliseconds()})}},
	})
	if failed != nil {
		s.t.Fatalf("submission failed: %v", failed)
	}
	s.accept[id] = true
	s.ask(id)
	if shape == protocol.Service || s.rng.IntN(4) == 0 {
		s.after(s.upTo(60*time.Second), func() { s.cancel(id) })
	}
}

func (s *system) cancel(id string) {
	p := s.state.Get(storage.LiveKey(id))
	if p.Version == 0 {
		return
	}
	_, failed, _ := s.state.Txn(protocol.Txn{
		If: []protocol.Cond{{Key: storage.LiveKey(id), Version: p.Version}, {Key: storage.EndedKey(id)}},
		Then: []protocol.Op{{Delete: storage.LiveKey(id)},
			{Put: storage.EndedKey(id), Value: s.encode(storage.EndedRecord{Standing: protocol.Cancelled})}},
	})
	if failed == nil {
		s.world.Cancelled[id] = s.now
	}
}

// ask looks at the records as a user's question does.
func (s *system) ask(id string) {
	standing := protocol.Queued
	if s.state.Get(storage.LiveKey(id)).Version == 0 {
		p := s.state.Get(storage.EndedKey(id))
		if p.Version == 0 {
			s.world.broken("forgotten: %s", id)
			return
		}
		var rec storage.EndedRecord
		if err := protocol.Decode(p.Value, &rec); err != nil {
			s.t.Fatal(err)
		}
		standing = rec.Standing
	}
	if old := s.told[id]; old.Final() && standing != old {
		s.world.broken("went_back: %s from %s to %s", id, old, standing)
	}
	s.told[id] = standing
	if standing == protocol.Done {
		for i := range s.world.Jobs[id].Tasks {
			if !s.world.Done[protocol.TaskID{Job: id, Task: i}] {
				s.world.broken("not_done: %s/%d", id, i)
			}
		}
	}
	if !standing.Final() {
		s.after(time.Second+s.upTo(time.Second), func() { s.ask(id) })
	}
}

// trouble breaks something now and then.
func (s *system) trouble() {
	s.after(s.upTo(6*time.Second), s.trouble)
	if s.calm {
		return
	}
	ws := s.world.sorted()
	if len(ws) == 0 {
		return
	}
	m := ws[s.rng.IntN(len(ws))]
	switch s.rng.IntN(5) {
	case 0:
		s.world.Remove(m.Name) // dies, and stays listed for a while
		s.gone[m.Name] = s.now
	case 1:
		s.unheard[m.Name] = s.now + s.upTo(20*time.Second)
	case 2:
		m.Sick = !m.Sick
	case 3, 4:
		if s.rng.IntN(3) == 0 {
			s.takeOver()
		}
	}
}
