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

// TestIntentReuseExpiryAndLimit checks that an own intent is reused only while it is recent, that the
// number of intents is limited, that all expire, and that a peer of a version without intents holds
// none and confirms nothing.
func TestIntentReuseExpiryAndLimit(t *testing.T) {
	const limit, expired = 3, testRetention + 4*time.Second
	l := New(random.NewSystemSeeded(), []string{"b"}, testRetention, 0, limit)
	first := announce(t, l, 0, "j-1")
	if again := announce(t, l, time.Second, "j-1"); again != first {
		t.Errorf("a recent intent %v was not reused: %v", first, again)
	}
	if later := announce(t, l, 2*time.Second, "j-1"); later == first {
		t.Error("an old intent was reused")
	}
	announce(t, l, 3*time.Second, "j-2")
	for _, job := range []string{"j-3", "j-4"} {
		if _, err := l.Announce(3*time.Second, 0, job); !errors.Is(err, ErrFull) {
			t.Errorf("intent of %s over the limit: error %v, want ErrFull", job, err)
		}
	}
	if got := l.Receive(3*time.Second, &protocol.PeerMessage{From: "b"}, true); got.Complete || got.Recovered {
		t.Errorf("a peer without intents: %+v", got)
	}
	if held, _ := l.Holders(first.Sequence); held != 1 {
		t.Errorf("%d controllers hold what nobody acknowledged", held)
	}
	if jobs := l.NewestByJob(expired); len(jobs) > 0 || l.HasIntent(expired, "j-1") || len(l.own) > 0 {
		t.Errorf("%v are still held", jobs)
	}
}

// announce announces a job and reuses intents for up to a second.
func announce(t *testing.T, l *IntentLog, now time.Duration, job string) OwnIntent {
	t.Helper()
	own, err := l.Announce(now, time.Second, job)
	if err != nil {
		t.Fatalf("announce %s: %v", job, err)
	}
	return own
}
