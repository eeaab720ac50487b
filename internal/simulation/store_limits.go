package simulation

import (
	"encoding/json"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

const (
	// comparesPerOp is the ratio of the limit on comparisons of a transaction to the limit on its operations.
	comparesPerOp = 4
	// maxJSONGrowth is the maximum ratio of the size of a value in JSON to its size in MessagePack.
	maxJSONGrowth = 4
	bytesPerKB    = 1024
)

// StoreUsage counts the requests to a store and its keys.
type StoreUsage struct {
	// Requests counts all requests except those of hosts that the store is unavailable to, Writes the operations of
	// transactions that were admitted, and Refused the requests that were rejected because of a rate limit.
	Requests, Writes, Refused int
	// TooLarge is the number of transactions that were rejected for their size.
	TooLarge int
	// Keys is the current number of keys.
	Keys int
}

// Usage returns the counts so far.
func (s *Store) Usage() StoreUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := s.usage
	usage.Keys = s.keys.Len()
	return usage
}

// storeLimits are the limits that the store enforces. Rate limits allow bursts of as many requests as one second
// allows.
type storeLimits struct {
	requests, writes *rate.Limiter
	operations       int // per transaction
	valueBytes       int
}

// SetLimits makes the store enforce limits. A store has no limits until it is called.
func (s *Store) SetLimits(limits config.StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &storeLimits{
		requests:   rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS)),
		writes:     rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS)),
		operations: limits.TxnOps,
		valueBytes: int(limits.ValueKB * bytesPerKB),
	}
}

// admitRequest counts a request and reports whether it is within the rate limit.
func (s *Store) admitRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Requests++
	ok := s.limits == nil || s.limits.requests.Allow()
	if !ok {
		s.usage.Refused++
	}
	return ok
}

// admitWrites reports whether the n operations of a transaction are within the rate limit, and counts them if they are.
func (s *Store) admitWrites(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.limits == nil || n == 0 || s.limits.writes.AllowN(time.Now(), n)
	if ok {
		s.usage.Writes += n
	} else {
		s.usage.Refused++
	}
	return ok
}

// withinSize reports whether a transaction is within the size limits, and counts it if it is not.
func (s *Store) withinSize(txn *protocol.Txn) bool {
	s.mu.Lock()
	limits := s.limits
	s.mu.Unlock()
	if limits == nil || limits.allow(txn) {
		return true
	}
	s.mu.Lock()
	s.usage.TooLarge++
	s.mu.Unlock()
	return false
}

// allow reports whether a transaction is within the size limits.
func (limits *storeLimits) allow(txn *protocol.Txn) bool {
	if len(txn.Then) > limits.operations || len(txn.If) > comparesPerOp*limits.operations {
		return false
	}
	for i := range txn.Then {
		// The limit applies to the size in JSON. Most values are too short to exceed it and need not be converted.
		value := txn.Then[i].Value
		if len(value) > limits.valueBytes/maxJSONGrowth && jsonSize(value) > limits.valueBytes {
			return false
		}
	}
	return true
}

// jsonSize returns the size of a MessagePack value in JSON, which is the size that the limits apply to.
func jsonSize(raw []byte) int {
	var v any
	if err := protocol.DecodeValue(raw, &v); err != nil {
		return len(raw)
	}
	out, err := json.Marshal(v)
	if err != nil {
		return len(raw)
	}
	return len(out)
}
