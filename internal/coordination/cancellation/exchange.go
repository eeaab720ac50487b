package cancellation

import (
	"time"

	"pinebay/internal/protocol"
)

// peer is the state of the intent exchange with one other controller. Counts refer to the sequence numbers of the
// controller that sends the intents.
type peer struct {
	incarnation      uint64        // the process that replied last
	incarnationSince time.Duration // when that process first replied
	// reportedAcked is the number of this controller's intents that the peer acknowledged in its last message, which
	// may have been delayed. confirmedAcked is the number that it acknowledged in its last reply, which is never
	// outdated.
	reportedAcked, confirmedAcked uint64
	// receivedByIncarnation is the number of the peer's intents that this controller holds, by the incarnation of the
	// peer that sent them.
	receivedByIncarnation map[uint64]uint64
}

// maxPeerIncarnations is the number of incarnations that are remembered per peer, so that delayed messages of earlier
// incarnations can still be processed.
const maxPeerIncarnations = 4

// HolderCount returns the number of controllers, including this one, that are certain to hold all intents up to a
// sequence number. The returned channel is closed when that number may have changed.
func (l *IntentLog) HolderCount(sequence uint64) (int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 1
	for _, p := range l.peers {
		if p.confirmedAcked >= sequence {
			n++
		}
	}
	return n, l.changed
}

// FillMessage adds to a message the intents that the recipient does not hold yet. It also acknowledges the intents that
// this controller has received from the given incarnation of the recipient, or, if incarnation is 0, from the
// incarnation that replied last.
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
	m.ExpiredIntents, m.IntentOffset = l.expiredCount, max(l.expiredCount, p.reportedAcked)
	rest := l.entries[min(m.IntentOffset-l.expiredCount, uint64(len(l.entries))):]
	m.MoreIntents = len(rest) > protocol.MaxIntentsPerMessage
	for _, e := range rest[:min(len(rest), protocol.MaxIntentsPerMessage)] {
		m.Intents = append(m.Intents, e.CancellationIntent)
	}
}

// ReceiveResult describes the content of a message from a peer.
type ReceiveResult struct {
	// Complete reports whether this controller now holds every intent that the peer holds.
	Complete bool
	// Recovered reports whether the peer holds every intent that is still relevant, including those from before its
	// restart.
	Recovered bool
	// IncarnationSince is when the peer's current process first replied to this controller.
	IncarnationSince time.Duration
	// NewIntents are the intents that this controller did not hold before.
	NewIntents []protocol.CancellationIntent
}

// Receive processes a message from a peer. reply is true if the message is the reply to a message of this controller,
// and hence was sent after that message. Only replies prove which process of the peer is running and which intents it
// holds.
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
		p.reportedAcked, p.confirmedAcked = 0, 0
	}
	p.pruneIncarnations(m.Incarnation)
	added, end := l.appendNewIntents(now, m)
	complete := p.recordReceived(m, end)
	l.recordAcknowledged(p, m, reply)
	return ReceiveResult{
		Complete:         reply && complete,
		Recovered:        m.Recovered,
		IncarnationSince: p.incarnationSince,
		NewIntents:       added,
	}
}

// pruneIncarnations makes room for another incarnation of the peer. If an incarnation that was dropped sends again, its
// intents count as not received.
func (p *peer) pruneIncarnations(incarnation uint64) {
	if _, known := p.receivedByIncarnation[incarnation]; known {
		return
	}
	for other := range p.receivedByIncarnation {
		if len(p.receivedByIncarnation) >= maxPeerIncarnations && other != p.incarnation {
			delete(p.receivedByIncarnation, other)
		}
	}
}

// appendNewIntents adds the intents of a message that this controller does not hold yet, up to the limit of the log. It
// returns them together with the sender's sequence number up to which all intents of the message are held. Intents that
// exceed the limit are not acknowledged.
func (l *IntentLog) appendNewIntents(
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

// recordReceived records up to which sequence number this controller holds the peer's intents, and reports whether it
// now holds all of them. If this controller lacks unexpired intents that precede those of the message, the peer has
// addressed the message to an earlier process of this controller. The intents of the message must not be acknowledged
// then.
func (p *peer) recordReceived(m *protocol.PeerMessage, end uint64) (complete bool) {
	received := p.receivedByIncarnation[m.Incarnation]
	if m.IntentOffset > m.ExpiredIntents && received < m.IntentOffset {
		return false
	}
	p.receivedByIncarnation[m.Incarnation] = max(received, end)
	return !m.MoreIntents && end == m.IntentOffset+uint64(len(m.Intents))
}

// recordAcknowledged records how many of this controller's intents the peer holds.
func (l *IntentLog) recordAcknowledged(p *peer, m *protocol.PeerMessage, reply bool) {
	p.reportedAcked = 0
	if m.AckedIncarnation == l.incarnation {
		p.reportedAcked = m.AckedIntents
	}
	if reply && p.confirmedAcked != p.reportedAcked {
		p.confirmedAcked = p.reportedAcked
		close(l.changed)
		l.changed = make(chan struct{})
	}
}
