package simulation

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// system is a whole service in simulated time: leaders, of which deposed ones
// may go on for a while without knowing, against the stand-ins, over a network
// that loses, delays and copies.
type system struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	queue   events
	order   int
	cfg     *config.Deployment
	types   []protocol.MachineType
	state   *State
	world   *World
	leaders []*leading
	term    uint64
	rentals map[string][]string
	names   int
	gone    map[string]time.Duration // names that left, and when
	told    map[string]protocol.Standing
	accept  map[string]bool
	calm    bool
	unheard map[string]time.Duration // machines behind a cut, and until when
}

type leading struct {
	core *scheduler.Core
	rev  uint64
	dead bool
}

type item struct {
	at  time.Duration
	seq int
	f   func()
}

type events []item

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(item)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (s *system) after(d time.Duration, f func()) {
	s.order++
	heap.Push(&s.queue, item{s.now + d, s.order, f})
}

func (s *system) chance(p float64) bool { return !s.calm && s.rng.Float64() < p }

func (s *system) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(d))
}

const ms = time.Millisecond

func newSystem(t *testing.T, seed uint64) *system {
	cfg := &config.Deployment{
		Nodes: 3, Zones: []string{"a", "b"},
		Teams:      []config.Team{{Name: "red", GPUsMax: 40}, {Name: "blue", GPUs: 8}},
		Workers:    config.Workers{ReportS: 1, LeaseS: 8, GangWaitS: 20, GangPeerS: 3, CancelS: 30},
		State:      config.State{RPS: 100, WriteRPS: 30, ValueKB: 1, TxnOps: 8},
		Cloud:      config.Cloud{RPS: 2, ListLagS: 4},
		Quota:      config.Quota{CoreShare: 0.1, RAMMB: 64, MaxSockets: 400},
		Objectives: []config.Objective{{Kind: "wait", Class: "service", WithinS: 2, Share: 0.9}},
	}
	s := &system{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg,
		types: []protocol.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 2, Price: 10,
			SpotPrice: 4, BootS: 10, Zones: []string{"a", "b"}}},
		state: NewState(), world: NewWorld(30*time.Second, 2*time.Second, 12*time.Second),
		rentals: map[string][]string{}, gone: map[string]time.Duration{}, told: map[string]protocol.Standing{},
		accept: map[string]bool{}, unheard: map[string]time.Duration{},
	}
	s.state.MaxValue = 1024
	s.world.Limits["red"] = [2]float64{0, 40}
	return s
}

// takeOver begins a new term, as the election's claim does.
func (s *system) takeOver() {
	rev, failed, _ := s.state.Txn(protocol.Txn{
		If:   []protocol.Cond{{Key: storage.TermKey, Version: s.state.Get(storage.TermKey).Version}},
		Then: []protocol.Op{{Put: storage.TermKey, Value: s.encode(storage.TermRecord{Term: s.term + 1})}},
	})
	if failed != nil {
		s.t.Fatalf("claim failed: %v", failed)
	}
	s.term++
	for _, l := range s.leaders {
		old := l
		s.after(s.upTo(15*time.Second), func() { old.dead = true })
		if s.chance(0.5) {
			old.dead = true
		}
	}
	live, liveRev := s.state.List(storage.LivePrefix)
	pages, _ := s.state.List(storage.PlacePrefix)
	warm, _ := s.state.List(storage.WarmPrefix)
	l := &leading{rev: liveRev}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l.core = scheduler.New(s.now, s.cfg, log, scheduler.Term{Number: s.term, Stamp: rev},
		scheduler.Records{Types: s.types, Live: live, Pages: pages, Warm: warm}, s.now.Milliseconds(), nil)
	s.leaders = append(s.leaders, l)
	s.tickLeader(l)
}

func (s *system) encode(v any) []byte {
	raw, err := protocol.Encode(v)
	if err != nil {
		s.t.Fatal(err)
	}
	return raw
}

func (s *system) tickLeader(l *leading) {
	if l.dead {
		return
	}
	ev, rev := s.state.Since(storage.LivePrefix, l.rev)
	l.rev = rev
	for _, e := range ev {
		if e.Delete != "" {
			s.step(l, scheduler.JobDropped{ID: e.Delete[len(storage.LivePrefix):]})
			continue
		}
		var rec storage.LiveRecord
		if err := protocol.Decode(e.Value, &rec); err != nil {
			s.t.Fatal(err)
		}
		s.step(l, scheduler.JobSet{Record: rec, Stamp: e.Version})
	}
	s.step(l, scheduler.Tick{})
	s.after(100*ms, func() { s.tickLeader(l) })
}

func (s *system) step(l *leading, e scheduler.Event) {
	if l.dead {
		return
	}
	for _, e := range l.core.Step(s.now, e) {
		s.carryOut(l, e)
	}
}

func (s *system) carryOut(l *leading, e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Answer:
		if f, ok := e.Tag.(func(protocol.ReportAnswer)); ok {
			f(e.Body)
		}
	case scheduler.Depose:
		if l == s.leaders[len(s.leaders)-1] {
			s.after(ms, s.takeOver)
		}
		l.dead = true
	case scheduler.Write:
		s.write(l, e, false)
	case scheduler.Order:
		s.command(l, e)
	case scheduler.Inspect:
		if m := s.world.Workers[e.Machine]; m != nil && !s.cut(e.Machine) && !s.chance(0.1) {
			r := m.Report()
			s.after(s.upTo(3*time.Second), func() { s.step(l, scheduler.Inspected{Report: r}) })
		}
	case scheduler.Fleet:
		s.callCloud(l, e.Effect)
	default:
		s.t.Fatalf("unknown effect %T", e)
	}
}

// callCloud carries out what the fleet asks of the cloud.
func (s *system) callCloud(l *leading, e fleet.Effect) {
	switch e := e.(type) {
	case fleet.List:
		asked := s.now
		list := s.list()
		s.after(200*ms, func() { s.step(l, scheduler.Listed{Asked: asked, Machines: list, Failed: s.chance(0.1)}) })
	case fleet.Rent:
		asked := s.now
		s.after(s.upTo(time.Second), func() {
			names := s.rent(e.Rental)
			s.step(l, scheduler.Rented{Request: e.Rental.Request, Asked: asked, Names: names, Refused: len(names) == 0})
		})
	case fleet.Release:
		s.after(s.upTo(time.Second), func() {
			for _, n := range e.Names {
				if s.world.Workers[n] != nil {
					s.world.Remove(n)
					s.gone[n] = s.now - time.Hour // not listed any more
				}
			}
			s.step(l, scheduler.Released{Names: e.Names, OK: true})
		})
	default:
		s.t.Fatalf("unknown effect %T", e)
	}
}

// write carries out a transaction as the leader's executor does, over a
// network that may swallow the request or the answer, or repeat the request.
func (s *system) write(l *leading, w scheduler.Write, uncertain bool) {
	d := 5*ms + s.upTo(20*ms)
	if s.chance(0.05) {
		late := s.upTo(40 * time.Second)
		s.after(late, func() { s.state.Txn(w.Txn) }) // a late copy
	}
	if s.chance(0.05) {
		s.after(time.Second, func() { s.write(l, w, true) }) // never arrived, as far as we know
		return
	}
	s.after(d, func() {
		rev, failed, _ := s.state.Txn(w.Txn)
		if s.chance(0.05) {
			s.after(time.Second, func() { s.write(l, w, true) }) // the answer was lost
			return
		}
		out := scheduler.Written{Write: w.ID, OK: len(failed) == 0, Rev: rev, Failed: failed}
		if !out.OK && uncertain {
			p := s.state.Get(w.Verify)
			var rec struct {
				Write string `msgpack:"w"`
			}
			if p.Version != 0 {
				if err := protocol.Decode(p.Value, &rec); err != nil {
					s.t.Fatal(err)
				}
			}
			out.OK = rec.Write == w.Name && (w.Name != "" || p.Version == 0)
			out.Rev = p.Version
		}
		s.after(d, func() { s.step(l, out) })
	})
}

func (s *system) cut(name string) bool { return s.now < s.unheard[name] }

func (s *system) command(l *leading, o scheduler.Order) {
	deliver := func(answer bool) {
		m := s.world.Workers[o.Machine]
		if m == nil {
			return
		}
		r, ok := m.Command(s.now, o.Orders)
		if answer {
			s.after(5*ms, func() { s.step(l, scheduler.OrdersDone{Machine: o.Machine, OK: ok, Report: r}) })
		}
	}
	lost := func() {
		s.after(1500*ms, func() { s.step(l, scheduler.OrdersDone{Machine: o.Machine}) })
	}
	if s.chance(0.1) {
		s.after(s.upTo(60*time.Second), func() { deliver(false) }) // a late copy
	}
	switch {
	case s.world.Workers[o.Machine] == nil:
		lost()
	case s.cut(o.Machine) || s.chance(0.04):
		s.after(s.upTo(60*time.Second), func() { deliver(false) }) // held back, executed late
		lost()
	case s.chance(0.04):
		s.after(5*ms, func() { deliver(false) }) // executed, the answer lost
		lost()
	default:
		s.after(5*ms, func() { deliver(true) })
	}
}

func (s *system) list() []protocol.ListedMachine {
	var out []protocol.ListedMachine
	for _, m := range s.world.sorted() {
		out = append(out, protocol.ListedMachine{Name: m.Name, Addr: "addr:" + m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			State: protocol.MachineRunning})
	}
	for n, at := range s.gone {
		if s.now-at < 8*time.Second {
			out = append(out, protocol.ListedMachine{Name: n, Type: "g8", Zone: "a", State: protocol.MachineRunning})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (s *system) rent(r protocol.Rental) []string {
	if names, ok := s.rentals[r.Request]; ok {
		return names
	}
	if len(s.world.Workers) > 14 || s.chance(0.2) {
		return nil
	}
	var names []string
	for range min(r.Count, 3) {
		s.names++
		name := fmt.Sprintf("host-%06d", s.names)
		names = append(names, name)
		if s.chance(0.05) {
			continue // never comes up
		}
		s.after(2*time.Second+s.upTo(10*time.Second), func() {
			s.world.Add(s.now, name, r.Zone, r.Spot, &s.types[0], time.Duration(s.cfg.Workers.LeaseS*float64(time.Second)))
			s.reports(name)
		})
	}
	s.rentals[r.Request] = names
	return names
}

// reports lets a worker report regularly, to a leader of any term.
func (s *system) reports(name string) {
	m := s.world.Workers[name]
	if m == nil {
		return
	}
	next := 750*ms + s.upTo(500*ms)
	if m.Changed {
		next = 500 * ms
	}
	s.after(next, func() { s.reports(name) })
	if len(s.leaders) == 0 {
		return
	}
	l := s.leaders[len(s.leaders)-1]
	if s.chance(0.05) {
		l = s.leaders[s.rng.IntN(len(s.leaders))]
	}
	r := m.Report()
	sent, session := s.now, m.Session
	if s.chance(0.05) {
		s.after(s.upTo(30*time.Second), func() { s.step(s.leaders[len(s.leaders)-1], scheduler.Reported{Report: r}) })
	}
	if s.cut(name) && s.chance(0.7) || s.chance(0.03) {
		return
	}
	muted := s.cut(name) || s.chance(0.03)
	s.after(5*ms, func() {
		s.step(l, scheduler.Reported{Report: r, Tag: func(a protocol.ReportAnswer) {
			if muted {
				return
			}
			s.after(5*ms, func() {
				if s.world.Workers[name] == m {
					m.Answer(s.now, sent, session, a)
				}
			})
		}})
	})
}

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

func (s *system) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		it := heap.Pop(&s.queue).(item)
		s.now = it.at
		it.f()
	}
	s.now = end
}

func (s *system) clock() {
	s.state.Advance(s.now)
	s.world.Advance(s.now)
	s.after(50*ms, s.clock)
}

// TestWholeSystem plays days of trouble and checks the protocol's rules: no
// task on two machines, nothing on a machine long after a cancel, no limit
// passed, no wrong place, no way back, and nothing forgotten once it is calm.
func TestWholeSystem(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, seed)
			s.clock()
			s.takeOver()
			for n := range 30 {
				s.after(s.upTo(90*time.Second), func() { s.user(n) })
			}
			s.after(15*time.Second, s.trouble)
			s.run(120 * time.Second)
			s.calm = true
			for _, m := range s.world.Workers {
				m.Sick = false
			}
			s.run(400 * time.Second)
			for i, b := range s.world.Broken {
				if i < 5 {
					t.Error(b)
				}
			}
			if s.state.Oversized > 0 {
				t.Errorf("%d values over the limit", s.state.Oversized)
			}
			left := 0
			for id := range s.accept {
				j := s.world.Jobs[id]
				if !s.told[id].Final() && j.Shape != protocol.Service {
					left++
					t.Logf("not over: %s %s tasks %d gpus %v team %s zone %v spread %v", id, j.Shape, j.Tasks, j.GPUs, j.Team, j.SameZone, j.Spread)
				}
			}
			if left > 0 {
				t.Errorf("%d of %d jobs are not over long after the last trouble", left, len(s.accept))
			}
			if s.world.Starts < 30 {
				t.Errorf("only %d starts: the day shows nothing", s.world.Starts)
			}
		})
	}
}
