package fencing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const (
	testGracePeriod  = 10 * time.Second
	testMinIntentAge = 20 * time.Second
)

func newTestFencer() *Fencer {
	return New(Timing{GracePeriod: testGracePeriod, MinIntentAge: testMinIntentAge, Retention: time.Minute})
}

// machineList returns a machine list on which everything runs but "starting" and "failed".
func machineList(names ...string) MachinesListed {
	var list MachinesListed
	for _, name := range names {
		state := protocol.MachineRunning
		switch name {
		case "starting":
			state = protocol.MachineStarting
		case "failed":
			state = protocol.MachineFailed
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{Name: name, State: state})
	}
	return list
}

func heartbeat(machine string, incarnation, sequence uint64) HeartbeatReceived {
	return HeartbeatReceived{
		Heartbeat: &protocol.WorkerHeartbeat{Machine: machine, Incarnation: incarnation, Sequence: sequence},
	}
}

// asksForMachines says whether the fencer asks for the machine list.
func asksForMachines(f *Fencer, now time.Duration, a Assessment) bool {
	return slices.Contains(f.Step(now, a), Effect(ListMachines{}))
}

// fatalHelper is what helpers need of *testing.T and *rapid.T.
type fatalHelper interface {
	Helper()
	Fatalf(format string, args ...any)
}

// requireQuery returns the machines that the only effect asks the peers about.
func requireQuery(t fatalHelper, effects []Effect) []string {
	t.Helper()
	if len(effects) != 1 {
		t.Fatalf("%d effects, want a QueryPeers", len(effects))
	}
	query, ok := effects[0].(QueryPeers)
	if !ok {
		t.Fatalf("effect %T, want a QueryPeers", effects[0])
	}
	return query.Machines
}

// TestReleaseWaitsForGracePeriodAndIntent checks that machines are released only after a grace period
// without a leader, and only if the deadline of a cancellation may be near.
func TestReleaseWaitsForGracePeriodAndIntent(t *testing.T) {
	const start, end = time.Second, time.Second + testGracePeriod
	for _, test := range []struct {
		name       string
		assessment Assessment
		want       bool
	}{
		{"intents may be lacking", Assessment{Leaderless: true, Recovering: true}, true},
		{"old intent", Assessment{Leaderless: true, HasIntent: true, OldestIntentAt: end - testMinIntentAge}, true},
		{"recent intent", Assessment{
			Leaderless:     true,
			HasIntent:      true,
			OldestIntentAt: end - testMinIntentAge + time.Second,
		}, false},
		{"no intent", Assessment{Leaderless: true}, false},
		{"leader", Assessment{Recovering: true, HasIntent: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFencer()
			if asksForMachines(f, start, test.assessment) {
				t.Error("asks for the machines at once")
			}
			if asksForMachines(f, end-time.Second, test.assessment) {
				t.Error("asks for the machines before the grace period is over")
			}
			if got := asksForMachines(f, end, test.assessment); got != test.want {
				t.Errorf("asks for the machines after the grace period: %v, want %v", got, test.want)
			}
		})
	}
}

// TestLeaderResetsGracePeriod checks that a leader starts the grace period over, and that lists and
// replies that were asked for before it release nothing.
func TestLeaderResetsGracePeriod(t *testing.T) {
	f := newTestFencer()
	leaderless := Assessment{Leaderless: true, Recovering: true}
	f.Step(0, leaderless)
	if !asksForMachines(f, testGracePeriod, leaderless) {
		t.Fatal("does not ask for the machines")
	}
	f.Step(testGracePeriod+1, Assessment{})
	if effects := f.Step(testGracePeriod+2, machineList("m1")); effects != nil {
		t.Errorf("effects %v of a list from before the leader", effects)
	}
	if effects := f.Step(testGracePeriod+2, SilenceConfirmed{Machines: []string{"m1"}}); effects != nil {
		t.Errorf("effects %v of replies from before the leader", effects)
	}
	if asksForMachines(f, testGracePeriod+3, leaderless) {
		t.Error("asks for the machines right after a leader")
	}
}

// TestStaleHeartbeatsAreIgnored checks that a machine that hangs does not count as heard because a
// copy of an older heartbeat arrives.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	f := newTestFencer()
	const later = 2 * testGracePeriod
	f.Step(0, Assessment{Leaderless: true, Recovering: true})
	f.Step(time.Second, heartbeat("m1", 2, 7))
	f.Step(later, heartbeat("m1", 2, 7))
	f.Step(later, heartbeat("m1", 1, 9))
	f.Step(later, Assessment{Leaderless: true, Recovering: true})
	if asked := requireQuery(t, f.Step(later, machineList("m1"))); !slices.Equal(asked, []string{"m1"}) {
		t.Errorf("asks about %v, want m1", asked)
	}
}

// releaseModel follows what a fencer may release.
type releaseModel struct {
	t               *rapid.T
	fencer          *Fencer
	now             time.Duration
	sequence        uint64
	heardAt         map[string]time.Duration
	released        map[string]bool
	leaderlessSince time.Duration // negative: there is a leader
}

// heartbeat sends a new heartbeat of a machine.
func (m *releaseModel) heartbeat(machine string) {
	m.sequence++
	m.heardAt[machine] = m.now
	m.apply(m.fencer.Step(m.now, heartbeat(machine, 1, m.sequence)))
}

func (m *releaseModel) assess(leaderless bool) {
	switch {
	case !leaderless:
		m.leaderlessSince = -1
	case m.leaderlessSince < 0:
		m.leaderlessSince = m.now
	}
	m.apply(m.fencer.Step(m.now, Assessment{Leaderless: leaderless, Recovering: true}))
}

func (m *releaseModel) heardRecently(machine string) bool {
	at, heard := m.heardAt[machine]
	return heard && m.now-at <= testGracePeriod
}

// apply checks effects and carries out releases.
func (m *releaseModel) apply(effects []Effect) {
	m.t.Helper()
	for _, effect := range effects {
		switch e := effect.(type) {
		case QueryPeers:
			m.requireGracePeriod()
		case ReleaseMachines:
			m.requireGracePeriod()
			for _, name := range e.Machines {
				if name == "starting" || name == "failed" || m.released[name] || m.heardRecently(name) {
					m.t.Fatalf("%s released at %v, heard at %v, released before: %v",
						name, m.now, m.heardAt, m.released)
				}
				m.released[name] = true
			}
			m.fencer.Step(m.now, MachinesReleased(e))
		}
	}
}

func (m *releaseModel) requireGracePeriod() {
	m.t.Helper()
	if m.leaderlessSince < 0 || m.now-m.leaderlessSince < testGracePeriod {
		m.t.Fatalf("at %v: release without a leader since %v", m.now, m.leaderlessSince)
	}
}

// TestOnlySilentMachinesAreReleased draws heartbeats, replies of peers, lists and releases. It checks
// that a machine is released only if it has been silent for the grace period and runs according to
// the list, and only once.
func TestOnlySilentMachinesAreReleased(t *testing.T) {
	names := []string{"m1", "m2", "m3", "starting", "failed"}
	released := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &releaseModel{
			t:               t,
			fencer:          newTestFencer(),
			heardAt:         map[string]time.Duration{},
			released:        map[string]bool{},
			leaderlessSince: -1,
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.assess(rapid.IntRange(0, 19).Draw(t, "leader") > 0)
			case 1:
				m.heartbeat(rapid.SampledFrom(names).Draw(t, "machine"))
			case 2:
				effects := m.fencer.Step(m.now, machineList(names...))
				if len(effects) == 0 {
					break
				}
				silent := requireQuery(t, effects)
				m.apply(effects)
				if rapid.Bool().Draw(t, "heartbeat meanwhile") {
					m.heartbeat(silent[0])
				}
				m.apply(m.fencer.Step(m.now, SilenceConfirmed{Machines: silent}))
			case 3:
				reply := make(chan []string, 1)
				for _, effect := range m.fencer.Step(m.now, PeerQuery{Machines: names, Reply: reply}) {
					answer, ok := effect.(AnswerPeer)
					if !ok {
						t.Fatalf("effect %T of a peer's query", effect)
					}
					for _, name := range answer.Heard {
						if !m.heardRecently(name) {
							t.Fatalf("%s is reported as heard at %v", name, m.now)
						}
					}
				}
			}
		}
		released += len(m.released)
	})
	if released == 0 {
		t.Error("nothing was released, so nothing was tested")
	}
}

// TestUnansweredPeerDefersRelease checks that a peer in the quorum that does not answer defers a
// release, since machines may report to it alone, and that a peer that has failed does not.
func TestUnansweredPeerDefersRelease(t *testing.T) {
	machines := []string{"a", "b", "c"}
	for _, test := range []struct {
		name    string
		replies []PeerReply
		silent  []string
		certain bool
	}{
		{
			name:    "all answer",
			replies: []PeerReply{{Answered: true, Heard: []string{"b"}, InQuorum: true}, {Answered: true}},
			silent:  []string{"a", "c"},
			certain: true,
		},
		{
			name:    "failed peer",
			replies: []PeerReply{{Answered: true, Heard: []string{"a"}}, {}},
			silent:  []string{"b", "c"},
			certain: true,
		},
		{
			name:    "peer in the quorum does not answer",
			replies: []PeerReply{{Answered: true, Heard: []string{"a"}}, {InQuorum: true}},
		},
		{
			name:    "peer in the quorum answers in part",
			replies: []PeerReply{{Heard: []string{"a"}, InQuorum: true}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			silent, certain := StillSilent(machines, test.replies)
			if certain != test.certain || !slices.Equal(silent, test.silent) {
				t.Errorf("silent %v, certain %v, want %v, %v", silent, certain, test.silent, test.certain)
			}
		})
	}
}

// TestManySilentMachines checks that of thousands of machines exactly those are asked about that are
// not heard here, and exactly those released that no peer hears either.
func TestManySilentMachines(t *testing.T) {
	const machines = 4000
	f := newTestFencer()
	var names []string
	for i := range machines {
		names = append(names, fmt.Sprintf("m%05d", i))
	}
	assessment := Assessment{Leaderless: true, HasIntent: true}
	f.Step(0, assessment)
	now := testGracePeriod + testMinIntentAge
	for i := 0; i < machines; i += 2 {
		f.Step(now, heartbeat(names[i], 1, 1))
	}
	if !asksForMachines(f, now, assessment) {
		t.Fatal("does not ask for the machines")
	}
	asked := requireQuery(t, f.Step(now, machineList(names...)))
	if len(asked) != machines/2 {
		t.Fatalf("asks about %d machines, want %d", len(asked), machines/2)
	}
	var heard []string // by one peer a quarter of all, by another the first of them again
	for i := 1; i < machines; i += 4 {
		heard = append(heard, names[i])
	}
	replies := []PeerReply{{Answered: true, Heard: heard}, {Answered: true, Heard: heard[:1]}}
	silent, certain := StillSilent(asked, replies)
	if !certain || len(silent) != machines/4 {
		t.Fatalf("%d machines are silent, want %d", len(silent), machines/4)
	}
	effects := f.Step(now, SilenceConfirmed{Machines: silent})
	if len(effects) != 1 {
		t.Fatalf("%d effects, want a ReleaseMachines", len(effects))
	}
	if release, ok := effects[0].(ReleaseMachines); !ok || len(release.Machines) != machines/4 {
		t.Errorf("effect %T with %d machines, want %d released", effects[0], len(release.Machines), machines/4)
	}
}
