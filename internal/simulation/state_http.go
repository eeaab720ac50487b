package simulation

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pinebay/internal/protocol"
)

// Limits of a page of keys, by the protocol.
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

// ServeHTTP speaks the state service's protocol.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host := HostOf(r.RemoteAddr)
	if !s.serves(host) {
		writeAnswer(w, http.StatusServiceUnavailable, protocol.Problem{Error: "down"})
		return
	}
	if !s.admits() {
		writeAnswer(w, http.StatusTooManyRequests, protocol.Problem{Error: "too many requests"})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch path := r.URL.Path; {
	case path == "/kv":
		s.serveList(w, r.URL.Query())
	case strings.HasPrefix(path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/multi":
		s.serveTransaction(w, r, host, body)
	case path == "/grants":
		s.serveGrant(w, body)
	case path == "/changes":
		s.serveWatch(w, r, host)
	case strings.HasPrefix(path, "/grants/"):
		s.serveLease(w, strings.TrimPrefix(path, "/grants/"))
	default:
		writeAnswer(w, http.StatusNotFound, protocol.Problem{Error: "no such path"})
	}
}

func (s *State) serveList(w http.ResponseWriter, q url.Values) {
	most := maxPageItems
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		most = min(most, n)
	}
	pairs, more, rev := s.page(q.Get("prefix"), q.Get("from"), most, maxPageBytes)
	writeAnswer(w, http.StatusOK, protocol.Pairs{Items: pairs, More: more, Revision: rev})
}

func (s *State) serveGet(w http.ResponseWriter, key string) {
	p := s.Get(key)
	if p.Version == 0 {
		writeAnswer(w, http.StatusNotFound, protocol.Pairs{})
		return
	}
	writeAnswer(w, http.StatusOK, p)
}

// serveTransaction carries out a transaction, unless its fate is another one.
func (s *State) serveTransaction(w http.ResponseWriter, r *http.Request, host string, body []byte) {
	var t protocol.Txn
	if err := protocol.Decode(body, &t); err != nil {
		writeAnswer(w, http.StatusBadRequest, protocol.Problem{Error: err.Error()})
		return
	}
	if !s.wellFormed(&t) {
		writeAnswer(w, http.StatusBadRequest, protocol.Problem{Error: "over a limit"})
		return
	}
	if !s.admitsWrites(len(t.Then)) {
		writeAnswer(w, http.StatusTooManyRequests, protocol.Problem{Error: "too many writes"})
		return
	}
	fate := Fate{Answer: true}
	s.mu.Lock()
	decide := s.fate
	s.mu.Unlock()
	if decide != nil {
		fate = decide(host, &t)
	}
	if fate.Malformed {
		writeAnswer(w, http.StatusBadRequest, protocol.Problem{Error: "malformed"})
		return
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
		writeAnswer(w, http.StatusBadRequest, protocol.Problem{Error: "no such lease"})
	case len(failed) > 0:
		writeAnswer(w, http.StatusConflict, protocol.TxnResult{Revision: rev, Failed: failed})
	default:
		writeAnswer(w, http.StatusOK, protocol.TxnResult{Revision: rev})
	}
}

func (s *State) serveGrant(w http.ResponseWriter, body []byte) {
	var l protocol.LeaseRequest
	if err := protocol.Decode(body, &l); err != nil {
		writeAnswer(w, http.StatusBadRequest, protocol.Problem{Error: err.Error()})
		return
	}
	writeAnswer(w, http.StatusOK, protocol.LeaseResult{Lease: s.Lease(time.Duration(l.TTLMS) * time.Millisecond)})
}

func (s *State) serveLease(w http.ResponseWriter, path string) {
	num, extend := strings.CutSuffix(path, "/extend")
	id, err := strconv.ParseUint(num, 10, 64)
	if err != nil || !s.renew(id, extend) {
		writeAnswer(w, http.StatusNotFound, protocol.Problem{Error: "no such lease"})
		return
	}
	writeAnswer(w, http.StatusOK, protocol.LeaseResult{Lease: id})
}

func (s *State) serveWatch(w http.ResponseWriter, r *http.Request, host string) {
	q := r.URL.Query()
	rev, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		writeAnswer(w, http.StatusBadRequest, protocol.Problem{Error: err.Error()})
		return
	}
	if s.forgotten(rev) {
		writeAnswer(w, http.StatusGone, protocol.Problem{Error: "too old"})
		return
	}
	block, err := strconv.Atoi(q.Get("block_ms"))
	if err != nil {
		block = 0
	}
	events, now := s.wait(r, host, q.Get("prefix"), rev, time.Duration(block)*time.Millisecond)
	writeAnswer(w, http.StatusOK, protocol.Events{Revision: now, Events: events})
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
