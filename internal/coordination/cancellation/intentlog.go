// Package cancellation keeps the intents to cancel that controllers hand each
// other. Before a user is told that a job is cancelled, a majority of the
// controllers holds an intent of it. So whoever goes on without the state service,
// by the word of a majority, knows of every cancellation that it must not miss:
// majorities meet. An intent is a wish, not the fact; the state service alone
// decides what users are told.
package cancellation

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
)

// ErrFull says that no further intent can be held for the moment.
var ErrFull = errors.New("too many intents")

// IntentLog is the intents that this controller holds, its own and its peers', in the
// order in which it took them in, with what each peer holds of them.
type IntentLog struct {
	mu          sync.Mutex
	random      *random.Source
	incarnation uint64
	retention   time.Duration
	maxIntents  int
	recoveredAt time.Duration

	expired     uint64  // how many have expired before list
	entries     []entry // the oldest first
	known       map[protocol.CancellationIntent]bool
	newestByJob map[string]time.Duration // when the newest intent of a job came
	own         map[string]OwnIntent     // the newest of this controller's own, by job
	peers       map[string]*peer
	changed     chan struct{} // closed when a peer has acknowledged something
}

type entry struct {
	protocol.CancellationIntent
	receivedAt time.Duration
}

// OwnIntent is an intent of this controller: how many must be held with it, and since when
// it is there.
type OwnIntent struct {
	Sequence  uint64
	CreatedAt time.Duration
}

// peer is what we know of one other controller.
type peer struct {
	incarnation           uint64            // of the process that last answered us
	incarnationSince      time.Duration     // when it first did
	reportedHeld          uint64            // how many of ours it holds, as far as it last said
	confirmedHeld         uint64            // the same, from answers alone, which cannot be old
	receivedByIncarnation map[uint64]uint64 // how many of its intents we hold, by its life
}

// maxIncarnations is how many earlier lives of a peer are remembered, for messages of theirs
// that come late.
const maxIncarnations = 4

// New returns an empty log, which draws its marks from the source, of a process that began at the given time. Intents
// are kept for the given time, and max at most; after the time whole nothing matters any more that an earlier process
// of the same name may have held.
func New(source *random.Source, peers []string, keep, whole time.Duration, max int) *IntentLog {
	l := &IntentLog{
		random:      source,
		incarnation: source.For("life").Uint64() | 1,
		retention:   keep,
		maxIntents:  max,
		recoveredAt: whole,
		known:       map[protocol.CancellationIntent]bool{},
		newestByJob: map[string]time.Duration{},
		own:         map[string]OwnIntent{},
		peers:       map[string]*peer{},
		changed:     make(chan struct{}),
	}
	for _, p := range peers {
		l.peers[p] = &peer{receivedByIncarnation: map[uint64]uint64{}}
	}
	return l
}

// Announce notes that a job is about to be called cancelled. An intent of ours that
// is no older than fresh is used again.
func (l *IntentLog) Announce(now, fresh time.Duration, job string) (OwnIntent, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	if o, ok := l.own[job]; ok && now-o.CreatedAt <= fresh {
		return o, nil
	}
	if len(l.entries) >= l.maxIntents {
		return OwnIntent{}, ErrFull
	}
	l.appendEntry(
		now,
		protocol.CancellationIntent{
			JobID:          job,
			AnnouncementID: l.random.For(fmt.Sprint("intent ", l.expired+uint64(len(l.entries)), " ", job)).Uint64(),
		},
	)
	o := OwnIntent{Sequence: l.expired + uint64(len(l.entries)), CreatedAt: now}
	l.own[job] = o
	return o, nil
}

func (l *IntentLog) appendEntry(now time.Duration, n protocol.CancellationIntent) {
	l.entries = append(l.entries, entry{n, now})
	l.known[n] = true
	l.newestByJob[n.JobID] = now
}

// expireEntries forgets what has been kept for long enough.
func (l *IntentLog) expireEntries(now time.Duration) {
	n := 0
	for n < len(l.entries) && now-l.entries[n].receivedAt > l.retention {
		e := l.entries[n]
		delete(l.known, e.CancellationIntent)
		if l.newestByJob[e.JobID] == e.receivedAt {
			delete(l.newestByJob, e.JobID)
		}
		if o := l.own[e.JobID]; o.Sequence == l.expired+uint64(n)+1 {
			delete(l.own, e.JobID)
		}
		n++
	}
	if n > 0 {
		l.expired += uint64(n)
		l.entries = append([]entry(nil), l.entries[n:]...)
	}
}

// Holders returns how many controllers, with this one, surely hold the first seq
// intents, and a channel that is closed when that may have changed.
func (l *IntentLog) Holders(seq uint64) (int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 1
	for _, p := range l.peers {
		if p.confirmedHeld >= seq {
			n++
		}
	}
	return n, l.changed
}

// FillMessage puts into a message to a peer what it does not hold yet, and what we hold
// of its intents: of the life that it speaks in, or if that is 0, of the one that
// last answered us.
func (l *IntentLog) FillMessage(now time.Duration, to string, life uint64, m *protocol.PeerMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p == nil {
		return
	}
	l.expireEntries(now)
	if life == 0 {
		life = p.incarnation
	}
	m.Incarnation, m.Recovered = l.incarnation, now >= l.recoveredAt
	m.AckedIncarnation, m.AckedIntents = life, p.receivedByIncarnation[life]
	m.ExpiredIntents, m.IntentOffset = l.expired, max(l.expired, p.reportedHeld)
	rest := l.entries[min(m.IntentOffset-l.expired, uint64(len(l.entries))):]
	m.MoreIntents = len(rest) > protocol.MaxIntentsPerMessage
	for _, e := range rest[:min(len(rest), protocol.MaxIntentsPerMessage)] {
		m.Intents = append(m.Intents, e.CancellationIntent)
	}
}

// ReceiveResult is what a peer's message brought.
type ReceiveResult struct {
	// Complete says that we now hold every intent that the peer holds.
	Complete bool
	// Recovered says that it has forgotten none that may still matter, and IncarnationSince when
	// its process first answered us.
	Recovered        bool
	IncarnationSince time.Duration
	// NewIntents are the intents that we did not hold.
	NewIntents []protocol.CancellationIntent
}

// Receive takes in what a peer's message brings. reply says that it answers a message
// of ours, so that it is not older than that one: only answers tell which process
// of the peer goes on, and what it holds.
func (l *IntentLog) Receive(now time.Duration, m *protocol.PeerMessage, reply bool) ReceiveResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[m.From]
	if p == nil || m.Incarnation == 0 {
		return ReceiveResult{}
	}
	l.expireEntries(now)
	if reply && p.incarnation != m.Incarnation {
		p.incarnation, p.incarnationSince, p.reportedHeld, p.confirmedHeld = m.Incarnation, now, 0, 0
	}
	if _, known := p.receivedByIncarnation[m.Incarnation]; !known {
		for life := range p.receivedByIncarnation {
			if len(p.receivedByIncarnation) >= maxIncarnations && life != p.incarnation {
				delete(p.receivedByIncarnation, life) // should it speak again, it begins anew
			}
		}
	}
	t := ReceiveResult{Recovered: m.Recovered, IncarnationSince: p.incarnationSince}
	end := m.IntentOffset
	for _, n := range m.Intents {
		if !l.known[n] {
			if len(l.entries) >= l.maxIntents {
				break // not held, and so not acknowledged
			}
			l.appendEntry(now, n)
			t.NewIntents = append(t.NewIntents, n)
		}
		end++
	}
	// Without those before Base, unless they are over, we must not say that we hold
	// what comes after: the peer takes us for an earlier process of ours.
	gap := m.IntentOffset > m.ExpiredIntents && p.receivedByIncarnation[m.Incarnation] < m.IntentOffset
	if !gap {
		p.receivedByIncarnation[m.Incarnation] = max(p.receivedByIncarnation[m.Incarnation], end)
	}
	t.Complete = reply && !gap && !m.MoreIntents && end == m.IntentOffset+uint64(len(m.Intents))
	if m.AckedIncarnation != l.incarnation {
		p.reportedHeld = 0
	} else {
		p.reportedHeld = m.AckedIntents
	}
	if reply && p.confirmedHeld != p.reportedHeld {
		p.confirmedHeld = p.reportedHeld
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return t
}

// Incarnation tells this process from earlier ones of the same name.
func (l *IntentLog) Incarnation() uint64 { return l.incarnation }

// Recovered says that nothing matters any more that an earlier process of this name
// may have held.
func (l *IntentLog) Recovered(now time.Duration) bool { return now >= l.recoveredAt }

// OldestIntentAt returns when the oldest intent came that is still held, if there is one.
func (l *IntentLog) OldestIntentAt(now time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	if len(l.entries) == 0 {
		return 0, false
	}
	return l.entries[0].receivedAt, true
}

// HasIntent says whether an intent of the job is held.
func (l *IntentLog) HasIntent(now time.Duration, job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.newestByJob[job]
	return ok && now-at <= l.retention
}

// NewestByJob returns the jobs of which an intent is held, and when the newest came.
func (l *IntentLog) NewestByJob(now time.Duration) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	out := make(map[string]time.Duration, len(l.newestByJob))
	for j, at := range l.newestByJob {
		out[j] = at
	}
	return out
}
