package simulation

import (
	"testing"
	"time"

	"pinebay/internal/daemon"
)

// ownershipOn turns suspicions on for the controllers that the function names.
func ownershipOn(on func(node int) bool) func(*live) {
	return func(l *live) {
		l.features = func(node int) daemon.Features { return daemon.Features{Ownership: on(node)} }
	}
}

// Lines of the log.
const (
	isSuspected = "is suspected"
	isVerdict   = "decision=\"verdict"
	isBack      = "is back as"
)

// linkCut cuts the leader and one other controller from each other.
func linkCut(l *live) func() {
	l.note("link")
	return l.apart(l.leader(), aFollower(l))
}

// TestSuspicions plays failures, and what only looks like one, on real controllers under all oracles:
// the log tells suspicions and verdicts, and nothing else follows from them.
func TestSuspicions(t *testing.T) {
	for i, x := range []struct {
		name        string
		controllers int
		steps       []step
		on          func(int) bool
		told        []string
		untold      []string
	}{
		{"quiet", 3, nil, everywhere, nil, []string{isSuspected, isVerdict}},
		{"the leader ends", 3, []step{{0, crashLeader(25 * s)}, {2 * s, cancels(2, 0)}}, everywhere, []string{isSuspected, isVerdict, isBack}, nil},
		{"two of five end", 5, []step{{0, crashLeader(25 * s)}, {50 * ms, crashLeader(25 * s)}}, everywhere, []string{isVerdict, isBack}, nil},
		{"the leader is cut off from the others", 3, []step{{0, during(25*s, leaderApart)}, {5 * s, cancels(3, 0)}}, everywhere, []string{isVerdict, isBack}, nil},
		{"one link is cut", 3, []step{{0, during(30*s, linkCut)}, {5 * s, cancels(2, 0)}}, everywhere, []string{isSuspected, "it was reached through"}, []string{isVerdict}},
		{"a slow controller", 3, []step{{0, during(40*s, slowController(200*ms, aFollower))}}, everywhere, nil, []string{isVerdict}},
		{"all end", 3, []step{{0, crashAll(2 * s)}}, everywhere, nil, []string{isVerdict}},
		{"the state service is out", 3, []step{{0, during(30*s, outage)}, {5 * s, crashLeader(20 * s)}}, everywhere, []string{isVerdict}, nil},
		{"on at one of three only", 3, []step{{0, crashLeader(25 * s)}, {30 * s, crashLeader(10 * s)}}, func(node int) bool { return node == 1 }, nil, []string{isVerdict}},
		{"off", 3, []step{{0, crashLeader(25 * s)}}, func(int) bool { return false }, nil, []string{"msg=suspicion"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			play(t, uint64(700+i), x.controllers, brisk, func(l *live) {
				l.settle(9)
				time.Sleep(60 * s) // until all count for majorities
				l.playSteps(x.steps)
				time.Sleep(4 * time.Minute)
				l.calm()
				for _, line := range x.told {
					if l.logCount(line) == 0 {
						t.Errorf("the log does not say %q", line)
					}
				}
				for _, line := range x.untold {
					if l.logCount(line) > 0 {
						t.Errorf("the log says %q", line)
					}
				}
			}, ownershipOn(x.on))
		})
	}
}
