package simulation

import (
	"time"

	"pinebay/internal/protocol"
)

// Outcome is what happens to a transaction.
type Outcome struct {
	// Reply says whether the transaction is answered.
	Reply bool
	// Delay is the time until the answer is sent, or without Reply the time until the transaction is applied.
	Delay time.Duration
	// Rejected transactions are answered as malformed and not applied.
	Rejected bool
}

// SetOutcomes sets the function that decides what happens to each transaction of a host. With nil, all are applied and
// answered at once.
func (s *Store) SetOutcomes(decide func(host string, txn *protocol.Txn) Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decideOutcome = decide
}

// outcomeOf returns what happens to a transaction.
func (s *Store) outcomeOf(host string, txn *protocol.Txn) Outcome {
	s.mu.Lock()
	decide := s.decideOutcome
	s.mu.Unlock()
	if decide == nil {
		return Outcome{Reply: true}
	}
	return decide(host, txn)
}

// SetOutage begins or ends an outage for all hosts. After an outage, all leases have their full time again.
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

// SetRefused begins or ends the refusal of one host. Its leases expire meanwhile.
func (s *Store) SetRefused(host string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = refused
	s.notifyWatches()
}

// serves reports whether a host is served.
func (s *Store) serves(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.Unavailable && !s.refused[host]
}
