package leader

import (
	"log/slog"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// TestWriteOutcomes checks that a write is repeated until its outcome is known, and that the record shows the success
// of an earlier attempt that got no response.
func TestWriteOutcomes(t *testing.T) {
	const key, writeID = "ended/j-1", 7
	unacknowledged := simulation.Outcome{}             // applied, no response
	notApplied := simulation.Outcome{Delay: time.Hour} // applied after the end of the test, no response
	acknowledged := simulation.Outcome{Reply: true}    // applied
	malformed := simulation.Outcome{Rejected: true}    // never applied
	value := func(name string) []byte { return mustEncode(t, storage.EndedJobRecord{WriteName: name}) }
	put := protocol.Txn{
		If:   []protocol.Compare{{Key: key}},
		Then: []protocol.Op{{PutKey: key, Value: value("7.1")}},
	}
	remove := protocol.Txn{
		If:   []protocol.Compare{{Key: key, Revision: 1}},
		Then: []protocol.Op{{DeleteKey: key}},
	}
	for _, test := range []struct {
		name      string
		existing  []byte // value of the record before the write, or nil
		txn       protocol.Txn
		writeName string
		outcomes  []simulation.Outcome
		want      scheduler.TransactionOutcome
	}{
		{
			"at once", nil, put, "7.1",
			[]simulation.Outcome{acknowledged},
			scheduler.TransactionOutcome{Succeeded: true, Revision: 1},
		},
		{
			"comparison failed", value("6.9"), put, "7.1",
			[]simulation.Outcome{acknowledged},
			scheduler.TransactionOutcome{FailedKeys: []string{key}},
		},
		{
			"executed without an answer", nil, put, "7.1",
			[]simulation.Outcome{unacknowledged, acknowledged},
			scheduler.TransactionOutcome{Succeeded: true, Revision: 1, FailedKeys: []string{key}},
		},
		{
			"not executed and not answered", nil, put, "7.1",
			[]simulation.Outcome{notApplied, acknowledged},
			scheduler.TransactionOutcome{Succeeded: true, Revision: 1},
		},
		{
			"not answered, and another write was there", value("6.9"), put, "7.1",
			[]simulation.Outcome{notApplied, acknowledged},
			scheduler.TransactionOutcome{Revision: 1, FailedKeys: []string{key}},
		},
		{
			"removed without an answer", value("6.9"), remove, "",
			[]simulation.Outcome{unacknowledged, acknowledged},
			scheduler.TransactionOutcome{Succeeded: true, FailedKeys: []string{key}},
		},
		{
			"malformed", nil, put, "7.1",
			[]simulation.Outcome{malformed},
			scheduler.TransactionOutcome{Malformed: true},
		},
		{
			"malformed after an execution without an answer", nil, put, "7.1",
			[]simulation.Outcome{unacknowledged, malformed},
			scheduler.TransactionOutcome{Succeeded: true, Revision: 1},
		},
		{
			"malformed after a try that was not executed", nil, put, "7.1",
			[]simulation.Outcome{notApplied, malformed},
			scheduler.TransactionOutcome{Malformed: true},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := simulation.NewStore()
			if test.existing != nil {
				store.Txn(protocol.Txn{Then: []protocol.Op{{PutKey: key, Value: test.existing}}})
			}
			outcomes := test.outcomes
			store.SetOutcomes(func(string, *protocol.Txn) simulation.Outcome {
				next := outcomes[0]
				outcomes = outcomes[1:]
				return next
			})
			l := newWriteOnlyLeader(t, store)
			w := scheduler.Write{ID: writeID, Txn: test.txn, VerifyKey: key, VerifyName: test.writeName}
			l.write(t.Context(), w, l.deps.Store.Admit(writeBudget(w.Priority), &w.Txn))
			messages := l.mailbox.Drain()
			if len(messages) != 1 || len(outcomes) != 0 {
				t.Fatalf("got %d messages with %d outcomes left, want 1 and 0", len(messages), len(outcomes))
			}
			test.want.WriteID = writeID
			if !reflect.DeepEqual(messages[0], test.want) {
				t.Errorf("got %+v, want %+v", messages[0], test.want)
			}
		})
	}
}

// newWriteOnlyLeader returns a leader that can only execute writes.
func newWriteOnlyLeader(t *testing.T, store *simulation.Store) *Leader {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	cfg := &config.Deployment{
		Controllers: 3,
		Workers:     config.Workers{LeaseSeconds: 10},
		Store:       config.StoreLimits{RPS: 1e6, WriteRPS: 1e6, ValueKB: 8, TxnOps: 16},
		Quota:       config.Quota{MaxSockets: 500},
	}
	const timeout = 100 * time.Millisecond
	addr := strings.TrimPrefix(srv.URL, "http://")
	return &Leader{
		deps: Dependencies{
			Store:  storage.NewClient(transport.TCP{}, random.New(1), cfg, addr, timeout),
			Random: random.New(1),
		},
		log:     slog.New(slog.DiscardHandler),
		mailbox: actor.NewMailbox[any](),
	}
}

func mustEncode(t *testing.T, record any) []byte {
	t.Helper()
	raw, err := protocol.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
