package fencing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

const (
	grace = 10 * time.Second
	age   = 20 * time.Second
)

func newMonitor() *Monitor {
	return New(Times{Grace: grace, Age: age, Memory: time.Minute})
}

// listed is a machine list with everything running but "starting" and "failed".
func listed(names ...string) Listed {
	var l Listed
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

// due says whether the monitor asks for the machine list.
func due(m *Monitor, now time.Duration, a Assessed) bool {
	return slices.Contains(m.Step(now, a), Effect(List{}))
}

// TestFencingWaits: machines are fenced only after a spell without a leader that is
// long enough for healthy ones to be heard, and only if a cancellation may be due.
func TestFencingWaits(t *testing.T) {
	for _, row := range []struct {
		name string
		a    Assessed
		want bool
	}{
		{"forgetful", Assessed{Leaderless: true, Forgetful: true}, true},
		{"an old intent", Assessed{Leaderless: true, Held: true, Oldest: grace + time.Second - age}, true},
		{"a young intent", Assessed{Leaderless: true, Held: true, Oldest: grace + 2*time.Second - age}, false},
		{"no intent", Assessed{Leaderless: true}, false},
		{"a leader", Assessed{Forgetful: true, Held: true}, false},
	} {
		m := newMonitor()
		if due(m, time.Second, row.a) {
			t.Errorf("%s: due at once", row.name)
		}
		if due(m, grace, row.a) {
			t.Errorf("%s: due before the grace is over", row.name)
		}
		if got := due(m, grace+time.Second, row.a); got != row.want {
			t.Errorf("%s: due %v, want %v", row.name, got, row.want)
		}
	}
}

// TestFencingStartsAnewAfterALeader: a leader in between ends the spell, and lists and
// answers that were asked for before it release nothing.
func TestFencingStartsAnewAfterALeader(t *testing.T) {
	m := newMonitor()
	orphaned := Assessed{Leaderless: true, Forgetful: true}
	m.Step(0, orphaned)
	if !due(m, grace, orphaned) {
		t.Fatal("not due")
	}
	m.Step(grace+1, Assessed{})
	if out := m.Step(grace+2, listed("m1")); out != nil {
		t.Errorf("a list of before the leader leads to %v", out)
	}
	if out := m.Step(grace+2, Confirmed{Silent: []string{"m1"}}); out != nil {
		t.Errorf("an answer of before the leader leads to %v", out)
	}
	if due(m, grace+3, orphaned) {
		t.Error("due at once after a leader")
	}
}

// TestOldCopiesAreNoSignOfLife: a machine that hangs is not heard because a copy of an
// older report arrives.
func TestOldCopiesAreNoSignOfLife(t *testing.T) {
	m := newMonitor()
	m.Step(0, Assessed{Leaderless: true, Forgetful: true})
	m.Step(time.Second, Heard{&protocol.WorkerHeartbeat{Machine: "m1", Incarnation: 2, Sequence: 7}})
	m.Step(2*grace, Heard{&protocol.WorkerHeartbeat{Machine: "m1", Incarnation: 2, Sequence: 7}})
	m.Step(2*grace, Heard{&protocol.WorkerHeartbeat{Machine: "m1", Incarnation: 1, Sequence: 9}})
	m.Step(2*grace, Assessed{Leaderless: true, Forgetful: true})
	out := m.Step(2*grace, listed("m1"))
	if len(out) != 1 || !slices.Equal(out[0].(AskPeers).Machines, []string{"m1"}) {
		t.Errorf("a machine with old copies leads to %v", out)
	}
}

// TestOnlySilentMachinesAreFenced draws reports, peers' answers, lists and releases, and
// checks that what is released has been silent for the grace, runs as far as the list
// says, and is released once.
func TestOnlySilentMachinesAreFenced(t *testing.T) {
	names := []string{"m1", "m2", "m3", "starting", "failed"}
	released := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMonitor()
		now := time.Duration(0)
		last := map[string]time.Duration{}
		gone := map[string]bool{}
		sequence := uint64(0)
		since := time.Duration(-1)
		handle := func(out []Effect) {
			for _, effect := range out {
				switch e := effect.(type) {
				case AskPeers:
					if now-since < grace {
						t.Fatalf("asks %v after a spell, %v after its start", now-since, since)
					}
				case Release:
					for _, name := range e.Machines {
						at, heard := last[name]
						if name == "starting" || name == "failed" || gone[name] || heard && now-at <= grace || now-since < grace {
							t.Fatalf("%s released at %v, heard %v at %v, spell from %v", name, now, heard, at, since)
						}
						released++
					}
					m.Step(now, Released(e))
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
				handle(m.Step(now, Assessed{Leaderless: leaderless, Forgetful: true}))
			case 1:
				name := rapid.SampledFrom(names).Draw(t, "machine")
				sequence++
				last[name] = now
				handle(m.Step(now, Heard{&protocol.WorkerHeartbeat{Machine: name, Incarnation: 1, Sequence: sequence}}))
			case 2:
				for _, effect := range m.Step(now, listed(names...)) {
					silent := effect.(AskPeers).Machines
					handle([]Effect{effect})
					if rapid.Bool().Draw(t, "a report meanwhile") {
						sequence++
						last[silent[0]] = now
						m.Step(now, Heard{&protocol.WorkerHeartbeat{Machine: silent[0], Incarnation: 1, Sequence: sequence}})
					}
					handle(m.Step(now, Confirmed{Silent: silent}))
				}
			case 3:
				reply := make(chan []string, 1)
				for _, effect := range m.Step(now, Asked{Machines: names, Reply: reply}) {
					for _, name := range effect.(Answer).Heard {
						if at, heard := last[name]; !heard || now-at > grace {
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

// TestPeerThatMissesTheQuestion: a peer that counts and does not answer puts a release
// off, since machines may report to it alone; one that is gone does not.
func TestPeerThatMissesTheQuestion(t *testing.T) {
	machines := []string{"a", "b", "c"}
	for _, row := range []struct {
		name    string
		answers []PeerAnswer
		silent  []string
		certain bool
	}{
		{"all answer", []PeerAnswer{{Answered: true, Heard: []string{"b"}, Counted: true}, {Answered: true}}, []string{"a", "c"}, true},
		{"a peer is gone", []PeerAnswer{{Answered: true, Heard: []string{"a"}}, {}}, []string{"b", "c"}, true},
		{"a peer that counts misses it", []PeerAnswer{{Answered: true, Heard: []string{"a"}}, {Counted: true}}, nil, false},
		{"part of its answer", []PeerAnswer{{Heard: []string{"a"}, Counted: true}}, nil, false},
	} {
		if silent, certain := StillSilent(machines, row.answers); certain != row.certain || !slices.Equal(silent, row.silent) {
			t.Errorf("%s: %v %v, want %v %v", row.name, silent, certain, row.silent, row.certain)
		}
	}
}

// TestManySilentMachines: of thousands of machines just those are asked about that are not heard here,
// and just those returned that no peer hears either.
func TestManySilentMachines(t *testing.T) {
	const machines = 4000
	m := newMonitor()
	var names []string
	for i := range machines {
		names = append(names, fmt.Sprintf("m%05d", i))
	}
	assessed := Assessed{Leaderless: true, Held: true}
	m.Step(0, assessed)
	now := m.times.Grace + m.times.Age
	for i := 0; i < machines; i += 2 {
		m.Step(now, Heard{Report: &protocol.WorkerHeartbeat{Machine: names[i], Incarnation: 1, Sequence: 1}})
	}
	if effects := m.Step(now, assessed); len(effects) != 1 {
		t.Fatalf("%v", effects)
	}
	effects := m.Step(now, listed(names...))
	if len(effects) != 1 {
		t.Fatalf("%d effects", len(effects))
	}
	asked := effects[0].(AskPeers).Machines
	if len(asked) != machines/2 {
		t.Fatalf("asked about %d machines, want %d", len(asked), machines/2)
	}
	var heard []string // by one peer a fourth of all, by another the first of them again
	for i := 1; i < machines; i += 4 {
		heard = append(heard, names[i])
	}
	silent, certain := StillSilent(asked, []PeerAnswer{{Answered: true, Heard: heard}, {Answered: true, Heard: heard[:1]}})
	if !certain || len(silent) != machines/4 {
		t.Fatalf("%d are silent, want %d", len(silent), machines/4)
	}
	returned := 0
	for _, e := range m.Step(now, Confirmed{Silent: silent}) {
		returned += len(e.(Release).Machines)
	}
	if returned != machines/4 {
		t.Errorf("%d are returned, want %d", returned, machines/4)
	}
}
