package protocol

import "fmt"

// PeerProtocolVersion is refused when it differs from the receiver's.
const PeerProtocolVersion = 1

// Kinds of mesh messages.
const (
	PeerHeartbeat           = 1 // who leads, and whether the state service answers
	PeerStatusQuery         = 2 // what the leader knows of a job
	PeerReply               = 3
	PeerForwardedHeartbeat  = 4 // a worker's report, from a controller that it can reach
	PeerLiveMachinesQuery   = 5 // which of the named machines report to the receiver; the reply names those
	PeerUnchangedHeartbeats = 6 // machines whose reports an owner has answered; the reply names those to be passed on
)

// PeerMessage is a frame between controllers. Numbers name its fields, so that
// a beat stays small.
type PeerMessage struct {
	Version        int    `cbor:"1,keyasint"`
	Kind           int    `cbor:"2,keyasint"`
	ID             uint64 `cbor:"3,keyasint"`
	From           string `cbor:"4,keyasint"`
	Term           uint64 `cbor:"5,keyasint,omitempty"`
	Leader         string `cbor:"6,keyasint,omitempty"`
	StoreReachable bool   `cbor:"7,keyasint,omitempty"`
	// RenewsLeases says that the sender renews workers' leases although nobody leads.
	RenewsLeases bool       `cbor:"22,keyasint,omitempty"`
	JobID        string     `cbor:"8,keyasint,omitempty"`
	Status       *JobStatus `cbor:"9,keyasint,omitempty"`
	// JobIDs asks about several, and Statuses answers.
	JobIDs   []string    `cbor:"19,keyasint,omitempty"`
	Statuses []JobStatus `cbor:"20,keyasint,omitempty"`
	// Body is a report, or the answer to one, as the worker's interface has it.
	Body []byte `cbor:"10,keyasint,omitempty"`

	// Machines are names of machines.
	Machines []string `cbor:"21,keyasint,omitempty"`

	// What follows goes with beats and their replies. A controller of a version
	// without it sends a Life of 0, and counts for nothing that rests on intents.

	// Incarnation tells this process from earlier ones of the same name.
	Incarnation uint64 `cbor:"11,keyasint,omitempty"`
	// Recovered says that the sender has forgotten no intent that may still matter.
	Recovered bool `cbor:"12,keyasint,omitempty"`
	// Intents are the sender's, in its order, after the first Base of this life; of
	// those the first Expired are over. More says that there are others after them.
	IntentOffset   uint64               `cbor:"13,keyasint,omitempty"`
	ExpiredIntents uint64               `cbor:"18,keyasint,omitempty"`
	Intents        []CancellationIntent `cbor:"14,keyasint,omitempty"`
	MoreIntents    bool                 `cbor:"15,keyasint,omitempty"`
	// Held is how many of the receiver's intents of AckedIncarnation the sender holds.
	AckedIncarnation uint64 `cbor:"16,keyasint,omitempty"`
	AckedIntents     uint64 `cbor:"17,keyasint,omitempty"`

	// What follows is there only while suspicions are on. Incarnation and Health are the sender's, and
	// Opinions what it holds of the others.
	Refutations uint64        `cbor:"23,keyasint,omitempty"`
	HealthScore int           `cbor:"24,keyasint,omitempty"`
	Opinions    []PeerOpinion `cbor:"25,keyasint,omitempty"`
	// ProbeTarget makes a PeerStatusQuery, which every version answers, a probe: whether the receiver reaches that
	// controller, which Reached answers. Without it, from a controller without suspicions, say, a probe
	// has told nothing but that the receiver is there.
	ProbeTarget   string `cbor:"26,keyasint,omitempty"`
	TargetReached *bool  `cbor:"27,keyasint,omitempty"`

	// What follows is there only while ownership is on. Owns says that the sender can own machines; Epoch is the one
	// that the leader goes by, in its heartbeats, and the sender's, in what an owner passes on.
	CanOwn         bool   `cbor:"29,keyasint,omitempty"`
	OwnershipEpoch uint64 `cbor:"30,keyasint,omitempty"`
	// MachineIncarnations and Numbers are those of the last reports of Machines, in a PeerUnchangedHeartbeats.
	MachineIncarnations []uint64 `cbor:"31,keyasint,omitempty"`
	HeartbeatSequences  []uint64 `cbor:"32,keyasint,omitempty"`

	// FeatureLevel is the feature level that the sender speaks, in beats and their replies; versions before the
	// levels state none.
	FeatureLevel int `cbor:"28,keyasint,omitempty"`
}

// CancellationIntent says that a user is about to be told that a job is cancelled. Mark tells
// one announcement of the same job from another.
type CancellationIntent struct {
	JobID          string `cbor:"1,keyasint"`
	AnnouncementID uint64 `cbor:"2,keyasint"`
}

// Bounds of one message.
const (
	MaxIntentsPerMessage  = 256
	MaxMachinesPerMessage = 500
	// maxMachineNameBytes bounds the bytes of the names in one message, so that it fits a frame.
	maxMachineNameBytes = MaxBodyBytes / 2
)

// EncodePeerMessage returns the message as CBOR.
func EncodePeerMessage(m *PeerMessage) ([]byte, error) {
	m.Version = PeerProtocolVersion
	raw, err := cborEncMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode mesh: %w", err)
	}
	return raw, nil
}

// DecodePeerMessage reads and checks a mesh message.
func DecodePeerMessage(raw []byte) (*PeerMessage, error) {
	var m PeerMessage
	if err := cborDecMode.Unmarshal(raw, &m); err != nil {
		return nil, fmt.Errorf("%w: mesh: %w", ErrMalformed, err)
	}
	if m.Version != PeerProtocolVersion {
		return nil, fmt.Errorf("%w: mesh version %d", ErrMalformed, m.Version)
	}
	if m.Kind < PeerHeartbeat || m.Kind > PeerUnchangedHeartbeats || m.From == "" {
		return nil, fmt.Errorf("%w: mesh kind %d from %q", ErrMalformed, m.Kind, m.From)
	}
	if len(m.Machines) > MaxMachinesPerMessage {
		return nil, fmt.Errorf("%w: mesh message with %d machines", ErrMalformed, len(m.Machines))
	}
	if len(m.MachineIncarnations) != len(m.HeartbeatSequences) ||
		len(m.MachineIncarnations) > 0 && len(m.MachineIncarnations) != len(m.Machines) {
		return nil, fmt.Errorf(
			"%w: mesh message with %d machines, %d sessions and %d numbers",
			ErrMalformed,
			len(m.Machines),
			len(m.MachineIncarnations),
			len(m.HeartbeatSequences),
		)
	}
	// What is out of form must never pass for consent.
	if len(m.Intents) > MaxIntentsPerMessage ||
		m.Incarnation == 0 && (m.Recovered || len(m.Intents) > 0 || m.AckedIntents > 0) ||
		m.IntentOffset+uint64(len(m.Intents)) < m.IntentOffset ||
		m.ExpiredIntents > m.IntentOffset {
		return nil, fmt.Errorf("%w: mesh intents from %q", ErrMalformed, m.From)
	}
	for _, n := range m.Intents {
		if !ValidJobID(n.JobID) {
			return nil, fmt.Errorf("%w: mesh intent of %.80q", ErrMalformed, n.JobID)
		}
	}
	return &m, nil
}

// SplitMachineNames parts names of machines into lists that each fit one message.
func SplitMachineNames(names []string) (lists [][]string) {
	bytes, from := 0, 0
	for i, name := range names {
		if i > from && (i-from >= MaxMachinesPerMessage || bytes+len(name) > maxMachineNameBytes) {
			lists, bytes, from = append(lists, names[from:i]), 0, i
		}
		bytes += len(name)
	}
	if from < len(names) {
		lists = append(lists, names[from:])
	}
	return lists
}
