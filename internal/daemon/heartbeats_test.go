package daemon

import (
	"testing"
	"time"

	"pinebay/internal/coordination/cancellation"
	"pinebay/internal/coordination/election"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
)

// TestReplyStartsNoCancelledJob guards against start commands in a reply that the leader decided before an intent to
// cancel their job arrived. Other commands stay, and so do starts after an intent that was not followed by a
// cancellation.
func TestReplyStartsNoCancelledJob(t *testing.T) {
	const now, validity = time.Hour, time.Minute
	for _, test := range []struct {
		name      string
		announced time.Duration
		job       string
		want      int
	}{
		{"no intent", 0, "", 4},
		{"cancelled", now - validity/2, "j-1", 2},
		{"other job cancelled", now - validity/2, "j-3", 4},
		{"expired intent", now - 2*validity, "j-1", 4},
	} {
		intents := cancellation.New(random.New(1), []string{"n-1"}, now, 0, 10)
		if test.job != "" {
			if _, err := intents.Announce(test.announced, 0, test.job); err != nil {
				t.Fatal(err)
			}
		}
		h := &workerHeartbeats{environment: &environment{
			start:   time.Now().Add(-now),
			times:   election.Timing{CancellationTimeout: validity},
			intents: intents,
		}}
		reply := protocol.WorkerHeartbeatReply{Commands: []protocol.Command{
			{Verb: protocol.VerbRun, TaskName: "j-1/0", Attempt: 1},
			{Verb: protocol.VerbStop, TaskName: "j-1/1", Attempt: 1},
			{Verb: protocol.VerbRun, TaskName: "j-2/0", Attempt: 1},
			{Verb: protocol.VerbRun, TaskName: "j-1/2", Attempt: 1},
		}}
		if dropped := h.dropForbiddenStarts(&reply); dropped != (test.want < 4) || len(reply.Commands) != test.want {
			t.Errorf("%s: commands %v, dropped some: %v; want %d", test.name, reply.Commands, dropped, test.want)
		}
		for _, c := range reply.Commands {
			if test.want < 4 && c.StartsTaskOf(func(job string) bool { return job == test.job }) {
				t.Errorf("%s: the reply starts %s", test.name, c.TaskName)
			}
		}
	}
}
