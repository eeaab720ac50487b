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

// Log is the intents that this controller holds, its own and its peers', in the
// order in which it took them in, with what each peer holds of them.
type Log struct {
	mu     sync.Mutex
	random *random.Source
	life   uint64
	keep   time.Duration
	max    int
	whole  time.Duration

	base  uint64  // how many have expired before list
	list  []entry // the oldest first
	known map[protocol.CancellationIntent]bool
	jobs  map[string]time.Duration // when the newest intent of a job came
	mine  map[string]Own           // the newest of this controller's own, by job
	peers map[string]*peer
	news  chan struct{} // closed when a peer has acknowledged something
}

type entry struct {
	protocol.CancellationIntent
	at time.Duration
}

// Own is an intent of this controller: how many must be held with it, and since when
// it is there.
type Own struct {
	Seq uint64
	At  time.Duration
}

// peer is what we know of one other controller.
type peer struct {
	life   uint64            // of the process that last answered us
	lifeAt time.Duration     // when it first did
	told   uint64            // how many of ours it holds, as far as it last said
	held   uint64            // the same, from answers alone, which cannot be old
	ours   map[uint64]uint64 // how many of its intents we hold, by its life
}

// lives is how many earlier lives of a peer are remembered, for messages of theirs
// that come late.
const lives = 4

// New returns an empty log, which draws its marks from the source, of a process that began at the given time. Intents are
// kept for the given time, and max at most; after the time whole nothing matters
// any more that an earlier process of the same name may have held.
func New(source *random.Source, peers []string, keep, whole time.Duration, max int) *Log {
	l := &Log{
		random: source, life: source.For("life").Uint64() | 1, keep: keep, max: max, whole: whole, known: map[protocol.CancellationIntent]bool{},
		jobs: map[string]time.Duration{}, mine: map[string]Own{}, peers: map[string]*peer{}, news: make(chan struct{}),
	}
	for _, p := range peers {
		l.peers[p] = &peer{ours: map[uint64]uint64{}}
	}
	return l
}

// Announce notes that a job is about to be called cancelled. An intent of ours that
// is no older than fresh is used again.
func (l *Log) Announce(now, fresh time.Duration, job string) (Own, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if o, ok := l.mine[job]; ok && now-o.At <= fresh {
		return o, nil
	}
	if len(l.list) >= l.max {
		return Own{}, ErrFull
	}
	l.add(now, protocol.CancellationIntent{JobID: job, AnnouncementID: l.random.For(fmt.Sprint("intent ", l.base+uint64(len(l.list)), " ", job)).Uint64()})
	o := Own{Seq: l.base + uint64(len(l.list)), At: now}
	l.mine[job] = o
	return o, nil
}

func (l *Log) add(now time.Duration, n protocol.CancellationIntent) {
	l.list = append(l.list, entry{n, now})
	l.known[n] = true
	l.jobs[n.JobID] = now
}

// expire forgets what has been kept for long enough.
func (l *Log) expire(now time.Duration) {
	n := 0
	for n < len(l.list) && now-l.list[n].at > l.keep {
		e := l.list[n]
		delete(l.known, e.CancellationIntent)
		if l.jobs[e.JobID] == e.at {
			delete(l.jobs, e.JobID)
		}
		if o := l.mine[e.JobID]; o.Seq == l.base+uint64(n)+1 {
			delete(l.mine, e.JobID)
		}
		n++
	}
	if n > 0 {
		l.base += uint64(n)
		l.list = append([]entry(nil), l.list[n:]...)
	}
}

// Holders returns how many controllers, with this one, surely hold the first seq
// intents, and a channel that is closed when that may have changed.
func (l *Log) Holders(seq uint64) (int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 1
	for _, p := range l.peers {
		if p.held >= seq {
			n++
		}
	}
	return n, l.news
}

// Fill puts into a message to a peer what it does not hold yet, and what we hold
// of its intents: of the life that it speaks in, or if that is 0, of the one that
// last answered us.
func (l *Log) Fill(now time.Duration, to string, life uint64, m *protocol.PeerMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p == nil {
		return
	}
	l.expire(now)
	if life == 0 {
		life = p.life
	}
	m.Incarnation, m.Recovered = l.life, now >= l.whole
	m.AckedIncarnation, m.AckedIntents = life, p.ours[life]
	m.ExpiredIntents, m.IntentOffset = l.base, max(l.base, p.told)
	rest := l.list[min(m.IntentOffset-l.base, uint64(len(l.list))):]
	m.MoreIntents = len(rest) > protocol.MaxIntentsPerMessage
	for _, e := range rest[:min(len(rest), protocol.MaxIntentsPerMessage)] {
		m.Intents = append(m.Intents, e.CancellationIntent)
	}
}

// Taken is what a peer's message brought.
type Taken struct {
	// Complete says that we now hold every intent that the peer holds.
	Complete bool
	// Whole says that it has forgotten none that may still matter, and LifeAt when
	// its process first answered us.
	Whole  bool
	LifeAt time.Duration
	// News are the intents that we did not hold.
	News []protocol.CancellationIntent
}

// Take takes in what a peer's message brings. reply says that it answers a message
// of ours, so that it is not older than that one: only answers tell which process
// of the peer goes on, and what it holds.
func (l *Log) Take(now time.Duration, m *protocol.PeerMessage, reply bool) Taken {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[m.From]
	if p == nil || m.Incarnation == 0 {
		return Taken{}
	}
	l.expire(now)
	if reply && p.life != m.Incarnation {
		p.life, p.lifeAt, p.told, p.held = m.Incarnation, now, 0, 0
	}
	if _, known := p.ours[m.Incarnation]; !known {
		for life := range p.ours {
			if len(p.ours) >= lives && life != p.life {
				delete(p.ours, life) // should it speak again, it begins anew
			}
		}
	}
	t := Taken{Whole: m.Recovered, LifeAt: p.lifeAt}
	end := m.IntentOffset
	for _, n := range m.Intents {
		if !l.known[n] {
			if len(l.list) >= l.max {
				break // not held, and so not acknowledged
			}
			l.add(now, n)
			t.News = append(t.News, n)
		}
		end++
	}
	// Without those before Base, unless they are over, we must not say that we hold
	// what comes after: the peer takes us for an earlier process of ours.
	gap := m.IntentOffset > m.ExpiredIntents && p.ours[m.Incarnation] < m.IntentOffset
	if !gap {
		p.ours[m.Incarnation] = max(p.ours[m.Incarnation], end)
	}
	t.Complete = reply && !gap && !m.MoreIntents && end == m.IntentOffset+uint64(len(m.Intents))
	if m.AckedIncarnation != l.life {
		p.told = 0
	} else {
		p.told = m.AckedIntents
	}
	if reply && p.held != p.told {
		p.held = p.told
		close(l.news)
		l.news = make(chan struct{})
	}
	return t
}

// Life tells this process from earlier ones of the same name.
func (l *Log) Life() uint64 { return l.life }

// Whole says that nothing matters any more that an earlier process of this name
// may have held.
func (l *Log) Whole(now time.Duration) bool { return now >= l.whole }

// Oldest returns when the oldest intent came that is still held, if there is one.
func (l *Log) Oldest(now time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if len(l.list) == 0 {
		return 0, false
	}
	return l.list[0].at, true
}

// Active says whether an intent of the job is held.
func (l *Log) Active(now time.Duration, job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.jobs[job]
	return ok && now-at <= l.keep
}

// Jobs returns the jobs of which an intent is held, and when the newest came.
func (l *Log) Jobs(now time.Duration) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	out := make(map[string]time.Duration, len(l.jobs))
	for j, at := range l.jobs {
		out[j] = at
	}
	return out
}
