package cancellation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
)

// lossyPair is two controllers that exchange intents over a network that loses messages and delivers
// old ones again.
type lossyPair struct {
	t     *rapid.T
	now   time.Duration
	limit int // of intents that a log holds
	logs  map[string]*IntentLog
	sent  []protocol.PeerMessage // some that may be delivered again
	// held is when each running process received the intents that it holds or has let expire.
	held map[string]map[protocol.CancellationIntent]time.Duration
}

// otherOf names the other controller of a pair.
var otherOf = map[string]string{"a": "b", "b": "a"}

// start starts a new process of a controller.
func (p *lossyPair) start(name string) {
	peers := []string{otherOf[name]}
	p.logs[name] = New(random.NewSystemSeeded(), peers, testRetention, p.now+testRecovery, p.limit)
	p.held[name] = map[protocol.CancellationIntent]time.Duration{}
}

// noteHeld notes which intents the processes have received by now.
func (p *lossyPair) noteHeld() {
	for name, log := range p.logs {
		for _, e := range log.entries {
			p.held[name][e.CancellationIntent] = e.receivedAt
		}
	}
}

// letExpire says whether a process received an intent so long ago that it may have dropped it.
func (p *lossyPair) letExpire(name string, intent protocol.CancellationIntent) bool {
	at, received := p.held[name][intent]
	return received && p.now-at >= testRetention
}

// message returns a message to the other controller, for the given incarnation of that.
func (p *lossyPair) message(from string, incarnation uint64) protocol.PeerMessage {
	const maxSent = 50
	m := protocol.PeerMessage{Kind: protocol.PeerHeartbeat, From: from}
	p.logs[from].FillMessage(p.now, otherOf[from], incarnation, &m)
	if len(p.sent) < maxSent {
		p.sent = append(p.sent, m)
	}
	return m
}

func never() bool { return false }

// exchange sends a heartbeat and its answer. It says whether the answer arrived.
func (p *lossyPair) exchange(from string, requestLost, answerLost func() bool) (ReceiveResult, bool) {
	to := otherOf[from]
	request := p.message(from, 0)
	if requestLost() {
		return ReceiveResult{}, false
	}
	p.logs[to].Receive(p.now, &request, false)
	answer := p.message(to, request.Incarnation)
	if answerLost() {
		return ReceiveResult{}, false
	}
	return p.logs[from].Receive(p.now, &answer, true), true
}

// checkAnswer checks what a controller concludes from an answer of the other one.
func (p *lossyPair) checkAnswer(name string, result ReceiveResult) {
	p.t.Helper()
	own, other := p.logs[name], p.logs[otherOf[name]]
	if result.Complete {
		for _, e := range other.entries {
			expired := p.now-e.receivedAt > testRetention || p.letExpire(name, e.CancellationIntent)
			if !expired && !own.known[e.CancellationIntent] {
				p.t.Fatalf("%s is complete without %v", name, e.CancellationIntent)
			}
		}
	}
	if result.Recovered && p.now < other.recoveredAt {
		p.t.Fatalf("%s takes its peer for recovered at %v, before %v", name, p.now, other.recoveredAt)
	}
	held := own.peers[otherOf[name]].confirmedHeld
	for i, e := range own.entries {
		expired := p.now-e.receivedAt >= testRetention || p.letExpire(otherOf[name], e.CancellationIntent)
		if own.expired+uint64(i) < held && !expired && !other.known[e.CancellationIntent] {
			p.t.Fatalf("%s takes its peer to hold %v: %d", name, e.CancellationIntent, held)
		}
	}
}

// checkSizes checks that no log holds more than it may.
func (p *lossyPair) checkSizes() {
	p.t.Helper()
	for _, l := range p.logs {
		if len(l.entries) > p.limit || len(l.known) != len(l.entries) {
			p.t.Fatalf("%d intents, %d known, want %d at most", len(l.entries), len(l.known), p.limit)
		}
	}
}

// TestAcknowledgementsNeverOverstate checks, with lost and repeated messages and restarts, that a
// controller that counts as holding an intent does hold it, and that one that counts as complete has
// every intent of the other that has not expired. Without faults both hold all intents in the end.
func TestAcknowledgementsNeverOverstate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &lossyPair{
			t:     t,
			limit: rapid.SampledFrom([]int{4, 400}).Draw(t, "limit"),
			logs:  map[string]*IntentLog{},
			held:  map[string]map[protocol.CancellationIntent]time.Duration{},
		}
		names := []string{"a", "b"}
		for _, name := range names {
			p.start(name)
		}
		lost := func() bool { return rapid.IntRange(0, 4).Draw(t, "lost") == 0 }
		announced := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			p.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			name := names[rapid.IntRange(0, 1).Draw(t, "controller")]
			log := p.logs[name]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				p.start(name)
			case 1, 2, 3:
				announced++
				job := fmt.Sprintf("j-%d", rapid.IntRange(0, 5).Draw(t, "job"))
				if own, err := log.Announce(p.now, time.Second, job); err == nil && !log.HasIntent(p.now, job) {
					t.Fatalf("%s does not hold its own intent %v", name, own)
				}
			case 4:
				if len(p.sent) > 0 {
					m := p.sent[rapid.IntRange(0, len(p.sent)-1).Draw(t, "repeated")]
					if m.From != name {
						log.Receive(p.now, &m, false)
					}
				}
			default:
				if result, answered := p.exchange(name, lost, lost); answered {
					p.checkAnswer(name, result)
				}
			}
			p.checkSizes()
			p.noteHeld()
		}
		for range 2 * (1 + announced/protocol.MaxIntentsPerMessage) {
			for _, name := range names {
				p.exchange(name, never, never)
			}
		}
		for _, name := range names {
			l, other := p.logs[name], p.logs[otherOf[name]]
			if held, _ := l.Holders(l.sequence()); held != 2 && len(other.entries) < p.limit {
				t.Fatalf("%d controllers hold all intents of %s: %+v", held, name, l.peers[otherOf[name]])
			}
		}
	})
}

// exchangeHeartbeat sends a heartbeat and its answer.
func exchangeHeartbeat(from, to *IntentLog, fromName, toName string) ReceiveResult {
	request, answer := protocol.PeerMessage{From: fromName}, protocol.PeerMessage{From: toName}
	from.FillMessage(0, toName, 0, &request)
	to.Receive(0, &request, false)
	to.FillMessage(0, fromName, request.Incarnation, &answer)
	return from.Receive(0, &answer, true)
}

// TestIntentsSpanSeveralMessages checks that a peer without intents holds all of them after as many
// messages as they fill, and that it counts as complete, and as holding the last one, only then.
func TestIntentsSpanSeveralMessages(t *testing.T) {
	const messages = 6
	const intents = (messages-1)*protocol.MaxIntentsPerMessage + 1
	a := New(random.New(1), []string{"b"}, testRetention, 0, 2*intents)
	b := New(random.New(2), []string{"a"}, testRetention, 0, 2*intents)
	var last OwnIntent
	for i := range intents {
		last = announce(t, a, 0, fmt.Sprintf("j-%06d", i))
	}
	for n := 1; n <= messages; n++ {
		if complete := exchangeHeartbeat(b, a, "b", "a").Complete; complete != (n == messages) {
			t.Fatalf("complete %v after %d of %d messages", complete, n, messages)
		}
		if held, _ := a.Holders(last.Sequence); held > 1 {
			t.Fatalf("the last of %d intents counts as held after %d messages", intents, n)
		}
	}
	if n := len(b.NewestByJob(0)); n != intents {
		t.Errorf("%d of %d intents after %d messages", n, intents, messages)
	}
	exchangeHeartbeat(a, b, "a", "b")
	if held, _ := a.Holders(last.Sequence); held != 2 {
		t.Errorf("%d controllers hold the last intent, want 2", held)
	}
}
