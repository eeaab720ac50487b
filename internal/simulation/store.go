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

// maxEvents is the number of changes that the store keeps for watches.
const maxEvents = 10_000

// Store is a model of the key-value store. It is safe for concurrent use; its exported fields are set before it is
// used, or while nothing uses it.
type Store struct {
	// Unavailable makes every request get a 503.
	Unavailable bool
	// MaxValue, if set, is the limit of values above which Oversized counts them. They are stored all the same.
	MaxValue int
	// Oversized is the number of values above MaxValue.
	Oversized int

	mu            sync.Mutex
	now           time.Duration
	revision      uint64
	keys          *btree.Map[string, entry]
	leases        map[uint64]*lease
	lastLeaseID   uint64
	events        []event       // the last changes, in the order of their revisions
	changed       chan struct{} // closed when there is a change, or a host is served again
	refused       map[string]bool
	decideOutcome func(host string, txn *protocol.Txn) Outcome // nil: all are applied and answered
	limits        *storeLimits                                 // nil: none
	usage         StoreUsage
}

// entry is the value of a key.
type entry struct {
	value    []byte
	revision uint64
	lease    uint64 // 0: none
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

// Advance sets the time, and ends the leases that have expired.
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

// GrantLease grants a lease, and returns its id.
func (s *Store) GrantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, end: s.now + ttl}
	return s.lastLeaseID
}

// renewLease extends or ends a lease, and reports whether it existed.
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

// Get returns a key. Its revision is 0 if it does not exist.
func (s *Store) Get(key string) protocol.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.keys.Get(key)
	return protocol.KeyValue{Key: key, Value: e.value, Revision: e.revision, LeaseID: e.lease}
}

// List returns all keys with a prefix, and the revision.
func (s *Store) List(prefix string) ([]protocol.KeyValue, uint64) {
	page := s.page(prefix, "", math.MaxInt, math.MaxInt)
	return page.Items, page.Revision
}

// page returns the keys with a prefix that come after another one, up to a number and a size.
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

// Txn applies a transaction. failed lists the comparisons that do not hold, and is empty if the transaction was
// applied. noLease says that it was rejected because a lease of it has expired.
func (s *Store) Txn(txn protocol.Txn) (revision uint64, failed []string, noLease bool) {
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

// appendEvent keeps a change for watches, and drops the oldest ones from time to time. The caller holds s.mu.
func (s *Store) appendEvent(key string, change protocol.WatchEvent) {
	s.events = append(s.events, event{revision: s.revision, change: change, key: key})
	if len(s.events) >= 2*maxEvents {
		s.events = append([]event{}, s.events[len(s.events)-maxEvents:]...)
	}
}

// compacted reports whether changes after a revision are no longer kept.
func (s *Store) compacted(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) >= maxEvents && revision+1 < s.events[0].revision
}

// ChangesSince returns the changes of keys with a prefix after a revision, and the current revision.
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

// notifyWatches wakes open watches. The caller holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
