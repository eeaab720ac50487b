package protocol

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key      string             `msgpack:"path"`
	Value    msgpack.RawMessage `msgpack:"data"`
	Revision uint64             `msgpack:"stamp"`
	LeaseID  uint64             `msgpack:"tenancy,omitempty"`
}

// KeyValuePage is a page of keys. Without a key, Revision alone answers.
type KeyValuePage struct {
	Items    []KeyValue `msgpack:"pairs"`
	More     bool       `msgpack:"truncated"`
	Revision uint64     `msgpack:"ledger"`
}

// Compare demands that a key has a version; 0: that it does not exist.
type Compare struct {
	Key      string `msgpack:"path"`
	Revision uint64 `msgpack:"stamp"`
}

// Op puts or deletes a key.
type Op struct {
	PutKey    string             `msgpack:"set,omitempty"`
	Value     msgpack.RawMessage `msgpack:"data,omitempty"`
	LeaseID   uint64             `msgpack:"tenancy,omitempty"`
	DeleteKey string             `msgpack:"drop,omitempty"`
}

// Txn is an atomic change.
type Txn struct {
	If   []Compare `msgpack:"if"`
	Then []Op      `msgpack:"writes"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Revision   uint64   `msgpack:"ledger"`
	FailedKeys []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"ttl_ms"`
}

// LeaseResult names the lease that was given.
type LeaseResult struct {
	LeaseID uint64 `msgpack:"tenancy"`
}

// WatchEvent is a change that a watch saw.
type WatchEvent struct {
	PutKey    string             `msgpack:"set"`
	Value     msgpack.RawMessage `msgpack:"data"`
	Revision  uint64             `msgpack:"stamp"`
	DeleteKey string             `msgpack:"drop"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64       `msgpack:"ledger"`
	Events   []WatchEvent `msgpack:"news"`
}
