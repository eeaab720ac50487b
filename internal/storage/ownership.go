package storage

import (
	"errors"
	"fmt"

	"pinebay/internal/protocol"
)

// OwnershipKey is where the record of the machines' owners lies.
const OwnershipKey = "ownership"

// OwnershipFormat is the format of the record that this version reads and writes.
const OwnershipFormat = 1

// OwnershipRecord says which controllers own machines in an epoch.
type OwnershipRecord struct {
	Format  int               `msgpack:"v"`
	Epoch   uint64            `msgpack:"epoch"`
	Term    uint64            `msgpack:"term"` // of the leader that wrote it
	Members []OwnershipMember `msgpack:"members"`
	// Reason is the verdict because of which the epoch began, with its evidence, or what else changed.
	Reason string `msgpack:"reason"`
}

// OwnershipMember is a controller that owns machines, by its incarnation.
type OwnershipMember struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack                 struct{} `msgpack:",as_array"`
	Controller               string
	Incarnation, Refutations uint64
}

var errMalformedOwnership = errors.New("ownership record out of form")

// DecodeOwnership reads and checks the record.
func DecodeOwnership(raw []byte) (*OwnershipRecord, error) {
	var head struct {
		Format int `msgpack:"v"`
	}
	if err := protocol.Decode(raw, &head); err != nil {
		return nil, fmt.Errorf("ownership record: %w", err)
	}
	if head.Format > OwnershipFormat {
		return nil, fmt.Errorf("%w: %d", ErrNewerFormat, head.Format)
	}
	var rec OwnershipRecord
	if err := protocol.Decode(raw, &rec); err != nil {
		return nil, fmt.Errorf("ownership record: %w", err)
	}
	if rec.Format != OwnershipFormat || rec.Epoch == 0 || rec.Term == 0 {
		return nil, fmt.Errorf(
			"%w: format %d, epoch %d, term %d",
			errMalformedOwnership,
			rec.Format,
			rec.Epoch,
			rec.Term,
		)
	}
	seen := map[string]bool{}
	for _, e := range rec.Members {
		if e.Controller == "" || e.Incarnation == 0 || seen[e.Controller] {
			return nil, fmt.Errorf("%w: member %q", errMalformedOwnership, e.Controller)
		}
		seen[e.Controller] = true
	}
	return &rec, nil
}
