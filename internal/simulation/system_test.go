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

// simulatedSystem runs the schedulers of successive terms against the models in simulated time on a single goroutine.
// The scheduler of a deposed leader may continue for a while. Messages may be lost, delayed or duplicated. Other parts
// of a controller, such as elections and the API, are not run; the system stands in for them.
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
	removedAt        map[string]time.Duration // when machines were removed, by name
	answeredStates   map[string]protocol.JobState
	accepted         map[string]bool
	faultsEnded      bool
	unreachableUntil map[string]time.Duration // end of the partition of a machine, by name
}

// leaderInstance is the leader of one term.
type leaderInstance struct {
	sched    *scheduler.Scheduler
	revision uint64
	stopped  bool
}

// timedCall is a scheduled function call. Calls at the same time are made in the order of their sequence numbers.
type timedCall struct {
	at       time.Duration
	sequence int
	f        func()
}

// compareCalls compares calls by time, then by sequence number.
func compareCalls(a, b timedCall) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
}

// callAfter schedules a call of f after d.
func (s *simulatedSystem) callAfter(d time.Duration, f func()) {
	s.lastSequence++
	call := timedCall{at: s.now + d, sequence: s.lastSequence, f: f}
	i, _ := slices.BinarySearchFunc(s.queue, call, compareCalls)
	s.queue = slices.Insert(s.queue, i, call)
}

// chance returns true with the given probability, and false once the faults have ended.
func (s *simulatedSystem) chance(p float64) bool { return !s.faultsEnded && s.rng.Float64() < p }

// randomDuration returns a random duration below d.
func (s *simulatedSystem) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(d))
}

// ms abbreviates time.Millisecond in tables of scenarios.
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

// takeOver begins a new term with a new leader, as an election does. Leaders of earlier terms stop now or within 15 s.
func (s *simulatedSystem) takeOver() {
	rev, failed, _ := s.store.Txn(protocol.Txn{
		If:   []protocol.Compare{{Key: storage.TermKey, Revision: s.store.Get(storage.TermKey).Revision}},
		Then: []protocol.Op{{PutKey: storage.TermKey, Value: s.encodeTerm(storage.TermRecord{Term: s.term + 1})}},
	})
	if failed != nil {
		s.t.Fatalf("the transaction that begins a term failed its comparisons: %v", failed)
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
	images, _ := s.store.List(storage.ImageHintPrefix)
	l := &leaderInstance{revision: liveRev}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l.sched = scheduler.New(s.now, scheduler.Options{
		Config: s.cfg,
		Log:    log,
		Term:   scheduler.Term{Number: s.term, Revision: rev},
		Records: scheduler.RecoveredRecords{
			MachineTypes:   s.types,
			LiveJobs:       live,
			PlacementPages: pages,
			ImageHints:     images,
		},
		WallClockMS: s.now.Milliseconds(),
	})
	s.leaders = append(s.leaders, l)
	s.tickLeader(l)
}

// tickLeader passes the changes of live job records and a tick to a leader, and repeats that every 100 ms until the
// leader stops.
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

// step passes an event to a leader and applies the effects. It does nothing if the leader has stopped.
func (s *simulatedSystem) step(l *leaderInstance, e scheduler.Event) {
	if l.stopped {
		return
	}
	for _, e := range l.sched.Step(s.now, e) {
		s.applyEffect(l, e)
	}
}

// applyEffect carries out an effect that a leader has returned.
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
	case scheduler.RevokeCommandBatch: // this model sends batches at once
	case scheduler.Probe:
		reply := scheduler.ProbeReply{Machine: e.Machine}
		if m := s.world.Workers[e.Machine]; m != nil && !s.unreachable(e.Machine) && !s.chance(0.1) {
			reply.Heartbeat = m.NextHeartbeat()
		}
		s.callAfter(s.randomDuration(3*time.Second), func() { s.step(l, reply) })
	case scheduler.CloudRequest:
		s.callCloud(l, e.Effect)
	default:
		s.t.Fatalf("unknown scheduler effect %T", e)
	}
}

// run makes the scheduled calls of the next period of length d.
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

// advanceModels updates the models to the current time, and repeats that every 50 ms.
func (s *simulatedSystem) advanceModels() {
	s.store.Advance(s.now)
	s.world.Advance(s.now)
	s.callAfter(50*ms, s.advanceModels)
}

// TestWholeSystem runs the system with random faults and checks the rules of the protocol: no task runs on two machines
// or in the wrong place, no task occupies a machine long after its cancellation, no limit is exceeded, no final state
// changes, and no job is lost or unfinished at the end.
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
				t.Errorf("%d values exceeded the size limit", s.store.Oversized)
			}
			left := 0
			for id := range s.accepted {
				j := s.world.Jobs[id]
				if !s.answeredStates[id].Final() && j.Shape != protocol.Service {
					left++
					t.Logf(
						"not finished: %s %s tasks=%d gpus=%v team=%s same_zone=%v spread=%v",
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
				t.Errorf("%d of %d jobs are not finished long after the last fault", left, len(s.accepted))
			}
			if s.world.Starts < 30 {
				t.Errorf("only %d tasks were started, want at least 30", s.world.Starts)
			}
		})
	}
}
