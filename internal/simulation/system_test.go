package simulation

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// simulatedSystem is a whole service in simulated time, on one goroutine: schedulers of several terms, of which deposed
// ones may go on for a while, with the models, on a network that loses, delays and copies messages.
type simulatedSystem struct {
	t                *testing.T
	rng              *rand.Rand
	now              time.Duration
	queue            []timedCall
	lastSequence     int
	cfg              *config.Deployment
	types            []protocol.MachineType
	store            *Store
	world            *World
	leaders          []*leaderInstance
	term             uint64
	rentals          map[string][]string
	rentedCount      int
	removedAt        map[string]time.Duration // names that left, and when
	answeredStates   map[string]protocol.JobState
	accepted         map[string]bool
	faultsEnded      bool
	unreachableUntil map[string]time.Duration // machines behind a cut, and until when
}

// leaderInstance is the scheduler of one term.
type leaderInstance struct {
	core     *scheduler.Scheduler
	revision uint64
	stopped  bool
}

// timedCall is a function to call at a time. Calls at the same time are made in the order of their sequence.
type timedCall struct {
	at       time.Duration
	sequence int
	f        func()
}

// compareCalls orders calls by their times, and those at the same time by their sequence.
func compareCalls(a, b timedCall) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
}

// callAfter calls f after a duration.
func (s *simulatedSystem) callAfter(d time.Duration, f func()) {
	s.lastSequence++
	call := timedCall{at: s.now + d, sequence: s.lastSequence, f: f}
	i, _ := slices.BinarySearchFunc(s.queue, call, compareCalls)
	s.queue = slices.Insert(s.queue, i, call)
}

// chance returns true with the given probability, and false once the faults have ended.
func (s *simulatedSystem) chance(p float64) bool { return !s.faultsEnded && s.rng.Float64() < p }

// randomDuration returns a random duration up to d.
func (s *simulatedSystem) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(d))
}

// ms is a millisecond in the tables of scenarios.
const ms = time.Millisecond

// newSimulatedSystem returns a system without a leader.
func newSimulatedSystem(t *testing.T, seed uint64) *simulatedSystem {
	t.Helper()
	cfg := &config.Deployment{
		Controllers: 3,
		Zones:       []string{"a", "b"},
		Teams:       []config.Team{{Name: "red", MaxGPUs: 40}, {Name: "blue", GuaranteedGPUs: 8}},
		Workers: config.Workers{
			HeartbeatSeconds: 1,
			LeaseSeconds:     8,
			GangWaitSeconds:  20,
			GangPeerSeconds:  3,
			CancelSeconds:    30,
		},
		Store:      config.StoreLimits{RPS: 100, WriteRPS: 30, ValueKB: 1, TxnOps: 8},
		Cloud:      config.Cloud{RPS: 2, ListLagSeconds: 4},
		Quota:      config.Quota{CoreShare: 0.1, RAMMB: 64, MaxSockets: 400},
		Objectives: []config.Objective{{Kind: "wait", Class: "service", WithinSeconds: 2, Fraction: 0.9}},
	}
	s := &simulatedSystem{
		t:   t,
		rng: rand.New(rand.NewPCG(seed, 7)),
		cfg: cfg,
		types: []protocol.MachineType{{
			Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerSecond: 2, HourlyPrice: 10,
			HourlySpotPrice: 4, BootSeconds: 10, Zones: []string{"a", "b"},
		}},
		store:            NewStore(),
		world:            NewWorld(30*time.Second, 2*time.Second, 12*time.Second),
		rentals:          map[string][]string{},
		removedAt:        map[string]time.Duration{},
		answeredStates:   map[string]protocol.JobState{},
		accepted:         map[string]bool{},
		unreachableUntil: map[string]time.Duration{},
	}
	s.store.MaxValue = 1024
	s.world.TeamLimits["red"] = Resources{GPUs: 40}
	return s
}

// takeOver begins a new term, as an election does.
func (s *simulatedSystem) takeOver() {
	rev, failed, _ := s.store.Txn(protocol.Txn{
		If:   []protocol.Compare{{Key: storage.TermKey, Revision: s.store.Get(storage.TermKey).Revision}},
		Then: []protocol.Op{{PutKey: storage.TermKey, Value: s.encodeTerm(storage.TermRecord{Term: s.term + 1})}},
	})
	if failed != nil {
		s.t.Fatalf("claim failed: %v", failed)
	}
	s.term++
	for _, l := range s.leaders {
		old := l
		s.callAfter(s.randomDuration(15*time.Second), func() { old.stopped = true })
		if s.chance(0.5) {
			old.stopped = true
		}
	}
	live, liveRev := s.store.List(storage.LiveJobPrefix)
	pages, _ := s.store.List(storage.PlacementPrefix)
	warm, _ := s.store.List(storage.ImageHintPrefix)
	l := &leaderInstance{revision: liveRev}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l.core = scheduler.New(s.now, scheduler.Options{
		Config: s.cfg,
		Log:    log,
		Term:   scheduler.Term{Number: s.term, Revision: rev},
		Records: scheduler.RecoveredRecords{
			MachineTypes: s.types,
			LiveJobs:     live,
			Pages:        pages,
			Images:       warm,
		},
		WallClockMS: s.now.Milliseconds(),
	})
	s.leaders = append(s.leaders, l)
	s.tickLeader(l)
}

// tickLeader has a leader read the changes of live jobs, and tick, from now on.
func (s *simulatedSystem) tickLeader(l *leaderInstance) {
	if l.stopped {
		return
	}
	ev, rev := s.store.ChangesSince(storage.LiveJobPrefix, l.revision)
	l.revision = rev
	for _, e := range ev {
		if e.DeleteKey != "" {
			s.step(l, scheduler.JobEnded{ID: e.DeleteKey[len(storage.LiveJobPrefix):]})
			continue
		}
		var rec storage.LiveJobRecord
		if err := protocol.Decode(e.Value, &rec); err != nil {
			s.t.Fatal(err)
		}
		s.step(l, scheduler.JobAccepted{Record: rec, Revision: e.Revision})
	}
	s.step(l, scheduler.Tick{})
	s.callAfter(100*ms, func() { s.tickLeader(l) })
}

// step has a leader handle an event, unless its instance has stopped.
func (s *simulatedSystem) step(l *leaderInstance, e scheduler.Event) {
	if l.stopped {
		return
	}
	for _, e := range l.core.Step(s.now, e) {
		s.applyEffect(l, e)
	}
}

// applyEffect carries out what a leader has decided.
func (s *simulatedSystem) applyEffect(l *leaderInstance, e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.HeartbeatReply:
		if f, ok := e.ReplyTo.(func(protocol.WorkerHeartbeatReply)); ok {
			f(e.Body)
		}
	case scheduler.StepDown:
		if l == s.leaders[len(s.leaders)-1] {
			s.callAfter(ms, s.takeOver)
		}
		l.stopped = true
	case scheduler.Write:
		s.write(l, e, false)
	case scheduler.SendCommandBatch:
		s.sendCommands(l, e)
	case scheduler.Probe:
		if m := s.world.Workers[e.Machine]; m != nil && !s.unreachable(e.Machine) && !s.chance(0.1) {
			r := m.NextHeartbeat()
			s.callAfter(s.randomDuration(3*time.Second), func() { s.step(l, scheduler.ProbeReply{Heartbeat: r}) })
		}
	case scheduler.CloudRequest:
		s.callCloud(l, e.Effect)
	default:
		s.t.Fatalf("unknown effect %T", e)
	}
}

// run makes the calls of the next time.
func (s *simulatedSystem) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		call := s.queue[0]
		s.queue = s.queue[1:]
		s.now = call.at
		call.f()
	}
	s.now = end
}

// advanceModels lets time pass for the models.
func (s *simulatedSystem) advanceModels() {
	s.store.Advance(s.now)
	s.world.Advance(s.now)
	s.callAfter(50*ms, s.advanceModels)
}

// TestWholeSystem runs the system with random faults and checks the protocol's rules: no task on two machines or in a
// wrong place, nothing on a machine long after its cancellation, no limit exceeded, no final state changed, and nothing
// forgotten in the end.
func TestWholeSystem(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulatedSystem(t, seed)
			s.advanceModels()
			s.takeOver()
			for n := range 30 {
				s.callAfter(s.randomDuration(90*time.Second), func() { s.submitJob(n) })
			}
			s.callAfter(15*time.Second, s.injectFault)
			s.run(120 * time.Second)
			s.faultsEnded = true
			for _, m := range s.world.Workers {
				m.FailsTasks = false
			}
			s.run(400 * time.Second)
			for i, b := range s.world.Violations {
				if i < 5 {
					t.Error(b)
				}
			}
			if s.store.Oversized > 0 {
				t.Errorf("%d values over the limit", s.store.Oversized)
			}
			left := 0
			for id := range s.accepted {
				j := s.world.Jobs[id]
				if !s.answeredStates[id].Final() && j.Shape != protocol.Service {
					left++
					t.Logf(
						"not over: %s %s tasks %d gpus %v team %s zone %v spread %v",
						id,
						j.Shape,
						j.TaskCount,
						j.GPUs,
						j.Team,
						j.SameZone,
						j.Spread,
					)
				}
			}
			if left > 0 {
				t.Errorf("%d of %d jobs are not over long after the last trouble", left, len(s.accepted))
			}
			if s.world.Starts < 30 {
				t.Errorf("only %d starts: the day shows nothing", s.world.Starts)
			}
		})
	}
}
