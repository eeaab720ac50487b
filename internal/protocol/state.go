package protocol

import "github.com/vmihailenco/msgpack/v5"

// Pair is a key of the state service with its value.
type Pair struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"tenancy,omitempty"`
}

// Pairs is a page of keys. Without a key, Revision alone answers.
type Pairs struct {
	Items    []Pair `msgpack:"pairs"`
	More     bool   `msgpack:"truncated"`
	Revision uint64 `msgpack:"ledger"`
}

// Cond demands that a key has a version; 0: that it does not exist.
type Cond struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"stamp"`
}

// Op puts or deletes a key.
type Op struct {
	Put    string             `msgpack:"set,omitempty"`
	Value  msgpack.RawMessage `msgpack:"data,omitempty"`
	Lease  uint64             `msgpack:"tenancy,omitempty"`
	Delete string             `msgpack:"drop,omitempty"`
}

// Txn is an atomic change.
type Txn struct {
	If   []Cond `msgpack:"if"`
	Then []Op   `msgpack:"writes"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"ttl_ms"`
}

// LeaseResult names the lease that was given.
type LeaseResult struct {
	Lease uint64 `msgpack:"tenancy"`
}

// Event is a change that a watch saw.
type Event struct {
	Put     string             `msgpack:"set"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`
	Delete  string             `msgpack:"drop"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `msgpack:"ledger"`
	Events   []Event `msgpack:"news"`
}
