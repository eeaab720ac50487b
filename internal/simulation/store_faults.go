package simulation

import (
	"time"

	"pinebay/internal/protocol"
)

// Outcome determines what the store does with a transaction. The zero Outcome applies it at once and never answers it.
type Outcome struct {
	// Reply makes the store answer the transaction.
	Reply bool
	// Delay is the time before the answer is sent. Without Reply, it is the time before the transaction is applied.
	Delay time.Duration
	// Rejected makes the store reject the transaction as malformed, without applying it.
	Rejected bool
}

// SetOutcomes sets the function that decides the outcome of each transaction that a host sends. With nil, every
// transaction is applied and answered at once.
func (s *Store) SetOutcomes(decide func(host string, txn *protocol.Txn) Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decideOutcome = decide
}

// outcomeOf returns the outcome of a transaction.
func (s *Store) outcomeOf(host string, txn *protocol.Txn) Outcome {
	s.mu.Lock()
	decide := s.decideOutcome
	s.mu.Unlock()
	if decide == nil {
		return Outcome{Reply: true}
	}
	return decide(host, txn)
}

// SetOutage begins or ends an outage for all hosts. The end of an outage renews all leases.
func (s *Store) SetOutage(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Unavailable && !unavailable {
		for _, l := range s.leases {
			l.end = s.now + l.ttl
		}
	}
	s.Unavailable = unavailable
	s.notifyWatches()
}

// SetRefused begins or ends the refusal of all requests of one host. Leases of that host may expire meanwhile.
func (s *Store) SetRefused(host string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = refused
	s.notifyWatches()
}

// serves reports whether the store accepts requests of a host.
func (s *Store) serves(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.Unavailable && !s.refused[host]
}
