// Package cancellation keeps the cancellation intents that controllers exchange.
//
// Before a user is told that a job is cancelled, a quorum of the controllers holds an intent of
// it. Any two quorums have a member in common. So a controller that goes on without the store, on
// the strength of a quorum's intents, knows of every cancellation that it must not miss. An intent
// is no cancellation: what users are told is decided by the store alone.
package cancellation

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
)

// ErrFull says that the log holds as many intents as it may.
var ErrFull = errors.New("too many intents")

// IntentLog holds the intents that a controller knows, its own and its peers', in the order in
// which they arrived, and how many of them each peer holds. Sequence numbers count the intents
// from the start of the process, including those that have expired. An IntentLog is safe for
// concurrent use. All times are durations on one steady clock.
type IntentLog struct {
	random      *random.Source
	incarnation uint64
	retention   time.Duration
	maxIntents  int
	recoveredAt time.Duration

	mu          sync.Mutex // guards what follows
	expired     uint64     // number of intents that were dropped before entries
	entries     []entry    // the oldest first
	known       map[protocol.CancellationIntent]bool
	newestByJob map[string]time.Duration // when the newest intent of a job arrived
	own         map[string]OwnIntent     // the newest own intent by job
	peers       map[string]*peer
	changed     chan struct{} // closed and replaced when a peer has acknowledged more or less
}

type entry struct {
	protocol.CancellationIntent
	receivedAt time.Duration
}

// OwnIntent is an intent of this controller. Sequence is the number of intents that a peer holds
// when it holds this one and all before it.
type OwnIntent struct {
	Sequence  uint64
	CreatedAt time.Duration
}

// New returns an empty log of a process, which draws its random identifiers from the source. An
// intent is kept for the retention time, and at most maxIntents are. From recoveredAt on, no
// intent matters any more that an earlier process of the same controller may have held.
func New(source *random.Source, peers []string, retention, recoveredAt time.Duration, maxIntents int) *IntentLog {
	l := &IntentLog{
		random:      source,
		incarnation: source.For("life").Uint64() | 1, // never 0, which means unknown
		retention:   retention,
		maxIntents:  maxIntents,
		recoveredAt: recoveredAt,
		known:       map[protocol.CancellationIntent]bool{},
		newestByJob: map[string]time.Duration{},
		own:         map[string]OwnIntent{},
		peers:       map[string]*peer{},
		changed:     make(chan struct{}),
	}
	for _, name := range peers {
		l.peers[name] = &peer{receivedByIncarnation: map[uint64]uint64{}}
	}
	return l
}

// Incarnation identifies this process among those of the same name.
func (l *IntentLog) Incarnation() uint64 { return l.incarnation }

// Recovered says that no intent matters any more that an earlier process of this name may have
// held.
func (l *IntentLog) Recovered(now time.Duration) bool { return now >= l.recoveredAt }

// Announce adds an intent that a job is about to be reported as cancelled. An own intent of the job
// that is no older than maxAge is reused. The error is ErrFull if there is no space.
func (l *IntentLog) Announce(now, maxAge time.Duration, job string) (OwnIntent, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	if intent, ok := l.own[job]; ok && now-intent.CreatedAt <= maxAge {
		return intent, nil
	}
	if len(l.entries) >= l.maxIntents {
		return OwnIntent{}, ErrFull
	}
	id := l.random.For(fmt.Sprint("intent ", l.sequence(), " ", job)).Uint64()
	l.appendEntry(now, protocol.CancellationIntent{JobID: job, AnnouncementID: id})
	intent := OwnIntent{Sequence: l.sequence(), CreatedAt: now}
	l.own[job] = intent
	return intent, nil
}

// sequence returns the sequence number of the newest intent.
func (l *IntentLog) sequence() uint64 { return l.expired + uint64(len(l.entries)) }

func (l *IntentLog) appendEntry(now time.Duration, intent protocol.CancellationIntent) {
	l.entries = append(l.entries, entry{intent, now})
	l.known[intent] = true
	l.newestByJob[intent.JobID] = now
}

// expireEntries drops the intents that have been kept for the retention time.
func (l *IntentLog) expireEntries(now time.Duration) {
	n := 0
	for n < len(l.entries) && now-l.entries[n].receivedAt > l.retention {
		e := l.entries[n]
		delete(l.known, e.CancellationIntent)
		if l.newestByJob[e.JobID] == e.receivedAt {
			delete(l.newestByJob, e.JobID)
		}
		if own := l.own[e.JobID]; own.Sequence == l.expired+uint64(n)+1 {
			delete(l.own, e.JobID)
		}
		n++
	}
	if n > 0 {
		l.expired += uint64(n)
		l.entries = append([]entry(nil), l.entries[n:]...)
	}
}

// OldestIntentAt returns when the oldest intent arrived that is still held, if there is one.
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

// NewestByJob returns the jobs of which an intent is held, and when the newest one arrived.
func (l *IntentLog) NewestByJob(now time.Duration) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	return maps.Clone(l.newestByJob)
}
