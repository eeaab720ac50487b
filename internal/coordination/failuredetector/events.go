package failuredetector

// Event is an input to Detector.Step.
type Event interface{ event() }

// Events that Step accepts.
type (
	// Tick reports that time has passed. The caller sends one every TickInterval. The detector measures the delay of
	// the ticks and takes it into account when it judges peers.
	Tick struct{}

	// PeerHeartbeat reports a heartbeat from a peer, or a peer's reply to a heartbeat of this controller.
	PeerHeartbeat struct {
		Peer        string
		Incarnation Incarnation
		HealthScore int
		// Voting reports whether the peer counts towards quorums.
		Voting bool
		// Opinions holds the peer's opinions of the other controllers.
		Opinions map[string]Opinion
	}

	// ProbeResult reports the outcome of probing Target through a peer. There is no result if the peer did not reply.
	ProbeResult struct {
		Target, Through string
		Reached         bool
	}
)

// Effect is an output of Detector.Step.
type Effect interface{ effect() }

// Effects that Step returns.
type (
	// Probe requests that the target be probed through each of the given peers, in the background.
	Probe struct {
		Target  string
		Through []string
	}

	// DecisionMade reports a decision. The caller must pass a Verdict on to the ownership assigner.
	DecisionMade struct{ Decision Decision }
)

func (Tick) event()          {}
func (PeerHeartbeat) event() {}
func (ProbeResult) event()   {}

func (Probe) effect()        {}
func (DecisionMade) effect() {}
