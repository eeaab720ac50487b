package simulation

import (
	"fmt"
	"sort"
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// encode returns the MessagePack encoding of v.
func (s *simulatedSystem) encode(v any) []byte {
	raw, err := protocol.Encode(v)
	if err != nil {
		s.t.Fatal(err)
	}
	return raw
}

// encodeTerm returns the encoding of a term record.
func (s *simulatedSystem) encodeTerm(rec storage.TermRecord) []byte {
	raw, err := storage.EncodeTerm(rec)
	if err != nil {
		s.t.Fatal(err)
	}
	return raw
}

// callCloud executes a request to the cloud and passes the result to the leader later.
func (s *simulatedSystem) callCloud(l *leaderInstance, e autoscaler.Effect) {
	switch e := e.(type) {
	case autoscaler.ListMachines:
		asked := s.now
		list := s.listMachines()
		s.callAfter(
			200*ms,
			func() { s.step(l, scheduler.MachinesListed{RequestedAt: asked, Machines: list, Failed: s.chance(0.1)}) },
		)
	case autoscaler.ScaleOut:
		asked := s.now
		s.callAfter(s.randomDuration(time.Second), func() {
			names := s.rentMachines(e.Rental)
			s.step(
				l,
				scheduler.ScaleOutResult{
					Request:     e.Rental.RequestID,
					RequestedAt: asked,
					Machines:    names,
					Refused:     len(names) == 0,
				},
			)
		})
	case autoscaler.ScaleIn:
		s.callAfter(s.randomDuration(time.Second), func() {
			for _, n := range e.Machines {
				if s.world.Workers[n] != nil {
					s.world.RemoveMachine(n)
					s.removedAt[n] = s.now - time.Hour // so that it is not listed any more
				}
			}
			s.step(l, scheduler.ScaleInResult{Machines: e.Machines, Succeeded: true})
		})
	default:
		s.t.Fatalf("unknown autoscaler effect %T", e)
	}
}

// write executes a transaction and passes its outcome to the leader. The request may be lost, delayed or duplicated,
// and the answer may be lost. uncertain is set if an earlier try may have been applied. If the comparisons fail in that
// case, the value of the key to verify shows whether the transaction was applied, as in the real driver of the leader.
func (s *simulatedSystem) write(l *leaderInstance, w scheduler.Write, uncertain bool) {
	latency := 5*ms + s.randomDuration(20*ms)
	if s.chance(0.05) {
		late := s.randomDuration(40 * time.Second)
		s.callAfter(late, func() { s.store.Txn(w.Txn) }) // a delayed duplicate
	}
	if s.chance(0.05) {
		s.callAfter(time.Second, func() { s.write(l, w, true) }) // the request was lost; the leader cannot tell
		return
	}
	s.callAfter(latency, func() {
		rev, failed, _ := s.store.Txn(w.Txn)
		if s.chance(0.05) {
			s.callAfter(time.Second, func() { s.write(l, w, true) }) // the answer was lost
			return
		}
		out := scheduler.TransactionOutcome{
			WriteID:    w.ID,
			Succeeded:  len(failed) == 0,
			Revision:   rev,
			FailedKeys: failed,
		}
		if !out.Succeeded && uncertain {
			p := s.store.Get(w.VerifyKey)
			var rec struct {
				Write string `msgpack:"w"`
			}
			if p.Revision != 0 {
				if err := protocol.Decode(p.Value, &rec); err != nil {
					s.t.Fatal(err)
				}
			}
			out.Succeeded = rec.Write == w.VerifyName && (w.VerifyName != "" || p.Revision == 0)
			out.Revision = p.Revision
		}
		s.callAfter(latency, func() { s.step(l, out) })
	})
}

// unreachable reports whether a machine is partitioned from the leaders.
func (s *simulatedSystem) unreachable(name string) bool { return s.now < s.unreachableUntil[name] }

// sendCommands sends a batch of commands to a machine and passes the result to the leader. The batch may be lost,
// delayed or duplicated, and the answer may be lost.
func (s *simulatedSystem) sendCommands(l *leaderInstance, o scheduler.SendCommandBatch) {
	deliver := func(answer bool) {
		m := s.world.Workers[o.Machine]
		if m == nil {
			return
		}
		r, ok := m.HandleCommands(s.now, o.Batch)
		if answer {
			s.callAfter(
				5*ms,
				func() { s.step(l, scheduler.CommandBatchResult{Machine: o.Machine, Acknowledged: ok, Heartbeat: r}) },
			)
		}
	}
	lost := func() {
		s.callAfter(1500*ms, func() { s.step(l, scheduler.CommandBatchResult{Machine: o.Machine}) })
	}
	if s.chance(0.1) {
		s.callAfter(s.randomDuration(60*time.Second), func() { deliver(false) }) // a delayed duplicate
	}
	switch {
	case s.world.Workers[o.Machine] == nil:
		lost()
	case s.unreachable(o.Machine) || s.chance(0.04):
		s.callAfter(s.randomDuration(60*time.Second), func() { deliver(false) }) // delayed and executed late
		lost()
	case s.chance(0.04):
		s.callAfter(5*ms, func() { deliver(false) }) // executed, but the answer is lost
		lost()
	default:
		s.callAfter(5*ms, func() { deliver(true) })
	}
}

// listMachines returns the list of machines. Removed machines stay listed for 8 s.
func (s *simulatedSystem) listMachines() []protocol.ListedMachine {
	var out []protocol.ListedMachine
	for _, m := range s.world.sortedWorkers() {
		out = append(out, protocol.ListedMachine{
			Name: m.Name, Addr: "addr:" + m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			State: protocol.MachineRunning,
		})
	}
	for n, at := range s.removedAt {
		if s.now-at < 8*time.Second {
			out = append(out, protocol.ListedMachine{Name: n, Type: "g8", Zone: "a", State: protocol.MachineRunning})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// rentMachines rents up to three machines and returns their names. Some of them never boot.
func (s *simulatedSystem) rentMachines(r protocol.RentalRequest) []string {
	if names, ok := s.rentals[r.RequestID]; ok {
		return names
	}
	if len(s.world.Workers) > 14 || s.chance(0.2) {
		return nil
	}
	var names []string
	for range min(r.Count, 3) {
		s.rentedCount++
		name := fmt.Sprintf("host-%06d", s.rentedCount)
		names = append(names, name)
		if s.chance(0.05) {
			continue // never boots
		}
		s.callAfter(2*time.Second+s.randomDuration(10*time.Second), func() {
			s.world.AddMachine(
				s.now,
				name,
				r.Zone,
				r.Spot,
				&s.types[0],
				time.Duration(s.cfg.Workers.LeaseSeconds*float64(time.Second)),
			)
			s.scheduleHeartbeats(name)
		})
	}
	s.rentals[r.RequestID] = names
	return names
}

// scheduleHeartbeats sends a heartbeat of a worker and schedules the next ones. Most go to the current leader, some to
// a random leader of any term, and some are lost, duplicated or not answered.
func (s *simulatedSystem) scheduleHeartbeats(name string) {
	m := s.world.Workers[name]
	if m == nil {
		return
	}
	next := 750*ms + s.randomDuration(500*ms)
	if m.Changed {
		next = 500 * ms
	}
	s.callAfter(next, func() { s.scheduleHeartbeats(name) })
	if len(s.leaders) == 0 {
		return
	}
	l := s.leaders[len(s.leaders)-1]
	if s.chance(0.05) {
		l = s.leaders[s.rng.IntN(len(s.leaders))]
	}
	r := m.NextHeartbeat()
	sent, incarnation := s.now, m.Incarnation
	if s.chance(0.05) {
		s.callAfter(
			s.randomDuration(30*time.Second),
			func() { s.step(s.leaders[len(s.leaders)-1], scheduler.HeartbeatReceived{Heartbeat: r}) },
		)
	}
	if s.unreachable(name) && s.chance(0.7) || s.chance(0.03) {
		return
	}
	replyLost := s.unreachable(name) || s.chance(0.03)
	s.callAfter(5*ms, func() {
		s.step(l, scheduler.HeartbeatReceived{Heartbeat: r, ReplyTo: func(a protocol.WorkerHeartbeatReply) {
			if replyLost {
				return
			}
			s.callAfter(5*ms, func() {
				if s.world.Workers[name] == m {
					m.HandleReply(s.now, sent, incarnation, a)
				}
			})
		}})
	})
}
