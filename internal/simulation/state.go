// Package simulation holds small models of the state service, the cloud and the
// workers, written from the published protocol alone. Tests run the daemon's
// parts against them, with time given from outside.
package simulation

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

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
	keys   map[string]entry
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
}

// Fate is what becomes of a transaction.
type Fate struct {
	Late   time.Duration // so much later it is answered or, without an answer, carried out
	Answer bool
}

type lease struct{ ttl, end time.Duration }

type event struct {
	rev uint64
	ev  protocol.Event
	key string
}

// NewState returns an empty state service.
func NewState() *State {
	return &State{keys: map[string]entry{}, leases: map[uint64]*lease{}, refused: map[string]bool{}, bell: make(chan struct{})}
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
	for id, l := range s.leases {
		if now >= l.end {
			s.end(id)
		}
	}
}

// end ends a lease, with the keys attached to it; s.mu is held.
func (s *State) end(id uint64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.rev++
			s.remove(k)
		}
	}
	s.ring()
}

func (s *State) remove(key string) {
	delete(s.keys, key)
	s.events = append(s.events, event{s.rev, protocol.Event{Delete: key, Version: s.rev}, key})
}

// Get reads a key; a version of 0 means that there is none.
func (s *State) Get(key string) protocol.Pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	return protocol.Pair{Key: key, Value: e.value, Version: e.version, Lease: e.lease}
}

// List returns all keys with a prefix, and the revision.
func (s *State) List(prefix string) ([]protocol.Pair, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []protocol.Pair
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, protocol.Pair{Key: k, Value: e.value, Version: e.version})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.rev
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
		if s.keys[c.Key].version != c.Version {
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
			if _, ok := s.keys[op.Delete]; ok {
				s.remove(op.Delete)
			}
			continue
		}
		if s.MaxValue > 0 && jsonSize(op.Value) > s.MaxValue {
			s.Oversized++
		}
		s.keys[op.Put] = entry{op.Value, s.rev, op.Lease}
		s.events = append(s.events, event{s.rev, protocol.Event{Put: op.Put, Value: op.Value, Version: s.rev}, op.Put})
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

// ServeHTTP speaks the state service's protocol.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := func(status int, body any) {
		raw, err := protocol.Encode(body)
		if err != nil {
			status = http.StatusInternalServerError
		}
		w.WriteHeader(status)
		_, _ = w.Write(raw)
	}
	host := HostOf(r.RemoteAddr)
	if !s.serves(host) {
		answer(http.StatusServiceUnavailable, protocol.Problem{Error: "down"})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv":
		pairs, rev := s.List(q.Get("prefix"))
		from, limit := q.Get("from"), 1000
		if n, err := strconv.Atoi(q.Get("limit")); err == nil {
			limit = n
		}
		i := sort.Search(len(pairs), func(i int) bool { return pairs[i].Key > from })
		pairs = pairs[i:]
		more := len(pairs) > limit
		answer(http.StatusOK, protocol.Pairs{Items: pairs[:min(limit, len(pairs))], More: more, Revision: rev})
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		p := s.Get(strings.TrimPrefix(r.URL.Path, "/kv/"))
		if p.Version == 0 {
			answer(http.StatusNotFound, protocol.Pairs{})
			return
		}
		answer(http.StatusOK, p)
	case r.URL.Path == "/multi":
		var t protocol.Txn
		if err := protocol.Decode(body, &t); err != nil {
			answer(http.StatusBadRequest, protocol.Problem{Error: err.Error()})
			return
		}
		fate := Fate{Answer: true}
		s.mu.Lock()
		decide := s.fate
		s.mu.Unlock()
		if decide != nil {
			fate = decide(host, &t)
		}
		if !fate.Answer {
			if fate.Late > 0 {
				time.AfterFunc(fate.Late, func() { s.Txn(t) })
			} else {
				s.Txn(t)
			}
			<-r.Context().Done()
			return
		}
		rev, failed, noLease := s.Txn(t)
		if fate.Late > 0 {
			time.Sleep(fate.Late)
		}
		switch {
		case noLease:
			answer(http.StatusBadRequest, protocol.Problem{Error: "no such lease"})
		case len(failed) > 0:
			answer(http.StatusConflict, protocol.TxnResult{Revision: rev, Failed: failed})
		default:
			answer(http.StatusOK, protocol.TxnResult{Revision: rev})
		}
	case r.URL.Path == "/grants":
		var l protocol.LeaseRequest
		if err := protocol.Decode(body, &l); err != nil {
			answer(http.StatusBadRequest, protocol.Problem{Error: err.Error()})
			return
		}
		answer(http.StatusOK, protocol.LeaseResult{Lease: s.Lease(time.Duration(l.TTLMS) * time.Millisecond)})
	case r.URL.Path == "/changes":
		rev, err := strconv.ParseUint(q.Get("from"), 10, 64)
		if err != nil {
			answer(http.StatusBadRequest, protocol.Problem{Error: err.Error()})
			return
		}
		block, err := strconv.Atoi(q.Get("block_ms"))
		if err != nil {
			block = 0
		}
		ev, now := s.wait(r, host, q.Get("prefix"), rev, time.Duration(block)*time.Millisecond)
		answer(http.StatusOK, protocol.Events{Revision: now, Events: ev})
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		num, extend := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/extend")
		id, err := strconv.ParseUint(num, 10, 64)
		if err != nil || !s.renew(id, extend) {
			answer(http.StatusNotFound, protocol.Problem{Error: "no such lease"})
			return
		}
		answer(http.StatusOK, protocol.LeaseResult{Lease: id})
	default:
		answer(http.StatusNotFound, protocol.Problem{Error: "no such path"})
	}
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

// wait is a watch: it ends when something has changed or the time is up, and stays
// open while the host is not served.
func (s *State) wait(r *http.Request, host, prefix string, rev uint64, block time.Duration) ([]protocol.Event, uint64) {
	end := time.NewTimer(block)
	defer end.Stop()
	over := block == 0
	for {
		s.mu.Lock()
		bell := s.bell
		s.mu.Unlock()
		ev, now := s.Since(prefix, rev)
		if (len(ev) > 0 || over) && s.serves(host) {
			return ev, now
		}
		select {
		case <-bell:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return nil, now
		}
	}
}

// SetFate replaces what decides on transactions; nil carries all of them out.
func (s *State) SetFate(f func(host string, t *protocol.Txn) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}
