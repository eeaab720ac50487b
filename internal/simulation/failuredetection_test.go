package simulation

import (
	"testing"
	"time"

	"pinebay/internal/daemon"
)

// withOwnership turns suspicions on for the controllers that the function names.
func withOwnership(on func(node int) bool) func(*cluster) {
	return func(l *cluster) {
		l.features = func(node int) daemon.Features { return daemon.Features{Ownership: on(node)} }
	}
}

// Lines of the log.
const (
	logSuspected = "is suspected"
	logVerdict   = "decision=\"verdict"
	logReturned  = "is back as"
)

// blockLeaderLink cuts the leader and one other controller from each other.
func blockLeaderLink(l *cluster) func() {
	l.recordOccurrence("link")
	return l.isolateFrom(l.leader(), firstFollower(l))
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
		{"quiet", 3, nil, everywhere, nil, []string{logSuspected, logVerdict}},
		{"the leader ends", 3, []step{{0, crashLeader(25 * s)}, {2 * s, cancelJobs(2, 0)}}, everywhere, []string{logSuspected, logVerdict, logReturned}, nil},
		{"two of five end", 5, []step{{0, crashLeader(25 * s)}, {50 * ms, crashLeader(25 * s)}}, everywhere, []string{logVerdict, logReturned}, nil},
		{"the leader is cut off from the others", 3, []step{{0, during(25*s, isolateLeader)}, {5 * s, cancelJobs(3, 0)}}, everywhere, []string{logVerdict, logReturned}, nil},
		{"one link is cut", 3, []step{{0, during(30*s, blockLeaderLink)}, {5 * s, cancelJobs(2, 0)}}, everywhere, []string{logSuspected, "it was reached through"}, []string{logVerdict}},
		{"a slow controller", 3, []step{{0, during(40*s, slowController(200*ms, firstFollower))}}, everywhere, nil, []string{logVerdict}},
		{"all end", 3, []step{{0, crashAllControllers(2 * s)}}, everywhere, nil, []string{logVerdict}},
		{"the state service is out", 3, []step{{0, during(30*s, storeOutage)}, {5 * s, crashLeader(20 * s)}}, everywhere, []string{logVerdict}, nil},
		{"on at one of three only", 3, []step{{0, crashLeader(25 * s)}, {30 * s, crashLeader(10 * s)}}, func(node int) bool { return node == 1 }, nil, []string{logVerdict}},
		{"off", 3, []step{{0, crashLeader(25 * s)}}, func(int) bool { return false }, nil, []string{"msg=suspicion"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, uint64(700+i), x.controllers, fastTimings, func(l *cluster) {
				l.startJobs(9)
				time.Sleep(60 * s) // until all count for majorities
				l.runSteps(x.steps)
				time.Sleep(4 * time.Minute)
				l.checkAllServed()
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
			}, withOwnership(x.on))
		})
	}
}
