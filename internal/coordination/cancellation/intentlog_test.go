package cancellation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const (
	testRetention = 30 * time.Second
	testRecovery  = 10 * time.Second
)

// TestAcknowledgementsNeverOverstate plays two controllers that hand each other intents over a
// network that loses messages and brings old ones again, and that begin anew. Whoever
// is said to hold an intent does; whoever is said to be complete has everything that
// the other holds and that is not over.
func TestAcknowledgementsNeverOverstate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		most := rapid.SampledFrom([]int{4, 400}).Draw(t, "most")
		names := []string{"a", "b"}
		logs := map[string]*IntentLog{}
		begin := func(i int) {
			logs[names[i]] = New(random.NewSystemSeeded(), []string{names[1-i]}, testRetention, now+testRecovery, most)
		}
		begin(0)
		begin(1)
		var old []protocol.PeerMessage
		n := 0
		send := func(from, to string, life uint64) protocol.PeerMessage {
			m := protocol.PeerMessage{Kind: protocol.PeerHeartbeat, From: from}
			logs[from].FillMessage(now, to, life, &m)
			if len(old) < 50 {
				old = append(old, m)
			}
			return m
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, 1).Draw(t, "who")
			me, peer := names[i], names[1-i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				begin(i)
			case 1, 2, 3:
				n++
				job := fmt.Sprintf("j-%d", rapid.IntRange(0, 5).Draw(t, "job"))
				if own, err := logs[me].Announce(now, time.Second, job); err == nil && !logs[me].HasIntent(now, job) {
					t.Fatalf("%s does not hold its own %v", me, own)
				}
			case 4:
				if len(old) > 0 {
					m := old[rapid.IntRange(0, len(old)-1).Draw(t, "late")]
					if m.From != me {
						logs[me].Receive(now, &m, false)
					}
				}
			default:
				// A beat, of which the request or the answer may be lost.
				q := send(me, peer, 0)
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					break
				}
				logs[peer].Receive(now, &q, false)
				r := send(peer, me, q.Incarnation)
				if rapid.IntRange(0, 4).Draw(t, "unanswered") == 0 {
					break
				}
				got := logs[me].Receive(now, &r, true)
				if got.Complete {
					for _, e := range logs[peer].entries {
						if now-e.receivedAt <= testRetention && !logs[me].known[e.CancellationIntent] {
							t.Fatalf("%s is complete without %v of %s", me, e.CancellationIntent, peer)
						}
					}
				}
				if got.Recovered && now < logs[peer].recoveredAt {
					t.Fatalf("%s is whole", peer)
				}
				held := logs[me].peers[peer].confirmedHeld
				for k, e := range logs[me].entries {
					if logs[me].expired+uint64(k) < held && !logs[peer].known[e.CancellationIntent] &&
						now-e.receivedAt < testRetention {
						t.Fatalf("%s takes %s to hold %v: %d", me, peer, e.CancellationIntent, held)
					}
				}
			}
			for _, l := range logs {
				if len(l.entries) > most || len(l.known) != len(l.entries) {
					t.Fatalf("%d intents, %d known, of at most %d", len(l.entries), len(l.known), most)
				}
			}
		}
		// With no more trouble both hold all that fits.
		for range 2 * (1 + n/protocol.MaxIntentsPerMessage) {
			for i, me := range names {
				q := send(me, names[1-i], 0)
				logs[names[1-i]].Receive(now, &q, false)
				r := send(names[1-i], me, q.Incarnation)
				logs[me].Receive(now, &r, true)
			}
		}
		for i, me := range names {
			l, p := logs[me], logs[names[1-i]]
			if held, _ := l.Holders(l.expired + uint64(len(l.entries))); held != 2 && len(p.entries) < most {
				t.Fatalf("%d hold all of %s: %+v", held, me, l.peers[names[1-i]])
			}
		}
	})
}

// TestIntentReuseExpiryAndLimit: an intent of ours serves again only while it is fresh,
// all are forgotten in the end, and a peer of an older version consents to nothing.
func TestIntentReuseExpiryAndLimit(t *testing.T) {
	l := New(random.NewSystemSeeded(), []string{"b"}, testRetention, 0, 3)
	first, _ := l.Announce(0, time.Second, "j-1")
	if again, _ := l.Announce(time.Second, time.Second, "j-1"); again != first {
		t.Errorf("a fresh intent was made again: %v", again)
	}
	if later, _ := l.Announce(2*time.Second, time.Second, "j-1"); later == first {
		t.Error("an old intent served again")
	}
	for i := range 3 {
		_, err := l.Announce(3*time.Second, 0, fmt.Sprintf("j-%d", i+2))
		if (err == nil) != (i < 1) {
			t.Errorf("intent %d of at most 3: %v", i+3, err)
		}
	}
	if got := l.Receive(3*time.Second, &protocol.PeerMessage{From: "b"}, true); got.Complete || got.Recovered {
		t.Errorf("a peer without intents: %+v", got)
	}
	if held, _ := l.Holders(first.Sequence); held != 1 {
		t.Errorf("%d hold what nobody acknowledged", held)
	}
	if jobs := l.NewestByJob(
		testRetention + 4*time.Second,
	); len(jobs) > 0 || l.HasIntent(testRetention+4*time.Second, "j-1") ||
		len(l.own) > 0 {
		t.Errorf("%v are still held", jobs)
	}
}

// TestIntentsSpanSeveralMessages: a peer that has nothing yet holds all intents after as many
// messages as they fill, is complete only then, and only then counts as holding the last.
func TestIntentsSpanSeveralMessages(t *testing.T) {
	const intents = 5*protocol.MaxIntentsPerMessage + 1
	a, b := New(
		random.New(1),
		[]string{"b"},
		testRetention,
		0,
		2*intents,
	), New(
		random.New(2),
		[]string{"a"},
		testRetention,
		0,
		2*intents,
	)
	var last OwnIntent
	for i := range intents {
		own, err := a.Announce(0, 0, fmt.Sprintf("j-%06d", i))
		if err != nil {
			t.Fatal(err)
		}
		last = own
	}
	messages, complete := 0, false
	for ; !complete && messages < 20; messages++ {
		question, answer := protocol.PeerMessage{From: "b"}, protocol.PeerMessage{From: "a"}
		b.FillMessage(0, "a", 0, &question)
		a.Receive(0, &question, false)
		a.FillMessage(0, "b", question.Incarnation, &answer)
		complete = b.Receive(0, &answer, true).Complete
		if held, _ := a.Holders(last.Sequence); held > 1 {
			t.Fatalf("the last of %d intents counts as held after %d messages", intents, messages)
		}
	}
	if messages != 6 || len(b.NewestByJob(0)) != intents {
		t.Errorf("%d of %d intents after %d messages", len(b.NewestByJob(0)), intents, messages)
	}
	question, answer := protocol.PeerMessage{From: "a"}, protocol.PeerMessage{From: "b"}
	a.FillMessage(0, "b", 0, &question)
	b.Receive(0, &question, false)
	b.FillMessage(0, "a", question.Incarnation, &answer)
	a.Receive(0, &answer, true)
	if held, _ := a.Holders(last.Sequence); held != 2 {
		t.Errorf("%d hold the last intent", held)
	}
}
