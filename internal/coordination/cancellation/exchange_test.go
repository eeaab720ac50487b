package cancellation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
)

// lossyPair is two controllers that exchange intents over a network that loses messages and redelivers old ones.
type lossyPair struct {
	t     *rapid.T
	now   time.Duration
	limit int // maximum number of intents per log
	logs  map[string]*IntentLog
	sent  []protocol.PeerMessage // a sample of the messages, for redelivery
	// held records when each running process received the intents that it holds or has dropped since.
	held map[string]map[protocol.CancellationIntent]time.Duration
}

// otherOf maps each controller of a pair to the other one.
var otherOf = map[string]string{"a": "b", "b": "a"}

// start replaces a controller by a new process that holds no intents.
func (p *lossyPair) start(name string) {
	peers := []string{otherOf[name]}
	p.logs[name] = New(random.NewSystemSeeded(), peers, testRetention, p.now+testRecovery, p.limit)
	p.held[name] = map[protocol.CancellationIntent]time.Duration{}
}

// recordHeld records the intents that the processes have received so far.
func (p *lossyPair) recordHeld() {
	for name, log := range p.logs {
		for _, e := range log.entries {
			p.held[name][e.CancellationIntent] = e.receivedAt
		}
	}
}

// mayHaveDropped reports whether a process received an intent so long ago that the intent may have expired there.
func (p *lossyPair) mayHaveDropped(name string, intent protocol.CancellationIntent) bool {
	at, received := p.held[name][intent]
	return received && p.now-at >= testRetention
}

// message returns a message to the other controller, addressed to the given incarnation of it.
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

// exchange sends a heartbeat and its reply, and reports whether the reply arrived.
func (p *lossyPair) exchange(from string, requestLost, replyLost func() bool) (ReceiveResult, bool) {
	to := otherOf[from]
	request := p.message(from, 0)
	if requestLost() {
		return ReceiveResult{}, false
	}
	p.logs[to].Receive(p.now, &request, false)
	reply := p.message(to, request.Incarnation)
	if replyLost() {
		return ReceiveResult{}, false
	}
	return p.logs[from].Receive(p.now, &reply, true), true
}

// checkReply checks the conclusions that a controller draws from a reply of the other one.
func (p *lossyPair) checkReply(name string, result ReceiveResult) {
	p.t.Helper()
	own, other := p.logs[name], p.logs[otherOf[name]]
	if result.Complete {
		for _, e := range other.entries {
			expired := p.now-e.receivedAt > testRetention || p.mayHaveDropped(name, e.CancellationIntent)
			if !expired && !own.known[e.CancellationIntent] {
				p.t.Fatalf("%s considers itself complete without %v", name, e.CancellationIntent)
			}
		}
	}
	if result.Recovered && p.now < other.recoveredAt {
		p.t.Fatalf("%s considers its peer recovered at %v, before %v", name, p.now, other.recoveredAt)
	}
	held := own.peers[otherOf[name]].confirmedAcked
	for i, e := range own.entries {
		expired := p.now-e.receivedAt >= testRetention || p.mayHaveDropped(otherOf[name], e.CancellationIntent)
		if own.expiredCount+uint64(i) < held && !expired && !other.known[e.CancellationIntent] {
			p.t.Fatalf("%s counts %v as held by its peer, which lacks it; acknowledged: %d",
				name, e.CancellationIntent, held)
		}
	}
}

// checkSizes checks that no log exceeds its limit.
func (p *lossyPair) checkSizes() {
	p.t.Helper()
	for _, l := range p.logs {
		if len(l.entries) > p.limit || len(l.known) != len(l.entries) {
			p.t.Fatalf("%d intents, %d of them indexed, want at most %d", len(l.entries), len(l.known), p.limit)
		}
	}
}

// TestAcknowledgementsNeverOverstate injects lost and repeated messages and restarts. It checks that a controller that
// is counted as holding an intent does hold it, and that one that considers itself complete has every unexpired intent
// of the other. Without faults, both controllers eventually hold all intents.
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
				if intent, err := log.Announce(p.now, time.Second, job); err == nil && !log.HasIntent(p.now, job) {
					t.Fatalf("%s does not hold the intent %v that it announced", name, intent)
				}
			case 4:
				if len(p.sent) > 0 {
					m := p.sent[rapid.IntRange(0, len(p.sent)-1).Draw(t, "repeated")]
					if m.From != name {
						log.Receive(p.now, &m, false)
					}
				}
			default:
				if result, replied := p.exchange(name, lost, lost); replied {
					p.checkReply(name, result)
				}
			}
			p.checkSizes()
			p.recordHeld()
		}
		for range 2 * (1 + announced/protocol.MaxIntentsPerMessage) {
			for _, name := range names {
				p.exchange(name, never, never)
			}
		}
		for _, name := range names {
			l, other := p.logs[name], p.logs[otherOf[name]]
			if held, _ := l.HolderCount(l.sequence()); held != 2 && len(other.entries) < p.limit {
				t.Fatalf("%d controllers hold all intents of %s, want 2: %+v", held, name, l.peers[otherOf[name]])
			}
		}
	})
}

// exchangeHeartbeat sends a heartbeat and its reply.
func exchangeHeartbeat(from, to *IntentLog, fromName, toName string) ReceiveResult {
	request, reply := protocol.PeerMessage{From: fromName}, protocol.PeerMessage{From: toName}
	from.FillMessage(0, toName, 0, &request)
	to.Receive(0, &request, false)
	to.FillMessage(0, fromName, request.Incarnation, &reply)
	return from.Receive(0, &reply, true)
}

// TestIntentsSpanSeveralMessages checks that a peer without intents receives all of them in as many messages as they
// fill, and that neither the peer is complete nor the last intent counts as held before that.
func TestIntentsSpanSeveralMessages(t *testing.T) {
	const messages = 6
	const intents = (messages-1)*protocol.MaxIntentsPerMessage + 1
	a := New(random.New(1), []string{"b"}, testRetention, 0, 2*intents)
	b := New(random.New(2), []string{"a"}, testRetention, 0, 2*intents)
	var last LocalIntent
	for i := range intents {
		last = announce(t, a, 0, fmt.Sprintf("j-%06d", i))
	}
	for n := 1; n <= messages; n++ {
		if complete := exchangeHeartbeat(b, a, "b", "a").Complete; complete != (n == messages) {
			t.Fatalf("complete: %v after %d of %d messages", complete, n, messages)
		}
		if held, _ := a.HolderCount(last.Sequence); held > 1 {
			t.Fatalf("the last of %d intents counts as held by the peer after %d messages", intents, n)
		}
	}
	if n := len(b.NewestByJob(0)); n != intents {
		t.Errorf("%d of %d intents received after %d messages", n, intents, messages)
	}
	exchangeHeartbeat(a, b, "a", "b")
	if held, _ := a.HolderCount(last.Sequence); held != 2 {
		t.Errorf("%d controllers hold the last intent, want 2", held)
	}
}
