package protocol

import "fmt"

// MeshVersion is refused when it differs from the receiver's.
const MeshVersion = 1

// Kinds of mesh messages.
const (
	MeshBeat   = 1 // who leads, and whether the state service answers
	MeshStatus = 2 // what the leader knows of a job
	MeshReply  = 3
	MeshReport = 4 // a worker's report, from a controller that it can reach
	MeshHeard  = 5 // which of the named machines report to the receiver; the reply names those
	MeshAlive  = 6 // machines whose reports an owner has answered; the reply names those to be passed on
)

// MeshMessage is a frame between controllers. Numbers name its fields, so that
// a beat stays small.
type MeshMessage struct {
	Version int    `cbor:"1,keyasint"`
	Kind    int    `cbor:"2,keyasint"`
	ID      uint64 `cbor:"3,keyasint"`
	From    string `cbor:"4,keyasint"`
	Term    uint64 `cbor:"5,keyasint,omitempty"`
	Leader  string `cbor:"6,keyasint,omitempty"`
	StateOK bool   `cbor:"7,keyasint,omitempty"`
	// Renews says that the sender renews workers' leases although nobody leads.
	Renews bool       `cbor:"22,keyasint,omitempty"`
	Job    string     `cbor:"8,keyasint,omitempty"`
	Status *JobStatus `cbor:"9,keyasint,omitempty"`
	// Jobs asks about several, and Statuses answers.
	Jobs     []string    `cbor:"19,keyasint,omitempty"`
	Statuses []JobStatus `cbor:"20,keyasint,omitempty"`
	// Body is a report, or the answer to one, as the worker's interface has it.
	Body []byte `cbor:"10,keyasint,omitempty"`

	// Machines are names of machines.
	Machines []string `cbor:"21,keyasint,omitempty"`

	// What follows goes with beats and their replies. A controller of a version
	// without it sends a Life of 0, and counts for nothing that rests on intents.

	// Life tells this process from earlier ones of the same name.
	Life uint64 `cbor:"11,keyasint,omitempty"`
	// Whole says that the sender has forgotten no intent that may still matter.
	Whole bool `cbor:"12,keyasint,omitempty"`
	// Intents are the sender's, in its order, after the first Base of this life; of
	// those the first Expired are over. More says that there are others after them.
	Base    uint64   `cbor:"13,keyasint,omitempty"`
	Expired uint64   `cbor:"18,keyasint,omitempty"`
	Intents []Intent `cbor:"14,keyasint,omitempty"`
	More    bool     `cbor:"15,keyasint,omitempty"`
	// Held is how many of the receiver's intents of HeldLife the sender holds.
	HeldLife uint64 `cbor:"16,keyasint,omitempty"`
	Held     uint64 `cbor:"17,keyasint,omitempty"`

	// What follows is there only while suspicions are on. Incarnation and Health are the sender's, and
	// Opinions what it holds of the others.
	Incarnation uint64        `cbor:"23,keyasint,omitempty"`
	Health      int           `cbor:"24,keyasint,omitempty"`
	Opinions    []PeerOpinion `cbor:"25,keyasint,omitempty"`
	// Target makes a MeshStatus, which every version answers, a probe: whether the receiver reaches that
	// controller, which Reached answers. Without it, from a controller without suspicions, say, a probe
	// has told nothing but that the receiver is there.
	Target  string `cbor:"26,keyasint,omitempty"`
	Reached *bool  `cbor:"27,keyasint,omitempty"`

	// What follows is there only while ownership is on. Owns says that the sender can own machines; Epoch is the one
	// that the leader goes by, in its heartbeats, and the sender's, in what an owner passes on.
	Owns  bool   `cbor:"29,keyasint,omitempty"`
	Epoch uint64 `cbor:"30,keyasint,omitempty"`
	// Sessions and Numbers are those of the last reports of Machines, in a MeshAlive.
	Sessions []uint64 `cbor:"31,keyasint,omitempty"`
	Numbers  []uint64 `cbor:"32,keyasint,omitempty"`

	// Level is the feature level that the sender speaks, in beats and their replies; versions before the
	// levels state none.
	Level int `cbor:"28,keyasint,omitempty"`
}

// Intent says that a user is about to be told that a job is cancelled. Mark tells
// one announcement of the same job from another.
type Intent struct {
	Job  string `cbor:"1,keyasint"`
	Mark uint64 `cbor:"2,keyasint"`
}

// Bounds of one message.
const (
	MaxIntents      = 256
	MaxMeshMachines = 500
	// maxMeshNames bounds the bytes of the names in one message, so that it fits a frame.
	maxMeshNames = MaxBody / 2
)

// EncodeMesh returns the message as CBOR.
func EncodeMesh(m *MeshMessage) ([]byte, error) {
	m.Version = MeshVersion
	raw, err := cborEnc.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode mesh: %w", err)
	}
	return raw, nil
}

// DecodeMesh reads and checks a mesh message.
func DecodeMesh(raw []byte) (*MeshMessage, error) {
	var m MeshMessage
	if err := cborDec.Unmarshal(raw, &m); err != nil {
		return nil, fmt.Errorf("%w: mesh: %w", ErrMalformed, err)
	}
	if m.Version != MeshVersion {
		return nil, fmt.Errorf("%w: mesh version %d", ErrMalformed, m.Version)
	}
	if m.Kind < MeshBeat || m.Kind > MeshAlive || m.From == "" {
		return nil, fmt.Errorf("%w: mesh kind %d from %q", ErrMalformed, m.Kind, m.From)
	}
	if len(m.Machines) > MaxMeshMachines {
		return nil, fmt.Errorf("%w: mesh message with %d machines", ErrMalformed, len(m.Machines))
	}
	if len(m.Sessions) != len(m.Numbers) || len(m.Sessions) > 0 && len(m.Sessions) != len(m.Machines) {
		return nil, fmt.Errorf("%w: mesh message with %d machines, %d sessions and %d numbers", ErrMalformed, len(m.Machines), len(m.Sessions), len(m.Numbers))
	}
	// What is out of form must never pass for consent.
	if len(m.Intents) > MaxIntents || m.Life == 0 && (m.Whole || len(m.Intents) > 0 || m.Held > 0) ||
		m.Base+uint64(len(m.Intents)) < m.Base || m.Expired > m.Base {
		return nil, fmt.Errorf("%w: mesh intents from %q", ErrMalformed, m.From)
	}
	for _, n := range m.Intents {
		if !ValidJobID(n.Job) {
			return nil, fmt.Errorf("%w: mesh intent of %.80q", ErrMalformed, n.Job)
		}
	}
	return &m, nil
}

// MeshMachines parts names of machines into lists that each fit one message.
func MeshMachines(names []string) (lists [][]string) {
	bytes, from := 0, 0
	for i, name := range names {
		if i > from && (i-from >= MaxMeshMachines || bytes+len(name) > maxMeshNames) {
			lists, bytes, from = append(lists, names[from:i]), 0, i
		}
		bytes += len(name)
	}
	if from < len(names) {
		lists = append(lists, names[from:])
	}
	return lists
}
