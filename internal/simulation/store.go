// Package simulation holds small models of the state service, the cloud and the
// workers, written from the published protocol alone. Tests run the daemon's
// parts against them, with time given from outside.
package simulation

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"
	"golang.org/x/time/rate"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

// Store is a state service.
type Store struct {
	mu          sync.Mutex
	revision    uint64
	keys        *btree.Map[string, entry]
	leases      map[uint64]*lease
	lastLeaseID uint64
	now         time.Duration
	events      []event
	// Unavailable makes every request answer 503.
	Unavailable bool
	// MaxValue, if set, is the most bytes of a value in JSON.
	MaxValue int
	// Oversized counts values that were refused for their size.
	Oversized     int
	decideOutcome func(host string, t *protocol.Txn) Outcome
	refused       map[string]bool // hosts that alone get no service
	changed       chan struct{}   // closed when something has changed
	limits        *storeLimits    // nil: none
	usage         StoreUsage
}

// StoreUsage counts what was asked of a state service.
type StoreUsage struct {
	Requests, Writes, Refused int
	TooLarge                  int // transactions that were refused for their size
	Keys                      int // at this moment
}

// Usage returns what was asked of the state service so far.
func (s *Store) Usage() StoreUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	use := s.usage
	use.Keys = s.keys.Len()
	return use
}

// storeLimits are the limits that the protocol names, with bursts of a second's worth.
type storeLimits struct {
	requests, writes *rate.Limiter
	operations       int // puts and deletes of a transaction
	valueBytes       int
}

// SetLimits has the state service keep to the limits of the settings.
func (s *Store) SetLimits(cfg config.StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &storeLimits{
		requests:   rate.NewLimiter(rate.Limit(cfg.RPS), int(cfg.RPS)),
		writes:     rate.NewLimiter(rate.Limit(cfg.WriteRPS), int(cfg.WriteRPS)),
		operations: cfg.TxnOps, valueBytes: int(cfg.ValueKB * 1024),
	}
}

// admitRequest counts a request, and says whether it is within the limit.
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

// admitWrites counts the writes of a transaction, and says whether they are within the limit.
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

// wellFormed says whether a transaction keeps to the limits on its size.
func (s *Store) wellFormed(t *protocol.Txn) bool {
	s.mu.Lock()
	limits := s.limits
	s.mu.Unlock()
	if limits == nil {
		return true
	}
	if limits.allow(t) {
		return true
	}
	s.mu.Lock()
	s.usage.TooLarge++
	s.mu.Unlock()
	return false
}

// allow says whether a transaction keeps to the limits on its size.
func (limits *storeLimits) allow(t *protocol.Txn) bool {
	if len(t.Then) > limits.operations || len(t.If) > 4*limits.operations {
		return false
	}
	for i := range t.Then {
		// MessagePack is shorter than JSON, in which the limit counts: most values need no second look.
		if v := t.Then[i].Value; len(v) > limits.valueBytes/4 && jsonSize(v) > limits.valueBytes {
			return false
		}
	}
	return true
}

// Outcome is what becomes of a transaction.
type Outcome struct {
	Delay    time.Duration // so much later it is answered or, without an answer, carried out
	Reply    bool
	Rejected bool // it is refused for its form
}

type lease struct{ ttl, end time.Duration }

type event struct {
	revision uint64
	change   protocol.WatchEvent
	key      string
}

// NewStore returns an empty state service.
func NewStore() *Store {
	return &Store{
		keys:    &btree.Map[string, entry]{},
		leases:  map[uint64]*lease{},
		refused: map[string]bool{},
		changed: make(chan struct{}),
	}
}

// notifyWatches wakes open watches; s.mu is held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetOutage begins or ends an outage for all. After one, leases have their full time
// again.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Unavailable && !down {
		for _, l := range s.leases {
			l.end = s.now + l.ttl
		}
	}
	s.Unavailable = down
	s.notifyWatches()
}

// SetRefused begins or ends the refusal of one host alone; its leases run out.
func (s *Store) SetRefused(host string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = refuse
	s.notifyWatches()
}

func (s *Store) serves(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.Unavailable && !s.refused[host]
}

// Advance sets the time and ends leases that are due.
func (s *Store) Advance(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if s.Unavailable {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now >= s.leases[id].end {
			s.endLease(id)
		}
	}
}

// endLease ends a lease, with the keys attached to it; s.mu is held.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	s.keys.Scan(func(key string, e entry) bool {
		if e.lease == id {
			attached = append(attached, key)
		}
		return true
	})
	for _, key := range attached {
		s.revision++
		s.removeKey(key)
	}
	s.notifyWatches()
}

func (s *Store) removeKey(key string) {
	s.keys.Delete(key)
	s.appendEvent(event{s.revision, protocol.WatchEvent{DeleteKey: key, Revision: s.revision}, key})
}

// maxEvents is how many changes the service keeps, by the protocol.
const maxEvents = 10_000

// appendEvent keeps a change for watches; the oldest are dropped a run at a time.
func (s *Store) appendEvent(e event) {
	s.events = append(s.events, e)
	if len(s.events) >= 2*maxEvents {
		s.events = append([]event{}, s.events[len(s.events)-maxEvents:]...)
	}
}

// compacted says whether changes after a revision are no longer kept.
func (s *Store) compacted(rev uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) >= maxEvents && rev+1 < s.events[0].revision
}

// Get reads a key; a version of 0 means that there is none.
func (s *Store) Get(key string) protocol.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.keys.Get(key)
	return protocol.KeyValue{Key: key, Value: e.value, Revision: e.revision, LeaseID: e.lease}
}

// List returns all keys with a prefix, and the revision.
func (s *Store) List(prefix string) ([]protocol.KeyValue, uint64) {
	pairs, _, rev := s.page(prefix, "", int(^uint(0)>>1), int(^uint(0)>>1))
	return pairs, rev
}

// page returns keys with a prefix that come after another one, up to a number and a size,
// and whether there are more.
func (s *Store) page(prefix, from string, most, bytes int) (pairs []protocol.KeyValue, more bool, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	s.keys.Ascend(max(prefix, from), func(key string, e entry) bool {
		switch {
		case key == from && from != "":
			return true
		case !strings.HasPrefix(key, prefix):
			return false
		case len(pairs) >= most, len(pairs) > 0 && size+len(e.value) > bytes:
			more = true
			return false
		}
		size += len(key) + len(e.value)
		pairs = append(pairs, protocol.KeyValue{Key: key, Value: e.value, Revision: e.revision})
		return true
	})
	return pairs, more, s.revision
}

// ChangesSince returns the changes after a revision.
func (s *Store) ChangesSince(prefix string, rev uint64) ([]protocol.WatchEvent, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []protocol.WatchEvent
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].revision > rev })
	for _, e := range s.events[i:] {
		if strings.HasPrefix(e.key, prefix) {
			out = append(out, e.change)
		}
	}
	return out, s.revision
}

// GrantLease gives a lease.
func (s *Store) GrantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, s.now + ttl}
	return s.lastLeaseID
}

// Txn carries out a transaction; failed is empty when it was applied.
func (s *Store) Txn(t protocol.Txn) (rev uint64, failed []string, noLease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range t.Then {
		if _, ok := s.leases[op.LeaseID]; op.LeaseID != 0 && !ok {
			return 0, nil, true
		}
	}
	for _, c := range t.If {
		if e, _ := s.keys.Get(c.Key); e.revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return s.revision, failed, false
	}
	if len(t.Then) > 0 {
		s.revision++
		defer s.notifyWatches()
	}
	for _, op := range t.Then {
		if op.DeleteKey != "" {
			if _, ok := s.keys.Get(op.DeleteKey); ok {
				s.removeKey(op.DeleteKey)
			}
			continue
		}
		if s.MaxValue > 0 && jsonSize(op.Value) > s.MaxValue {
			s.Oversized++
		}
		s.keys.Set(op.PutKey, entry{op.Value, s.revision, op.LeaseID})
		s.appendEvent(
			event{s.revision, protocol.WatchEvent{PutKey: op.PutKey, Value: op.Value, Revision: s.revision}, op.PutKey},
		)
	}
	return s.revision, nil, false
}

// jsonSize is the size of a value as the limits count it.
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

// renewLease extends or ends a lease, and says whether it was there.
func (s *Store) renewLease(id uint64, extend bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	if extend {
		l.end = s.now + l.ttl
	} else {
		s.endLease(id)
	}
	return true
}

// SetOutcomes replaces what decides on transactions; nil carries all of them out.
func (s *Store) SetOutcomes(f func(host string, t *protocol.Txn) Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decideOutcome = f
}
