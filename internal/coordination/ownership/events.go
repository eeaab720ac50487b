package ownership

import "pinebay/internal/coordination/failuredetector"

// Event is an input to Assigner.Step.
type Event interface{ event() }

// Events that Step accepts.
type (
	// Tick reports that time has passed. The caller sends one every TickInterval.
	Tick struct{}

	// PeerHeartbeat reports a peer's heartbeat with its incarnation, and whether the peer can own machines.
	PeerHeartbeat struct {
		Member Member
		CanOwn bool
	}

	// Verdict reports that a quorum considers an incarnation of a controller failed, and why.
	Verdict struct {
		Member Member
		Reason string
	}

	// LocalIncarnation reports the incarnation of this controller.
	LocalIncarnation struct{ Incarnation failuredetector.Incarnation }

	// Leadership reports whether this controller is the leader, has read the records, and may use ownership.
	Leadership struct{ Leading bool }

	// RecordRead reports the record that the store holds, or the zero Record if there is none.
	RecordRead struct{ Record Record }

	// WriteDone reports that a WriteRecord has ended, successfully or not. Which record is current is reported by
	// RecordRead.
	WriteDone struct{}
)

// Effect is an output of Assigner.Step.
type Effect interface{ effect() }

// Effects that Step returns.
type (
	// WriteRecord requests that the record be replaced, provided that its key still has the given revision and that
	// this controller is still the leader. The caller must respond with exactly one WriteDone.
	WriteRecord struct{ Record Record }

	// AdoptRecord reports that a record is authoritative from now on.
	AdoptRecord struct{ Record Record }
)

func (Tick) event()             {}
func (PeerHeartbeat) event()    {}
func (Verdict) event()          {}
func (LocalIncarnation) event() {}
func (Leadership) event()       {}
func (RecordRead) event()       {}
func (WriteDone) event()        {}

func (WriteRecord) effect() {}
func (AdoptRecord) effect() {}
