// Package partition keeps what a controller knows of the machines that it owns:
// their reports, their room, the placements on them and the commands that are
// due. It grants room, starts only what a written record names, and decides
// when a task is proven gone. It does no I/O and reads no clock.
package partition

import (
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// Need is what a task takes of its machine.
type Need struct{ CPUs, GPUs, MemoryGB float64 }

const slack = 1e-6 // amounts are decimal numbers

// Fits says whether n fits into room.
func (n Need) Fits(room Need) bool {
	return n.CPUs <= room.CPUs+slack && n.GPUs <= room.GPUs+slack && n.MemoryGB <= room.MemoryGB+slack
}

// Plus returns the sum of both.
func (n Need) Plus(o Need) Need {
	return Need{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.MemoryGB + o.MemoryGB}
}

// Minus returns what is left of n without o.
func (n Need) Minus(o Need) Need {
	return Need{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.MemoryGB - o.MemoryGB}
}

// Share returns the largest part of cap that n takes.
func (n Need) Share(cap Need) float64 {
	s := 0.0
	for _, r := range [][2]float64{{n.CPUs, cap.CPUs}, {n.GPUs, cap.GPUs}, {n.MemoryGB, cap.MemoryGB}} {
		if r[1] > 0 {
			s = max(s, r[0]/r[1])
		}
	}
	return s
}

// NeedOf returns what each task of the job takes.
func NeedOf(j *protocol.Job) Need { return Need{j.CPUs, j.GPUs, j.MemoryGB} }

// CapacityOf returns what a machine of the type offers.
func CapacityOf(t *protocol.MachineType) Need { return Need{t.CPUs, t.GPUs, t.MemoryGB} }

// Placement is one attempt of a task on a machine, from its grant until it is
// proven gone.
type Placement struct {
	Task    protocol.TaskID
	Attempt uint64
	Machine string
	Session uint64
	Zone    string
	Need    Need
	Team    string
	Rank    int // of the job's priority
	Job     *protocol.Job

	Granted  time.Duration
	Recorded bool // a record names it
	Written  bool // it may be started: all that must be recorded first is
	Seen     bool // its machine has reported it
	State    protocol.TaskState
	Since    time.Duration // when State was first seen
	Cause    protocol.Cause
	Saved    bool
	Gone     bool // proven gone

	Stopping bool
	GraceS   float64
	// FenceAt is when the machine is to be fenced if it is silent, since the job was
	// cancelled; 0: at no set time.
	FenceAt time.Duration

	sent     bool   // a run has left for the machine
	runToken uint64 // with this token, the last time
}

// exit is an exited task that the machine still reports.
type exit struct {
	attempt  uint64
	settled  bool // the record no longer counts on it
	runToken uint64
	at       time.Duration
}

// image is a machine's copy of an image, as far as can be told.
type image struct {
	sizeGB float64
	ready  time.Duration // when it should be there, as the type's rate says
	latest time.Duration // when at the latest, as fetches take up to a third longer
	sure   bool          // a task that needs it has got past its fetch
	used   time.Duration
}

// SlowFetch is how much longer than the type's rate says a fetch may take.
const SlowFetch = 4.0 / 3

// left estimates how long the machine still needs to have the image. A fetch
// that should be over may go on: until a task has been seen past it, the image
// is not taken for granted, or tasks would be moved from one unfinished fetch
// to the next, and each would start from nothing.
func (im *image) left(now time.Duration) time.Duration {
	third := im.latest - im.ready
	switch {
	case im.sure:
		return 0
	case now < im.ready-third:
		return im.ready - now
	default:
		return max(im.latest-now, third/2) / 2
	}
}

// Machine is a rented machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Session, Seq, Token    uint64
	Up                     bool          // its worker has been heard
	Rented                 time.Duration // when the request was sent, as far as known
	Heard                  time.Duration // last message, or when we began to listen
	Notice                 bool          // the cloud takes it away
	Condemned              bool          // it is being returned; nothing new goes there
	Sick                   bool          // it fails tasks, or cannot be commanded
	MutedUntil             time.Duration // it does not take commands
	IdleSince              time.Duration
	Relayed                bool // its reports come by another controller: it may be out of our reach
	Busy                   bool // a direct command is on its way
	RetryAt                time.Duration
	fresh                  bool // something new is due since the command on its way left

	epoch  uint64        // of the commands to it, within our term
	turned time.Duration // when the epoch was raised

	Reserved      string // job that room is being cleared for
	ReservedUntil time.Duration

	Errors     map[string]bool // jobs whose tasks failed here since the last success
	placements map[protocol.TaskID]*Placement
	used       Need
	exits      map[protocol.TaskID]*exit
	stray      map[protocol.TaskID]uint64
	images     map[string]*image
}

// Placements calls f for each placement that may be on the machine.
func (m *Machine) Placements(f func(*Placement)) {
	for _, p := range m.placements {
		f(p)
	}
}

// ReservedFor says whether room is being cleared on the machine for the job.
func (m *Machine) ReservedFor(now time.Duration, job string) bool {
	return m.Reserved == job && now < m.ReservedUntil
}

// FencingDue says whether a cancelled task may still be there when it must not be any
// more: a machine that hangs may go on with it at any time.
func (m *Machine) FencingDue(now time.Duration) bool {
	for _, p := range m.placements {
		if p.FenceAt > 0 && now >= p.FenceAt {
			return true
		}
	}
	return false
}

// Count returns how many tasks may be on the machine.
func (m *Machine) Count() int { return len(m.placements) }

// Arrays returns the room that arrays take.
func (m *Machine) Arrays() Need {
	var n Need
	for _, p := range m.placements {
		if p.Job != nil && p.Job.Shape == protocol.Array {
			n = n.Plus(p.Need)
		}
	}
	return n
}

// Partition is the set of machines that a controller owns.
type Partition struct {
	term     uint64
	workers  config.Workers
	types    map[string]*protocol.MachineType
	machines map[string]*Machine
	names    []string // sorted, for the same decisions every time
	usage    map[string]Need
	owed     map[string]*Machine // those on which a placement may need a command
	hints    map[string][]Copy   // images that machines had in an earlier term
}

// New returns an empty part of the given term.
func New(term uint64, w config.Workers) *Partition {
	return &Partition{
		term: term, workers: w,
		types: map[string]*protocol.MachineType{}, machines: map[string]*Machine{}, usage: map[string]Need{},
		hints: map[string][]Copy{}, owed: map[string]*Machine{},
	}
}

// SetTypes replaces the list of machine types.
func (p *Partition) SetTypes(types []protocol.MachineType) {
	for i := range types {
		p.types[types[i].Name] = &types[i]
	}
}

// Type returns a machine type, or nil.
func (p *Partition) Type(name string) *protocol.MachineType { return p.types[name] }

// Types returns the machine types by name.
func (p *Partition) Types() map[string]*protocol.MachineType { return p.types }

// Machine returns a machine, or nil.
func (p *Partition) Machine(name string) *Machine { return p.machines[name] }

// Up says whether the machine's worker has been heard.
func (p *Partition) Up(name string) bool {
	m := p.machines[name]
	return m != nil && m.Up
}

// Each calls f for every machine in name order.
func (p *Partition) Each(f func(*Machine)) {
	for _, n := range p.names {
		f(p.machines[n])
	}
}

// Usage returns what a team's tasks may be using.
func (p *Partition) Usage(team string) Need { return p.usage[team] }

// Ensure returns the machine of that name, making a blank one if need be.
func (p *Partition) Ensure(now time.Duration, name string) *Machine {
	if m := p.machines[name]; m != nil {
		return m
	}
	m := &Machine{
		Name: name, Heard: now, Rented: now, IdleSince: now,
		Errors: map[string]bool{}, placements: map[protocol.TaskID]*Placement{},
		exits: map[protocol.TaskID]*exit{}, stray: map[protocol.TaskID]uint64{}, images: map[string]*image{},
	}
	for _, c := range p.hints[name] {
		m.images[c.Image] = &image{sizeGB: c.SizeGB, sure: true, used: now}
	}
	delete(p.hints, name)
	p.machines[name] = m
	i := sort.SearchStrings(p.names, name)
	p.names = append(p.names, "")
	copy(p.names[i+1:], p.names[i:])
	p.names[i] = name
	return m
}

// Free returns the room on a machine that is not promised to anybody.
func (p *Partition) Free(m *Machine) Need {
	t := p.types[m.Type]
	if t == nil {
		return Need{}
	}
	return CapacityOf(t).Minus(m.used)
}

// Open says whether new tasks may go to the machine now.
func (p *Partition) Open(now time.Duration, m *Machine) bool {
	return m.Up && !m.Notice && !m.Condemned && !m.Sick && len(m.stray) == 0 &&
		now >= m.MutedUntil && now-m.Heard < p.Silent()
}

// Silent is how long a machine may be silent before nothing new goes there.
func (p *Partition) Silent() time.Duration {
	return config.Seconds(min(p.workers.LeaseS/2, 2.5*p.workers.ReportS))
}

// HasAttempt says whether an earlier attempt of the task is or was on the machine
// and its run may still come again, late. A new attempt there would replace
// the exited entry that makes such a copy harmless, and the old attempt could
// start once the new one has left.
func (m *Machine) HasAttempt(task protocol.TaskID) bool {
	return m.placements[task] != nil || m.exits[task] != nil
}

// Grant promises the named room to placements, all or none.
func (p *Partition) Grant(now time.Duration, ps []*Placement) bool {
	for i, pl := range ps {
		m := p.machines[pl.Machine]
		if m == nil || !p.Open(now, m) || m.HasAttempt(pl.Task) || !pl.Need.Fits(p.Free(m)) {
			for _, done := range ps[:i] {
				p.Refuse(now, done)
			}
			return false
		}
		pl.Session, pl.Zone, pl.Granted = m.Session, m.Zone, now
		p.add(m, pl)
		p.useImage(now, m, pl.Job)
	}
	return true
}

// Adopt takes over a placement that a record names.
func (p *Partition) Adopt(now time.Duration, pl *Placement) {
	m := p.Ensure(now, pl.Machine)
	if m.Zone == "" {
		m.Zone = pl.Zone
	}
	pl.Written, pl.sent, pl.Granted = true, true, now
	pl.runToken = protocol.Token(p.term, 0) - 1 // whatever an earlier leader sent
	p.owed[m.Name] = m
	p.add(m, pl)
}

func (p *Partition) add(m *Machine, pl *Placement) {
	m.placements[pl.Task] = pl
	m.used = m.used.Plus(pl.Need)
	p.usage[pl.Team] = p.usage[pl.Team].Plus(pl.Need)
}

// remove takes a placement that is gone off the books.
func (p *Partition) remove(now time.Duration, m *Machine, pl *Placement) {
	pl.Gone = true
	if m.placements[pl.Task] != pl {
		return
	}
	delete(m.placements, pl.Task)
	if pl.Job != nil && m.images[pl.Job.Image] != nil {
		m.images[pl.Job.Image].used = now // until now
	}
	m.used = m.used.Minus(pl.Need)
	p.usage[pl.Team] = p.usage[pl.Team].Minus(pl.Need)
	if len(m.placements) == 0 {
		m.used = Need{}
		m.IdleSince = now
	}
}

// Refuse gives granted room back. Nothing of it may have been started.
func (p *Partition) Refuse(now time.Duration, pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		p.remove(now, m, pl)
		p.dropFetch(m, pl)
	}
}

// Start lets a placement's run go out, now that a record names it. The pause
// after an earlier command is for repeats, not for what is new.
func (p *Partition) Start(pl *Placement) {
	pl.Written = true
	p.expedite(pl)
}

// expedite lets the machine's next command go out without a pause.
func (p *Partition) expedite(pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		m.RetryAt, m.fresh = 0, true
		p.owed[m.Name] = m
	}
}

// Stop asks that a placement ends. A run that has never left for the machine
// needs no proof: the placement is gone at once, and Stop returns true.
func (p *Partition) Stop(now time.Duration, pl *Placement, graceS float64) bool {
	if pl.Gone {
		return false
	}
	if !pl.Stopping {
		pl.Stopping, pl.GraceS = true, graceS
	}
	pl.GraceS = min(pl.GraceS, graceS)
	p.expedite(pl)
	if !pl.sent {
		p.Refuse(now, pl)
		return true
	}
	return false
}

// Settle says that the records no longer count on an exited placement.
func (p *Partition) Settle(pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		if e := m.exits[pl.Task]; e != nil && e.attempt == pl.Attempt {
			e.settled = true
		}
	}
}

// Fact is something that a partition learnt of a placement.
type Fact struct {
	Placement *Placement
	Lost      bool // gone without having exited by itself
}

// Report takes in a worker's message. It returns what changed; newer is false
// for copies and latecomers, whose task lists prove nothing but exits.
func (p *Partition) Report(now time.Duration, r *protocol.Report) (m *Machine, facts []Fact, newer bool) {
	m = p.Ensure(now, r.Machine)
	newer = r.Session > m.Session || r.Session == m.Session && r.Seq > m.Seq
	if r.Session > m.Session {
		// The worker has killed everything of its earlier sessions.
		for _, pl := range sorted(m.placements) {
			if pl.Session < r.Session {
				p.remove(now, m, pl)
				facts = append(facts, Fact{pl, true})
			}
		}
		if m.Session != 0 {
			// Its lease ran out while we may have been answering: wait until it
			// has shown that it takes commands.
			m.MutedUntil = now + config.Seconds(p.workers.ReportS)
		}
		m.exits, m.stray = map[protocol.TaskID]*exit{}, map[protocol.TaskID]uint64{}
		m.Session, m.Seq = r.Session, 0
	}
	if r.Session < m.Session {
		return m, facts, false
	}
	if newer {
		m.Seq = r.Seq
		m.Heard, m.Up = now, true
		m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
		m.Token = max(m.Token, r.Token)
		m.Notice = m.Notice || r.NoticeS != nil
		clear(m.stray)
	}
	listed := make(map[protocol.TaskID]uint64, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, err := protocol.ParseTaskID(t.Name)
		if err != nil {
			continue // a stranger's task is nothing that we can command
		}
		listed[id] = t.Attempt
		if f, ok := p.task(now, m, id, t, newer); ok {
			facts = append(facts, f)
		}
	}
	if newer {
		facts = append(facts, p.absent(now, m, r.Token, listed)...)
	}
	return m, facts, newer
}

// absent finds the placements that are to end and are proven not to be there.
// A worker refuses runs whose token is below the highest that it has seen. So
// when it reports a token above all those that a run of the attempt was sent
// with, none can be executed any more, and an attempt that it does not list is
// not there and will not be. Without the token, absence proves nothing.
func (p *Partition) absent(now time.Duration, m *Machine, token uint64, listed map[protocol.TaskID]uint64) (facts []Fact) {
	for _, pl := range sorted(m.placements) {
		if !pl.Stopping || pl.Seen || pl.Session != m.Session || token <= pl.runToken || listed[pl.Task] == pl.Attempt {
			continue
		}
		p.remove(now, m, pl)
		p.dropFetch(m, pl)
		facts = append(facts, Fact{pl, true})
	}
	return facts
}

// task takes in one task of a report.
func (p *Partition) task(now time.Duration, m *Machine, id protocol.TaskID, t *protocol.TaskReport, newer bool) (Fact, bool) {
	pl := m.placements[id]
	if pl == nil || pl.Attempt != t.Attempt || pl.Session != m.Session {
		e := m.exits[id]
		known := e != nil && e.attempt == t.Attempt
		switch {
		case t.State == protocol.Exited && !known && (pl == nil || pl.Attempt > t.Attempt) && (e == nil || e.attempt < t.Attempt):
			// Nothing of this term: an earlier leader's, whose outcome is
			// recorded, or else the record would still name it.
			m.exits[id] = &exit{attempt: t.Attempt, settled: true, runToken: protocol.Token(p.term, 0) - 1, at: now}
		case t.State != protocol.Exited && newer && !known:
			m.stray[id] = t.Attempt
		}
		return Fact{}, false
	}
	pl.sent = true
	changed := !pl.Seen
	pl.Seen = true
	if t.State == protocol.Exited {
		pl.State, pl.Cause, pl.Saved, pl.Since = t.State, t.Cause, t.Saved, now
		p.remove(now, m, pl)
		m.exits[id] = &exit{attempt: pl.Attempt, runToken: pl.runToken, at: now}
		switch t.Cause {
		case protocol.CauseDone:
			clear(m.Errors)
		case protocol.CauseError:
			m.Errors[id.Job] = true
		}
		if t.Cause != protocol.CauseDone {
			p.dropFetch(m, pl)
		}
		return Fact{Placement: pl}, true
	}
	if newer && pl.State != t.State {
		pl.State, pl.Since = t.State, now
		changed = true
		if t.State != protocol.Fetching && pl.Job != nil {
			if im := m.images[pl.Job.Image]; im != nil {
				im.sure = true
			} else {
				m.images[pl.Job.Image] = &image{sizeGB: pl.Job.ImageGB, sure: true, used: now}
			}
		}
	}
	return Fact{Placement: pl}, changed
}

// Lost says that a machine is proven gone, with all that was on it.
func (p *Partition) Lost(now time.Duration, name string) []Fact {
	m := p.machines[name]
	if m == nil {
		return nil
	}
	var facts []Fact
	for _, pl := range sorted(m.placements) {
		p.remove(now, m, pl)
		facts = append(facts, Fact{pl, true})
	}
	delete(p.machines, name)
	i := sort.SearchStrings(p.names, name)
	p.names = append(p.names[:i], p.names[i+1:]...)
	return facts
}

func sorted(ps map[protocol.TaskID]*Placement) []*Placement {
	list := make([]*Placement, 0, len(ps))
	for _, pl := range ps {
		list = append(list, pl)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Task.Job != list[j].Task.Job {
			return list[i].Task.Job < list[j].Task.Job
		}
		return list[i].Task.Task < list[j].Task.Task
	})
	return list
}

// Orders returns the commands that are due to a machine, and notes that they
// are on their way. maxOrders keeps an answer inside the protocol's limit.
func (p *Partition) Orders(now time.Duration, m *Machine) []protocol.Command {
	const maxOrders = 400
	p.turn(now, m)
	m.fresh = false
	var out []protocol.Command
	run := func(pl *Placement) {
		pl.sent = true
		pl.runToken = p.Token(m)
		out = append(out, protocol.Command{Verb: protocol.Run, Name: pl.Task.String(), Attempt: pl.Attempt})
	}
	stop := func(id protocol.TaskID, attempt uint64, graceS float64) {
		out = append(out, protocol.Command{Verb: protocol.Stop, Name: id.String(), Attempt: attempt, GraceS: &graceS})
	}
	if len(m.placements) > 0 {
		for _, pl := range sorted(m.placements) {
			if len(out) >= maxOrders || !pl.Written || pl.Session != m.Session {
				continue
			}
			switch {
			case !pl.Stopping && !pl.Seen:
				run(pl)
			case pl.Stopping && pl.Seen:
				if pl.State != protocol.Saving || pl.GraceS == 0 {
					stop(pl.Task, pl.Attempt, pl.GraceS)
				}
			case pl.Stopping:
				// A run may still be under way. It is not repeated, for long after
				// a cancel not even a moment on the machine is allowed; the raised
				// epoch makes it invalid, and the next report tells (see absent).
				stop(pl.Task, pl.Attempt, 0)
			}
		}
	}
	for id, attempt := range m.stray {
		if len(out) < maxOrders {
			stop(id, attempt, 0)
		}
	}
	for id, e := range m.exits {
		if len(out) < maxOrders && p.forgettable(m, e) {
			out = append(out, protocol.Command{Verb: protocol.Forget, Name: id.String(), Attempt: e.attempt})
			delete(m.exits, id)
		}
	}
	return out
}

// forgettable says whether no run of an exited attempt can reach the machine
// any more: after forget, a late copy would start the attempt again. Commands
// with a token below the highest that the worker has seen are refused.
func (p *Partition) forgettable(m *Machine, e *exit) bool {
	return e.settled && e.runToken < m.Token
}

// Token is what commands to the machine carry now.
func (p *Partition) Token(m *Machine) uint64 { return protocol.Token(p.term, m.epoch) }

// turn raises the machine's epoch when exited entries wait for it, so that
// late copies of their runs are refused and the entries can be forgotten, or
// when a start without an answer is to be withdrawn. It waits for commands and
// starts under way, which the change would only delay.
func (p *Partition) turn(now time.Duration, m *Machine) {
	pause := config.Seconds(p.workers.LeaseS / 2)
	if m.Busy || m.epoch >= protocol.MaxEpoch {
		return
	}
	starting, withdraw := false, false
	for _, pl := range m.placements {
		switch {
		case !pl.Written || pl.Seen || pl.Session != m.Session:
		case !pl.Stopping:
			starting = true
		case pl.runToken >= p.Token(m):
			withdraw = true
		}
	}
	settled := false
	if !starting && now-m.turned >= pause {
		for _, e := range m.exits {
			if e.settled && e.runToken >= p.Token(m) && now-e.at > pause {
				settled = true
				break
			}
		}
	}
	if settled || withdraw {
		m.epoch++
		m.turned = now
	}
}

// due says whether a placement needs a command.
func (pl *Placement) due() bool {
	return pl.Written && (!pl.Seen || pl.Stopping && (pl.State != protocol.Saving || pl.GraceS == 0))
}

// Urgent returns the machines that should be sent commands directly, since
// waiting for their next report would be noticed. Only those are looked at on
// which something is due: this is asked with every message.
func (p *Partition) Urgent(now time.Duration) []*Machine {
	var out []*Machine
	for name, m := range p.owed {
		if p.machines[name] != m {
			delete(p.owed, name)
			continue
		}
		any, here := false, false
		for _, pl := range m.placements {
			if pl.due() {
				any, here = true, here || pl.Session == m.Session
			}
		}
		switch {
		case !any:
			delete(p.owed, name)
		case here && m.Up && !m.Busy && !m.Relayed && m.Addr != "" && now >= m.RetryAt:
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Answered notes the outcome of a direct command: ok when it was executed.
func (p *Partition) Answered(now time.Duration, m *Machine, ok bool) {
	m.Busy = false
	if !ok {
		// The next report is the natural time for another try; a machine that is
		// silent is tried seldom, or hundreds behind a cut would take the turns of
		// those that answer.
		pause := p.workers.ReportS
		if now-m.Heard > p.Silent() {
			pause = p.workers.LeaseS / 2
		}
		m.RetryAt = now + config.Seconds(pause)
		return
	}
	if !m.fresh {
		m.RetryAt = now + config.Seconds(p.workers.ReportS/4)
	}
}

// Copy is a machine's copy of an image.
type Copy struct {
	Image  string
	SizeGB float64
}

// Copies returns the images that machines have, as far as can be told.
func (p *Partition) Copies() map[string][]Copy {
	out := map[string][]Copy{}
	for _, n := range p.names {
		for name, im := range p.machines[n].images {
			if im.sure {
				out[n] = append(out[n], Copy{name, im.sizeGB})
			}
		}
		sort.Slice(out[n], func(i, j int) bool { return out[n][i].Image < out[n][j].Image })
	}
	return out
}

// Hint tells which images a machine had when an earlier leader last wrote them
// down. It is no more than a hint: a wrong one costs a fetch.
func (p *Partition) Hint(name string, copies []Copy) { p.hints[name] = copies }

// Warm estimates how long a machine needs until it has the job's image.
func (p *Partition) Warm(now time.Duration, m *Machine, j *protocol.Job) time.Duration {
	return p.WarmWithout(now, m, j, nil)
}

// WarmWithout is Warm if those tasks left that the function names.
func (p *Partition) WarmWithout(now time.Duration, m *Machine, j *protocol.Job, leave func(*Placement) bool) time.Duration {
	if im := m.images[j.Image]; im != nil {
		return im.left(now)
	}
	t := p.types[m.Type]
	if t == nil || t.FetchGBPerS <= 0 {
		return 0
	}
	fetches := 1
	for name, im := range m.images {
		if !im.sure && !m.fetchedFor(name, leave) {
			fetches++
		}
	}
	return config.Seconds(j.ImageGB / t.FetchGBPerS * float64(fetches))
}

// fetchedFor says whether an image is fetched for nothing but tasks that the
// function names.
func (m *Machine) fetchedFor(image string, which func(*Placement) bool) bool {
	if which == nil {
		return false
	}
	for _, pl := range m.placements {
		if pl.Job != nil && pl.Job.Image == image && !which(pl) {
			return false
		}
	}
	return true
}

// SlowsWithout estimates by how much, in all, a fetch of the job's image would
// delay other fetches on the machine, which share its rate, if those tasks left
// that the function names.
func (p *Partition) SlowsWithout(now time.Duration, m *Machine, j *protocol.Job, leave func(*Placement) bool) time.Duration {
	t := p.types[m.Type]
	if m.images[j.Image] != nil || t == nil || t.FetchGBPerS <= 0 {
		return 0
	}
	whole := config.Seconds(j.ImageGB / t.FetchGBPerS)
	sum := time.Duration(0)
	for name, im := range m.images {
		if !im.sure && !m.fetchedFor(name, leave) {
			sum += min(whole, im.left(now))
		}
	}
	return sum
}

// useImage notes that a machine will have an image, and which ones give way.
func (p *Partition) useImage(now time.Duration, m *Machine, j *protocol.Job) {
	im := m.images[j.Image]
	if im == nil {
		whole := p.Warm(now, m, j)
		im = &image{sizeGB: j.ImageGB, ready: now + whole, latest: now + time.Duration(float64(whole)*SlowFetch)}
		m.images[j.Image] = im
	}
	im.used = now
	t := p.types[m.Type]
	if t == nil {
		return
	}
	// What a task on the machine needs is in use, however long ago it started.
	needed := map[string]bool{j.Image: true}
	for _, pl := range m.placements {
		if pl.Job != nil {
			needed[pl.Job.Image] = true
		}
	}
	for {
		total, oldest := 0.0, ""
		for name, im := range m.images {
			total += im.sizeGB
			if !needed[name] && (oldest == "" || im.used < m.images[oldest].used) {
				oldest = name
			}
		}
		if total <= t.CacheGB || oldest == "" {
			return
		}
		delete(m.images, oldest)
	}
}

// dropFetch forgets an image whose fetch was given up with its last task.
func (p *Partition) dropFetch(m *Machine, pl *Placement) {
	if pl.Job == nil {
		return
	}
	im := m.images[pl.Job.Image]
	if im == nil || im.sure {
		return
	}
	for _, o := range m.placements {
		if o.Job != nil && o.Job.Image == pl.Job.Image {
			return
		}
	}
	delete(m.images, pl.Job.Image)
}
