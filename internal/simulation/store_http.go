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

// Limits on the size of a page of keys.
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

const noSuchLease = "no such lease"

// ServeHTTP serves the HTTP API of the key-value store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host := HostOf(r.RemoteAddr)
	if !s.serves(host) {
		writeError(w, http.StatusServiceUnavailable, "down")
		return
	}
	if !s.admitRequest() {
		writeError(w, http.StatusTooManyRequests, "too many requests")
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
		s.serveTxn(w, r, host, body)
	case path == "/grants":
		s.serveGrant(w, body)
	case path == "/changes":
		s.serveWatch(w, r, host)
	case strings.HasPrefix(path, "/grants/"):
		s.serveLease(w, strings.TrimPrefix(path, "/grants/"))
	default:
		writeError(w, http.StatusNotFound, "no such path")
	}
}

func (s *Store) serveList(w http.ResponseWriter, query url.Values) {
	maxItems := maxPageItems
	if n, err := strconv.Atoi(query.Get("limit")); err == nil {
		maxItems = min(maxItems, n)
	}
	writeResponse(w, http.StatusOK, s.page(query.Get("prefix"), query.Get("from"), maxItems, maxPageBytes))
}

func (s *Store) serveGet(w http.ResponseWriter, key string) {
	pair := s.Get(key)
	if pair.Revision == 0 {
		writeResponse(w, http.StatusNotFound, protocol.KeyValuePage{})
		return
	}
	writeResponse(w, http.StatusOK, pair)
}

// serveTxn handles a transaction according to the limits and to the outcome that was set for it.
func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request, host string, body []byte) {
	var txn protocol.Txn
	if err := protocol.Decode(body, &txn); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.withinSize(&txn) {
		writeError(w, http.StatusBadRequest, "over a limit")
		return
	}
	if !s.admitWrites(len(txn.Then)) {
		writeError(w, http.StatusTooManyRequests, "too many writes")
		return
	}
	outcome := s.outcomeOf(host, &txn)
	switch {
	case outcome.Rejected:
		writeError(w, http.StatusBadRequest, "malformed")
	case !outcome.Reply:
		s.applyWithoutReply(txn, outcome.Delay)
		<-r.Context().Done()
	default:
		s.applyWithReply(w, txn, outcome.Delay)
	}
}

// applyWithoutReply applies a transaction after a delay and sends no answer.
func (s *Store) applyWithoutReply(txn protocol.Txn, delay time.Duration) {
	if delay > 0 {
		time.AfterFunc(delay, func() { s.Txn(txn) })
		return
	}
	s.Txn(txn)
}

// applyWithReply applies a transaction at once and answers it after a delay.
func (s *Store) applyWithReply(w http.ResponseWriter, txn protocol.Txn, delay time.Duration) {
	revision, failed, leaseExpired := s.Txn(txn)
	if delay > 0 {
		time.Sleep(delay)
	}
	switch {
	case leaseExpired:
		writeError(w, http.StatusBadRequest, noSuchLease)
	case len(failed) > 0:
		writeResponse(w, http.StatusConflict, protocol.TxnResult{Revision: revision, FailedKeys: failed})
	default:
		writeResponse(w, http.StatusOK, protocol.TxnResult{Revision: revision})
	}
}

func (s *Store) serveGrant(w http.ResponseWriter, body []byte) {
	var request protocol.LeaseRequest
	if err := protocol.Decode(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	id := s.GrantLease(time.Duration(request.TTLMS) * time.Millisecond)
	writeResponse(w, http.StatusOK, protocol.LeaseResult{LeaseID: id})
}

func (s *Store) serveLease(w http.ResponseWriter, path string) {
	number, extend := strings.CutSuffix(path, "/extend")
	id, err := strconv.ParseUint(number, 10, 64)
	if err != nil || !s.renewLease(id, extend) {
		writeError(w, http.StatusNotFound, noSuchLease)
		return
	}
	writeResponse(w, http.StatusOK, protocol.LeaseResult{LeaseID: id})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, host string) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if s.compacted(from) {
		writeError(w, http.StatusGone, "too old")
		return
	}
	blockMS, err := strconv.Atoi(query.Get("block_ms"))
	if err != nil {
		blockMS = 0
	}
	block := time.Duration(blockMS) * time.Millisecond
	writeResponse(w, http.StatusOK, s.waitForChanges(r, host, query.Get("prefix"), from, block))
}

// waitForChanges returns the changes after a revision as soon as there are any, or an empty response after block. It
// does not return while the store is unavailable to the host.
func (s *Store) waitForChanges(
	r *http.Request,
	host, prefix string,
	from uint64,
	block time.Duration,
) protocol.WatchResponse {
	timer := time.NewTimer(block)
	defer timer.Stop()
	timeUp := block == 0
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		events, revision := s.ChangesSince(prefix, from)
		if (len(events) > 0 || timeUp) && s.serves(host) {
			return protocol.WatchResponse{Revision: revision, Events: events}
		}
		select {
		case <-changed:
		case <-timer.C:
			timeUp = true
		case <-r.Context().Done():
			return protocol.WatchResponse{Revision: revision}
		}
	}
}
