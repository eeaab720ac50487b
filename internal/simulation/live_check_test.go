package simulation

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// running returns the jobs of which a task runs, but those that were called off.
func (l *live) running() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	on := map[string]bool{}
	for _, m := range l.world.Workers {
		for _, t := range m.Tasks {
			if t.State == protocol.TaskRunning {
				on[t.ID.Job] = true
			}
		}
	}
	var ids []string
	for id := range on {
		if _, over := l.ledger.Final(id); !over {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// on returns the machines that a job's tasks are on; l.mu is held.
func (l *live) on(id string) (rigs []*rig) {
	for _, m := range l.world.sorted() {
		for _, t := range m.Tasks {
			if t.ID.Job == id && t.On() && l.rigs[m.Name] != nil {
				rigs = append(rigs, l.rigs[m.Name])
				break
			}
		}
	}
	return rigs
}

// check fails the test for every rule that was broken, with the logs' end.
func (l *live) check() {
	l.t.Helper()
	l.mu.Lock()
	broken := append(append([]string{}, l.world.Broken...), l.ledger.Broken...)
	late := l.world.LateStarts
	l.mu.Unlock()
	for i, b := range broken {
		if i < 4 {
			l.t.Error(b)
		}
	}
	if late > 0 {
		l.t.Errorf("%d starts after a confirmed cancellation", late)
	}
	if l.t.Failed() && testing.Verbose() {
		all := strings.Split(l.logs.String(), "\n")
		l.t.Log(strings.Join(all[max(0, len(all)-400):], "\n"))
	}
}

// calm demands that no job is forgotten or left waiting once it is calm: every
// accepted job is answered for, and is over unless it is a service, which runs.
func (l *live) calm() {
	l.t.Helper()
	if ids := l.ledger.Unanswered(l.now() - 75*time.Second); len(ids) > 0 {
		l.t.Errorf("no answer for 75 s about %v", ids)
	}
	running := l.running()
	for _, id := range l.jobs {
		_, over := l.ledger.Final(id)
		if !over && (l.world.Jobs[id].Shape != protocol.Service || !slices.Contains(running, id)) {
			l.t.Errorf("%s %s is left waiting", l.world.Jobs[id].Shape, id)
		}
	}
}

// play runs a scenario in simulated time.
func play(t *testing.T, seed uint64, controllers int, w config.Workers, f func(l *live), options ...func(*live)) {
	synctest.Test(t, func(t *testing.T) {
		l := newLive(t, seed, controllers, w, options...)
		defer l.check()
		defer l.end()
		f(l)
	})
}

// TestLiveQuiet: with no trouble at all, real controllers serve everything.
func TestLiveQuiet(t *testing.T) {
	play(t, 1, 3, brisk, func(l *live) {
		time.Sleep(5 * time.Second)
		l.crew(9)
		time.Sleep(240 * time.Second)
		l.calm()
		if l.world.Starts < 15 {
			t.Errorf("only %d starts", l.world.Starts)
		}
		if l.term() != 1 {
			t.Errorf("term %d without any trouble", l.term())
		}
	})
}
