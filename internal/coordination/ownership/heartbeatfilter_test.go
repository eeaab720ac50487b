package ownership

import (
	"slices"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

const (
	testTerm            = 7
	testRefreshInterval = 5 * time.Second
)

// testHeartbeat returns the heartbeat of a machine with one running task. A non-nil change is applied to it.
func testHeartbeat(change func(*protocol.WorkerHeartbeat)) *protocol.WorkerHeartbeat {
	h := &protocol.WorkerHeartbeat{
		Machine:      "m1",
		Incarnation:  2,
		Sequence:     10,
		FencingToken: protocol.FencingToken(testTerm, 1),
		Tasks:        []protocol.TaskStatus{{TaskName: "j-1/0", Attempt: 1, State: protocol.TaskRunning}},
	}
	if change != nil {
		change(h)
	}
	return h
}

// TestHeartbeatFilter checks that an owner forwards a heartbeat unless the leader of the term has recently answered one
// with the same content.
func TestHeartbeatFilter(t *testing.T) {
	notice := 3.0
	for _, test := range []struct {
		name      string
		change    func(*protocol.WorkerHeartbeat)
		after     time.Duration // 1 s if zero
		term      uint64        // testTerm if zero
		requested bool          // whether the leader requested the next heartbeat
		forward   bool
	}{
		{name: "same"},
		{name: "later sequence", change: func(h *protocol.WorkerHeartbeat) { h.Sequence = 99 }},
		{name: "other incarnation", change: func(h *protocol.WorkerHeartbeat) { h.Incarnation = 3 }, forward: true},
		{name: "higher token", change: func(h *protocol.WorkerHeartbeat) { h.FencingToken++ }, forward: true},
		{
			name:    "interruption notice",
			change:  func(h *protocol.WorkerHeartbeat) { h.InterruptionNoticeSeconds = &notice },
			forward: true,
		},
		{
			name:    "one more task",
			change:  func(h *protocol.WorkerHeartbeat) { h.Tasks = append(h.Tasks, h.Tasks[0]) },
			forward: true,
		},
		{name: "no task", change: func(h *protocol.WorkerHeartbeat) { h.Tasks = nil }, forward: true},
		{
			name:    "other task state",
			change:  func(h *protocol.WorkerHeartbeat) { h.Tasks[0].State = protocol.TaskSaving },
			forward: true,
		},
		{name: "other attempt", change: func(h *protocol.WorkerHeartbeat) { h.Tasks[0].Attempt = 2 }, forward: true},
		{name: "refresh interval is over", after: testRefreshInterval, forward: true},
		{name: "other term", term: testTerm + 1, forward: true},
		{name: "requested by the leader", requested: true, forward: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := NewHeartbeatFilter(testRefreshInterval)
			if !f.MustForward(0, testHeartbeat(nil), testTerm) {
				t.Fatal("the first heartbeat need not be forwarded")
			}
			f.RecordForwarded(0, testHeartbeat(nil))
			if test.requested {
				f.ForwardNext([]string{"m1", "unknown"})
			}
			now := max(test.after, time.Second)
			term := max(test.term, testTerm)
			if got := f.MustForward(now, testHeartbeat(test.change), term); got != test.forward {
				t.Errorf("MustForward() = %v, want %v", got, test.forward)
			}
		})
	}
}

// TestExitedTasksAreForwarded checks that heartbeats that contain an exited task are always forwarded.
func TestExitedTasksAreForwarded(t *testing.T) {
	f := NewHeartbeatFilter(testRefreshInterval)
	exited := testHeartbeat(func(h *protocol.WorkerHeartbeat) { h.Tasks[0].State = protocol.TaskExited })
	f.MustForward(0, exited, testTerm)
	f.RecordForwarded(0, exited)
	if !f.MustForward(time.Second, exited, testTerm) {
		t.Error("a repeated heartbeat with an exited task need not be forwarded")
	}
}

// TestTakeUnchanged checks that the latest heartbeat of each machine that the owner answered is returned exactly once.
func TestTakeUnchanged(t *testing.T) {
	f := NewHeartbeatFilter(testRefreshInterval)
	f.RecordForwarded(0, testHeartbeat(nil))
	f.RecordLocalReply(testHeartbeat(func(h *protocol.WorkerHeartbeat) { h.Sequence = 11 }))
	want := []UnchangedHeartbeat{{Machine: "m1", Incarnation: 2, Sequence: 11}}
	if got := f.TakeUnchanged(); !slices.Equal(got, want) {
		t.Errorf("TakeUnchanged() = %v, want %v", got, want)
	}
	if got := f.TakeUnchanged(); len(got) > 0 {
		t.Errorf("second TakeUnchanged() = %v, want none", got)
	}
}
