package ownership

import "pinebay/internal/coordination/failuredetector"

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass. The caller sends one every TickInterval.
	Tick struct{}

	// PeerHeartbeat is a heartbeat of a peer: its incarnation, and whether it can own machines.
	PeerHeartbeat struct {
		Member Member
		CanOwn bool
	}

	// Verdict says that a quorum holds that a controller's incarnation has failed, and why.
	Verdict struct {
		Member Member
		Reason string
	}

	// OwnIncarnation is this controller's own incarnation.
	OwnIncarnation struct{ Incarnation failuredetector.Incarnation }

	// Leadership says whether this controller leads, has read the records, and may use ownership.
	Leadership struct{ Leading bool }

	// RecordRead is the record as the store has it; the zero Record if there is none.
	RecordRead struct{ Record Record }

	// WriteDone says that a WriteRecord has ended, whether it succeeded or not: RecordRead shows
	// what is in force.
	WriteDone struct{}
)

// Effect is an output of Step.
type Effect interface{ effect() }

// Effects.
type (
	// WriteRecord asks to replace the record if its key still has the revision and this controller
	// still leads. The caller must answer with exactly one WriteDone.
	WriteRecord struct{ Record Record }

	// AdoptRecord says that a record is in force from now on.
	AdoptRecord struct{ Record Record }
)

func (Tick) event()           {}
func (PeerHeartbeat) event()  {}
func (Verdict) event()        {}
func (OwnIncarnation) event() {}
func (Leadership) event()     {}
func (RecordRead) event()     {}
func (WriteDone) event()      {}

func (WriteRecord) effect() {}
func (AdoptRecord) effect() {}
