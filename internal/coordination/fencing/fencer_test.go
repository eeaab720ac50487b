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

// machineList returns a machine list on which all machines are running except "starting" and "failed".
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

// requestsMachineList reports whether the fencer requests the machine list in response to an assessment.
func requestsMachineList(f *Fencer, now time.Duration, a Assessment) bool {
	return slices.Contains(f.Step(now, a), Effect(ListMachines{}))
}

// fatalHelper is the part of *testing.T and *rapid.T that test helpers need.
type fatalHelper interface {
	Helper()
	Fatalf(format string, args ...any)
}

// requireQuery returns the machines of the QueryPeers effect, and fails the test unless that is the only effect.
func requireQuery(t fatalHelper, effects []Effect) []string {
	t.Helper()
	if len(effects) != 1 {
		t.Fatalf("%d effects, want one QueryPeers", len(effects))
	}
	query, ok := effects[0].(QueryPeers)
	if !ok {
		t.Fatalf("effect %T, want QueryPeers", effects[0])
	}
	return query.Machines
}

// TestReleaseWaitsForGracePeriodAndIntent checks that machines are released only after a grace period without a leader,
// and only if the deadline of a cancellation may be near.
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
			if requestsMachineList(f, start, test.assessment) {
				t.Error("requests the machine list at once")
			}
			if requestsMachineList(f, end-time.Second, test.assessment) {
				t.Error("requests the machine list before the end of the grace period")
			}
			if got := requestsMachineList(f, end, test.assessment); got != test.want {
				t.Errorf("requests the machine list after the grace period: %v, want %v", got, test.want)
			}
		})
	}
}

// TestLeaderResetsGracePeriod checks that the grace period starts over after there was a leader, and that machine lists
// and peer replies requested before that cause no release.
func TestLeaderResetsGracePeriod(t *testing.T) {
	f := newTestFencer()
	leaderless := Assessment{Leaderless: true, Recovering: true}
	f.Step(0, leaderless)
	if !requestsMachineList(f, testGracePeriod, leaderless) {
		t.Fatal("does not request the machine list")
	}
	f.Step(testGracePeriod+1, Assessment{})
	if effects := f.Step(testGracePeriod+2, machineList("m1")); effects != nil {
		t.Errorf("effects %v for a machine list requested before there was a leader", effects)
	}
	if effects := f.Step(testGracePeriod+2, UnreachableConfirmed{Machines: []string{"m1"}}); effects != nil {
		t.Errorf("effects %v for peer replies requested before there was a leader", effects)
	}
	if requestsMachineList(f, testGracePeriod+3, leaderless) {
		t.Error("requests the machine list right after there was a leader")
	}
}

// TestStaleHeartbeatsAreIgnored checks that a repeated older heartbeat does not make a hung machine count as alive.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	f := newTestFencer()
	const later = 2 * testGracePeriod
	f.Step(0, Assessment{Leaderless: true, Recovering: true})
	f.Step(time.Second, heartbeat("m1", 2, 7))
	f.Step(later, heartbeat("m1", 2, 7))
	f.Step(later, heartbeat("m1", 1, 9))
	f.Step(later, Assessment{Leaderless: true, Recovering: true})
	if asked := requireQuery(t, f.Step(later, machineList("m1"))); !slices.Equal(asked, []string{"m1"}) {
		t.Errorf("queries peers about %v, want m1", asked)
	}
}

// releaseModel tracks which machines a fencer is allowed to release.
type releaseModel struct {
	t               *rapid.T
	fencer          *Fencer
	now             time.Duration
	sequence        uint64
	lastHeartbeatAt map[string]time.Duration
	released        map[string]bool
	leaderlessSince time.Duration // negative while there is a leader
}

// heartbeat delivers a new heartbeat of a machine.
func (m *releaseModel) heartbeat(machine string) {
	m.sequence++
	m.lastHeartbeatAt[machine] = m.now
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

func (m *releaseModel) hasRecentHeartbeat(machine string) bool {
	at, ok := m.lastHeartbeatAt[machine]
	return ok && m.now-at <= testGracePeriod
}

// apply checks effects against the model and carries out releases.
func (m *releaseModel) apply(effects []Effect) {
	m.t.Helper()
	for _, effect := range effects {
		switch e := effect.(type) {
		case QueryPeers:
			m.requireGracePeriod()
		case ReleaseMachines:
			m.requireGracePeriod()
			for _, name := range e.Machines {
				if name == "starting" || name == "failed" || m.released[name] || m.hasRecentHeartbeat(name) {
					m.t.Fatalf("%s released at %v; last heartbeats: %v, already released: %v",
						name, m.now, m.lastHeartbeatAt, m.released)
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
		m.t.Fatalf("at %v: release is too early, without a leader since %v", m.now, m.leaderlessSince)
	}
}

// TestOnlyUnreachableMachinesAreReleased draws random heartbeats, peer queries, machine lists and releases. It checks
// that a machine is released only if it has been unreachable for the grace period and is listed as running, and only
// once.
func TestOnlyUnreachableMachinesAreReleased(t *testing.T) {
	names := []string{"m1", "m2", "m3", "starting", "failed"}
	released := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &releaseModel{
			t:               t,
			fencer:          newTestFencer(),
			lastHeartbeatAt: map[string]time.Duration{},
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
				unreachable := requireQuery(t, effects)
				m.apply(effects)
				if rapid.Bool().Draw(t, "heartbeat meanwhile") {
					m.heartbeat(unreachable[0])
				}
				m.apply(m.fencer.Step(m.now, UnreachableConfirmed{Machines: unreachable}))
			case 3:
				reply := make(chan []string, 1)
				for _, effect := range m.fencer.Step(m.now, PeerQuery{Machines: names, Reply: reply}) {
					answer, ok := effect.(AnswerPeer)
					if !ok {
						t.Fatalf("effect %T for a PeerQuery, want AnswerPeer", effect)
					}
					for _, name := range answer.LiveMachines {
						if !m.hasRecentHeartbeat(name) {
							t.Fatalf("%s is reported as having sent a recent heartbeat at %v", name, m.now)
						}
					}
				}
			}
		}
		released += len(m.released)
	})
	if released == 0 {
		t.Error("no machine was released, so the test checked nothing")
	}
}

// TestUnansweredPeerDefersRelease checks that a release is deferred while a peer in the quorum has not answered,
// because some machines may report to that peer only. A failed peer defers nothing.
func TestUnansweredPeerDefersRelease(t *testing.T) {
	machines := []string{"a", "b", "c"}
	for _, test := range []struct {
		name        string
		replies     []PeerReply
		unreachable []string
		certain     bool
	}{
		{
			name:        "all answer",
			replies:     []PeerReply{{Answered: true, LiveMachines: []string{"b"}, InQuorum: true}, {Answered: true}},
			unreachable: []string{"a", "c"},
			certain:     true,
		},
		{
			name:        "failed peer",
			replies:     []PeerReply{{Answered: true, LiveMachines: []string{"a"}}, {}},
			unreachable: []string{"b", "c"},
			certain:     true,
		},
		{
			name:    "peer in the quorum does not answer",
			replies: []PeerReply{{Answered: true, LiveMachines: []string{"a"}}, {InQuorum: true}},
		},
		{
			name:    "peer in the quorum answers in part",
			replies: []PeerReply{{LiveMachines: []string{"a"}, InQuorum: true}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			unreachable, certain := UnreachableMachines(machines, test.replies)
			if certain != test.certain || !slices.Equal(unreachable, test.unreachable) {
				t.Errorf(
					"unreachable %v, certain %v, want %v, %v",
					unreachable,
					certain,
					test.unreachable,
					test.certain,
				)
			}
		})
	}
}

// TestManyUnreachableMachines checks with thousands of machines that the peers are queried about exactly those that
// this controller has received no heartbeat from, and that exactly those are released that no peer has received one
// from either.
func TestManyUnreachableMachines(t *testing.T) {
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
	if !requestsMachineList(f, now, assessment) {
		t.Fatal("does not request the machine list")
	}
	asked := requireQuery(t, f.Step(now, machineList(names...)))
	if len(asked) != machines/2 {
		t.Fatalf("queries peers about %d machines, want %d", len(asked), machines/2)
	}
	// One peer receives heartbeats from a quarter of all machines, the other only from the first of these.
	var live []string
	for i := 1; i < machines; i += 4 {
		live = append(live, names[i])
	}
	replies := []PeerReply{{Answered: true, LiveMachines: live}, {Answered: true, LiveMachines: live[:1]}}
	unreachable, certain := UnreachableMachines(asked, replies)
	if !certain || len(unreachable) != machines/4 {
		t.Fatalf("%d machines are unreachable, want %d", len(unreachable), machines/4)
	}
	effects := f.Step(now, UnreachableConfirmed{Machines: unreachable})
	if len(effects) != 1 {
		t.Fatalf("%d effects, want one ReleaseMachines", len(effects))
	}
	if release, ok := effects[0].(ReleaseMachines); !ok || len(release.Machines) != machines/4 {
		t.Errorf("effect %T of %d machines, want ReleaseMachines of %d", effects[0], len(release.Machines), machines/4)
	}
}
