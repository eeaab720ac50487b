package daemon

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"pinebay/internal/coordination/election"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// newTestElectionActor returns the election actor of a controller that uses the store, and the buffer to which it logs.
func newTestElectionActor(t *testing.T, name string, store *simulation.Store) (*electionActor, *bytes.Buffer) {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	settings := testSettings()
	settings.Name = name
	settings.Endpoints.Store = strings.TrimPrefix(srv.URL, "http://")
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	return New(transport.TCP{}, random.New(1), settings, Features{}, log).election, &out
}

// TestClaims checks that a claim wins a term above every known term, and that it loses to a leader that the claimant
// does not know of yet.
func TestClaims(t *testing.T) {
	store := simulation.NewStore()
	first, _ := newTestElectionActor(t, "n-0", store)
	second, _ := newTestElectionActor(t, "n-1", store)
	for _, row := range []struct {
		name  string
		actor *electionActor
		above uint64
		won   bool
		term  uint64
	}{
		{"the first", first, 0, true, 1},
		{"a leader that is not known yet", second, 0, false, 0},
		{"over a leader that is known", second, 1, true, 2},
		{"by the leader of an earlier process", second, 0, true, 3},
		{"above a term that no record names", first, 9, true, 10},
	} {
		got := row.actor.claim(t.Context(), election.Claim{AboveTerm: row.above})
		if got.Won != row.won || got.Term != row.term {
			t.Fatalf("%s: claim returned %+v, want won %v with term %d", row.name, got, row.won, row.term)
		}
		if !row.won {
			continue
		}
		var key storage.LeaderRecord
		record := store.Get(storage.LeaderKey)
		if err := protocol.Decode(record.Value, &key); err != nil {
			t.Fatal(err)
		}
		if key.Term != row.term || key.Controller != row.actor.cfg.Name || record.Revision != got.Revision {
			t.Errorf("%s: leader key is %+v at revision %d, claimed %+v", row.name, key, record.Revision, got)
		}
	}
	want := election.LeaderKey{Present: true, Holder: "n-0", Term: 1}
	if messages := second.mailbox.Drain(); !slices.Contains(messages, election.Event(want)) {
		t.Errorf("events sent to the election: %v, want %+v among them", messages, want)
	}
}

// TestClaimAgainstNewerLevel checks that a version that does not support the final feature level does not become
// leader, and logs this only once.
func TestClaimAgainstNewerLevel(t *testing.T) {
	store := simulation.NewStore()
	value, err := storage.EncodeTerm(storage.TermRecord{Term: 4, Controller: "n-1", ClaimID: "1", FeatureLevel: 1000})
	if err != nil {
		t.Fatal(err)
	}
	if _, failed, _ := store.Txn(
		protocol.Txn{Then: []protocol.Op{{PutKey: storage.TermKey, Value: value}}},
	); failed != nil {
		t.Fatal(failed)
	}
	actor, out := newTestElectionActor(t, "n-0", store)
	for range 2 {
		if got := actor.claim(t.Context(), election.Claim{AboveTerm: 4}); got.Won {
			t.Errorf("claim won at an unsupported feature level: %+v", got)
		}
	}
	if lines := strings.Count(out.String(), "feature level not supported"); lines != 1 {
		t.Errorf("message logged %d times, want once:\n%s", lines, out.String())
	}
	if store.Get(storage.LeaderKey).Revision != 0 {
		t.Error("leader key is held after a rejected claim")
	}
}
