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
)

// MeshMessage is a frame between controllers. Numbers name its fields, so that
// a beat stays small.
type MeshMessage struct {
	Version int        `cbor:"1,keyasint"`
	Kind    int        `cbor:"2,keyasint"`
	ID      uint64     `cbor:"3,keyasint"`
	From    string     `cbor:"4,keyasint"`
	Term    uint64     `cbor:"5,keyasint,omitempty"`
	Leader  string     `cbor:"6,keyasint,omitempty"`
	StateOK bool       `cbor:"7,keyasint,omitempty"`
	Job     string     `cbor:"8,keyasint,omitempty"`
	Status  *JobStatus `cbor:"9,keyasint,omitempty"`
	// Body is a report, or the answer to one, as the worker's interface has it.
	Body []byte `cbor:"10,keyasint,omitempty"`
}

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
	if m.Kind < MeshBeat || m.Kind > MeshReport || m.From == "" {
		return nil, fmt.Errorf("%w: mesh kind %d from %q", ErrMalformed, m.Kind, m.From)
	}
	return &m, nil
}
