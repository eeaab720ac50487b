package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits that the decoder enforces on messages from other controllers.
const (
	maxCBORNesting       = 16
	maxCBORArrayElements = 1 << 16
	maxCBORMapPairs      = 1 << 10
)

var (
	cborEncMode = must(cbor.EncOptions{}.EncMode())
	cborDecMode = must(cbor.DecOptions{
		MaxNestedLevels:  maxCBORNesting,
		MaxArrayElements: maxCBORArrayElements,
		MaxMapPairs:      maxCBORMapPairs,
	}.DecMode())
)

// must returns v and panics if err is not nil. It is used for constant options only, which cannot cause an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// EncodePeerMessage sets m.Version to [PeerProtocolVersion] and returns the CBOR encoding of m.
func EncodePeerMessage(m *PeerMessage) ([]byte, error) {
	m.Version = PeerProtocolVersion
	raw, err := cborEncMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode peer message: %w", err)
	}
	return raw, nil
}

// DecodePeerMessage decodes and validates a message from another controller. It does not validate the opinions, because
// a controller may reject the opinions and still use the rest of the message (see [ValidateOpinions]).
func DecodePeerMessage(raw []byte) (*PeerMessage, error) {
	var m PeerMessage
	if err := cborDecMode.Unmarshal(raw, &m); err != nil {
		return nil, decodeError(fmt.Errorf("peer message: %w", err))
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	return &m, nil
}

func (m *PeerMessage) validate() error {
	if m.Version != PeerProtocolVersion {
		return NewMalformedError("peer message of version %d", m.Version)
	}
	if m.Kind < PeerHeartbeat || m.Kind > PeerUnchangedHeartbeats || m.From == "" {
		return NewMalformedError("peer message of kind %d from %q", m.Kind, m.From)
	}
	if err := m.validateMachines(); err != nil {
		return err
	}
	return m.validateIntents()
}

// validateMachines checks the number of machines, and that the lists of incarnations and sequences are either both
// empty or both as long as the list of machine names.
func (m *PeerMessage) validateMachines() error {
	machines, incarnations, sequences := len(m.Machines), len(m.MachineIncarnations), len(m.HeartbeatSequences)
	if machines > MaxMachinesPerMessage {
		return NewMalformedError("peer message with %d machines", machines)
	}
	if incarnations != sequences || incarnations > 0 && incarnations != machines {
		return NewMalformedError("peer message with %d machines, %d incarnations and %d sequences",
			machines, incarnations, sequences)
	}
	return nil
}

// validateIntents checks the fields that concern cancellation intents. They decide whether a controller counts toward a
// quorum, so a malformed message must never be taken for an acknowledgment.
func (m *PeerMessage) validateIntents() error {
	withoutIncarnation := m.Incarnation == 0 && (m.Recovered || len(m.Intents) > 0 || m.AckedIntents > 0)
	overflow := m.IntentOffset+uint64(len(m.Intents)) < m.IntentOffset
	if len(m.Intents) > MaxIntentsPerMessage || withoutIncarnation || overflow || m.ExpiredIntents > m.IntentOffset {
		return NewMalformedError("peer message with invalid intents from %q", m.From)
	}
	for _, intent := range m.Intents {
		if !ValidJobID(intent.JobID) {
			return NewMalformedError("peer message with an intent for %.80q", intent.JobID)
		}
	}
	return nil
}
