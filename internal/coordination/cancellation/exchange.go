package cancellation

import (
	"time"

	"pinebay/internal/protocol"
)

// peer is what is known of the exchange with one other controller. Counts refer to the sequence
// numbers of whoever sends the intents.
type peer struct {
	incarnation      uint64        // of the process that last answered us
	incarnationSince time.Duration // when it first did
	// reportedHeld is how many of our intents it holds according to its last message, which may be
	// an old one; confirmedHeld is the same according to answers, which are not.
	reportedHeld, confirmedHeld uint64
	// receivedByIncarnation is how many of its intents we hold, by the incarnation that sent them.
	receivedByIncarnation map[uint64]uint64
}

// maxIncarnations is how many incarnations of a peer are remembered, for late messages of earlier
// ones.
const maxIncarnations = 4

// Holders returns how many controllers, including this one, certainly hold all intents up to a
// sequence number, and a channel that is closed when that may have changed.
func (l *IntentLog) Holders(sequence uint64) (int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 1
	for _, p := range l.peers {
		if p.confirmedHeld >= sequence {
			n++
		}
	}
	return n, l.changed
}

// FillMessage adds to a message to a peer the intents that it does not hold yet, and how many of
// its own we hold: of the given incarnation, or if that is 0, of the one that last answered us.
func (l *IntentLog) FillMessage(now time.Duration, to string, incarnation uint64, m *protocol.PeerMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p == nil {
		return
	}
	l.expireEntries(now)
	if incarnation == 0 {
		incarnation = p.incarnation
	}
	m.Incarnation, m.Recovered = l.incarnation, now >= l.recoveredAt
	m.AckedIncarnation, m.AckedIntents = incarnation, p.receivedByIncarnation[incarnation]
	m.ExpiredIntents, m.IntentOffset = l.expired, max(l.expired, p.reportedHeld)
	rest := l.entries[min(m.IntentOffset-l.expired, uint64(len(l.entries))):]
	m.MoreIntents = len(rest) > protocol.MaxIntentsPerMessage
	for _, e := range rest[:min(len(rest), protocol.MaxIntentsPerMessage)] {
		m.Intents = append(m.Intents, e.CancellationIntent)
	}
}

// ReceiveResult is what a peer's message contained.
type ReceiveResult struct {
	// Complete says that we now hold every intent that the peer holds.
	Complete bool
	// Recovered says that the peer lacks no intent that still matters.
	Recovered bool
	// IncarnationSince is when the peer's current process first answered us.
	IncarnationSince time.Duration
	// NewIntents are those that we did not hold.
	NewIntents []protocol.CancellationIntent
}

// Receive processes a peer's message. reply says that it answers a message of ours, so it is not
// older than that one: only answers show which process of the peer is running, and what it holds.
func (l *IntentLog) Receive(now time.Duration, m *protocol.PeerMessage, reply bool) ReceiveResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[m.From]
	if p == nil || m.Incarnation == 0 {
		return ReceiveResult{}
	}
	l.expireEntries(now)
	if reply && p.incarnation != m.Incarnation {
		p.incarnation, p.incarnationSince = m.Incarnation, now
		p.reportedHeld, p.confirmedHeld = 0, 0
	}
	p.limitIncarnations(m.Incarnation)
	added, end := l.appendNew(now, m)
	complete := p.noteReceived(m, end)
	l.noteAcknowledged(p, m, reply)
	return ReceiveResult{
		Complete:         reply && complete,
		Recovered:        m.Recovered,
		IncarnationSince: p.incarnationSince,
		NewIntents:       added,
	}
}

// limitIncarnations makes space for another incarnation of the peer. Should one that is dropped
// send again, its intents count as not received.
func (p *peer) limitIncarnations(incarnation uint64) {
	if _, known := p.receivedByIncarnation[incarnation]; known {
		return
	}
	for other := range p.receivedByIncarnation {
		if len(p.receivedByIncarnation) >= maxIncarnations && other != p.incarnation {
			delete(p.receivedByIncarnation, other)
		}
	}
}

// appendNew adds the intents of a message that we do not hold, as far as there is space, and
// returns them with the sender's sequence number up to which we hold those of the message. What
// does not fit is not acknowledged.
func (l *IntentLog) appendNew(
	now time.Duration,
	m *protocol.PeerMessage,
) (added []protocol.CancellationIntent, end uint64) {
	end = m.IntentOffset
	for _, intent := range m.Intents {
		if !l.known[intent] {
			if len(l.entries) >= l.maxIntents {
				break
			}
			l.appendEntry(now, intent)
			added = append(added, intent)
		}
		end++
	}
	return added, end
}

// noteReceived notes that we hold the peer's intents of a message up to a sequence number, and says
// whether we now hold all that it holds. If we lack earlier ones that have not expired, the peer
// takes us for an earlier process of ours, and we must not claim to hold what follows them.
func (p *peer) noteReceived(m *protocol.PeerMessage, end uint64) (complete bool) {
	received := p.receivedByIncarnation[m.Incarnation]
	if m.IntentOffset > m.ExpiredIntents && received < m.IntentOffset {
		return false
	}
	p.receivedByIncarnation[m.Incarnation] = max(received, end)
	return !m.MoreIntents && end == m.IntentOffset+uint64(len(m.Intents))
}

// noteAcknowledged notes how many of our intents the peer holds.
func (l *IntentLog) noteAcknowledged(p *peer, m *protocol.PeerMessage, reply bool) {
	p.reportedHeld = 0
	if m.AckedIncarnation == l.incarnation {
		p.reportedHeld = m.AckedIntents
	}
	if reply && p.confirmedHeld != p.reportedHeld {
		p.confirmedHeld = p.reportedHeld
		close(l.changed)
		l.changed = make(chan struct{})
	}
}
