//go:build review2

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// lateLimit is how long after a confirmed cancellation a start command may still arrive at a sound machine beside the
// controllers: commands take well under a millisecond there.
const lateLimit = time.Second / 2

// runLate: a zone is cut off, and start commands to the machines of the other zone wait behind the commands to those of
// the zone until after the job's user was told that it is cancelled.
func runLate(folder string, trouble bool) (string, error) {
	o := crosfhocal(folder, machineSpec{zone: "dublinbay", count: 50}, machineSpec{zone: "shannonside", count: 56})
	o.runTime, o.fetchTime, o.terse = time.Minute, 20*time.Millisecond, true
	f, err := newFleet(o)
	if err != nil {
		return "", err
	}
	watch := &startWatch{
		fleet:  f,
		told:   map[string]time.Duration{},
		cut:    map[string]bool{},
		healed: make(chan struct{}),
	}
	f.onCommands = watch.commands
	if err := f.startControllers(); err != nil {
		f.stop()
		return "", fmt.Errorf("%w: %w", errCannotRun, err)
	}
	f.sleep(8 * time.Second) // all machines have reported by then
	if trouble {
		watch.cutZone("shannonside")
	}
	var users sync.WaitGroup
	for i := range 10 {
		j := gridsweep(fmt.Sprintf("j-0001%02d", i), 45)
		j.Zone = "shannonside"
		users.Go(func() { f.submit(j) })
	}
	users.Wait()
	for i := range 8 {
		j := gridsweep(fmt.Sprintf("j-0002%02d", i), 8)
		j.Zone = "dublinbay"
		users.Go(func() {
			if !f.submit(j) {
				return
			}
			f.sleep(150 * time.Millisecond)
			if f.cancelJob(j.ID) {
				watch.tell(j.ID)
			}
		})
		f.sleep(100 * time.Millisecond)
	}
	users.Wait()
	f.sleep(8 * time.Second)
	result := watch.result()
	if trouble {
		watch.heal()
		f.sleep(2 * time.Second)
	}
	return f.finish(result)
}

// cutZone cuts the machines of a zone off from everything: their reports are lost, and commands to them hang.
func (s *startWatch) cutZone(zone string) {
	s.fleet.log("%s is cut off from everything", zone)
	s.setCut(zone, true)
}

// heal ends the cut. What was held back is delivered then.
func (s *startWatch) heal() {
	s.fleet.log("the cut ends")
	s.setCut("", false)
	close(s.healed)
}

func (s *startWatch) setCut(zone string, cut bool) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, a := range f.agents {
		if zone == "" || f.world.Workers[name].Zone == zone {
			a.HeartbeatsLost, s.cut[name] = cut, cut
		}
	}
}

// startWatch finds start commands that arrive after a confirmed cancellation.
type startWatch struct {
	fleet *fleet
	mu    sync.Mutex
	told  map[string]time.Duration // when a user was told that the job is cancelled
	late  []string
	cut   map[string]bool // machines that are cut off
	// healed is closed when the cut ends.
	healed chan struct{}
}

func (s *startWatch) tell(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[id] = s.fleet.now()
}

func (s *startWatch) result() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.late) == 0 {
		return ""
	}
	return fmt.Sprintf("%d start commands after a confirmed cancellation: %s", len(s.late), s.late[0])
}

// commands checks a request that arrives at a machine.
func (s *startWatch) commands(machine string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		s.mu.Lock()
		cut := s.cut[machine]
		s.mu.Unlock()
		if cut {
			select {
			case <-s.healed:
			case <-s.fleet.ctx.Done():
				return
			}
		}
		var batch protocol.CommandBatch
		if r.URL.Path == "/commands" && protocol.Decode(raw, &batch) == nil {
			s.check(machine, batch)
		}
		h.ServeHTTP(w, r)
	})
}

func (s *startWatch) check(machine string, batch protocol.CommandBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.fleet.now()
	for _, c := range batch.Commands {
		id, err := protocol.ParseTaskID(c.TaskName)
		if err != nil || c.Verb != protocol.VerbRun {
			continue
		}
		at, told := s.told[id.JobID]
		if told || strings.HasPrefix(id.JobID, "j-0002") {
			s.fleet.log("%s receives run of %s, attempt %d", machine, c.TaskName, c.Attempt)
		}
		if told && now-at > lateLimit {
			s.late = append(s.late, fmt.Sprintf("%s at %s %.2f s after its user was told", c.TaskName, machine,
				(now-at).Seconds()))
		}
	}
}
