package failuredetector

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass. The caller sends one every TickInterval; lateness is measured, and taken
	// into account when peers are judged.
	Tick struct{}

	// PeerHeartbeat is a heartbeat of a peer, or its answer to ours.
	PeerHeartbeat struct {
		Peer        string
		Incarnation Incarnation
		HealthScore int
		// Voting says whether the peer counts for quorums.
		Voting bool
		// Opinions is what the peer holds of the other controllers.
		Opinions map[string]Opinion
	}

	// ProbeResult is the outcome of a probe of Target through a peer. A probe that the peer did not
	// answer has no result.
	ProbeResult struct {
		Target, Through string
		Reached         bool
	}
)

// Effect is an output of Step.
type Effect interface{ effect() }

// Effects.
type (
	// Probe asks that the target be probed through each of the peers, in the background.
	Probe struct {
		Target  string
		Through []string
	}

	// DecisionMade reports a decision. A Verdict must be passed on to the ownership.
	DecisionMade struct{ Decision Decision }
)

func (Tick) event()          {}
func (PeerHeartbeat) event() {}
func (ProbeResult) event()   {}

func (Probe) effect()        {}
func (DecisionMade) effect() {}
