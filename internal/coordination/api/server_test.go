package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
	"pinebay/internal/transport"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// testCluster has two API servers that share a key-value store, without a leader.
type testCluster struct {
	t        testing.TB
	store    *simulation.Store
	handlers []http.Handler
	servers  []*Server
	// announceErr is returned by announcements of cancellation intents.
	announceErr error
}

var testMachineTypes = []protocol.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, Zones: []string{"a", "b"}}}

// newTestCluster returns a cluster whose store has practically no limits.
func newTestCluster(tb testing.TB) *testCluster {
	tb.Helper()
	return newTestClusterWith(tb, config.StoreLimits{RPS: 1e6, WriteRPS: 1e6, TxnOps: 16})
}

// newTestClusterWith returns a cluster whose store has the given limits.
func newTestClusterWith(tb testing.TB, limits config.StoreLimits) *testCluster {
	tb.Helper()
	s := &testCluster{t: tb, store: simulation.NewStore()}
	srv := httptest.NewServer(s.store)
	tb.Cleanup(srv.Close)
	cfg := &config.Deployment{
		Controllers: 2,
		Teams:       []config.Team{{Name: "red", MaxGPUs: 16}},
		Store:       limits,
		Workers:     config.Workers{LeaseSeconds: 10},
		Quota:       config.Quota{RAMMB: 16, MaxSockets: 500},
	}
	noLeader := func(context.Context, []string) (map[string]protocol.JobStatus, bool) { return nil, false }
	announce := func(context.Context, string) (time.Time, error) { return time.Now(), s.announceErr }
	addr := strings.TrimPrefix(srv.URL, "http://")
	for range 2 {
		store := storage.NewClient(transport.TCP{}, random.New(1), cfg, addr, time.Minute)
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		server := New(cfg, store, random.New(1), log, noLeader, announce)
		server.SetMachineTypes(testMachineTypes)
		r := chi.NewRouter()
		server.Routes(r)
		s.handlers, s.servers = append(s.handlers, r), append(s.servers, server)
	}
	return s
}

// call sends a request to one of the controllers. It returns the HTTP status, the job status and the header of the
// response.
func (s *testCluster) call(controller int, method, path string, body []byte) (int, protocol.JobStatus, http.Header) {
	s.t.Helper()
	w := s.send(controller, method, path, body)
	return w.Code, s.status(w), w.Header()
}

// callWithError is like call, but returns the text of the error response instead of the header.
func (s *testCluster) callWithError(
	controller int,
	method, path string,
	body []byte,
) (int, protocol.JobStatus, string) {
	s.t.Helper()
	w := s.send(controller, method, path, body)
	var p protocol.ErrorResponse
	if w.Code >= 300 {
		if err := protocol.Decode(w.Body.Bytes(), &p); err != nil {
			s.t.Fatal(err)
		}
	}
	return w.Code, s.status(w), p.Error
}

func (s *testCluster) send(controller int, method, path string, body []byte) *httptest.ResponseRecorder {
	s.t.Helper()
	req := httptest.NewRequestWithContext(s.t.Context(), method, path, bytes.NewReader(body))
	w := httptest.NewRecorder()
	s.handlers[controller].ServeHTTP(w, req)
	return w
}

// status returns the job status in a response, or the zero value if the response is an error.
func (s *testCluster) status(w *httptest.ResponseRecorder) (st protocol.JobStatus) {
	s.t.Helper()
	if w.Code < 300 {
		if err := protocol.Decode(w.Body.Bytes(), &st); err != nil {
			s.t.Fatal(err)
		}
	}
	return st
}

func encodeJob(tb testing.TB, j protocol.Job) []byte {
	tb.Helper()
	raw, err := protocol.Encode(j)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// arrayJob returns an array job with two tasks.
func arrayJob(id string) protocol.Job {
	return protocol.Job{
		ID:        id,
		Class:     "c",
		Team:      "red",
		Shape:     protocol.Array,
		Priority:  "normal",
		TaskCount: 2,
		CPUs:      1,
		GPUs:      1,
		MemoryGB:  1,
		Image:     "i",
	}
}

// TestAnswersNeverGoBack checks that, after any user was told that a job is accepted, cancelled or done, no controller
// returns an older status. Users submit, query and cancel one job on both controllers, and a leader ends it.
func TestAnswersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestCluster(t)
		j := arrayJob("j-000001")
		raw := encodeJob(t, j)
		accepted, final := false, protocol.JobState("")
		checkAnswer := func(code int, st protocol.JobStatus) {
			if accepted && code == http.StatusNotFound {
				rt.Fatal("an accepted job was not found")
			}
			if code >= 300 {
				return
			}
			accepted = true
			if final != "" && st.State != final {
				rt.Fatalf("status %s after final status %s", st.State, final)
			}
			if st.State.Final() {
				final = st.State
			}
		}
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			controller := rapid.IntRange(0, 1).Draw(rt, "node")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				code, st, _ := s.call(controller, "POST", "/submissions", raw)
				if want := map[bool]int{false: 201, true: 200}[accepted]; code != want {
					rt.Fatalf("submission: status %d, want %d", code, want)
				}
				checkAnswer(code, st)
			case 1:
				code, st, _ := s.call(controller, "GET", "/submissions/j-000001", nil)
				if !accepted && code != http.StatusNotFound {
					rt.Fatalf("query of a job that was never submitted: status %d, want 404", code)
				}
				checkAnswer(code, st)
			case 2:
				code, st, _ := s.call(controller, "POST", "/submissions/j-000001/withdraw", nil)
				if !accepted && code != http.StatusNotFound || accepted && (code != 200 || !st.State.Final()) {
					rt.Fatalf(
						"cancellation: status %d, job %+v, want 404 before submission, then 200 and a final state",
						code,
						st,
					)
				}
				checkAnswer(code, st)
			case 3:
				live := s.store.Get(storage.LiveJobKey(j.ID))
				if live.Revision == 0 {
					break
				}
				done, err := protocol.Encode(storage.EndedJobRecord{State: protocol.JobDone, DoneTasks: 2})
				if err != nil {
					rt.Fatal(err)
				}
				s.store.Txn(protocol.Txn{
					If:   []protocol.Compare{{Key: live.Key, Revision: live.Revision}},
					Then: []protocol.Op{{DeleteKey: live.Key}, {PutKey: storage.EndedJobKey(j.ID), Value: done}},
				})
			}
		}
	})
}

// TestEveryStatus checks each HTTP status that a submission or a query may return.
func TestEveryStatus(t *testing.T) {
	s := newTestCluster(t)
	with := func(change func(*protocol.Job)) []byte {
		j := arrayJob("j-000002")
		change(&j)
		return encodeJob(t, j)
	}
	for name, x := range map[string]struct {
		raw  []byte
		want int
	}{
		"empty":          {nil, 400},
		"not a map":      {[]byte{0x93, 1, 2, 3}, 400},
		"no id":          {with(func(j *protocol.Job) { j.ID = "" }), 400},
		"other id":       {with(func(j *protocol.Job) { j.ID = "x/../1" }), 400},
		"no tasks":       {with(func(j *protocol.Job) { j.TaskCount = 0 }), 400},
		"too many tasks": {with(func(j *protocol.Job) { j.TaskCount = protocol.MaxTasks + 1 }), 400},
		"oversized":      {with(func(j *protocol.Job) { j.Image = strings.Repeat("x", protocol.MaxBodyBytes) }), 400},
		"team":           {with(func(j *protocol.Job) { j.Team = "blue" }), 422},
		"too large":      {with(func(j *protocol.Job) { j.GPUs = 9 }), 422},
		"type":           {with(func(j *protocol.Job) { j.MachineTypes = []string{"g9"} }), 422},
		"zone":           {with(func(j *protocol.Job) { j.Zone = "c" }), 422},
		"gang limit":     {with(func(j *protocol.Job) { j.Shape, j.TaskCount, j.GPUs = protocol.Gang, 3, 8 }), 422},
		"array limit":    {with(func(j *protocol.Job) { j.ID, j.TaskCount, j.GPUs = "j-000003", 3, 8 }), 201},
	} {
		if code, _, _ := s.call(0, "POST", "/submissions", x.raw); code != x.want {
			t.Errorf("%s: %d, want %d", name, code, x.want)
		}
	}
	for path, want := range map[string]int{
		"/submissions/j-999999": 404,
		"/submissions/nonsense": 404,
		"/submissions/j-000003": 200,
	} {
		if code, _, _ := s.call(1, "GET", path, nil); code != want {
			t.Errorf("%s: %d, want %d", path, code, want)
		}
	}
}

// TestCancellationNeedsQuorum checks that a user is told of a cancellation only once a quorum holds an intent, both by
// the controller that cancels the job and by another one that reads the ended record. The cancellation must not be
// recorded before that either.
func TestCancellationNeedsQuorum(t *testing.T) {
	s := newTestCluster(t)
	j := arrayJob("j-000001")
	s.call(0, "POST", "/submissions", encodeJob(t, j))
	s.announceErr = errors.New("no quorum")
	code, _, h := s.call(0, "POST", "/submissions/j-000001/withdraw", nil)
	if code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("cancellation without a quorum: status %d, header %v, want 503 with Retry-After", code, h)
	}
	if s.store.Get(storage.LiveJobKey(j.ID)).Revision == 0 {
		t.Error("a cancellation without a quorum was recorded")
	}
	s.announceErr = nil
	code, st, _ := s.call(0, "POST", "/submissions/j-000001/withdraw", nil)
	if code != 200 || st.State != protocol.JobCancelled {
		t.Errorf("cancellation with a quorum: status %d, job %+v, want 200 and cancelled", code, st)
	}
	s.announceErr = errors.New("no quorum")
	if code, _, _ := s.call(1, "GET", "/submissions/j-000001", nil); code != http.StatusServiceUnavailable {
		t.Errorf("query on another controller without a quorum: status %d, want 503", code)
	}
	if code, st, _ := s.call(0, "GET", "/submissions/j-000001", nil); code != 200 || st.State != protocol.JobCancelled {
		t.Errorf(
			"query after a user was told of the cancellation: status %d, job %+v, want 200 and cancelled",
			code,
			st,
		)
	}
	if code, _, _ := s.call(0, "POST", "/submissions/j-000002/withdraw", nil); code != http.StatusNotFound {
		t.Errorf("job that was never submitted: status %d, want 404", code)
	}
}

// TestOutageIsAnsweredImmediately checks that, during an outage of the key-value store, requests are answered
// immediately and with a Retry-After header, instead of being held until the user gives up.
func TestOutageIsAnsweredImmediately(t *testing.T) {
	s := newTestCluster(t)
	s.store.Unavailable = true
	for _, x := range [][2]string{
		{"POST", "/submissions"},
		{"GET", "/submissions/j-000001"},
		{"POST", "/submissions/j-000001/withdraw"},
	} {
		code, _, h := s.call(0, x[0], x[1], encodeJob(t, arrayJob("j-000001")))
		if code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
			t.Errorf("%v: status %d with header %v, want 503 with Retry-After", x, code, h)
		}
	}
}

// TestOverloadIsAnsweredWithRetryAfter checks a burst of submissions that exceeds the write rate of the key-value store
// within the time after which users retry. The excess submissions must be answered with a Retry-After header instead of
// being held, and every accepted job must have been recorded.
func TestOverloadIsAnsweredWithRetryAfter(t *testing.T) {
	const users = 100
	// This write rate allows one write, and the next one much later.
	s := newTestClusterWith(t, config.StoreLimits{RPS: 1e6, WriteRPS: 1e-3, TxnOps: 16})
	type answer struct {
		id     string
		code   int
		header http.Header
	}
	answers := make(chan answer)
	for i := range users {
		go func() {
			id := fmt.Sprintf("j-%03d", i)
			code, _, h := s.call(0, http.MethodPost, "/submissions", encodeJob(t, arrayJob(id)))
			answers <- answer{id, code, h}
		}()
	}
	accepted := 0
	for range users {
		switch a := <-answers; a.code {
		case http.StatusCreated:
			accepted++
			if s.store.Get(storage.LiveJobKey(a.id)).Revision == 0 {
				t.Errorf("%s was accepted but not recorded", a.id)
			}
		case http.StatusServiceUnavailable:
			if a.header.Get("Retry-After") == "" {
				t.Errorf("%s: no Retry-After header", a.id)
			}
		default:
			t.Errorf("%s: status %d, want 201 or 503", a.id, a.code)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of %d submissions accepted, want 1", accepted, users)
	}
}

// TestManyQueriesAreAnswered checks that several hundred concurrent queries about different jobs are all answered,
// although the rate of the key-value store allows individual reads for only a tenth of them. Some of the jobs end, and
// all are queried again; no answer may be older than an earlier one.
func TestManyQueriesAreAnswered(t *testing.T) {
	const users = 500
	s := newTestClusterWith(t, config.StoreLimits{RPS: 100, WriteRPS: 1e6, TxnOps: 16})
	put := func(key string, v any) {
		value, err := protocol.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		s.store.Txn(protocol.Txn{Then: []protocol.Op{{PutKey: key, Value: value}}})
	}
	id := func(i int) string { return fmt.Sprintf("j-%04d", i) }
	queryAll := func(want func(i int) protocol.JobState) {
		var wg sync.WaitGroup
		for i := range users {
			wg.Go(func() {
				code, st, _ := s.call(0, http.MethodGet, "/submissions/"+id(i), nil)
				if code != http.StatusOK || st.State != want(i) {
					t.Errorf("%s: %d %s, want %s", id(i), code, st.State, want(i))
				}
			})
		}
		wg.Wait()
	}
	for i := range users {
		put(storage.LiveJobKey(id(i)), storage.LiveJobRecord{Job: arrayJob(id(i))})
	}
	queryAll(func(int) protocol.JobState { return protocol.JobQueued })
	finalStateOf := map[int]protocol.JobState{0: protocol.JobDone, 1: protocol.JobCancelled}
	for i := range users {
		if e, ok := finalStateOf[i%3]; ok {
			value, err := protocol.Encode(storage.EndedJobRecord{State: e})
			if err != nil {
				t.Fatal(err)
			}
			s.store.Txn(
				protocol.Txn{
					Then: []protocol.Op{
						{DeleteKey: storage.LiveJobKey(id(i))},
						{PutKey: storage.EndedJobKey(id(i)), Value: value},
					},
				},
			)
		}
	}
	for range 2 {
		queryAll(func(i int) protocol.JobState {
			if e, ok := finalStateOf[i%3]; ok {
				return e
			}
			return protocol.JobQueued
		})
	}
	if code, _, _ := s.call(0, http.MethodGet, "/submissions/j-9999", nil); code != http.StatusNotFound {
		t.Errorf("job that was never submitted: status %d, want 404", code)
	}
}
