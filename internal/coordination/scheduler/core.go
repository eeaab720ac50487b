package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/part"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Events that a step takes.
type (
	// Tick lets time pass.
	Tick struct{}
	// Reported is a worker's report; Tag comes back with the answer. Relayed
	// says that another controller passed it on.
	Reported struct {
		Tag     any
		Report  *protocol.Report
		Relayed bool
	}
	// JobSet is an accepted job.
	JobSet struct {
		Record storage.LiveRecord
		Stamp  uint64
	}
	// JobDropped says that a job's live record is gone: it is over.
	JobDropped struct{ ID string }
	// Withdrawn says that a user may be about to be told that a job is cancelled, by
	// the given time or else not before another Withdrawn.
	Withdrawn struct {
		ID    string
		Until time.Duration
	}
	// Sighted says that all changes of the accepted jobs up to At have been told.
	Sighted struct{ At time.Duration }
	// Written is the outcome of a Write. Failed names the conditions that did
	// not hold.
	Written struct {
		Write  uint64
		OK     bool
		Rev    uint64
		Failed []string
	}
	// OrdersDone is the outcome of an Order. Report is nil without an answer.
	OrdersDone struct {
		Machine string
		OK      bool
		Report  *protocol.Report
	}
	// Inspected is a machine's answer to an Inspect.
	Inspected struct{ Report *protocol.Report }
	// Types is the cloud's price list.
	Types struct{ Types []protocol.MachineType }
	// Listed is the cloud's list; Failed says that it did not come.
	Listed struct {
		Asked    time.Duration
		Machines []protocol.ListedMachine
		Failed   bool
	}
	// Rented is the outcome of a rental.
	Rented struct {
		Request string
		Asked   time.Duration
		Names   []string
		Refused bool
	}
	// Released is the outcome of a release.
	Released struct {
		Names []string
		OK    bool
	}
)

// Effects that a step returns, besides those of package fleet.
type (
	// Answer goes back to a worker.
	Answer struct {
		Tag  any
		Body protocol.ReportAnswer
	}
	// Write is a conditional transaction; it is tried until its outcome is
	// known. Verify is a key whose record names the write.
	Write struct {
		ID     uint64
		Txn    protocol.Txn
		Verify string
		Name   string
		Bulk   bool
	}
	// Order is a command that goes straight to a machine.
	Order struct {
		Machine, Addr string
		Orders        protocol.Orders
	}
	// Inspect asks a machine how it stands; no answer means nothing.
	Inspect struct{ Machine, Addr string }
	// Depose says that this leader's time is over; Term is a later one, if one
	// was seen.
	Depose struct {
		Term   uint64
		Reason string
		Away   bool // another controller should lead
	}
)

// Cycle is the interval of the scheduling cycle, and Eager the shortest time
// between two when something relevant has arrived.
const (
	Cycle = time.Second
	Eager = Cycle / 20
)

// crowd is how many jobs make the pause between eager cycles longer by once
// itself, for a cycle's cost grows with them.
const crowd = 500

// Core is the leader's state.
type Core struct {
	cfg       *config.Deployment
	log       *slog.Logger
	term      uint64
	termStamp uint64
	perPage   int

	part  *part.Part
	fleet *fleet.Fleet
	jobs  map[string]*job
	// withdrawn holds the jobs that users may have been told are cancelled, until the
	// state service tells, by when one must have been told.
	withdrawn map[string]time.Duration

	out       []any
	writes    map[uint64]func(now time.Duration, w Written)
	seq       uint64
	due       bool // something relevant has arrived since the last cycle
	cycles    uint64
	lastCycle time.Duration
	lastPlan  time.Duration // when the fleet was last planned
	lastMove  time.Duration
	began     time.Duration
	arrivals  map[string][]time.Duration // by class, newest last
	sample    map[string]*protocol.Job   // the newest job of each class
	sizes     map[string]float64         // mean tasks of a job
	spareNow  []fleet.Unit               // room wanted for jobs to come
	counted   map[string]float64         // jobs in the memory of arrivals, by class
	prior     map[string]float64         // what the last leader counted
	warm      map[string]string          // images records as written
	warming   bool
	inspector inspector
	lastWarm  time.Duration
}

// New returns the core of a term that has read the records.
func New(now time.Duration, cfg *config.Deployment, log *slog.Logger, term, termStamp uint64, types []protocol.MachineType,
	live, pages, warm []protocol.Pair, wallMS int64) *Core {
	c := &Core{
		cfg: cfg, log: log, term: term, termStamp: termStamp, perPage: storage.PageTasks(cfg.State.ValueKB),
		part: part.New(term, cfg.Workers), fleet: fleet.New(term, cfg.Cloud, cfg.Workers), jobs: map[string]*job{}, withdrawn: map[string]time.Duration{},
		writes: map[uint64]func(time.Duration, Written){}, due: true, began: now,
		lastCycle: now - Cycle, lastPlan: now - Cycle,
		arrivals: map[string][]time.Duration{}, sample: map[string]*protocol.Job{}, sizes: map[string]float64{},
		counted: map[string]float64{}, prior: map[string]float64{}, warm: map[string]string{}, lastWarm: now,
	}
	c.part.SetTypes(types)
	c.recoverWarm(warm)
	for _, p := range live {
		var rec storage.LiveRecord
		if err := protocol.Decode(p.Value, &rec); err != nil {
			log.Error("live record out of form", "key", p.Key, "err", err)
			continue
		}
		age := time.Duration(max(0, wallMS-rec.AtMS)) * time.Millisecond
		c.accept(now, now-age, rec, p.Version)
	}
	for class := range c.prior {
		// The last leader has counted those jobs that live.
		delete(c.arrivals, class)
	}
	for _, p := range pages {
		c.recoverPage(now, p)
	}
	for _, j := range c.sorted() {
		// A gang that the last leader did not finish writing starts anew.
		if j.spec.Shape == protocol.Gang && len(j.places) > 0 && j.counts[pending] > 0 {
			c.stopGang(now, j)
		}
		if j.over {
			// It ended under another leader, who knows when.
			c.doom(j, now+c.fleet.Patience())
			c.stopJob(now, j)
		}
	}
	return c
}

// recoverWarm takes over what earlier leaders knew of the machines' images.
func (c *Core) recoverWarm(pairs []protocol.Pair) {
	for _, p := range pairs {
		var rec storage.WarmRecord
		if err := protocol.Decode(p.Value, &rec); err != nil || len(rec.Images) != len(rec.SizesGB) {
			c.log.Error("images record out of form", "key", p.Key, "err", err)
			continue
		}
		for _, m := range rec.Machines {
			var copies []part.Copy
			for _, i := range m.Images {
				if i >= 0 && i < len(rec.Images) {
					copies = append(copies, part.Copy{Image: rec.Images[i], SizeGB: rec.SizesGB[i]})
				}
			}
			c.part.Hint(m.Name, copies)
		}
		for _, a := range rec.Arrivals {
			c.prior[a.Class], c.sizes[a.Class] = a.Jobs, a.Tasks
		}
		c.warm[p.Key] = "" // to be written anew, or else dropped
	}
}

// writeWarm writes down the machines' images, a page at a time and not often:
// it is a help for the next leader, and must not stand in anybody's way.
func (c *Core) writeWarm(now time.Duration) {
	if c.warming || now-c.lastWarm < warmPause {
		return
	}
	c.lastWarm = now
	copies := c.part.Copies()
	names := slices.Sorted(maps.Keys(copies))
	per := storage.WarmMachines(c.cfg.State.ValueKB)
	pages := map[string][]byte{}
	for page := 0; page*per < len(names); page++ {
		var rec storage.WarmRecord
		index := map[string]int{}
		for _, n := range names[page*per : min((page+1)*per, len(names))] {
			m := storage.WarmMachine{Name: n}
			for _, cp := range copies[n] {
				i, ok := index[cp.Image]
				if !ok {
					i = len(rec.Images)
					index[cp.Image] = i
					rec.Images = append(rec.Images, cp.Image)
					rec.SizesGB = append(rec.SizesGB, cp.SizeGB)
				}
				m.Images = append(m.Images, i)
			}
			rec.Machines = append(rec.Machines, m)
		}
		if page == 0 {
			for class, jobs := range c.counted {
				// Two digits are enough, and a quiet fleet writes nothing.
				rec.Arrivals = append(rec.Arrivals, storage.ClassArrivals{Class: class, Jobs: math.Round(jobs*4) / 4, Tasks: c.sizes[class]})
			}
			sort.Slice(rec.Arrivals, func(a, b int) bool { return rec.Arrivals[a].Class < rec.Arrivals[b].Class })
		}
		raw, err := protocol.Encode(rec)
		if err != nil || float64(len(raw)) > c.cfg.State.ValueKB*1024/2 {
			continue // too many names for a hint
		}
		pages[storage.WarmKey(page)] = raw
	}
	t := protocol.Txn{If: []protocol.Cond{{Key: storage.TermKey, Version: c.termStamp}}}
	var changed []string
	for key := range c.warm {
		if pages[key] == nil {
			t.Then = append(t.Then, protocol.Op{Delete: key})
			changed = append(changed, key)
		}
	}
	for key, raw := range pages {
		if c.warm[key] != string(raw) && len(t.Then) < c.cfg.State.TxnOps/2 {
			t.Then = append(t.Then, protocol.Op{Put: key, Value: raw})
			changed = append(changed, key)
		}
	}
	if len(changed) == 0 {
		return
	}
	c.warming = true
	id, _ := c.name()
	c.writes[id] = func(_ time.Duration, w Written) {
		c.warming = false
		for _, key := range changed {
			if pages[key] == nil {
				delete(c.warm, key)
			} else {
				c.warm[key] = string(pages[key])
			}
		}
	}
	c.emit(Write{ID: id, Txn: t, Bulk: true, Verify: storage.TermKey, Name: "-"})
}

// warmPause is the time between two writes of the images.
const warmPause = 10 * Cycle

// recoverPage takes over what a page records.
func (c *Core) recoverPage(now time.Duration, p protocol.Pair) {
	id, n, rec, err := storage.DecodePage(p)
	if err != nil {
		c.log.Error("page out of form", "key", p.Key, "err", err)
		return
	}
	j := c.jobs[id]
	if j == nil {
		// The job is over, but its tasks may not be gone: they still count.
		j = newJob(protocol.Job{ID: id, Team: rec.Team, CPUs: rec.CPUs, GPUs: rec.GPUs,
			MemoryGB: rec.MemoryGB, Priority: "best_effort"}, 0, 0, now, c.perPage)
		j.over = true
		c.jobs[id] = j
	}
	if more := (n+1)*c.perPage - len(j.tasks); j.over && more > 0 {
		j.tasks = append(j.tasks, make([]taskState, more)...)
		j.counts[pending] += more
	}
	pg := j.page(n)
	pg.stamp, pg.attempts = p.Version, rec.Attempts
	for _, d := range rec.Done {
		for t := d[0]; t <= d[1]; t++ {
			j.set(t, done)
		}
	}
	for _, pl := range rec.Places {
		if pl.Task >= len(j.tasks) || j.places[pl.Task] != nil {
			continue
		}
		np := &part.Placement{
			Task: protocol.TaskID{Job: id, Task: pl.Task}, Attempt: pl.Attempt, Machine: pl.Machine, Session: pl.Session,
			Zone: rec.Zones[pl.Zone], Need: j.need, Team: j.spec.Team, Rank: j.rank, Job: &j.spec,
		}
		j.places[pl.Task] = np
		if j.tasks[pl.Task] != done {
			j.set(pl.Task, placed)
		}
		c.part.Adopt(now, np)
	}
}

func (c *Core) accept(now, since time.Duration, rec storage.LiveRecord, stamp uint64) {
	id := rec.Job.ID
	if j := c.jobs[id]; j != nil {
		if !j.over {
			j.stamp = stamp
		}
		return
	}
	j := newJob(rec.Job, stamp, rec.AtMS, since, c.perPage)
	c.jobs[id] = j
	class := rec.Job.Class
	c.arrivals[class] = append(c.arrivals[class], since)
	c.sample[class] = &j.spec
	if old := c.sizes[class]; old > 0 {
		c.sizes[class] = old + (float64(rec.Job.Tasks)-old)/8
	} else {
		c.sizes[class] = float64(rec.Job.Tasks)
	}
	c.due = true
}

// Step takes an event and returns what is to be done.
func (c *Core) Step(now time.Duration, event any) []any {
	c.out = nil
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case Reported:
		c.reported(now, e)
	case JobSet:
		c.accept(now, now, e.Record, e.Stamp)
	case JobDropped:
		c.dropped(now, e.ID)
	case Withdrawn:
		c.withdraw(now, e)
	case Sighted:
		c.sighted(e.At)
	case Written:
		if f := c.writes[e.Write]; f != nil {
			delete(c.writes, e.Write)
			f(now, e)
		}
	case OrdersDone:
		c.ordersDone(now, e)
	case Inspected:
		c.heard(now, e.Report)
	case Types:
		c.part.SetTypes(e.Types)
	case Listed:
		if e.Failed {
			c.fleet.ListFailed()
			break
		}
		c.inspectListed(now, e.Machines)
		for _, name := range c.fleet.Listed(now, e.Asked, c.part, e.Machines) {
			c.log.Info("machine has left the list", "machine", name)
			c.facts(now, c.part.Lost(now, name))
		}
	case Rented:
		c.log.Info("rented", "request", e.Request, "machines", len(e.Names), "refused", e.Refused)
		c.fleet.Rented(now, e.Asked, c.part, e.Request, e.Names, e.Refused)
	case Released:
		c.fleet.Released(now, e.Names, e.OK)
		if e.OK {
			for _, n := range e.Names {
				c.facts(now, c.part.Lost(now, n))
			}
		}
	}
	return c.out
}

func (c *Core) emit(effects ...any) { c.out = append(c.out, effects...) }

// Status tells what the leader knows of a job.
func (c *Core) Status(id string) (protocol.JobStatus, bool) {
	j := c.jobs[id]
	if j == nil || j.over || j.finishing {
		return protocol.JobStatus{}, false
	}
	return j.standing(), true
}

func (c *Core) reported(now time.Duration, e Reported) {
	r := e.Report
	if c.outdated(r) {
		return
	}
	answer := protocol.ReportAnswer{Token: protocol.Token(c.term, 0), Commands: []protocol.Command{}}
	if c.fleet.Gone(r.Machine) {
		c.emit(Answer{e.Tag, answer})
		return
	}
	m, newer := c.heard(now, r)
	if newer {
		m.Relayed = e.Relayed
		if cmds := c.part.Orders(now, m); cmds != nil {
			answer.Commands = cmds
		}
	}
	answer.Token = c.part.Token(m)
	c.emit(Answer{e.Tag, answer})
}

func (c *Core) ordersDone(now time.Duration, e OrdersDone) {
	m := c.part.Machine(e.Machine)
	if m == nil {
		return
	}
	if e.Report != nil && c.outdated(e.Report) {
		return
	}
	if e.Report != nil && e.Report.Machine == e.Machine {
		c.heard(now, e.Report)
	}
	c.part.Answered(now, m, e.OK || e.Report != nil)
	if e.Report == nil {
		// Its reports may arrive though commands don't: nothing new goes there
		// until it has had time for another report.
		m.MutedUntil = now + config.Seconds(2*c.cfg.Workers.ReportS)
	}
}

// outdated says whether a worker has seen a later term, and if so ends ours.
func (c *Core) outdated(r *protocol.Report) bool {
	t := protocol.TermOf(r.Token)
	if t > c.term {
		c.emit(Depose{Term: t, Reason: "a worker has seen a later term"})
	}
	return t > c.term
}

// heard takes in what a machine says, in whichever way it came.
func (c *Core) heard(now time.Duration, r *protocol.Report) (m *part.Machine, newer bool) {
	if c.outdated(r) || c.fleet.Gone(r.Machine) {
		return nil, false
	}
	up := c.part.Up(r.Machine)
	m, facts, newer := c.part.Report(now, r)
	c.due = c.due || !up
	c.facts(now, facts)
	c.judgeMachine(m)
	return m, newer
}

// judgeMachine sets a machine aside that fails the tasks of several jobs.
func (c *Core) judgeMachine(m *part.Machine) {
	if len(m.Errors) >= 2 && !m.Sick {
		m.Sick = true
		c.log.Info("machine set aside: it fails tasks of several jobs", "machine", m.Name)
	}
}

// facts takes in what became of placements.
func (c *Core) facts(now time.Duration, facts []part.Fact) {
	for _, f := range facts {
		pl := f.Placement
		j := c.jobs[pl.Task.Job]
		if j == nil || j.places[pl.Task.Task] != pl {
			continue
		}
		if !pl.Gone {
			if pl.State == protocol.TaskRunning && pl.Since == now {
				j.runAt = now
				if j.spec.Shape == protocol.Service {
					j.ran[pl.Task.Task] = true
				}
				j.failures = max(0, j.failures-1)
				c.log.Debug("running", "task", pl.Task, "class", j.spec.Class, "attempt", pl.Attempt, "machine", pl.Machine,
					"waited", now-j.known, "placed", now-pl.Granted, "image", j.spec.Image)
			}
			continue
		}
		c.gone(now, j, pl, f.Lost)
	}
}

// gone takes in that a placement is proven gone.
func (c *Core) gone(now time.Duration, j *job, pl *part.Placement, lost bool) {
	c.due = true
	task := pl.Task.Task
	delete(j.places, task)
	pg := j.pageOf(task)
	pg.exits = append(pg.exits, pl)
	if lost {
		c.log.Info("task lost with its machine", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine)
	}
	switch {
	case j.over:
		j.set(task, done)
		c.sweep(now, j)
		return
	case j.tasks[task] == done:
		return
	case !lost && pl.Cause == protocol.CauseDone:
		j.set(task, done)
		j.touch(task, now)
		if j.spec.Shape == protocol.Gang {
			// A gang completes together.
			for t := range j.tasks {
				if j.tasks[t] != done {
					j.set(t, done)
					j.touch(t, now)
				}
			}
		}
		if j.counts[done] == len(j.tasks) {
			c.finish(now, j)
		}
		return
	}
	j.begun = j.begun || j.runAt > 0 && now-j.runAt >= settled
	j.runAt = 0
	j.set(task, pending)
	j.touch(task, now) // or its exited entry could never be forgotten
	if !lost {
		c.failed(now, j, pl)
	}
	if j.spec.Shape == protocol.Gang {
		c.stopGang(now, j)
		if len(j.places) == 0 {
			j.stopping = false
		}
	}
}

// failed draws the conclusions from an exit that was not asked for.
func (c *Core) failed(now time.Duration, j *job, pl *part.Placement) {
	switch pl.Cause {
	case protocol.CauseStopped, protocol.CausePeers, protocol.CauseDone:
		return
	}
	c.log.Info("task failed", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine, "cause", pl.Cause)
	m := c.part.Machine(pl.Machine)
	switch pl.Cause {
	case protocol.CauseError:
		j.failures++
		j.failedOn[pl.Machine] = true
		if j.suspect() {
			// It fails everywhere: the job is at fault, not the machines. Back
			// off, so that it spoils neither machines nor our verdict on them.
			j.notBefore = now + min(Cycle<<min(j.failures, 6), config.Seconds(2*c.cfg.Workers.CancelS))
			for name := range j.failedOn {
				if o := c.part.Machine(name); o != nil {
					delete(o.Errors, j.spec.ID)
				}
			}
		}
	case protocol.CauseNoRoom, protocol.CauseBusy:
		// The machine holds something that we don't know of.
		if m != nil {
			m.MutedUntil = max(m.MutedUntil, now+config.Seconds(2*c.cfg.Workers.ReportS))
		}
		j.notBefore = now + Cycle/4
	case protocol.CauseUnknown:
		j.failures++
		j.notBefore = now + Cycle<<min(j.failures, 5)
	default:
		j.notBefore = now + Cycle/4
	}
}

// stopGang stops all of a gang that has lost a task: below minAvailable it is
// requeued as a whole, from its checkpoint.
func (c *Core) stopGang(now time.Duration, j *job) {
	for _, pl := range placements(j) {
		if !pl.Stopping || pl.GraceS > 0 {
			c.stop(now, j, pl, 0)
		}
	}
	j.stopping = len(j.places) > 0
}

func placements(j *job) []*part.Placement {
	list := make([]*part.Placement, 0, len(j.places))
	for _, pl := range j.places {
		list = append(list, pl)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Task.Task < list[b].Task.Task })
	return list
}

// stop asks a placement to end, and takes in when that needs no proof.
func (c *Core) stop(now time.Duration, j *job, pl *part.Placement, graceS float64) {
	if c.part.Stop(now, pl, graceS) && !pl.Written && j.writing {
		// Its record may be written at this moment; it names a placement that
		// was never started, which a later write replaces.
		c.log.Debug("placement withdrawn before its record", "task", pl.Task)
	}
	if pl.Gone && j.places[pl.Task.Task] == pl {
		c.gone(now, j, pl, true)
	}
}

// stopJob stops everything of a job that is over.
func (c *Core) stopJob(now time.Duration, j *job) {
	for _, pl := range placements(j) {
		c.stop(now, j, pl, 0)
	}
	c.sweep(now, j)
}

// end takes in that a job is over.
func (c *Core) end(now time.Duration, j *job) {
	j.over, j.stamp = true, 0
	c.due = true
	if j.counts[done] < len(j.tasks) {
		c.doom(j, c.goneBy(now))
	}
	c.stopJob(now, j)
}

// finish records that all tasks are done. The job's end moves it from its
// live key to its final one; pages without placements go with it.
func (c *Core) finish(now time.Duration, j *job) {
	if j.finishing || j.over {
		return
	}
	if j.writing {
		return // the outcome of that write comes back here
	}
	j.finishing = true
	id, name := c.name()
	value, err := protocol.Encode(storage.EndedRecord{Standing: protocol.Done, Done: len(j.tasks), Write: name})
	if err != nil {
		c.log.Error("ended record", "err", err)
		return
	}
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: storage.TermKey, Version: c.termStamp}, {Key: storage.LiveKey(j.spec.ID), Version: j.stamp}},
		Then: []protocol.Op{{Delete: storage.LiveKey(j.spec.ID)}, {Put: storage.EndedKey(j.spec.ID), Value: value}},
	}
	var dropped []int
	if len(j.places) == 0 {
		for n, p := range j.pages {
			if p.stamp != 0 && len(t.Then) < c.cfg.State.TxnOps {
				t.If = append(t.If, protocol.Cond{Key: storage.PageKey(j.spec.ID, n), Version: p.stamp})
				t.Then = append(t.Then, protocol.Op{Delete: storage.PageKey(j.spec.ID, n)})
				dropped = append(dropped, n)
			}
		}
	}
	c.writes[id] = func(now time.Duration, w Written) {
		j.finishing = false
		if !w.OK && !c.overtaken(now, j, w) {
			return
		}
		if w.OK {
			for _, n := range dropped {
				c.settle(j.pages[n])
				delete(j.pages, n)
			}
		}
		c.log.Debug("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.tasks), "took", now-j.known)
		c.end(now, j)
	}
	c.emit(Write{ID: id, Txn: t, Verify: storage.EndedKey(j.spec.ID), Name: name})
}

func (c *Core) name() (uint64, string) {
	c.seq++
	return c.seq, fmt.Sprintf("%d.%d", c.term, c.seq)
}

func (c *Core) settle(p *page) {
	for _, pl := range p.exits {
		c.part.Settle(pl)
	}
	p.exits = nil
}

// overtaken says whether a write failed because the job is over. Any other
// reason means that somebody else leads or that the books are wrong; either
// way a new term, which reads everything afresh, is the safe answer.
func (c *Core) overtaken(now time.Duration, j *job, w Written) bool {
	for _, k := range w.Failed {
		if k == storage.TermKey {
			c.emit(Depose{Reason: "the term has changed"})
			return false
		}
	}
	for _, k := range w.Failed {
		if k == storage.LiveKey(j.spec.ID) {
			return true
		}
	}
	c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
	return false
}

// sweep removes the pages of a job that is over, once nothing of it is left.
func (c *Core) sweep(now time.Duration, j *job) {
	if !j.over || j.writing || len(j.places) > 0 {
		return
	}
	t := protocol.Txn{If: []protocol.Cond{{Key: storage.TermKey, Version: c.termStamp}}}
	var dropped []int
	for n, p := range j.pages {
		if p.stamp == 0 {
			c.settle(p)
			delete(j.pages, n)
		} else if len(t.Then) < c.cfg.State.TxnOps {
			t.If = append(t.If, protocol.Cond{Key: storage.PageKey(j.spec.ID, n), Version: p.stamp})
			t.Then = append(t.Then, protocol.Op{Delete: storage.PageKey(j.spec.ID, n)})
			dropped = append(dropped, n)
		}
	}
	if len(dropped) == 0 {
		delete(c.jobs, j.spec.ID)
		return
	}
	j.writing = true
	id, _ := c.name()
	c.writes[id] = func(now time.Duration, w Written) {
		j.writing = false
		if !w.OK {
			c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
			return
		}
		for _, n := range dropped {
			c.settle(j.pages[n])
			delete(j.pages, n)
		}
		c.sweep(now, j)
	}
	c.emit(Write{ID: id, Txn: t, Bulk: true, Verify: storage.PageKey(j.spec.ID, dropped[0])})
}

// write records a job's dirty pages, as many as one transaction takes.
func (c *Core) write(now time.Duration, j *job) {
	if j.writing || j.over || j.finishing {
		return
	}
	ns := j.dirtyPages()
	if len(ns) == 0 {
		return
	}
	fit := max(1, min(c.cfg.State.TxnOps, int(float64(protocol.MaxBody)*0.75/(c.cfg.State.ValueKB*1024))))
	ns = ns[:min(len(ns), fit)]
	id, name := c.name()
	t := protocol.Txn{If: []protocol.Cond{
		{Key: storage.TermKey, Version: c.termStamp}, {Key: storage.LiveKey(j.spec.ID), Version: j.stamp},
	}}
	exits := map[int]int{}
	var included []*part.Placement
	for _, n := range ns {
		p := j.page(n)
		p.dirty = false
		exits[n] = len(p.exits)
		value, err := protocol.Encode(j.record(n, name))
		if err != nil {
			c.log.Error("page record", "err", err)
			return
		}
		t.If = append(t.If, protocol.Cond{Key: storage.PageKey(j.spec.ID, n), Version: p.stamp})
		t.Then = append(t.Then, protocol.Op{Put: storage.PageKey(j.spec.ID, n), Value: value})
	}
	for _, pl := range j.granted {
		for _, n := range ns {
			if pl.Task.Task/j.perPage == n {
				included = append(included, pl)
			}
		}
	}
	j.writing = true
	c.writes[id] = func(now time.Duration, w Written) {
		j.writing = false
		if !w.OK {
			if c.overtaken(now, j, w) {
				c.refuseGranted(now, j)
				c.end(now, j)
			}
			return
		}
		for _, n := range ns {
			p := j.page(n)
			p.stamp = w.Rev
			for _, pl := range p.exits[:exits[n]] {
				c.part.Settle(pl)
			}
			p.exits = p.exits[exits[n]:]
		}
		if j.over {
			c.refuseGranted(now, j)
			c.stopJob(now, j)
			return
		}
		for _, pl := range included {
			pl.Recorded = true
		}
		c.start(now, j)
		if j.counts[done] == len(j.tasks) {
			c.finish(now, j)
		} else {
			c.write(now, j)
		}
	}
	c.emit(Write{ID: id, Txn: t, Verify: storage.PageKey(j.spec.ID, ns[0]), Name: name})
}

// start lets recorded placements go; a gang's only when all are recorded.
func (c *Core) start(now time.Duration, j *job) {
	var rest []*part.Placement
	for _, pl := range j.granted {
		if !pl.Recorded {
			rest = append(rest, pl)
		}
	}
	if j.spec.Shape == protocol.Gang && len(rest) > 0 {
		return
	}
	for _, pl := range j.granted {
		if pl.Recorded && !pl.Gone {
			c.part.Start(pl)
		}
	}
	j.granted = rest
	c.due = c.due || j.counts[pending] > 0
	c.send(now)
}

func (c *Core) refuseGranted(now time.Duration, j *job) {
	granted := j.granted
	j.granted = nil
	for _, pl := range granted {
		if !pl.Written {
			c.stop(now, j, pl, 0)
		}
	}
}

// send sends what is urgent straight to the machines.
func (c *Core) send(now time.Duration) {
	for _, m := range c.part.Urgent(now) {
		cmds := c.part.Orders(now, m)
		if len(cmds) == 0 {
			continue
		}
		m.Busy = true
		c.emit(Order{Machine: m.Name, Addr: m.Addr, Orders: protocol.Orders{Token: c.part.Token(m), Session: m.Session, Commands: cmds}})
	}
}

// sorted returns the jobs in an order that does not depend on chance.
func (c *Core) sorted() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].rank != list[b].rank {
			return list[a].rank < list[b].rank
		}
		if list[a].atMS != list[b].atMS {
			return list[a].atMS < list[b].atMS
		}
		return list[a].spec.ID < list[b].spec.ID
	})
	return list
}

// tick runs a cycle when it is time for one, and what goes with it. The fleet has
// a clock of its own: in a large one something relevant comes in every eager
// cycle, and had planning waited for a cycle without, nothing would have been
// rented, returned or fenced for minutes.
func (c *Core) tick(now time.Duration) {
	c.inspectSome(now)
	full := now-c.lastPlan >= Cycle
	if full || c.due && now-c.lastCycle >= Eager*time.Duration(1+len(c.jobs)/crowd) {
		c.lastCycle, c.due = now, false
		jobs := c.sorted()
		c.notices(now)
		c.schedule(now, jobs)
		for _, j := range jobs {
			if c.writeDue(now, j) {
				c.write(now, j)
			}
		}
		if full {
			c.lastPlan = now
			units := c.demand(now, jobs)
			c.emit(c.fleet.Plan(now, c.part, units)...)
			c.logFleet(now, units)
			c.checkReach(now)
			c.writeWarm(now)
		}
	}
	c.send(now)
}

// checkReach gives the leadership away when most machines can reach other
// controllers only. Their reports are passed on here, but whoever they reach
// would serve them better, and can command them directly.
func (c *Core) checkReach(now time.Duration) {
	half := config.Seconds(c.cfg.Workers.LeaseS / 2)
	if now-c.began < half {
		return
	}
	direct, relayed := 0, 0
	c.part.Each(func(m *part.Machine) {
		switch {
		case !m.Up || now-m.Heard > c.part.Silent():
		case m.Relayed:
			relayed++
		default:
			direct++
		}
	})
	if relayed > 2*direct && relayed > 2 {
		c.emit(Depose{Reason: fmt.Sprintf("%d machines reach other controllers only", relayed), Away: true})
	}
}

// logFleet tells how the machines are used.
func (c *Core) logFleet(now time.Duration, units []fleet.Unit) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var up, empty, booting, silent int
	var free, soft float64 // in machines
	var ordinary, ordinaryFree float64
	kept := map[string]float64{} // ordinary machines by class
	c.part.Each(func(m *part.Machine) {
		t := c.part.Type(m.Type)
		switch {
		case t == nil || !m.Up:
			booting++
			return
		case m.Count() == 0:
			empty++
		case now-m.Heard > c.part.Silent():
			silent++
		}
		up++
		cap := part.CapacityOf(t)
		unused := 1 - cap.Minus(c.part.Free(m)).Share(cap)
		free += unused
		if !m.Spot {
			ordinary++
			ordinaryFree += unused
		}
		m.Placements(func(pl *part.Placement) {
			share := pl.Need.Share(cap)
			if pl.Job.Shape == protocol.Array {
				soft += share
			}
			if !m.Spot {
				kept[pl.Job.Class] += share
			}
		})
	})
	want := map[string]int{}
	for _, u := range units {
		if u.Spare {
			want["spare "+u.Job.Class] += u.Count
		} else {
			want[u.Job.Class] += u.Count
		}
	}
	c.log.Debug("fleet", "up", up, "empty", empty, "booting", booting, "silent", silent, "free", free, "arrays", soft,
		"ordinary", ordinary, "unused", ordinaryFree, "used", kept, "wanted", want)
}

// writeDue says whether a job's pages should be written now: at once when
// starts wait for it, and otherwise gathered for a cycle.
func (c *Core) writeDue(now time.Duration, j *job) bool {
	if len(j.granted) > 0 {
		return true
	}
	for _, p := range j.pages {
		if p.dirty && now-p.dirtyAt >= Cycle/2 {
			return true
		}
	}
	return false
}

// notices takes work off machines that the cloud is about to take away: saved
// if that can be done in time.
func (c *Core) notices(now time.Duration) {
	c.part.Each(func(m *part.Machine) {
		if !m.Notice {
			return
		}
		m.Placements(func(pl *part.Placement) {
			if !pl.Stopping {
				c.stopOrderly(now, pl, math.MaxInt64)
			}
		})
	})
}

// stopOrderly stops a placement, with all of its gang if it has one, so that
// its progress is saved if there is time for that.
func (c *Core) stopOrderly(now time.Duration, pl *part.Placement, within time.Duration) {
	j := c.jobs[pl.Task.Job]
	if j == nil {
		return
	}
	grace := 0.0
	if j.spec.CheckpointS > 0 && config.Seconds(j.spec.SaveS+c.cfg.Workers.ReportS) < within {
		grace = j.spec.SaveS + c.cfg.Workers.GangPeerS
	}
	if j.spec.Shape != protocol.Gang {
		c.stop(now, j, pl, grace)
		return
	}
	j.stopping = true
	for _, o := range placements(j) {
		if !o.Stopping {
			c.stop(now, j, o, grace)
		}
	}
}
