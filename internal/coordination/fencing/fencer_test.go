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

// machineList is a machine list with everything running but "starting" and "failed".
func machineList(names ...string) MachinesListed {
	var l MachinesListed
	for _, n := range names {
		state := protocol.MachineRunning
		switch n {
		case "starting":
			state = protocol.MachineStarting
		case "failed":
			state = protocol.MachineFailed
		}
		l.Machines = append(l.Machines, protocol.ListedMachine{Name: n, State: state})
	}
	return l
}

// asksForMachines says whether the monitor asks for the machine list.
func asksForMachines(m *Fencer, now time.Duration, a Assessment) bool {
	return slices.Contains(m.Step(now, a), Effect(ListMachines{}))
}

// TestReleaseWaitsForGracePeriodAndIntent: machines are fenced only after a spell without a leader that is
// long enough for healthy ones to be heard, and only if a cancellation may be due.
func TestReleaseWaitsForGracePeriodAndIntent(t *testing.T) {
	for _, row := range []struct {
		name string
		a    Assessment
		want bool
	}{
		{"forgetful", Assessment{Leaderless: true, Recovering: true}, true},
		{"an old intent", Assessment{Leaderless: true, HasIntent: true, OldestIntentAt: testGracePeriod + time.Second - testMinIntentAge}, true},
		{"a young intent", Assessment{Leaderless: true, HasIntent: true, OldestIntentAt: testGracePeriod + 2*time.Second - testMinIntentAge}, false},
		{"no intent", Assessment{Leaderless: true}, false},
		{"a leader", Assessment{Recovering: true, HasIntent: true}, false},
	} {
		m := newTestFencer()
		if asksForMachines(m, time.Second, row.a) {
			t.Errorf("%s: due at once", row.name)
		}
		if asksForMachines(m, testGracePeriod, row.a) {
			t.Errorf("%s: due before the grace is over", row.name)
		}
		if got := asksForMachines(m, testGracePeriod+time.Second, row.a); got != row.want {
			t.Errorf("%s: due %v, want %v", row.name, got, row.want)
		}
	}
}

// TestLeaderResetsGracePeriod: a leader in between ends the spell, and lists and
// answers that were asked for before it release nothing.
func TestLeaderResetsGracePeriod(t *testing.T) {
	m := newTestFencer()
	orphaned := Assessment{Leaderless: true, Recovering: true}
	m.Step(0, orphaned)
	if !asksForMachines(m, testGracePeriod, orphaned) {
		t.Fatal("not due")
	}
	m.Step(testGracePeriod+1, Assessment{})
	if out := m.Step(testGracePeriod+2, machineList("m1")); out != nil {
		t.Errorf("a list of before the leader leads to %v", out)
	}
	if out := m.Step(testGracePeriod+2, SilenceConfirmed{Machines: []string{"m1"}}); out != nil {
		t.Errorf("an answer of before the leader leads to %v", out)
	}
	if asksForMachines(m, testGracePeriod+3, orphaned) {
		t.Error("due at once after a leader")
	}
}

// TestStaleHeartbeatsAreIgnored: a machine that hangs is not heard because a copy of an
// older report arrives.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	m := newTestFencer()
	m.Step(0, Assessment{Leaderless: true, Recovering: true})
	m.Step(time.Second, HeartbeatReceived{&protocol.WorkerHeartbeat{Machine: "m1", Incarnation: 2, Sequence: 7}})
	m.Step(2*testGracePeriod, HeartbeatReceived{&protocol.WorkerHeartbeat{Machine: "m1", Incarnation: 2, Sequence: 7}})
	m.Step(2*testGracePeriod, HeartbeatReceived{&protocol.WorkerHeartbeat{Machine: "m1", Incarnation: 1, Sequence: 9}})
	m.Step(2*testGracePeriod, Assessment{Leaderless: true, Recovering: true})
	out := m.Step(2*testGracePeriod, machineList("m1"))
	if len(out) != 1 || !slices.Equal(out[0].(QueryPeers).Machines, []string{"m1"}) {
		t.Errorf("a machine with old copies leads to %v", out)
	}
}

// TestOnlySilentMachinesAreReleased draws reports, peers' answers, lists and releases, and
// checks that what is released has been silent for the grace, runs as far as the list
// says, and is released once.
func TestOnlySilentMachinesAreReleased(t *testing.T) {
	names := []string{"m1", "m2", "m3", "starting", "failed"}
	released := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newTestFencer()
		now := time.Duration(0)
		last := map[string]time.Duration{}
		gone := map[string]bool{}
		sequence := uint64(0)
		since := time.Duration(-1)
		handle := func(out []Effect) {
			for _, effect := range out {
				switch e := effect.(type) {
				case QueryPeers:
					if now-since < testGracePeriod {
						t.Fatalf("asks %v after a spell, %v after its start", now-since, since)
					}
				case ReleaseMachines:
					for _, name := range e.Machines {
						at, heard := last[name]
						if name == "starting" || name == "failed" || gone[name] || heard && now-at <= testGracePeriod ||
							now-since < testGracePeriod {
							t.Fatalf("%s released at %v, heard %v at %v, spell from %v", name, now, heard, at, since)
						}
						released++
					}
					m.Step(now, MachinesReleased(e))
					for _, name := range e.Machines {
						gone[name] = true
					}
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				leaderless := rapid.IntRange(0, 19).Draw(t, "leader") > 0
				if !leaderless {
					since = -1
				} else if since < 0 {
					since = now
				}
				handle(m.Step(now, Assessment{Leaderless: leaderless, Recovering: true}))
			case 1:
				name := rapid.SampledFrom(names).Draw(t, "machine")
				sequence++
				last[name] = now
				handle(
					m.Step(
						now,
						HeartbeatReceived{&protocol.WorkerHeartbeat{Machine: name, Incarnation: 1, Sequence: sequence}},
					),
				)
			case 2:
				for _, effect := range m.Step(now, machineList(names...)) {
					silent := effect.(QueryPeers).Machines
					handle([]Effect{effect})
					if rapid.Bool().Draw(t, "a report meanwhile") {
						sequence++
						last[silent[0]] = now
						m.Step(
							now,
							HeartbeatReceived{
								&protocol.WorkerHeartbeat{Machine: silent[0], Incarnation: 1, Sequence: sequence},
							},
						)
					}
					handle(m.Step(now, SilenceConfirmed{Machines: silent}))
				}
			case 3:
				reply := make(chan []string, 1)
				for _, effect := range m.Step(now, PeerQuery{Machines: names, Reply: reply}) {
					for _, name := range effect.(AnswerPeer).Heard {
						if at, heard := last[name]; !heard || now-at > testGracePeriod {
							t.Fatalf("%s is called heard at %v", name, now)
						}
					}
				}
			}
		}
	})
	if released == 0 {
		t.Error("nothing was ever released: the test shows nothing")
	}
}

// TestUnansweredPeerDefersRelease: a peer that counts and does not answer puts a release
// off, since machines may report to it alone; one that is gone does not.
func TestUnansweredPeerDefersRelease(t *testing.T) {
	machines := []string{"a", "b", "c"}
	for _, row := range []struct {
		name    string
		answers []PeerReply
		silent  []string
		certain bool
	}{
		{"all answer", []PeerReply{{Answered: true, Heard: []string{"b"}, InQuorum: true}, {Answered: true}}, []string{"a", "c"}, true},
		{"a peer is gone", []PeerReply{{Answered: true, Heard: []string{"a"}}, {}}, []string{"b", "c"}, true},
		{"a peer that counts misses it", []PeerReply{{Answered: true, Heard: []string{"a"}}, {InQuorum: true}}, nil, false},
		{"part of its answer", []PeerReply{{Heard: []string{"a"}, InQuorum: true}}, nil, false},
	} {
		if silent, certain := StillSilent(
			machines,
			row.answers,
		); certain != row.certain ||
			!slices.Equal(silent, row.silent) {
			t.Errorf("%s: %v %v, want %v %v", row.name, silent, certain, row.silent, row.certain)
		}
	}
}

// TestManySilentMachines: of thousands of machines just those are asked about that are not heard here,
// and just those returned that no peer hears either.
func TestManySilentMachines(t *testing.T) {
	const machines = 4000
	m := newTestFencer()
	var names []string
	for i := range machines {
		names = append(names, fmt.Sprintf("m%05d", i))
	}
	assessed := Assessment{Leaderless: true, HasIntent: true}
	m.Step(0, assessed)
	now := m.timing.GracePeriod + m.timing.MinIntentAge
	for i := 0; i < machines; i += 2 {
		m.Step(
			now,
			HeartbeatReceived{Heartbeat: &protocol.WorkerHeartbeat{Machine: names[i], Incarnation: 1, Sequence: 1}},
		)
	}
	if effects := m.Step(now, assessed); len(effects) != 1 {
		t.Fatalf("%v", effects)
	}
	effects := m.Step(now, machineList(names...))
	if len(effects) != 1 {
		t.Fatalf("%d effects", len(effects))
	}
	asked := effects[0].(QueryPeers).Machines
	if len(asked) != machines/2 {
		t.Fatalf("asked about %d machines, want %d", len(asked), machines/2)
	}
	var heard []string // by one peer a fourth of all, by another the first of them again
	for i := 1; i < machines; i += 4 {
		heard = append(heard, names[i])
	}
	silent, certain := StillSilent(
		asked,
		[]PeerReply{{Answered: true, Heard: heard}, {Answered: true, Heard: heard[:1]}},
	)
	if !certain || len(silent) != machines/4 {
		t.Fatalf("%d are silent, want %d", len(silent), machines/4)
	}
	returned := 0
	for _, e := range m.Step(now, SilenceConfirmed{Machines: silent}) {
		returned += len(e.(ReleaseMachines).Machines)
	}
	if returned != machines/4 {
		t.Errorf("%d are returned, want %d", returned, machines/4)
	}
}
