package simulation

import (
	"encoding/json"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

const (
	// comparesPerOp is the number of comparisons that a transaction may have for each operation that it may have.
	comparesPerOp = 4
	// maxJSONGrowth is the factor by which a value may be larger in JSON than in MessagePack.
	maxJSONGrowth = 4
	bytesPerKB    = 1024
)

// StoreUsage counts the requests to a store.
type StoreUsage struct {
	Requests, Writes, Refused int
	// TooLarge is the number of transactions that were rejected for their size.
	TooLarge int
	// Keys is the number of keys at the moment.
	Keys int
}

// Usage returns the counts of requests so far.
func (s *Store) Usage() StoreUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := s.usage
	usage.Keys = s.keys.Len()
	return usage
}

// storeLimits are the limits of the settings. Rates allow bursts of one second's worth.
type storeLimits struct {
	requests, writes *rate.Limiter
	operations       int // of a transaction
	valueBytes       int
}

// SetLimits makes the store enforce limits. Without them there are none.
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

// admitRequest counts a request, and reports whether it is within the rate.
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

// admitWrites counts the operations of a transaction, and reports whether they are within the rate.
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

// withinSize reports whether a transaction keeps to the limits on its size.
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

// allow reports whether a transaction keeps to the limits on its size.
func (limits *storeLimits) allow(txn *protocol.Txn) bool {
	if len(txn.Then) > limits.operations || len(txn.If) > comparesPerOp*limits.operations {
		return false
	}
	for i := range txn.Then {
		// The limit counts the size in JSON. Most values are too short to exceed it and need not be converted.
		value := txn.Then[i].Value
		if len(value) > limits.valueBytes/maxJSONGrowth && jsonSize(value) > limits.valueBytes {
			return false
		}
	}
	return true
}

// jsonSize returns the size of a value as the limits count it.
func jsonSize(raw []byte) int {
	var v any
	if err := protocol.DecodeAny(raw, &v); err != nil {
		return len(raw)
	}
	out, err := json.Marshal(v)
	if err != nil {
		return len(raw)
	}
	return len(out)
}
