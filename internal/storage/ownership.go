package storage

import "pinebay/internal/protocol"

// OwnershipKey is the key of the record of the machines' owners.
const OwnershipKey = "ownership"

// OwnershipFormat is the format of the record that this version reads and writes.
const OwnershipFormat = 1

// OwnershipRecord says which controllers own shards of the machines during an epoch.
type OwnershipRecord struct {
	Format  int               `msgpack:"v"`
	Epoch   uint64            `msgpack:"epoch"`
	Term    uint64            `msgpack:"term"` // of the leader that wrote it
	Members []OwnershipMember `msgpack:"members"`
	// Reason is why the epoch began: the verdict of the failure detector with its evidence, or what else changed.
	Reason string `msgpack:"reason"`
}

// OwnershipMember is a controller that owns a shard, by its incarnation. It is stored as a list.
type OwnershipMember struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack                 struct{} `msgpack:",as_array"`
	Controller               string
	Incarnation, Refutations uint64
}

// DecodeOwnership decodes and validates the record.
func DecodeOwnership(raw []byte) (*OwnershipRecord, error) {
	if err := checkFormat(OwnershipKey, raw, OwnershipFormat); err != nil {
		return nil, err
	}
	var record OwnershipRecord
	if err := protocol.Decode(raw, &record); err != nil {
		return nil, undecodable(OwnershipKey, err)
	}
	if record.Epoch == 0 || record.Term == 0 {
		return nil, malformed(OwnershipKey, "epoch %d, term %d", record.Epoch, record.Term)
	}
	seen := map[string]bool{}
	for _, member := range record.Members {
		if member.Controller == "" || member.Incarnation == 0 || seen[member.Controller] {
			return nil, malformed(OwnershipKey, "member %q", member.Controller)
		}
		seen[member.Controller] = true
	}
	return &record, nil
}
