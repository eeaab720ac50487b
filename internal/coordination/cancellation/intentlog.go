// Package cancellation keeps the cancellation intents that controllers exchange.
//
// Before a user is told that a job is cancelled, a quorum of the controllers holds an intent for it. Any two quorums
// intersect. A controller that continues without the store, based on the intents of a quorum, therefore knows every
// cancellation that it must not miss. An intent is not itself a cancellation: what users are told is determined by the
// store alone.
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

// ErrFull is returned when the log already holds the maximum number of intents.
var ErrFull = errors.New("too many intents")

// IntentLog holds the intents that a controller knows, both its own and its peers', in the order of their arrival, and
// tracks how many of them each peer holds. Sequence numbers count the intents since the start of the process, including
// expired ones. An IntentLog is safe for concurrent use. All times are durations on one monotonic clock.
type IntentLog struct {
	random      *random.Source
	incarnation uint64
	retention   time.Duration
	maxIntents  int
	recoveredAt time.Duration

	mu           sync.Mutex // guards the fields below
	expiredCount uint64     // number of expired intents, which precede entries
	entries      []entry    // oldest first
	known        map[protocol.CancellationIntent]bool
	newestByJob  map[string]time.Duration // arrival time of the newest intent for each job
	newestLocal  map[string]LocalIntent   // the newest intent announced here for each job
	peers        map[string]*peer
	changed      chan struct{} // closed and replaced when a peer's acknowledged count changes
}

type entry struct {
	protocol.CancellationIntent
	receivedAt time.Duration
}

// LocalIntent is an intent that this controller announced. A peer that holds this intent and all earlier ones holds
// Sequence intents.
type LocalIntent struct {
	Sequence  uint64
	CreatedAt time.Duration
}

// New returns an empty log for a process, which derives its random identifiers from source. An intent is kept for the
// retention time, and at most maxIntents are kept at once. From recoveredAt on, no intent that an earlier process of
// the same controller held is relevant any more.
func New(source *random.Source, peers []string, retention, recoveredAt time.Duration, maxIntents int) *IntentLog {
	l := &IntentLog{
		random:      source,
		incarnation: source.For("life").Uint64() | 1, // never 0, which stands for an unknown incarnation
		retention:   retention,
		maxIntents:  maxIntents,
		recoveredAt: recoveredAt,
		known:       map[protocol.CancellationIntent]bool{},
		newestByJob: map[string]time.Duration{},
		newestLocal: map[string]LocalIntent{},
		peers:       map[string]*peer{},
		changed:     make(chan struct{}),
	}
	for _, name := range peers {
		l.peers[name] = &peer{receivedByIncarnation: map[uint64]uint64{}}
	}
	return l
}

// Incarnation returns the number that distinguishes this process from others of the same name.
func (l *IntentLog) Incarnation() uint64 { return l.incarnation }

// Recovered reports whether the intents that earlier processes of the same name held have ceased to be relevant.
func (l *IntentLog) Recovered(now time.Duration) bool { return now >= l.recoveredAt }

// Announce adds an intent stating that a job is about to be reported as cancelled. An intent that this controller
// announced for the job is reused if it is no older than maxAge. Announce returns ErrFull if the log is full.
func (l *IntentLog) Announce(now, maxAge time.Duration, job string) (LocalIntent, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	if intent, ok := l.newestLocal[job]; ok && now-intent.CreatedAt <= maxAge {
		return intent, nil
	}
	if len(l.entries) >= l.maxIntents {
		return LocalIntent{}, ErrFull
	}
	id := l.random.For(fmt.Sprint("intent ", l.sequence(), " ", job)).Uint64()
	l.appendEntry(now, protocol.CancellationIntent{JobID: job, AnnouncementID: id})
	intent := LocalIntent{Sequence: l.sequence(), CreatedAt: now}
	l.newestLocal[job] = intent
	return intent, nil
}

// sequence returns the sequence number of the newest intent.
func (l *IntentLog) sequence() uint64 { return l.expiredCount + uint64(len(l.entries)) }

func (l *IntentLog) appendEntry(now time.Duration, intent protocol.CancellationIntent) {
	l.entries = append(l.entries, entry{intent, now})
	l.known[intent] = true
	l.newestByJob[intent.JobID] = now
}

// expireEntries drops the intents whose retention time is over.
func (l *IntentLog) expireEntries(now time.Duration) {
	n := 0
	for n < len(l.entries) && now-l.entries[n].receivedAt > l.retention {
		e := l.entries[n]
		delete(l.known, e.CancellationIntent)
		if l.newestByJob[e.JobID] == e.receivedAt {
			delete(l.newestByJob, e.JobID)
		}
		if own := l.newestLocal[e.JobID]; own.Sequence == l.expiredCount+uint64(n)+1 {
			delete(l.newestLocal, e.JobID)
		}
		n++
	}
	if n > 0 {
		l.expiredCount += uint64(n)
		l.entries = append([]entry(nil), l.entries[n:]...)
	}
}

// OldestIntentAt returns when the oldest intent still held arrived, and whether there is one.
func (l *IntentLog) OldestIntentAt(now time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	if len(l.entries) == 0 {
		return 0, false
	}
	return l.entries[0].receivedAt, true
}

// HasIntent reports whether the log holds an intent for the job.
func (l *IntentLog) HasIntent(now time.Duration, job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.newestByJob[job]
	return ok && now-at <= l.retention
}

// HasIntentSince reports whether the log holds an intent for the job that arrived at the given time or later.
func (l *IntentLog) HasIntentSince(since time.Duration, job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.newestByJob[job]
	return ok && at >= since
}

// NewestByJob returns, for each job with an intent, when its newest intent arrived.
func (l *IntentLog) NewestByJob(now time.Duration) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireEntries(now)
	return maps.Clone(l.newestByJob)
}
