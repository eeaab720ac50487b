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

// dependentJob returns an array job with dependencies.
func dependentJob(id string, dependencies ...string) protocol.Job {
	j := arrayJob(id)
	j.Dependencies = dependencies
	return j
}

// newPipelineCluster returns a cluster at the feature level at which jobs may have dependencies.
func newPipelineCluster(tb testing.TB) *testCluster {
	tb.Helper()
	s := newTestClusterWith(tb, config.StoreLimits{
		RPS:      1e6,
		WriteRPS: 1e6,
		TxnOps:   16,
		ValueKB:  8,
		Next:     config.FutureStoreLimits{ValueKB: 2},
	})
	for _, server := range s.servers {
		server.SetFeatureLevel(featurelevel.Pipelines)
	}
	return s
}

// endJob replaces the live record of a job with an ended record, as a leader does.
func (s *testCluster) endJob(id string, rec storage.EndedJobRecord) {
	s.t.Helper()
	live := s.store.Get(storage.LiveJobKey(id))
	if live.Revision == 0 {
		return
	}
	value, err := protocol.Encode(rec)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Txn(protocol.Txn{
		If:   []protocol.Compare{{Key: live.Key, Revision: live.Revision}},
		Then: []protocol.Op{{DeleteKey: live.Key}, {PutKey: storage.EndedJobKey(id), Value: value}},
	})
}

// TestSubmissionsWithDependencies checks the response to each kind of submission with dependencies, on both
// controllers.
func TestSubmissionsWithDependencies(t *testing.T) {
	s := newPipelineCluster(t)
	service := arrayJob("j-3")
	service.Shape = protocol.Service
	for _, j := range []protocol.Job{arrayJob("j-1"), arrayJob("j-2"), service, arrayJob("j-4")} {
		if code, _, _ := s.call(0, "POST", "/submissions", encodeJob(t, j)); code != http.StatusCreated {
			t.Fatalf("submission of %s: status %d, want 201", j.ID, code)
		}
	}
	s.endJob("j-2", storage.EndedJobRecord{State: protocol.JobDone, DoneTasks: 2})
	s.call(1, "POST", "/submissions/j-4/withdraw", nil)
	many := dependentJob("j-17")
	for i := range 200 {
		many.Dependencies = append(many.Dependencies, fmt.Sprintf("j-%04d", i))
	}
	for _, x := range []struct {
		job    protocol.Job
		code   int
		state  protocol.JobState
		reason string
	}{
		{dependentJob("j-10", "j-1"), 201, protocol.JobQueued, ""},
		{dependentJob("j-10", "j-1"), 200, protocol.JobQueued, ""},
		{dependentJob("j-11", "j-1", "j-2"), 201, protocol.JobQueued, ""},
		{dependentJob("j-12", "j-10", "j-11"), 201, protocol.JobQueued, ""},
		{dependentJob("j-13", "j-9"), 422, "", "j-9"},
		{dependentJob("j-14", "j-1", "j-14"), 422, "", "j-14"},
		{dependentJob("j-15", "j-3"), 422, "", "j-3"},
		{dependentJob("j-16", "j-1", "j-4"), 201, protocol.JobCancelled, ""},
		{dependentJob("j-18", "j-16"), 201, protocol.JobCancelled, ""},
		{many, 422, "", "200 jobs"},
	} {
		for controller := range s.handlers {
			code, st, message := s.submit(controller, x.job)
			want := x.code
			if controller > 0 && want == 201 {
				want = 200
			}
			if code != want || st.State != x.state || !strings.Contains(message, x.reason) {
				t.Errorf("%s with dependencies %v on controller %d: %d %s %q, want %d %s and an error with %q",
					x.job.ID, x.job.Dependencies, controller, code, st.State, message, want, x.state, x.reason)
			}
		}
	}
	for id, want := range map[string]protocol.JobState{
		"j-10": protocol.JobQueued,
		"j-16": protocol.JobCancelled,
		"j-18": protocol.JobCancelled,
	} {
		if code, st, _ := s.call(1, "GET", "/submissions/"+id, nil); code != 200 || st.State != want {
			t.Errorf("%s: %d %s, want %s", id, code, st.State, want)
		}
	}
	if s.store.Get(storage.LiveJobKey("j-13")).Revision+s.store.Get(storage.LiveJobKey("j-15")).Revision > 0 {
		t.Error("a rejected submission was recorded")
	}
}

// submit submits a job to a controller. It returns the text of the error, if there is one, in place of the header.
func (s *testCluster) submit(controller int, j protocol.Job) (int, protocol.JobStatus, string) {
	s.t.Helper()
	return s.callWithError(controller, "POST", "/submissions", encodeJob(s.t, j))
}

// TestDependenciesNeedTheFeatureLevel checks that a submission with dependencies is told to retry until all controllers
// can read dependencies, and is never accepted without them. Submissions without dependencies are accepted.
func TestDependenciesNeedTheFeatureLevel(t *testing.T) {
	s := newTestClusterWith(t, config.StoreLimits{RPS: 1e6, WriteRPS: 1e6, TxnOps: 16, ValueKB: 8})
	s.call(0, "POST", "/submissions", encodeJob(t, arrayJob("j-1")))
	code, _, h := s.call(0, "POST", "/submissions", encodeJob(t, dependentJob("j-2", "j-1")))
	if code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" ||
		s.store.Get(storage.LiveJobKey("j-2")).Revision != 0 {
		t.Errorf("before the feature level: status %d, header %v, want 503 with Retry-After and no record", code, h)
	}
	s.servers[0].SetFeatureLevel(featurelevel.Pipelines)
	s.store.Unavailable = true
	code, _, h = s.call(0, "POST", "/submissions", encodeJob(t, dependentJob("j-2", "j-1")))
	if code != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("during an outage: status %d, header %v, want 503 with Retry-After", code, h)
	}
}

// TestCancelledWithItsDependency checks that a job with a cancelled dependency is reported as cancelled from the next
// query on, by every controller and without announcing an intent, and that its state never goes back. Users submit,
// cancel and query a graph of jobs on both controllers, while a leader ends some of them and records cascading
// cancellations late or never.
func TestCancelledWithItsDependency(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newPipelineCluster(t)
		dependencies, ended := map[string][]string{}, map[string]protocol.JobState{}
		var ids []string
		var cancelledByDependency func(id string) bool
		cancelledByDependency = func(id string) bool {
			for _, dependency := range dependencies[id] {
				if ended[dependency] == protocol.JobCancelled ||
					ended[dependency] == "" && cancelledByDependency(dependency) {
					return true
				}
			}
			return false
		}
		unblocked := func(id string) bool {
			for _, dependency := range dependencies[id] {
				if ended[dependency] != protocol.JobDone {
					return false
				}
			}
			return true
		}
		for i := range rapid.IntRange(2, 20).Draw(rt, "steps") {
			c := rapid.IntRange(0, 1).Draw(rt, "node")
			if len(ids) == 0 || rapid.IntRange(0, 1).Draw(rt, "what") == 0 {
				id := fmt.Sprintf("j-%02d", i)
				for _, other := range ids {
					if rapid.IntRange(0, 2).Draw(rt, "depends on "+other) == 0 {
						dependencies[id] = append(dependencies[id], other)
					}
				}
				want := protocol.JobQueued
				if cancelledByDependency(id) {
					want = protocol.JobCancelled
				}
				if code, st, message := s.submit(
					c,
					dependentJob(id, dependencies[id]...),
				); code != 201 ||
					st.State != want {
					rt.Fatalf(
						"submission of %s after %v: status %d, state %s, error %q, want 201 and %s",
						id,
						dependencies[id],
						code,
						st.State,
						message,
						want,
					)
				}
				ids = append(ids, id)
				continue
			}
			id := rapid.SampledFrom(ids).Draw(rt, "job")
			switch {
			case rapid.IntRange(0, 2).Draw(rt, "ask") == 0:
			case cancelledByDependency(id) && rapid.Bool().Draw(rt, "record"):
				if ended[id] == "" {
					ended[id] = protocol.JobCancelled
					s.endJob(id, storage.EndedJobRecord{State: protocol.JobCancelled, CancelledDependency: "j-00"})
				}
			case unblocked(id) && rapid.Bool().Draw(rt, "done"):
				if ended[id] == "" {
					ended[id] = protocol.JobDone
					s.endJob(id, storage.EndedJobRecord{State: protocol.JobDone, DoneTasks: 2})
				}
			default:
				want := protocol.JobCancelled
				if ended[id] == protocol.JobDone {
					want = protocol.JobDone
				}
				code, st, _ := s.call(c, "POST", "/submissions/"+id+"/withdraw", nil)
				if code != 200 || st.State != want {
					rt.Fatalf("cancellation of %s: %d %s, want %s", id, code, st.State, want)
				}
				ended[id] = want
			}
			for _, id := range ids {
				want := ended[id]
				switch {
				case want == "" && cancelledByDependency(id):
					want = protocol.JobCancelled
				case want == "":
					want = protocol.JobQueued
				}
				if code, st, _ := s.call(1-c, "GET", "/submissions/"+id, nil); code != 200 || st.State != want {
					rt.Fatalf(
						"query of %s after %v: status %d, state %s, want 200 and %s",
						id,
						dependencies[id],
						code,
						st.State,
						want,
					)
				}
			}
		}
	})
}

// TestCascadeNeedsNoQuorum checks that a controller that reaches no other one reports cascading cancellations to users.
// No quorum is needed, because a job that is cancelled together with a dependency has no tasks.
func TestCascadeNeedsNoQuorum(t *testing.T) {
	s := newPipelineCluster(t)
	for _, j := range []protocol.Job{arrayJob("j-1"), dependentJob("j-2", "j-1"), dependentJob("j-3", "j-2")} {
		s.submit(0, j)
	}
	s.call(0, "POST", "/submissions/j-1/withdraw", nil)
	s.endJob("j-2", storage.EndedJobRecord{State: protocol.JobCancelled, CancelledDependency: "j-1"})
	s.announceErr = errors.New("no quorum")
	for _, id := range []string{"j-2", "j-3"} {
		if code, st, _ := s.call(1, "GET", "/submissions/"+id, nil); code != 200 || st.State != protocol.JobCancelled {
			t.Errorf("query of %s: status %d, state %s, want 200 and cancelled", id, code, st.State)
		}
	}
}
