package ownership

import (
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestOwnerStatusMayAnswer checks that an owner may not answer if any one of the preconditions is violated.
func TestOwnerStatusMayAnswer(t *testing.T) {
	valid := OwnerStatus{
		Table:              NewTable(4, []Member{member("a", 1, 0), member("b", 2, 0)}),
		Controller:         "b",
		Process:            2,
		Leader:             "a",
		LeaderEpoch:        4,
		DigestAge:          time.Second,
		MaxDigestAge:       2 * time.Second,
		KnowsCancellations: true,
	}
	if !valid.MayAnswer() {
		t.Fatal("an owner that meets all preconditions may not answer")
	}
	for _, test := range []struct {
		name   string
		change func(*OwnerStatus)
	}{
		{"no table in force", func(s *OwnerStatus) { s.Table = nil }},
		{"no owner", func(s *OwnerStatus) { s.Table = NewTable(4, []Member{member("a", 1, 0)}) }},
		{"another process owns", func(s *OwnerStatus) { s.Process = 3 }},
		{"no leader", func(s *OwnerStatus) { s.Leader = "" }},
		{"it leads", func(s *OwnerStatus) { s.Leader = "b" }},
		{"leader in a later epoch", func(s *OwnerStatus) { s.LeaderEpoch = 5 }},
		{"leader without an epoch", func(s *OwnerStatus) { s.LeaderEpoch = 0 }},
		{"digest not acknowledged recently", func(s *OwnerStatus) { s.DigestAge = 3 * time.Second }},
		{"cancellations may be unknown", func(s *OwnerStatus) { s.KnowsCancellations = false }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := valid
			test.change(&s)
			if s.MayAnswer() {
				t.Error("may answer although a precondition is violated")
			}
		})
	}
}

// TestUnchangedReplyStopsCancelledTasksOnly checks that an owner's reply stops the tasks of cancelled jobs, contains no
// other commands, and carries the worker's own fencing token.
func TestUnchangedReplyStopsCancelledTasksOnly(t *testing.T) {
	h := &protocol.WorkerHeartbeat{
		Machine:      "m1",
		Incarnation:  2,
		FencingToken: 77,
		Tasks: []protocol.TaskStatus{
			{TaskName: "j-1/0", Attempt: 3, State: protocol.TaskRunning},
			{TaskName: "j-2/1", Attempt: 1, State: protocol.TaskFetching},
			{TaskName: "j-1/1", Attempt: 1, State: protocol.TaskExited},
		},
	}
	reply := UnchangedReply(h, func(job string) bool { return job == "j-1" })
	if reply.FencingToken != 77 || len(reply.Commands) != 1 {
		t.Fatalf("reply %+v, want one command and fencing token 77", reply)
	}
	if c := reply.Commands[0]; c.Verb != protocol.VerbStop || c.TaskName != "j-1/0" || *c.GraceSeconds != 0 {
		t.Errorf("command %+v, want to stop j-1/0 at once", c)
	}
	if reply := UnchangedReply(h, func(string) bool { return false }); len(reply.Commands) != 0 {
		t.Errorf("commands %+v although no job is cancelled, want none", reply.Commands)
	}
}
