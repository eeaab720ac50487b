package ownership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var testTiming = Timing{TickInterval: time.Second, PeerTimeout: 2 * time.Second, RejoinDelay: 4 * time.Second}

func member(controller string, process, refutations uint64) Member {
	return Member{
		Controller:  controller,
		Incarnation: failuredetector.Incarnation{Process: process, Refutations: refutations},
	}
}

// leadingAssigner is the assigner of a leader whose writes all succeed at once.
type leadingAssigner struct {
	*Assigner
	now      time.Duration
	revision uint64
	written  []Record
}

func newLeadingAssigner(peers ...string) *leadingAssigner {
	l := &leadingAssigner{Assigner: New("a", peers, testTiming)}
	l.step(LocalIncarnation{Incarnation: failuredetector.Incarnation{Process: 1}})
	l.step(RecordRead{})
	l.step(Leadership{Leading: true})
	return l
}

func (l *leadingAssigner) step(e Event) {
	for _, effect := range l.Step(l.now, e) {
		write, ok := effect.(WriteRecord)
		if !ok {
			continue
		}
		l.revision++
		write.Record.Revision = l.revision
		l.written = append(l.written, write.Record)
		l.step(RecordRead(write))
		l.step(WriteDone{})
	}
}

// runWithHeartbeats advances the time, and delivers a heartbeat of each given member at every tick.
func (l *leadingAssigner) runWithHeartbeats(d time.Duration, members ...Member) {
	for end := l.now + d; l.now < end; l.now += testTiming.TickInterval {
		for _, m := range members {
			l.step(PeerHeartbeat{Member: m, CanOwn: true})
		}
		l.step(Tick{})
	}
}

// requireOwners fails the test unless exactly the given controllers own machines in the current epoch.
func (l *leadingAssigner) requireOwners(t *testing.T, want ...string) {
	t.Helper()
	if got := l.owners(); !slices.Equal(got, want) {
		t.Fatalf("at %v: owners %v, want %v", l.now, got, want)
	}
}

// owners returns the names of the members in the current epoch.
func (l *leadingAssigner) owners() (names []string) {
	for _, m := range l.record.Members {
		names = append(names, m.Controller)
	}
	return names
}

// TestOwnersFollowHeartbeatsAndVerdicts checks that a controller owns machines after the first contact with it, keeps
// them while contact is lost, and loses them only through a verdict on its incarnation. It owns machines again as
// another incarnation, after a delay that grows with each failure.
func TestOwnersFollowHeartbeatsAndVerdicts(t *testing.T) {
	l := newLeadingAssigner("b", "c")
	b, c := member("b", 2, 0), member("c", 3, 0)
	l.runWithHeartbeats(5*time.Second, b, c)
	l.requireOwners(t, "a", "b", "c")
	l.runWithHeartbeats(time.Minute, b)
	if len(l.written) != 1 {
		t.Fatalf("%d epochs, want 1, since lost contact alone must not start an epoch: %+v", len(l.written), l.written)
	}

	var delays []time.Duration
	for refutations := range uint64(3) {
		failed, next := member("c", 3, refutations), member("c", 3, refutations+1)
		failedAt := l.now
		l.step(Verdict{Member: failed, Reason: "verdict"})
		l.requireOwners(t, "a", "b")
		if l.record.Reason != "verdict" {
			t.Fatalf("reason %q, want the verdict", l.record.Reason)
		}
		l.runWithHeartbeats(2*time.Second, b, failed) // c does not know of the verdict yet
		for !slices.Contains(l.owners(), "c") && l.now < failedAt+time.Hour {
			l.runWithHeartbeats(time.Second, b, next)
		}
		delays = append(delays, (l.now - failedAt).Round(time.Second))
	}
	if delays[1] <= delays[0] || delays[2] <= delays[1] {
		t.Errorf("c owns machines again after %v, want increasing delays", delays)
	}

	l.step(Verdict{Member: member("c", 3, 1), Reason: "late"}) // concerns an earlier incarnation
	l.runWithHeartbeats(time.Second, b, member("c", 3, 3))
	l.requireOwners(t, "a", "b", "c")
}

// proposalModel tracks when an assigner may propose a record.
type proposalModel struct {
	leading, recordKnown, writeInFlight bool
	leadingSince                        time.Duration
	revision, epoch                     uint64 // of the record read last
}

// check fails the test if the effects contain a write that is not allowed.
func (m *proposalModel) check(t *rapid.T, now time.Duration, effects []Effect) {
	t.Helper()
	for _, effect := range effects {
		write, ok := effect.(WriteRecord)
		if !ok {
			continue
		}
		if !m.leading || !m.recordKnown || m.writeInFlight || now-m.leadingSince < testTiming.PeerTimeout {
			t.Fatalf("proposed a record at %v, which %+v does not allow", now, *m)
		}
		if write.Record.Revision != m.revision || write.Record.Epoch != m.epoch+1 {
			t.Fatalf("wrote epoch %d on top of revision %d: %+v", write.Record.Epoch, write.Record.Revision, *m)
		}
		m.writeInFlight = true
	}
}

// TestProposalsNeedLeadershipAndRecord checks with random events that an assigner proposes a record only if it is the
// leader, has been for the peer timeout, has read the record and has no write in flight, and that it proposes the epoch
// that follows the one it has read.
func TestProposalsNeedLeadershipAndRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New("a", []string{"b", "c"}, testTiming)
		var now time.Duration
		var m proposalModel
		drawMember := func(label string) Member {
			name := rapid.SampledFrom([]string{"b", "c", "stranger"}).Draw(t, label)
			return member(name, 5, rapid.Uint64Range(0, 2).Draw(t, "refutations"))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			var event Event
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				leading := rapid.Bool().Draw(t, "leading")
				if leading && !m.leading {
					m.leadingSince = now
				}
				m.leading = leading
				event = Leadership{Leading: leading}
			case 1:
				event = PeerHeartbeat{Member: drawMember("from"), CanOwn: rapid.Bool().Draw(t, "can own")}
			case 2:
				event = Verdict{Member: drawMember("failed")}
			case 3:
				if rapid.Bool().Draw(t, "newer") {
					m.revision, m.epoch = m.revision+1, m.epoch+1
				}
				m.recordKnown = true
				record := Record{Epoch: m.epoch, Revision: m.revision, Members: []Member{member("c", 5, 0)}}
				event = RecordRead{Record: record}
			case 4:
				m.writeInFlight = false
				event = WriteDone{}
			default:
				event = Tick{}
			}
			m.check(t, now, a.Step(now, event))
		}
	})
}
