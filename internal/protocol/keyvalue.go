package protocol

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key   string             `msgpack:"path"`
	Value msgpack.RawMessage `msgpack:"data"`
	// Revision is the store's revision at the last change of the key; 0 if the key does not exist.
	Revision uint64 `msgpack:"stamp"`
	// LeaseID is the lease that the key is attached to, or 0.
	LeaseID uint64 `msgpack:"tenancy,omitempty"`
}

// KeyValuePage is a page of a list of keys. The answer about a key that does not exist has only the revision.
type KeyValuePage struct {
	Items []KeyValue `msgpack:"pairs"`
	More  bool       `msgpack:"truncated"`
	// Revision is the store's revision at the time of the answer.
	Revision uint64 `msgpack:"ledger"`
}

// Compare is a condition of a transaction: the key must have the revision. A revision of 0 demands that the key does
// not exist.
type Compare struct {
	Key      string `msgpack:"path"`
	Revision uint64 `msgpack:"stamp"`
}

// Op is an operation of a transaction. Exactly one of PutKey and DeleteKey is set.
type Op struct {
	PutKey string             `msgpack:"set,omitempty"`
	Value  msgpack.RawMessage `msgpack:"data,omitempty"`
	// LeaseID attaches the key to a lease. A put without a lease detaches the key.
	LeaseID   uint64 `msgpack:"tenancy,omitempty"`
	DeleteKey string `msgpack:"drop,omitempty"`
}

// Txn is a transaction: if all comparisons hold, all operations are applied at one revision.
type Txn struct {
	If   []Compare `msgpack:"if"`
	Then []Op      `msgpack:"writes"`
}

// TxnResult is the answer to a transaction. It was applied unless FailedKeys lists the comparisons that did not hold.
type TxnResult struct {
	Revision   uint64   `msgpack:"ledger"`
	FailedKeys []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"ttl_ms"`
}

// LeaseResult is the answer to a LeaseRequest.
type LeaseResult struct {
	LeaseID uint64 `msgpack:"tenancy"`
}

// WatchEvent is one change of a watched key. Exactly one of PutKey and DeleteKey is set.
type WatchEvent struct {
	PutKey    string             `msgpack:"set"`
	Value     msgpack.RawMessage `msgpack:"data"`
	Revision  uint64             `msgpack:"stamp"`
	DeleteKey string             `msgpack:"drop"`
}

// WatchResponse is the answer to a watch: all changes up to Revision.
type WatchResponse struct {
	Revision uint64       `msgpack:"ledger"`
	Events   []WatchEvent `msgpack:"news"`
}
