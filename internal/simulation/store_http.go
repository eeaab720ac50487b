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
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host := HostOf(r.RemoteAddr)
	if !s.serves(host) {
		writeResponse(w, http.StatusServiceUnavailable, protocol.ErrorResponse{Error: "down"})
		return
	}
	if !s.admitRequest() {
		writeResponse(w, http.StatusTooManyRequests, protocol.ErrorResponse{Error: "too many requests"})
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
		writeResponse(w, http.StatusNotFound, protocol.ErrorResponse{Error: "no such path"})
	}
}

func (s *Store) serveList(w http.ResponseWriter, q url.Values) {
	most := maxPageItems
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		most = min(most, n)
	}
	pairs, more, rev := s.page(q.Get("prefix"), q.Get("from"), most, maxPageBytes)
	writeResponse(w, http.StatusOK, protocol.KeyValuePage{Items: pairs, More: more, Revision: rev})
}

func (s *Store) serveGet(w http.ResponseWriter, key string) {
	p := s.Get(key)
	if p.Revision == 0 {
		writeResponse(w, http.StatusNotFound, protocol.KeyValuePage{})
		return
	}
	writeResponse(w, http.StatusOK, p)
}

// serveTransaction carries out a transaction, unless its fate is another one.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, host string, body []byte) {
	var t protocol.Txn
	if err := protocol.Decode(body, &t); err != nil {
		writeResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	if !s.wellFormed(&t) {
		writeResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: "over a limit"})
		return
	}
	if !s.admitWrites(len(t.Then)) {
		writeResponse(w, http.StatusTooManyRequests, protocol.ErrorResponse{Error: "too many writes"})
		return
	}
	fate := Outcome{Reply: true}
	s.mu.Lock()
	decide := s.decideOutcome
	s.mu.Unlock()
	if decide != nil {
		fate = decide(host, &t)
	}
	if fate.Rejected {
		writeResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: "malformed"})
		return
	}
	if !fate.Reply {
		if fate.Delay > 0 {
			time.AfterFunc(fate.Delay, func() { s.Txn(t) })
		} else {
			s.Txn(t)
		}
		<-r.Context().Done()
		return
	}
	rev, failed, noLease := s.Txn(t)
	if fate.Delay > 0 {
		time.Sleep(fate.Delay)
	}
	switch {
	case noLease:
		writeResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: "no such lease"})
	case len(failed) > 0:
		writeResponse(w, http.StatusConflict, protocol.TxnResult{Revision: rev, FailedKeys: failed})
	default:
		writeResponse(w, http.StatusOK, protocol.TxnResult{Revision: rev})
	}
}

func (s *Store) serveGrant(w http.ResponseWriter, body []byte) {
	var l protocol.LeaseRequest
	if err := protocol.Decode(body, &l); err != nil {
		writeResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	writeResponse(
		w,
		http.StatusOK,
		protocol.LeaseResult{LeaseID: s.GrantLease(time.Duration(l.TTLMS) * time.Millisecond)},
	)
}

func (s *Store) serveLease(w http.ResponseWriter, path string) {
	num, extend := strings.CutSuffix(path, "/extend")
	id, err := strconv.ParseUint(num, 10, 64)
	if err != nil || !s.renewLease(id, extend) {
		writeResponse(w, http.StatusNotFound, protocol.ErrorResponse{Error: "no such lease"})
		return
	}
	writeResponse(w, http.StatusOK, protocol.LeaseResult{LeaseID: id})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, host string) {
	q := r.URL.Query()
	rev, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		writeResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	if s.compacted(rev) {
		writeResponse(w, http.StatusGone, protocol.ErrorResponse{Error: "too old"})
		return
	}
	block, err := strconv.Atoi(q.Get("block_ms"))
	if err != nil {
		block = 0
	}
	events, now := s.waitForChanges(r, host, q.Get("prefix"), rev, time.Duration(block)*time.Millisecond)
	writeResponse(w, http.StatusOK, protocol.WatchResponse{Revision: now, Events: events})
}

// waitForChanges is a watch: it ends when something has changed or the time is up, and stays
// open while the host is not served.
func (s *Store) waitForChanges(
	r *http.Request,
	host, prefix string,
	rev uint64,
	block time.Duration,
) ([]protocol.WatchEvent, uint64) {
	end := time.NewTimer(block)
	defer end.Stop()
	over := block == 0
	for {
		s.mu.Lock()
		bell := s.changed
		s.mu.Unlock()
		ev, now := s.ChangesSince(prefix, rev)
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
