package storage

import "pinebay/internal/protocol"

// OwnershipKey is the key of the ownership record.
const OwnershipKey = "ownership"

// OwnershipFormat is the record format that this version reads and writes.
const OwnershipFormat = 1

// OwnershipRecord lists the controllers that own shards of the machines during an epoch.
type OwnershipRecord struct {
	Format  int               `msgpack:"v"`
	Epoch   uint64            `msgpack:"epoch"`
	Term    uint64            `msgpack:"term"` // term of the leader that wrote the record
	Members []OwnershipMember `msgpack:"members"`
	// Reason is why the epoch began: the decision of the failure detector with its evidence, or another change.
	Reason string `msgpack:"reason"`
}

// OwnershipMember is an incarnation of a controller that owns a shard. It is encoded as an array.
type OwnershipMember struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack                 struct{} `msgpack:",as_array"`
	Controller               string
	Incarnation, Refutations uint64
}

// DecodeOwnership decodes and validates the ownership record.
func DecodeOwnership(raw []byte) (*OwnershipRecord, error) {
	if err := checkFormat(OwnershipKey, raw, OwnershipFormat); err != nil {
		return nil, err
	}
	var record OwnershipRecord
	if err := protocol.Decode(raw, &record); err != nil {
		return nil, decodeError(OwnershipKey, err)
	}
	if record.Epoch == 0 || record.Term == 0 {
		return nil, malformed(OwnershipKey, "invalid epoch %d or term %d", record.Epoch, record.Term)
	}
	seen := map[string]bool{}
	for _, member := range record.Members {
		if member.Controller == "" || member.Incarnation == 0 || seen[member.Controller] {
			return nil, malformed(OwnershipKey, "invalid or duplicate member %q", member.Controller)
		}
		seen[member.Controller] = true
	}
	return &record, nil
}
