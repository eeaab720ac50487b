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

// testCluster is two servers of the users' interface on one key-value store, without a leader.
type testCluster struct {
	t        testing.TB
	store    *simulation.Store
	handlers []http.Handler
	servers  []*Server
	// announceErr is the result of announcing a cancellation.
	announceErr error
}

var testMachineTypes = []protocol.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, Zones: []string{"a", "b"}}}

// newTestCluster returns a cluster on a store with hardly any limits.
func newTestCluster(tb testing.TB) *testCluster {
	tb.Helper()
	return newTestClusterWith(tb, config.StoreLimits{RPS: 1e6, WriteRPS: 1e6, TxnOps: 16})
}

// newTestClusterWith returns a cluster on a store with the given limits.
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

// call sends a request to one of the controllers, and returns the status, the job's status and the header of the
// response.
func (s *testCluster) call(node int, method, path string, body []byte) (int, protocol.JobStatus, http.Header) {
	s.t.Helper()
	w := s.send(node, method, path, body)
	return w.Code, s.status(w), w.Header()
}

// callWithReason is like call, but returns the text of an error instead of the header.
func (s *testCluster) callWithReason(node int, method, path string, body []byte) (int, protocol.JobStatus, string) {
	s.t.Helper()
	w := s.send(node, method, path, body)
	var p protocol.ErrorResponse
	if w.Code >= 300 {
		if err := protocol.Decode(w.Body.Bytes(), &p); err != nil {
			s.t.Fatal(err)
		}
	}
	return w.Code, s.status(w), p.Error
}

func (s *testCluster) send(node int, method, path string, body []byte) *httptest.ResponseRecorder {
	s.t.Helper()
	req := httptest.NewRequestWithContext(s.t.Context(), method, path, bytes.NewReader(body))
	w := httptest.NewRecorder()
	s.handlers[node].ServeHTTP(w, req)
	return w
}

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

// arrayJob returns a job of two tasks.
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

// TestAnswersNeverGoBack has users of one job at both controllers, and a leader that ends it: once any user was told
// that the job is accepted, cancelled or done, neither controller gives an older answer.
func TestAnswersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestCluster(t)
		j := arrayJob("j-000001")
		raw := encodeJob(t, j)
		accepted, final := false, protocol.JobState("")
		see := func(code int, st protocol.JobStatus) {
			if accepted && code == http.StatusNotFound {
				rt.Fatal("an accepted job was forgotten")
			}
			if code >= 300 {
				return
			}
			accepted = true
			if final != "" && st.State != final {
				rt.Fatalf("told %s after %s", st.State, final)
			}
			if st.State.Final() {
				final = st.State
			}
		}
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			node := rapid.IntRange(0, 1).Draw(rt, "node")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				code, st, _ := s.call(node, "POST", "/submissions", raw)
				if want := map[bool]int{false: 201, true: 200}[accepted]; code != want {
					rt.Fatalf("submission: %d, want %d", code, want)
				}
				see(code, st)
			case 1:
				code, st, _ := s.call(node, "GET", "/submissions/j-000001", nil)
				if !accepted && code != http.StatusNotFound {
					rt.Fatalf("a job that nobody submitted: %d", code)
				}
				see(code, st)
			case 2:
				code, st, _ := s.call(node, "POST", "/submissions/j-000001/withdraw", nil)
				if !accepted && code != http.StatusNotFound || accepted && (code != 200 || !st.State.Final()) {
					rt.Fatalf("cancel: %d %+v", code, st)
				}
				see(code, st)
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

// TestEveryStatus: each status that a submission and a query may get.
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

// TestCancellationNeedsAMajority: neither the controller that cancels a job nor another one that reads of it tells a
// user before a quorum holds an intent; and nothing is recorded before.
func TestCancellationNeedsAMajority(t *testing.T) {
	s := newTestCluster(t)
	j := arrayJob("j-000001")
	s.call(0, "POST", "/submissions", encodeJob(t, j))
	s.announceErr = errors.New("cut off")
	code, _, h := s.call(0, "POST", "/submissions/j-000001/withdraw", nil)
	if code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("a cancellation that no majority knows of: %d %v", code, h)
	}
	if s.store.Get(storage.LiveJobKey(j.ID)).Revision == 0 {
		t.Error("it was recorded all the same")
	}
	s.announceErr = nil
	code, st, _ := s.call(0, "POST", "/submissions/j-000001/withdraw", nil)
	if code != 200 || st.State != protocol.JobCancelled {
		t.Errorf("with a majority: %d %+v", code, st)
	}
	s.announceErr = errors.New("cut off")
	if code, _, _ := s.call(1, "GET", "/submissions/j-000001", nil); code != http.StatusServiceUnavailable {
		t.Errorf("the news of a cancellation that no majority knows of: %d", code)
	}
	if code, st, _ := s.call(0, "GET", "/submissions/j-000001", nil); code != 200 || st.State != protocol.JobCancelled {
		t.Errorf("what was told once: %d %+v", code, st)
	}
	if code, _, _ := s.call(0, "POST", "/submissions/j-000002/withdraw", nil); code != http.StatusNotFound {
		t.Errorf("a job that nobody submitted: %d", code)
	}
}

// TestOutageIsAnsweredAtOnce: what cannot be served is answered at once with a time to retry; it is not held until the
// user gives up.
func TestOutageIsAnsweredAtOnce(t *testing.T) {
	s := newTestCluster(t)
	s.store.Unavailable = true
	for _, x := range [][2]string{
		{"POST", "/submissions"},
		{"GET", "/submissions/j-000001"},
		{"POST", "/submissions/j-000001/withdraw"},
	} {
		code, _, h := s.call(0, x[0], x[1], encodeJob(t, arrayJob("j-000001")))
		if code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
			t.Errorf("%v: %d %v", x, code, h)
		}
	}
}

// TestOverloadIsAnsweredWithRetryAfter: when more is submitted at once than the rate of the key-value store allows in
// the time after which users ask again, the others are not held but told to retry, and what was accepted is recorded.
func TestOverloadIsAnsweredWithRetryAfter(t *testing.T) {
	const users = 100
	s := newTestClusterWith(t, config.StoreLimits{RPS: 1e6, WriteRPS: 1e-3, TxnOps: 16}) // one write, and none for long
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
				t.Errorf("%s was called accepted", a.id)
			}
		case http.StatusServiceUnavailable:
			if a.header.Get("Retry-After") == "" {
				t.Errorf("%s was not told when to come back", a.id)
			}
		default:
			t.Errorf("%s: status %d", a.id, a.code)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of %d accepted", accepted, users)
	}
}

// TestManyQueriesAreAnswered: hundreds of users query about as many jobs at once, of which some end meanwhile, and each
// queries again. The rate of the key-value store would allow a tenth of them to read by themselves; all are answered,
// and no answer is older than another that a user had before.
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
	ask := func(want func(i int) protocol.JobState) {
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
	ask(func(int) protocol.JobState { return protocol.JobQueued })
	end := map[int]protocol.JobState{0: protocol.JobDone, 1: protocol.JobCancelled}
	for i := range users {
		if e, ok := end[i%3]; ok {
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
		ask(func(i int) protocol.JobState {
			if e, ok := end[i%3]; ok {
				return e
			}
			return protocol.JobQueued
		})
	}
	if code, _, _ := s.call(0, http.MethodGet, "/submissions/j-9999", nil); code != http.StatusNotFound {
		t.Errorf("a job that nobody submitted: %d", code)
	}
}
