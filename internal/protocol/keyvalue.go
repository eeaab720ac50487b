package protocol

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is an entry of the key-value store.
type KeyValue struct {
	Key   string             `msgpack:"path"`
	Value msgpack.RawMessage `msgpack:"data"`
	// Revision is the revision of the store at which the key was last changed, or 0 if the key does not exist.
	Revision uint64 `msgpack:"stamp"`
	// LeaseID is the lease to which the key is attached, or 0 if there is none.
	LeaseID uint64 `msgpack:"tenancy,omitempty"`
}

// KeyValuePage is one page of a list of keys. In the response about a single key that does not exist, only Revision is
// set.
type KeyValuePage struct {
	Items []KeyValue `msgpack:"pairs"`
	More  bool       `msgpack:"truncated"`
	// Revision is the revision of the store at the time of the response.
	Revision uint64 `msgpack:"ledger"`
}

// Compare is a condition of a transaction: Key must have the given Revision, or must not exist if Revision is 0.
type Compare struct {
	Key      string `msgpack:"path"`
	Revision uint64 `msgpack:"stamp"`
}

// Op is a write operation of a transaction. Exactly one of PutKey and DeleteKey is set.
type Op struct {
	PutKey string             `msgpack:"set,omitempty"`
	Value  msgpack.RawMessage `msgpack:"data,omitempty"`
	// LeaseID is the lease to which a put attaches the key. A put without a lease detaches the key from its lease.
	LeaseID   uint64 `msgpack:"tenancy,omitempty"`
	DeleteKey string `msgpack:"drop,omitempty"`
}

// Txn is a transaction: if all conditions in If hold, all operations in Then are applied at one revision, otherwise
// none is.
type Txn struct {
	If   []Compare `msgpack:"if"`
	Then []Op      `msgpack:"writes"`
}

// TxnResult is the response to a transaction. FailedKeys lists the keys whose conditions did not hold; the transaction
// was applied if and only if the list is empty.
type TxnResult struct {
	Revision   uint64   `msgpack:"ledger"`
	FailedKeys []string `msgpack:"failed"`
}

// LeaseRequest requests a lease from the key-value store.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"ttl_ms"`
}

// LeaseResult is the response to a [LeaseRequest].
type LeaseResult struct {
	LeaseID uint64 `msgpack:"tenancy"`
}

// WatchEvent is a change of a watched key. Exactly one of PutKey and DeleteKey is set.
type WatchEvent struct {
	PutKey    string             `msgpack:"set"`
	Value     msgpack.RawMessage `msgpack:"data"`
	Revision  uint64             `msgpack:"stamp"`
	DeleteKey string             `msgpack:"drop"`
}

// WatchResponse is the response to a watch request. It has all changes of the watched keys up to Revision.
type WatchResponse struct {
	Revision uint64       `msgpack:"ledger"`
	Events   []WatchEvent `msgpack:"news"`
}
