package cancellation

import (
	"errors"
	"testing"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const (
	testRetention = 30 * time.Second
	testRecovery  = 10 * time.Second
)

// TestIntentReuseExpiryAndLimit checks that an announced intent is reused only while it is recent, that the number of
// intents is limited, and that all intents expire. A peer whose version predates intents holds none and confirms none.
func TestIntentReuseExpiryAndLimit(t *testing.T) {
	const limit, expired = 3, testRetention + 4*time.Second
	l := New(random.NewSystemSeeded(), []string{"b"}, testRetention, 0, limit)
	first := announce(t, l, 0, "j-1")
	if again := announce(t, l, time.Second, "j-1"); again != first {
		t.Errorf("recent intent %v was not reused, got %v", first, again)
	}
	if later := announce(t, l, 2*time.Second, "j-1"); later == first {
		t.Error("an outdated intent was reused")
	}
	announce(t, l, 3*time.Second, "j-2")
	for _, job := range []string{"j-3", "j-4"} {
		if _, err := l.Announce(3*time.Second, 0, job); !errors.Is(err, ErrFull) {
			t.Errorf("intent for %s beyond the limit: error %v, want ErrFull", job, err)
		}
	}
	if got := l.Receive(3*time.Second, &protocol.PeerMessage{From: "b"}, true); got.Complete || got.Recovered {
		t.Errorf("message of a peer without intents: got %+v, want neither complete nor recovered", got)
	}
	if held, _ := l.HolderCount(first.Sequence); held != 1 {
		t.Errorf("%d controllers count as holding an unacknowledged intent, want 1", held)
	}
	if jobs := l.NewestByJob(expired); len(jobs) > 0 || l.HasIntent(expired, "j-1") || len(l.newestLocal) > 0 {
		t.Errorf("intents or jobs were kept beyond the retention time: %v", jobs)
	}
}

// announce announces the cancellation of a job. Intents up to one second old are reused.
func announce(t *testing.T, l *IntentLog, now time.Duration, job string) LocalIntent {
	t.Helper()
	intent, err := l.Announce(now, time.Second, job)
	if err != nil {
		t.Fatalf("announce %s: %v", job, err)
	}
	return intent
}
