package api

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// awaiting returns an array that awaits others.
func awaiting(id string, awaits ...string) protocol.Job {
	j := array(id)
	j.Awaits = awaits
	return j
}

// newPipelineSite returns a site on which jobs may await others.
func newPipelineSite(t testing.TB) *site {
	s := newSiteWith(t, config.State{RPS: 1e6, WriteRPS: 1e6, TxnOps: 16, ValueKB: 8, Next: config.StateLimits{ValueKB: 2}})
	for _, server := range s.servers {
		server.SetLevel(featurelevel.Pipelines)
	}
	return s
}

// end records how a job ended, as a leader does.
func (s *site) end(id string, rec storage.EndedRecord) {
	live := s.state.Get(storage.LiveKey(id))
	if live.Version == 0 {
		return
	}
	value, err := protocol.Encode(rec)
	if err != nil {
		s.t.Fatal(err)
	}
	s.state.Txn(protocol.Txn{If: []protocol.Cond{{Key: live.Key, Version: live.Version}}, Then: []protocol.Op{{Delete: live.Key}, {Put: storage.EndedKey(id), Value: value}}})
}

// TestSubmissionsThatAwait: each answer that a submission with awaited jobs may get.
func TestSubmissionsThatAwait(t *testing.T) {
	s := newPipelineSite(t)
	service := array("j-3")
	service.Shape = protocol.Service
	for _, j := range []protocol.Job{array("j-1"), array("j-2"), service, array("j-4")} {
		if code, _, _ := s.call(0, "POST", "/submissions", body(t, j)); code != http.StatusCreated {
			t.Fatalf("%s: %d", j.ID, code)
		}
	}
	s.end("j-2", storage.EndedRecord{Standing: protocol.Done, Done: 2})
	s.call(1, "POST", "/submissions/j-4/withdraw", nil)
	many := awaiting("j-17")
	for i := range 200 {
		many.Awaits = append(many.Awaits, fmt.Sprintf("j-%04d", i))
	}
	for _, x := range []struct {
		job      protocol.Job
		code     int
		standing protocol.Standing
		names    string
	}{
		{awaiting("j-10", "j-1"), 201, protocol.Queued, ""},
		{awaiting("j-10", "j-1"), 200, protocol.Queued, ""},
		{awaiting("j-11", "j-1", "j-2"), 201, protocol.Queued, ""},
		{awaiting("j-12", "j-10", "j-11"), 201, protocol.Queued, ""},
		{awaiting("j-13", "j-9"), 422, "", "j-9"},
		{awaiting("j-14", "j-1", "j-14"), 422, "", "j-14"},
		{awaiting("j-15", "j-3"), 422, "", "j-3"},
		{awaiting("j-16", "j-1", "j-4"), 201, protocol.Cancelled, ""},
		{awaiting("j-18", "j-16"), 201, protocol.Cancelled, ""},
		{many, 422, "", "200 jobs"},
	} {
		for node := range s.nodes {
			code, st, why := s.submit(node, x.job)
			want := x.code
			if node > 0 && want == 201 {
				want = 200
			}
			if code != want || st.Standing != x.standing || !strings.Contains(why, x.names) {
				t.Errorf("%s after %v at controller %d: %d %s %q, want %d %s naming %q", x.job.ID, x.job.Awaits, node, code, st.Standing, why, want, x.standing, x.names)
			}
		}
	}
	for id, want := range map[string]protocol.Standing{"j-10": protocol.Queued, "j-16": protocol.Cancelled, "j-18": protocol.Cancelled} {
		if code, st, _ := s.call(1, "GET", "/submissions/"+id, nil); code != 200 || st.Standing != want {
			t.Errorf("%s: %d %s, want %s", id, code, st.Standing, want)
		}
	}
	if s.state.Get(storage.LiveKey("j-13")).Version+s.state.Get(storage.LiveKey("j-15")).Version > 0 {
		t.Error("a refused submission was recorded")
	}
}

// submit submits a job at a controller, and returns the reason if it is refused.
func (s *site) submit(node int, j protocol.Job) (int, protocol.JobStatus, string) {
	return s.callWhy(node, "POST", "/submissions", body(s.t, j))
}

// TestAwaitingIsPutOffBeforeTheLevel: until all controllers can read awaited jobs, a submission that names some is
// told when to come back, and is never accepted without them. Others are accepted.
func TestAwaitingIsPutOffBeforeTheLevel(t *testing.T) {
	s := newSiteWith(t, config.State{RPS: 1e6, WriteRPS: 1e6, TxnOps: 16, ValueKB: 8})
	s.call(0, "POST", "/submissions", body(t, array("j-1")))
	code, _, h := s.call(0, "POST", "/submissions", body(t, awaiting("j-2", "j-1")))
	if code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" || s.state.Get(storage.LiveKey("j-2")).Version != 0 {
		t.Errorf("before the level: %d %v", code, h)
	}
	s.servers[0].SetLevel(featurelevel.Pipelines)
	s.state.Down = true
	if code, _, h := s.call(0, "POST", "/submissions", body(t, awaiting("j-2", "j-1"))); code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("in an outage: %d %v", code, h)
	}
}

// TestCancelledWithWhatItAwaits plays users of a graph of jobs at both controllers, and a leader that ends some and
// records cascades late or never: what a job that awaits a cancelled one was called never goes back, and within
// the very next question every controller calls it cancelled, without a majority, which nobody needs for it.
func TestCancelledWithWhatItAwaits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newPipelineSite(t)
		awaits, ended := map[string][]string{}, map[string]protocol.Standing{}
		var ids []string
		var cancelledWithNeed func(id string) bool
		cancelledWithNeed = func(id string) bool {
			for _, need := range awaits[id] {
				if ended[need] == protocol.Cancelled || ended[need] == "" && cancelledWithNeed(need) {
					return true
				}
			}
			return false
		}
		free := func(id string) bool {
			for _, need := range awaits[id] {
				if ended[need] != protocol.Done {
					return false
				}
			}
			return true
		}
		for i := range rapid.IntRange(2, 20).Draw(rt, "steps") {
			node := rapid.IntRange(0, 1).Draw(rt, "node")
			if len(ids) == 0 || rapid.IntRange(0, 1).Draw(rt, "what") == 0 {
				id := fmt.Sprintf("j-%02d", i)
				for _, other := range ids {
					if rapid.IntRange(0, 2).Draw(rt, "awaits "+other) == 0 {
						awaits[id] = append(awaits[id], other)
					}
				}
				want := protocol.Queued
				if cancelledWithNeed(id) {
					want = protocol.Cancelled
				}
				if code, st, why := s.submit(node, awaiting(id, awaits[id]...)); code != 201 || st.Standing != want {
					rt.Fatalf("%s after %v: %d %s %s, want %s", id, awaits[id], code, st.Standing, why, want)
				}
				ids = append(ids, id)
				continue
			}
			id := rapid.SampledFrom(ids).Draw(rt, "job")
			switch {
			case rapid.IntRange(0, 2).Draw(rt, "ask") == 0:
			case cancelledWithNeed(id) && rapid.Bool().Draw(rt, "record"):
				if ended[id] == "" {
					ended[id] = protocol.Cancelled
					s.end(id, storage.EndedRecord{Standing: protocol.Cancelled, Need: "j-00"})
				}
			case free(id) && rapid.Bool().Draw(rt, "done"):
				if ended[id] == "" {
					ended[id] = protocol.Done
					s.end(id, storage.EndedRecord{Standing: protocol.Done, Done: 2})
				}
			default:
				want := protocol.Cancelled
				if ended[id] == protocol.Done {
					want = protocol.Done
				}
				if code, st, _ := s.call(node, "POST", "/submissions/"+id+"/withdraw", nil); code != 200 || st.Standing != want {
					rt.Fatalf("cancelling %s: %d %s, want %s", id, code, st.Standing, want)
				}
				ended[id] = want
			}
			for _, id := range ids {
				want := ended[id]
				switch {
				case want == "" && cancelledWithNeed(id):
					want = protocol.Cancelled
				case want == "":
					want = protocol.Queued
				}
				if code, st, _ := s.call(1-node, "GET", "/submissions/"+id, nil); code != 200 || st.Standing != want {
					rt.Fatalf("%s after %v: %d %s, want %s", id, awaits[id], code, st.Standing, want)
				}
			}
		}
	})
}

// TestCascadeNeedsNoMajority: a job that is cancelled with one that it awaits has no tasks, so that a controller
// without the others tells of it.
func TestCascadeNeedsNoMajority(t *testing.T) {
	s := newPipelineSite(t)
	for _, j := range []protocol.Job{array("j-1"), awaiting("j-2", "j-1"), awaiting("j-3", "j-2")} {
		s.submit(0, j)
	}
	s.call(0, "POST", "/submissions/j-1/withdraw", nil)
	s.end("j-2", storage.EndedRecord{Standing: protocol.Cancelled, Need: "j-1"})
	s.unsafe = errors.New("cut off")
	for _, id := range []string{"j-2", "j-3"} {
		if code, st, _ := s.call(1, "GET", "/submissions/"+id, nil); code != 200 || st.Standing != protocol.Cancelled {
			t.Errorf("%s: %d %s", id, code, st.Standing)
		}
	}
}
