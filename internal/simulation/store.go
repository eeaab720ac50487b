package simulation

import (
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"

	"pinebay/internal/protocol"
)

// maxEvents is the number of recent changes that the store keeps for watches.
const maxEvents = 10_000

// Store is a model of the key-value store. Its methods are safe for concurrent use. The exported fields must not be set
// while the store is in use.
type Store struct {
	// Unavailable makes the store reject every request with status 503.
	Unavailable bool
	// MaxValue, if set, is the size in bytes above which Oversized counts a value. Larger values are stored
	// nevertheless.
	MaxValue int
	// Oversized is the number of values that exceeded MaxValue.
	Oversized int

	mu            sync.Mutex
	now           time.Duration
	revision      uint64
	keys          *btree.Map[string, entry]
	leases        map[uint64]*lease
	lastLeaseID   uint64
	events        []event       // recent changes, sorted by revision
	changed       chan struct{} // closed when a key or the availability for a host changes
	refused       map[string]bool
	decideOutcome func(host string, txn *protocol.Txn) Outcome // nil: every transaction is applied and answered at once
	limits        *storeLimits                                 // nil: no limits
	usage         StoreUsage
}

// entry is what is stored for a key.
type entry struct {
	value    []byte
	revision uint64
	lease    uint64 // 0: not attached to a lease
}

// lease is a lease that has not expired.
type lease struct{ ttl, end time.Duration }

// event is a change of a key.
type event struct {
	revision uint64
	change   protocol.WatchEvent
	key      string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		keys:    &btree.Map[string, entry]{},
		leases:  map[uint64]*lease{},
		refused: map[string]bool{},
		changed: make(chan struct{}),
	}
}

// Advance sets the time and ends leases that have expired. Leases do not expire while the store is unavailable.
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

// GrantLease grants a lease and returns its ID.
func (s *Store) GrantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, end: s.now + ttl}
	return s.lastLeaseID
}

// renewLease extends a lease, or ends it if extend is false. It reports whether the lease existed.
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

// endLease ends a lease and removes the keys that are attached to it. The caller holds s.mu.
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

// Get returns a key with its value. The revision is 0 if the key does not exist.
func (s *Store) Get(key string) protocol.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.keys.Get(key)
	return protocol.KeyValue{Key: key, Value: e.value, Revision: e.revision, LeaseID: e.lease}
}

// List returns all keys with a prefix, and the revision of the store.
func (s *Store) List(prefix string) ([]protocol.KeyValue, uint64) {
	page := s.page(prefix, "", math.MaxInt, math.MaxInt)
	return page.Items, page.Revision
}

// page returns the keys with a prefix that come after the key from. It returns at most maxItems keys and about maxBytes
// bytes, but at least one key if there is one.
func (s *Store) page(prefix, from string, maxItems, maxBytes int) (page protocol.KeyValuePage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	s.keys.Ascend(max(prefix, from), func(key string, e entry) bool {
		switch {
		case key == from && from != "":
			return true
		case !strings.HasPrefix(key, prefix):
			return false
		case len(page.Items) >= maxItems, len(page.Items) > 0 && size+len(e.value) > maxBytes:
			page.More = true
			return false
		}
		size += len(key) + len(e.value)
		page.Items = append(page.Items, protocol.KeyValue{Key: key, Value: e.value, Revision: e.revision})
		return true
	})
	page.Revision = s.revision
	return page
}

// Txn applies a transaction if all of its comparisons hold. failed lists the keys whose comparisons do not hold.
// leaseExpired reports whether the transaction was rejected because one of its leases does not exist any more.
func (s *Store) Txn(txn protocol.Txn) (revision uint64, failed []string, leaseExpired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range txn.Then {
		if _, ok := s.leases[op.LeaseID]; op.LeaseID != 0 && !ok {
			return 0, nil, true
		}
	}
	for _, compare := range txn.If {
		if e, _ := s.keys.Get(compare.Key); e.revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	if len(failed) > 0 {
		return s.revision, failed, false
	}
	if len(txn.Then) > 0 {
		s.revision++
		defer s.notifyWatches()
	}
	for _, op := range txn.Then {
		s.apply(op)
	}
	return s.revision, nil, false
}

// apply applies an operation at the current revision. The caller holds s.mu.
func (s *Store) apply(op protocol.Op) {
	if op.DeleteKey != "" {
		if _, ok := s.keys.Get(op.DeleteKey); ok {
			s.removeKey(op.DeleteKey)
		}
		return
	}
	if s.MaxValue > 0 && jsonSize(op.Value) > s.MaxValue {
		s.Oversized++
	}
	s.keys.Set(op.PutKey, entry{value: op.Value, revision: s.revision, lease: op.LeaseID})
	s.appendEvent(op.PutKey, protocol.WatchEvent{PutKey: op.PutKey, Value: op.Value, Revision: s.revision})
}

// removeKey removes a key at the current revision. The caller holds s.mu.
func (s *Store) removeKey(key string) {
	s.keys.Delete(key)
	s.appendEvent(key, protocol.WatchEvent{DeleteKey: key, Revision: s.revision})
}

// appendEvent records a change for watches. It discards the oldest changes once twice maxEvents are recorded. The
// caller holds s.mu.
func (s *Store) appendEvent(key string, change protocol.WatchEvent) {
	s.events = append(s.events, event{revision: s.revision, change: change, key: key})
	if len(s.events) >= 2*maxEvents {
		s.events = append([]event{}, s.events[len(s.events)-maxEvents:]...)
	}
}

// compacted reports whether changes after a revision have been discarded.
func (s *Store) compacted(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) >= maxEvents && revision+1 < s.events[0].revision
}

// ChangesSince returns the changes of keys with a prefix after a revision, and the current revision of the store.
func (s *Store) ChangesSince(prefix string, revision uint64) ([]protocol.WatchEvent, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []protocol.WatchEvent
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].revision > revision })
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.key, prefix) {
			changes = append(changes, e.change)
		}
	}
	return changes, s.revision
}

// notifyWatches makes open watches check for changes. The caller holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
