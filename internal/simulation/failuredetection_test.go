package simulation

import (
	"testing"
	"time"

	"pinebay/internal/daemon"
)

// withOwnership returns an option that enables failure detection and ownership at the controllers that the function on
// selects by index.
func withOwnership(on func(node int) bool) func(*cluster) {
	return func(c *cluster) {
		c.features = func(node int) daemon.Features { return daemon.Features{Ownership: on(node)} }
	}
}

// Texts in log lines of the failure detector.
const (
	logDetectorDecision = `msg="failure detector decision"`
	logSuspected        = "is suspected"
	logVerdict          = "decision=\"verdict"
	logReturned         = "is back as"
)

// blockLeaderLink blocks the link between the leader and one other controller in both directions.
func blockLeaderLink(c *cluster) func() {
	c.recordOccurrence("link")
	return c.isolateFrom(c.leader(), firstFollower(c))
}

// TestFailureDetection runs scenarios with real failures and with faults that only look like one, such as a blocked
// link or a slow controller. It checks the suspicions and verdicts in the log, and that no oracle finds a violation.
func TestFailureDetection(t *testing.T) {
	scenarios := []scenario{
		{
			name:        "quiet",
			controllers: 3,
			timings:     fastTimings,
			options:     []func(*cluster){withOwnership(everywhere)},
			notLogged:   []string{logSuspected, logVerdict},
		},
		{
			name:        "the leader ends",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, crashLeader(25 * s)},
				{2 * s, cancelJobs(2, 0)},
			},
			options: []func(*cluster){withOwnership(everywhere)},
			logged:  []string{logDetectorDecision, logSuspected, logVerdict, logReturned},
		},
		{
			name:        "two of five end",
			controllers: 5,
			timings:     fastTimings,
			steps: []step{
				{0, crashLeader(25 * s)},
				{50 * ms, crashLeader(25 * s)},
			},
			options: []func(*cluster){withOwnership(everywhere)},
			logged:  []string{logVerdict, logReturned},
		},
		{
			name:        "the leader is cut off from the others",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(25*s, isolateLeader)},
				{5 * s, cancelJobs(3, 0)},
			},
			options: []func(*cluster){withOwnership(everywhere)},
			logged:  []string{logVerdict, logReturned},
		},
		{
			name:        "one link is cut",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(30*s, blockLeaderLink)},
				{5 * s, cancelJobs(2, 0)},
			},
			options:   []func(*cluster){withOwnership(everywhere)},
			logged:    []string{logSuspected, "it was reached through"},
			notLogged: []string{logVerdict},
		},
		{
			name:        "a slow controller",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(40*s, slowController(200*ms, firstFollower))},
			},
			options:   []func(*cluster){withOwnership(everywhere)},
			notLogged: []string{logVerdict},
		},
		{
			name:        "all end",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, crashAllControllers(2 * s)},
			},
			options:   []func(*cluster){withOwnership(everywhere)},
			notLogged: []string{logVerdict},
		},
		{
			name:        "the state service is out",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, during(30*s, storeOutage)},
				{5 * s, crashLeader(20 * s)},
			},
			options: []func(*cluster){withOwnership(everywhere)},
			logged:  []string{logVerdict},
		},
		{
			name:        "on at one of three only",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, crashLeader(25 * s)},
				{30 * s, crashLeader(10 * s)},
			},
			options:   []func(*cluster){withOwnership(func(node int) bool { return node == 1 })},
			notLogged: []string{logVerdict},
		},
		{
			name:        "off",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, crashLeader(25 * s)},
			},
			options:   []func(*cluster){withOwnership(func(int) bool { return false })},
			notLogged: []string{logDetectorDecision},
		},
	}
	runScenarios(t, 700, scenarios, func(c *cluster, x *scenario) {
		c.startJobs(9)
		time.Sleep(60 * s) // until all controllers count toward a majority
		c.runSteps(x.steps)
		time.Sleep(4 * time.Minute)
		c.checkAllServed()
		c.checkLog(x)
	})
}
