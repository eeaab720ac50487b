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
	value   []byte
	version uint64
	lease   uint64
}

// State is a state service.
type State struct {
	mu     sync.Mutex
	rev    uint64
	keys   *btree.Map[string, entry]
	leases map[uint64]*lease
	next   uint64
	now    time.Duration
	events []event
	// Down makes every request answer 503.
	Down bool
	// MaxValue, if set, is the most bytes of a value in JSON.
	MaxValue int
	// Oversized counts values that were refused for their size.
	Oversized int
	fate      func(host string, t *protocol.Txn) Fate
	refused   map[string]bool // hosts that alone get no service
	bell      chan struct{}   // closed when something has changed
	limits    *stateLimits    // nil: none
	use       StateUse
}

// StateUse counts what was asked of a state service.
type StateUse struct {
	Requests, Writes, Refused int
	TooLarge                  int // transactions that were refused for their size
	Keys                      int // at this moment
}

// Use returns what was asked of the state service so far.
func (s *State) Use() StateUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	use := s.use
	use.Keys = s.keys.Len()
	return use
}

// stateLimits are the limits that the protocol names, with bursts of a second's worth.
type stateLimits struct {
	requests, writes *rate.Limiter
	operations       int // puts and deletes of a transaction
	valueBytes       int
}

// Limit has the state service keep to the limits of the settings.
func (s *State) Limit(cfg config.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &stateLimits{
		requests:   rate.NewLimiter(rate.Limit(cfg.RPS), int(cfg.RPS)),
		writes:     rate.NewLimiter(rate.Limit(cfg.WriteRPS), int(cfg.WriteRPS)),
		operations: cfg.TxnOps, valueBytes: int(cfg.ValueKB * 1024),
	}
}

// admits counts a request, and says whether it is within the limit.
func (s *State) admits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.use.Requests++
	ok := s.limits == nil || s.limits.requests.Allow()
	if !ok {
		s.use.Refused++
	}
	return ok
}

// admitsWrites counts the writes of a transaction, and says whether they are within the limit.
func (s *State) admitsWrites(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.limits == nil || n == 0 || s.limits.writes.AllowN(time.Now(), n)
	if ok {
		s.use.Writes += n
	} else {
		s.use.Refused++
	}
	return ok
}

// wellFormed says whether a transaction keeps to the limits on its size.
func (s *State) wellFormed(t *protocol.Txn) bool {
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
	s.use.TooLarge++
	s.mu.Unlock()
	return false
}

// allow says whether a transaction keeps to the limits on its size.
func (limits *stateLimits) allow(t *protocol.Txn) bool {
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

// Fate is what becomes of a transaction.
type Fate struct {
	Late      time.Duration // so much later it is answered or, without an answer, carried out
	Answer    bool
	Malformed bool // it is refused for its form
}

type lease struct{ ttl, end time.Duration }

type event struct {
	rev uint64
	ev  protocol.Event
	key string
}

// NewState returns an empty state service.
func NewState() *State {
	return &State{keys: &btree.Map[string, entry]{}, leases: map[uint64]*lease{}, refused: map[string]bool{}, bell: make(chan struct{})}
}

// ring wakes open watches; s.mu is held.
func (s *State) ring() {
	close(s.bell)
	s.bell = make(chan struct{})
}

// Outage begins or ends an outage for all. After one, leases have their full time
// again.
func (s *State) Outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down && !down {
		for _, l := range s.leases {
			l.end = s.now + l.ttl
		}
	}
	s.Down = down
	s.ring()
}

// Refuse begins or ends the refusal of one host alone; its leases run out.
func (s *State) Refuse(host string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = refuse
	s.ring()
}

func (s *State) serves(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.Down && !s.refused[host]
}

// Advance sets the time and ends leases that are due.
func (s *State) Advance(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if s.Down {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now >= s.leases[id].end {
			s.end(id)
		}
	}
}

// end ends a lease, with the keys attached to it; s.mu is held.
func (s *State) end(id uint64) {
	delete(s.leases, id)
	var attached []string
	s.keys.Scan(func(key string, e entry) bool {
		if e.lease == id {
			attached = append(attached, key)
		}
		return true
	})
	for _, key := range attached {
		s.rev++
		s.remove(key)
	}
	s.ring()
}

func (s *State) remove(key string) {
	s.keys.Delete(key)
	s.tell(event{s.rev, protocol.Event{Delete: key, Version: s.rev}, key})
}

// history is how many changes the service keeps, by the protocol.
const history = 10_000

// tell keeps a change for watches; the oldest are dropped a run at a time.
func (s *State) tell(e event) {
	s.events = append(s.events, e)
	if len(s.events) >= 2*history {
		s.events = append([]event{}, s.events[len(s.events)-history:]...)
	}
}

// forgotten says whether changes after a revision are no longer kept.
func (s *State) forgotten(rev uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) >= history && rev+1 < s.events[0].rev
}

// Get reads a key; a version of 0 means that there is none.
func (s *State) Get(key string) protocol.Pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.keys.Get(key)
	return protocol.Pair{Key: key, Value: e.value, Version: e.version, Lease: e.lease}
}

// List returns all keys with a prefix, and the revision.
func (s *State) List(prefix string) ([]protocol.Pair, uint64) {
	pairs, _, rev := s.page(prefix, "", int(^uint(0)>>1), int(^uint(0)>>1))
	return pairs, rev
}

// page returns keys with a prefix that come after another one, up to a number and a size,
// and whether there are more.
func (s *State) page(prefix, from string, most, bytes int) (pairs []protocol.Pair, more bool, rev uint64) {
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
		pairs = append(pairs, protocol.Pair{Key: key, Value: e.value, Version: e.version})
		return true
	})
	return pairs, more, s.rev
}

// Since returns the changes after a revision.
func (s *State) Since(prefix string, rev uint64) ([]protocol.Event, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []protocol.Event
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].rev > rev })
	for _, e := range s.events[i:] {
		if strings.HasPrefix(e.key, prefix) {
			out = append(out, e.ev)
		}
	}
	return out, s.rev
}

// Lease gives a lease.
func (s *State) Lease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl, s.now + ttl}
	return s.next
}

// Txn carries out a transaction; failed is empty when it was applied.
func (s *State) Txn(t protocol.Txn) (rev uint64, failed []string, noLease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range t.Then {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return 0, nil, true
		}
	}
	for _, c := range t.If {
		if e, _ := s.keys.Get(c.Key); e.version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return s.rev, failed, false
	}
	if len(t.Then) > 0 {
		s.rev++
		defer s.ring()
	}
	for _, op := range t.Then {
		if op.Delete != "" {
			if _, ok := s.keys.Get(op.Delete); ok {
				s.remove(op.Delete)
			}
			continue
		}
		if s.MaxValue > 0 && jsonSize(op.Value) > s.MaxValue {
			s.Oversized++
		}
		s.keys.Set(op.Put, entry{op.Value, s.rev, op.Lease})
		s.tell(event{s.rev, protocol.Event{Put: op.Put, Value: op.Value, Version: s.rev}, op.Put})
	}
	return s.rev, nil, false
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

// renew extends or ends a lease, and says whether it was there.
func (s *State) renew(id uint64, extend bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	if extend {
		l.end = s.now + l.ttl
	} else {
		s.end(id)
	}
	return true
}

// SetFate replaces what decides on transactions; nil carries all of them out.
func (s *State) SetFate(f func(host string, t *protocol.Txn) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}
