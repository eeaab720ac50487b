package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var testTiming = Timing{TickInterval: time.Second, PeerTimeout: 2 * time.Second, RejoinDelay: 4 * time.Second}

func member(node string, life, number uint64) Member {
	return Member{Controller: node, Incarnation: failuredetector.Incarnation{Process: life, Refutations: number}}
}

// leadingAssigner is a machine that leads and goes by what it writes.
type leadingAssigner struct {
	*Assigner
	now      time.Duration
	revision uint64
	written  []Record
}

func newLeadingAssigner(peers ...string) *leadingAssigner {
	l := &leadingAssigner{Assigner: New("a", peers, testTiming)}
	l.step(OwnIncarnation{Incarnation: failuredetector.Incarnation{Process: 1}})
	l.step(RecordRead{})
	l.step(Leadership{Leading: true})
	return l
}

func (l *leadingAssigner) step(e Event) {
	for _, effect := range l.Step(l.now, e) {
		w, ok := effect.(WriteRecord)
		if !ok {
			continue
		}
		l.revision++
		w.Record.Revision = l.revision
		l.written = append(l.written, w.Record)
		l.step(RecordRead(w))
		l.step(WriteDone{})
	}
}

// runWithHeartbeats lets time pass in which these members are heard every second.
func (l *leadingAssigner) runWithHeartbeats(d time.Duration, members ...Member) {
	for end := l.now + d; l.now < end; l.now += testTiming.TickInterval {
		for _, m := range members {
			l.step(PeerHeartbeat{Member: m, CanOwn: true})
		}
		l.step(Tick{})
	}
}

// owners lists the nodes of the last epoch.
func (l *leadingAssigner) owners() (nodes []string) {
	for _, m := range l.record.Members {
		nodes = append(nodes, m.Controller)
	}
	return nodes
}

// TestOwnersFollowHeartbeatsAndVerdicts: a controller owns machines once it is heard, keeps them while it is silent,
// loses them by a verdict on its incarnation alone, and owns some again as another one, later each time that it fails
// again.
func TestOwnersFollowHeartbeatsAndVerdicts(t *testing.T) {
	l := newLeadingAssigner("b", "c")
	b, c := member("b", 2, 0), member("c", 3, 0)
	l.runWithHeartbeats(5*time.Second, b, c)
	if got := l.owners(); !slices.Equal(got, []string{"a", "b", "c"}) || len(l.written) != 1 {
		t.Fatalf("owners %v after %d epochs", got, len(l.written))
	}
	l.runWithHeartbeats(time.Minute, b)
	if len(l.written) != 1 {
		t.Fatalf("silence alone has changed the owners: %+v", l.written)
	}
	var pauses []time.Duration
	for number := range uint64(3) {
		l.step(Verdict{Member: member("c", 3, number), Reason: "verdict"})
		failed := l.now
		if got := l.owners(); !slices.Equal(got, []string{"a", "b"}) || l.record.Reason != "verdict" {
			t.Fatalf("owners %v after the verdict, because of %q", got, l.record.Reason)
		}
		l.runWithHeartbeats(2*time.Second, b, member("c", 3, number)) // it has not heard of the verdict yet
		for !slices.Contains(l.owners(), "c") && l.now < failed+time.Hour {
			l.runWithHeartbeats(time.Second, b, member("c", 3, number+1))
		}
		pauses = append(pauses, (l.now - failed).Round(time.Second))
	}
	if pauses[1] <= pauses[0] || pauses[2] <= pauses[1] {
		t.Errorf("it owns machines again after %v", pauses)
	}
	l.step(Verdict{Member: member("c", 3, 1), Reason: "late"})
	l.runWithHeartbeats(time.Second, b, member("c", 3, 3))
	if got := l.owners(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("a verdict on an incarnation that is over long since has cost it its machines: %v", got)
	}
}

// TestProposalsNeedLeadershipAndRecord: nothing is proposed by a controller that does not lead, has not read the
// record, has just begun to lead, or has a write under way; and what it reads goes before what it wanted.
func TestProposalsNeedLeadershipAndRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New("a", []string{"b", "c"}, testTiming)
		var now, since time.Duration
		leads, known, writing := false, false, false
		version, epoch := uint64(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			var effects []Effect
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				on := rapid.Bool().Draw(t, "leads")
				if on && !leads {
					since = now
				}
				leads = on
				effects = m.Step(now, Leadership{Leading: on})
			case 1:
				node := rapid.SampledFrom([]string{"b", "c", "stranger"}).Draw(t, "from")
				effects = m.Step(
					now,
					PeerHeartbeat{
						Member: member(node, 5, rapid.Uint64Range(0, 2).Draw(t, "number")),
						CanOwn: rapid.Bool().Draw(t, "owns"),
					},
				)
			case 2:
				effects = m.Step(
					now,
					Verdict{
						Member: member(
							rapid.SampledFrom([]string{"b", "c", "stranger"}).Draw(t, "of"),
							5,
							rapid.Uint64Range(0, 2).Draw(t, "number"),
						),
					},
				)
			case 3:
				if rapid.Bool().Draw(t, "newer") {
					version, epoch = version+1, epoch+1
				}
				known = true
				effects = m.Step(
					now,
					RecordRead{Record: Record{Epoch: epoch, Revision: version, Members: []Member{member("c", 5, 0)}}},
				)
			case 4:
				writing = false
				effects = m.Step(now, WriteDone{})
			default:
				effects = m.Step(now, Tick{})
			}
			for _, e := range effects {
				w, ok := e.(WriteRecord)
				if !ok {
					continue
				}
				if !leads || !known || writing || now-since < testTiming.PeerTimeout {
					t.Fatalf(
						"a proposal: leads %v since %v at %v, has read %v, writes %v",
						leads,
						since,
						now,
						known,
						writing,
					)
				}
				if w.Record.Revision != version || w.Record.Epoch != epoch+1 {
					t.Fatalf(
						"it replaces version %d of epoch %d, want %d of %d",
						w.Record.Revision,
						w.Record.Epoch-1,
						version,
						epoch,
					)
				}
				writing = true
			}
		}
	})
}

// TestRendezvousMovesFewestMachines: when a controller goes, its machines move and no others; when it comes back they
// return.
func TestRendezvousMovesFewestMachines(t *testing.T) {
	all := []Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0), member("d", 4, 0), member("e", 5, 0)}
	before := NewTable(1, all)
	after := NewTable(2, slices.Delete(slices.Clone(all), 2, 3))
	again := NewTable(3, []Member{all[4], all[2], all[0], all[3], member("b", 9, 0)})
	const machines = 4000
	counts := map[string]int{}
	for i := range machines {
		name := fmt.Sprintf("host-%06d", i)
		owner := before.Owner(name)
		counts[owner]++
		if owner != "c" && after.Owner(name) != owner {
			t.Fatalf("%s moves from %s to %s", name, owner, after.Owner(name))
		}
		if again.Owner(name) != owner {
			t.Fatalf("%s is with %s when all are back, and was with %s", name, again.Owner(name), owner)
		}
	}
	for node, n := range counts {
		if n < machines/len(all)*3/4 || n > machines/len(all)*5/4 {
			t.Errorf("%s owns %d of %d machines", node, n, machines)
		}
	}
	if NewTable(1, nil).Owner("host-000001") != "" {
		t.Error("a machine has an owner although there are none")
	}
}

// TestHeartbeatFilter: an owner answers a report itself only when it says what the leader has heard already, of
// the leader's term and not long ago; exits and what the leader asks for are always passed on.
func TestHeartbeatFilter(t *testing.T) {
	const term, refresh = 7, 5 * time.Second
	report := func(change func(*protocol.WorkerHeartbeat)) *protocol.WorkerHeartbeat {
		r := &protocol.WorkerHeartbeat{
			Machine:      "m1",
			Incarnation:  2,
			Sequence:     10,
			FencingToken: protocol.FencingToken(term, 1),
			Tasks:        []protocol.TaskStatus{{TaskName: "j-1/0", Attempt: 1, State: protocol.TaskRunning}},
		}
		change(r)
		return r
	}
	same := func(*protocol.WorkerHeartbeat) {}
	notice := 3.0
	for name, x := range map[string]struct {
		change func(*protocol.WorkerHeartbeat)
		after  time.Duration
		term   uint64
		asked  bool
		news   bool
	}{
		"the same":               {same, time.Second, term, false, false},
		"a later number":         {func(r *protocol.WorkerHeartbeat) { r.Sequence = 99 }, time.Second, term, false, false},
		"another session":        {func(r *protocol.WorkerHeartbeat) { r.Incarnation = 3 }, time.Second, term, false, true},
		"a higher token":         {func(r *protocol.WorkerHeartbeat) { r.FencingToken++ }, time.Second, term, false, true},
		"a notice":               {func(r *protocol.WorkerHeartbeat) { r.InterruptionNoticeSeconds = &notice }, time.Second, term, false, true},
		"a task more":            {func(r *protocol.WorkerHeartbeat) { r.Tasks = append(r.Tasks, r.Tasks[0]) }, time.Second, term, false, true},
		"none any more":          {func(r *protocol.WorkerHeartbeat) { r.Tasks = nil }, time.Second, term, false, true},
		"another state":          {func(r *protocol.WorkerHeartbeat) { r.Tasks[0].State = protocol.TaskSaving }, time.Second, term, false, true},
		"another attempt":        {func(r *protocol.WorkerHeartbeat) { r.Tasks[0].Attempt = 2 }, time.Second, term, false, true},
		"long ago":               {same, refresh, term, false, true},
		"another leader":         {same, time.Second, term + 1, false, true},
		"the leader asks for it": {same, time.Second, term, true, true},
	} {
		r := NewHeartbeatFilter(refresh)
		if !r.MustForward(0, report(same), term) {
			t.Fatalf("%s: the first report tells nothing new", name)
		}
		r.Forwarded(0, report(same))
		if x.asked {
			r.ForwardNext([]string{"m1", "unknown"})
		}
		if got := r.MustForward(x.after, report(x.change), x.term); got != x.news {
			t.Errorf("%s: tells something new: %v", name, got)
		}
	}
	r := NewHeartbeatFilter(refresh)
	exited := report(func(r *protocol.WorkerHeartbeat) { r.Tasks[0].State = protocol.TaskExited })
	r.MustForward(0, exited, term)
	r.Forwarded(0, exited)
	if !r.MustForward(time.Second, exited, term) {
		t.Error("a task that has exited is kept from the leader")
	}
	r.Forwarded(0, report(same))
	r.AnsweredLocally(report(func(r *protocol.WorkerHeartbeat) { r.Sequence = 11 }))
	if got := r.TakeUnchanged(); !slices.Equal(
		got,
		[]UnchangedHeartbeat{{Machine: "m1", Incarnation: 2, Sequence: 11}},
	) ||
		len(r.TakeUnchanged()) > 0 {
		t.Errorf("answered: %v", got)
	}
}

// TestOwnerStatusMayAnswer: an owner stops answering as soon as any one of the things is missing that it may answer by.
func TestOwnerStatusMayAnswer(t *testing.T) {
	well := OwnerStatus{
		Table: NewTable(
			4,
			[]Member{member("a", 1, 0), member("b", 2, 0)},
		),
		Controller:         "b",
		Process:            2,
		Leader:             "a",
		LeaderEpoch:        4,
		DigestAge:          time.Second,
		MaxDigestAge:       2 * time.Second,
		KnowsCancellations: true,
	}
	if !well.MayAnswer() {
		t.Fatal("an owner may not answer")
	}
	for name, change := range map[string]func(*OwnerStatus){
		"nothing is in force":                  func(s *OwnerStatus) { s.Table = nil },
		"it owns nothing":                      func(s *OwnerStatus) { s.Table = NewTable(4, []Member{member("a", 1, 0)}) },
		"another process of its name owns":     func(s *OwnerStatus) { s.Process = 3 },
		"nobody leads":                         func(s *OwnerStatus) { s.Leader = "" },
		"it leads":                             func(s *OwnerStatus) { s.Leader = "b" },
		"the leader goes by a later epoch":     func(s *OwnerStatus) { s.LeaderEpoch = 5 },
		"the leader goes by none":              func(s *OwnerStatus) { s.LeaderEpoch = 0 },
		"the leader has not heard whom it has": func(s *OwnerStatus) { s.DigestAge = 3 * time.Second },
		"it may not know of a cancellation":    func(s *OwnerStatus) { s.KnowsCancellations = false },
	} {
		s := well
		change(&s)
		if s.MayAnswer() {
			t.Errorf("it may answer although %s", name)
		}
	}
}

// TestUnchangedReplyStopsCancelledTasksOnly: an owner commands nothing but that what is cancelled ends, under the
// worker's own token.
func TestUnchangedReplyStopsCancelledTasksOnly(t *testing.T) {
	rep := &protocol.WorkerHeartbeat{Machine: "m1", Incarnation: 2, FencingToken: 77, Tasks: []protocol.TaskStatus{
		{
			TaskName: "j-1/0",
			Attempt:  3,
			State:    protocol.TaskRunning,
		},
		{TaskName: "j-2/1", Attempt: 1, State: protocol.TaskFetching},
		{TaskName: "j-1/1", Attempt: 1, State: protocol.TaskExited},
	}}
	a := UnchangedReply(rep, func(job string) bool { return job == "j-1" })
	if a.FencingToken != 77 || len(a.Commands) != 1 || a.Commands[0].Verb != protocol.VerbStop ||
		a.Commands[0].TaskName != "j-1/0" ||
		*a.Commands[0].GraceSeconds != 0 {
		t.Errorf("%+v", a)
	}
	if a := UnchangedReply(rep, func(string) bool { return false }); len(a.Commands) != 0 {
		t.Errorf("commands although nothing is cancelled: %+v", a.Commands)
	}
}
