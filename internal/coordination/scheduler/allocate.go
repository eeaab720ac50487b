package scheduler

import (
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/part"
	"pinebay/internal/protocol"
)

// shortCycles is how many cycles a gang's partial room stays closed before
// smaller jobs may backfill it, for one cycle at a time.
const shortCycles = 3

// candidate is a machine that takes new tasks in this cycle.
type candidate struct {
	m    *part.Machine
	kind *protocol.MachineType
	free part.Need // less what was granted or is held in this cycle
	// taken says that the room reserved on it is spoken for in this cycle.
	taken bool
	// kept is room for jobs to come.
	kept []kept
}

// kept is room for jobs to come of a class, against work of the given rank that
// can wait for longer. Of the class's own rank, it could not be preempted for them.
type kept struct {
	rank int
	aim  float64 // the class's on waiting, in seconds
	need part.Need
}

// less is what is left of the free room for work of the rank with that aim on
// waiting.
func (x *candidate) less(rank int, aim float64) part.Need {
	n := x.free
	for _, k := range x.kept {
		if k.rank == rank && k.aim < aim {
			n = n.Minus(k.need)
		}
	}
	return n
}

// manyAlike is after how many jobs of a kind that found no room the others of
// the kind are not tried in the same cycle: thousands of jobs that wait must
// not cost thousands of searches.
const manyAlike = 16

// kind is what the search for room depends on.
type kind struct {
	team, image, zone, types string
	need                     part.Need
	rank, placed             int
	same, spread, spot       bool
}

func (j *job) kind() kind {
	return kind{
		team: j.spec.Team, image: j.spec.Image, zone: j.spec.Zone, types: strings.Join(j.spec.Types, " "), need: j.need,
		rank: j.rank, placed: len(j.places), same: j.spec.SameZone, spread: j.spec.Spread, spot: j.spec.Spot,
	}
}

// room is what a job may use of a candidate.
func (c *Core) room(x *candidate, j *job) part.Need {
	if len(x.kept) == 0 {
		return x.free
	}
	return x.less(j.rank, c.waitAim(j.spec.Class))
}

// keep sets aside the room that classes with an aim on waiting are likely to
// want soon. Against lower work it needs no keeping where there is time to
// preempt that.
func (c *Core) keep(now time.Duration, cands []*candidate) {
	none := &limits{}
	for _, u := range c.spareNow {
		j := &job{spec: *u.Job, need: part.NeedOf(u.Job), rank: u.Job.Priority.Rank()}
		aim := c.waitAim(u.Job.Class)
		for range u.Count {
			var best *candidate
			bestScore := 0.0
			for _, x := range cands {
				if u.Zone != "" && u.Zone != x.m.Zone || !j.need.Fits(x.less(j.rank, math.Inf(1))) ||
					x.m.Spot && !j.spec.Spot || !x.kind.Allows(&j.spec) {
					continue
				}
				if s := c.score(now, j, x, none); best == nil || s < bestScore {
					best, bestScore = x, s
				}
			}
			if best == nil {
				break
			}
			for rank := j.rank; rank == j.rank || u.Quick && rank < fleet.Ranks; rank++ {
				best.kept = append(best.kept, kept{rank, aim, j.need})
			}
		}
	}
}

// schedule is the cycle: jobs by priority, then age, teams in turn.
func (c *Core) schedule(now time.Duration, jobs []*job) {
	var waiting []*job
	c.cycles++
	for _, j := range jobs {
		if c.waits(now, j) {
			j.queued = c.cycles
			waiting = append(waiting, j)
		}
	}
	c.byHope(now, waiting)
	var cands []*candidate
	c.part.Each(func(m *part.Machine) {
		if t := c.part.Type(m.Type); t != nil && c.part.Open(now, m) {
			cands = append(cands, &candidate{m: m, kind: t, free: c.part.Free(m)})
		}
	})
	c.keep(now, cands)
	failed := map[kind]int{}
	for len(waiting) > 0 {
		i := c.next(waiting)
		j := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		j.served = c.cycles
		k := j.kind()
		if failed[k] >= manyAlike {
			j.short++
			continue
		}
		before := j.counts[pending]
		c.place(now, j, cands)
		if j.spec.Shape != protocol.Gang && j.counts[pending] == before {
			failed[k]++
		}
	}
	for _, j := range jobs {
		c.rewarm(now, j, cands)
	}
	// Last, with the room that is left: what waits still could not use it.
	c.consolidate(now, cands)
}

// byHope reorders the gangs of each class among themselves, in a list sorted by
// priority and age: first, by age, those that can still meet an aim. When more is
// asked than can be done, age alone would spend all room on gangs that are late
// whatever is done, until every gang is late.
func (c *Core) byHope(now time.Duration, waiting []*job) {
	type queue struct {
		class, team string
		rank        int
	}
	slots := map[queue][]int{}
	for i, j := range waiting {
		if j.spec.Shape == protocol.Gang {
			q := queue{j.spec.Class, j.spec.Team, j.rank}
			slots[q] = append(slots[q], i)
		}
	}
	for _, at := range slots {
		jobs := make([]*job, len(at))
		for k, i := range at {
			jobs[k] = waiting[i]
		}
		sort.SliceStable(jobs, func(a, b int) bool { return c.hope(now, jobs[a]) < c.hope(now, jobs[b]) })
		for k, i := range at {
			waiting[i] = jobs[k]
		}
	}
}

// hope orders a class's gangs: 0 for one that can still start in the time that an
// aim asks for, 1 for one that can at least still be done in time, 2 for others.
// A gang that has waited twice as long as its longest aim comes first again:
// none waits for ever.
func (c *Core) hope(now time.Duration, j *job) int {
	waited := (now - j.known).Seconds()
	hope, longest := 2, 0.0
	for _, o := range c.cfg.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		longest = max(longest, o.WithinS)
		switch {
		case o.Kind == "wait" && !j.begun && waited <= o.WithinS:
			hope = 0
		case o.Kind == "finished" && waited+j.spec.EstimateS <= o.WithinS:
			hope = min(hope, 1)
		}
	}
	if longest == 0 || waited > 2*longest {
		return 0
	}
	return hope
}

// waits says whether a job has tasks that may be placed now.
func (c *Core) waits(now time.Duration, j *job) bool {
	if j.counts[pending] == 0 || c.held(j) || j.writing || len(j.granted) > 0 || now < j.notBefore {
		return false
	}
	return j.spec.Shape != protocol.Gang || len(j.places) == 0
}

// next picks the job to serve: teams within their guarantee first, then by
// priority; among equals the team that has least for its share, and of its
// queue the oldest. The list is sorted by priority and age.
func (c *Core) next(waiting []*job) int {
	best := 0
	if len(c.cfg.Teams) < 2 {
		return 0
	}
	for i, j := range waiting[1:] {
		b := waiting[best]
		if j.spec.Team == b.spec.Team {
			continue // the older or higher one of a team stands first
		}
		switch jw, bw := c.owed(j), c.owed(b); {
		case jw != bw:
			if jw {
				best = i + 1
			}
		case j.rank != b.rank:
			if j.rank < b.rank {
				best = i + 1
			}
		case c.teamShare(j.spec.Team) < c.teamShare(b.spec.Team):
			best = i + 1
		}
	}
	return best
}

// teamShare is what a team uses for its weight: its guarantee, or 1.
func (c *Core) teamShare(team string) float64 {
	u := c.part.Usage(team)
	t := c.cfg.Team(team)
	if t != nil && (t.GPUs > 0 || t.CPUs > 0) {
		return u.Share(part.Need{CPUs: t.CPUs, GPUs: t.GPUs})
	}
	return u.GPUs + u.CPUs
}

// allowance is how many more tasks of the job its team's limit lets start.
func (c *Core) allowance(j *job) int {
	t := c.cfg.Team(j.spec.Team)
	n := math.MaxInt32
	if t == nil {
		return n
	}
	u := c.part.Usage(j.spec.Team)
	if t.CPUsMax > 0 && j.need.CPUs > 0 {
		n = min(n, int((t.CPUsMax-u.CPUs)/j.need.CPUs+1e-9))
	}
	if t.GPUsMax > 0 && j.need.GPUs > 0 {
		n = min(n, int((t.GPUsMax-u.GPUs)/j.need.GPUs+1e-9))
	}
	return max(0, n)
}

// limits are the places that are left to a job, given its other tasks.
type limits struct {
	zone    string // the only one, or ""
	perZone map[string]int
	most    int // tasks in one zone
}

func (c *Core) limits(j *job) *limits {
	l := &limits{zone: j.spec.Zone, perZone: map[string]int{}, most: math.MaxInt}
	for _, pl := range j.places {
		l.perZone[pl.Zone]++
		if j.spec.SameZone {
			l.zone = pl.Zone
		}
	}
	if j.spec.Spread {
		l.most = (j.spec.Tasks + 1) / 2
	}
	return l
}

func (l *limits) allow(zone string) bool {
	return (l.zone == "" || l.zone == zone) && l.perZone[zone] < l.most
}

// fits is the predicate: whether the job allows the machine at all.
func (c *Core) fits(now time.Duration, j *job, x *candidate, l *limits) bool {
	if x.m.Spot && !j.spec.Spot || !x.kind.Allows(&j.spec) || !l.allow(x.m.Zone) || j.avoids()[x.m.Name] {
		return false
	}
	return !c.reserved(now, x.m, j.spec.ID)
}

// reserved says whether a machine's room is being cleared for another job that
// goes before. A job that comes first may take it: did every gang keep what was
// cleared for it, each could sit on a part of what one of them needs. And a job
// that has found its room elsewhere keeps none.
func (c *Core) reserved(now time.Duration, m *part.Machine, id string) bool {
	if m.Reserved == "" || m.Reserved == id || now >= m.ReservedUntil {
		return false
	}
	o := c.jobs[m.Reserved]
	if o == nil || o.over || o.counts[pending] == 0 && !o.leaving() {
		return false
	}
	return o.queued != c.cycles || o.served == c.cycles
}

// score orders machines that fit, lower is better, in seconds: the wait for
// the image, then what packs tightly.
func (c *Core) score(now time.Duration, j *job, x *candidate, l *limits) float64 {
	yields := c.fetchesYield(j)
	warm := c.part.WarmWithout(now, x.m, &j.spec, yields)
	s := warm.Seconds() + c.part.SlowsWithout(now, x.m, &j.spec, yields).Seconds()
	cap := part.CapacityOf(x.kind)
	if warm > config.Seconds(max(c.waitAim(j.spec.Class), x.kind.BootS)) {
		// The fetch outlasts the aim and a boot. The next of its kind will want
		// to start here without one, so room beside it, free or held by arrays,
		// is worth having: half the fetch at most, as a warm machine stays better.
		s += 1 - warm.Seconds()/2*x.free.Minus(j.need).Plus(x.m.Arrays()).Share(cap)
	} else if warm > 0 && warm.Seconds()*part.SlowFetch > c.waitAim(j.spec.Class) && x.m.Count() > 0 {
		// The same for smaller fetches, but an empty machine is left to jobs that
		// want a whole one.
		s -= x.free.Minus(j.need).Plus(x.m.Arrays()).Share(cap)
	} else {
		s += x.free.Minus(j.need).Share(cap)
	}
	if j.spec.Spread && l.perZone != nil {
		s += float64(l.perZone[x.m.Zone]) / float64(j.spec.Tasks)
	}
	if x.m.Spot {
		if j.spec.CheckpointS > 0 {
			s--
		} else {
			s += x.kind.BootS
		}
	}
	if j.failedOn[x.m.Name] {
		s += 10 * x.kind.BootS
	}
	return s + float64(len(x.m.Errors))*x.kind.BootS
}

// pick chooses the machine for a task. haunted says that one was passed over
// just for this task's sake, so that another task may still have it.
func (c *Core) pick(now time.Duration, j *job, task int, cands []*candidate, l *limits) (best *candidate, haunted bool) {
	bestScore := 0.0
	for _, x := range cands {
		if !j.need.Fits(c.room(x, j)) || !c.fits(now, j, x, l) {
			continue
		}
		if x.m.Haunted(protocol.TaskID{Job: j.spec.ID, Task: task}) {
			haunted = true
			continue
		}
		if s := c.score(now, j, x, l); best == nil || s < bestScore {
			best, bestScore = x, s
		}
	}
	return best, haunted
}

// place allocates as much of a job as there is room for: up to minAvailable
// or nothing for a gang, task by task for the others.
func (c *Core) place(now time.Duration, j *job, cands []*candidate) {
	allowed := c.allowance(j)
	gang := j.spec.Shape == protocol.Gang
	if gang && allowed < j.spec.Tasks {
		return
	}
	l := c.limits(j)
	var got allocation
	if gang && j.spec.SameZone && l.zone == "" {
		got, l = c.bestZone(now, j, cands, l)
	} else {
		got = c.allocate(now, j, cands, l, min(allowed, j.counts[pending]))
	}
	if gang && len(got) < j.spec.Tasks {
		c.hold(now, j, cands, got, l)
		return
	}
	wanted := min(allowed, j.counts[pending])
	c.grant(now, j, got)
	if len(got) < wanted {
		j.short++
		c.preempt(now, j, cands, l, wanted-len(got))
	} else {
		j.short = 0
	}
}

// allocation is room taken for tasks.
type allocation []struct {
	task int
	x    *candidate
}

// allocate takes room for up to n tasks, task by task.
func (c *Core) allocate(now time.Duration, j *job, cands []*candidate, l *limits, n int) allocation {
	var got allocation
	for t := j.nextPending(0); t >= 0 && len(got) < n; t = j.nextPending(t + 1) {
		x, haunted := c.pick(now, j, t, cands, l)
		if x == nil {
			if haunted {
				continue
			}
			break
		}
		if j.spec.Shape != protocol.Gang && c.displace(now, j, t, x, cands, l) {
			continue
		}
		c.hurry(now, j, x)
		x.free = x.free.Minus(j.need)
		l.perZone[x.m.Zone]++
		if j.spec.SameZone {
			l.zone = x.m.Zone
		}
		got = append(got, struct {
			task int
			x    *candidate
		}{t, x})
	}
	return got
}

func release(j *job, got allocation) {
	for _, g := range got {
		g.x.free = g.x.free.Plus(j.need)
	}
}

// bestZone tries the zones for a gang that must be in one, and keeps the room
// in the one that holds all of it, or else most of it.
func (c *Core) bestZone(now time.Duration, j *job, cands []*candidate, l *limits) (allocation, *limits) {
	best, bestN, bestScore := "", -1, 0.0
	try := func(z string) (allocation, *limits, float64) {
		zl := &limits{zone: z, perZone: map[string]int{}, most: l.most}
		got := c.allocate(now, j, cands, zl, j.spec.Tasks)
		s := 0.0
		for _, g := range got {
			s = max(s, c.part.Warm(now, g.x.m, &j.spec).Seconds())
		}
		return got, zl, s
	}
	for _, z := range c.zones(&j.spec) {
		got, _, s := try(z)
		release(j, got)
		if len(got) > bestN || len(got) == bestN && s < bestScore {
			best, bestN, bestScore = z, len(got), s
		}
	}
	if best == "" {
		return nil, l
	}
	got, zl, _ := try(best)
	return got, zl
}

// hold keeps the room of a short gang closed to others until the next cycle:
// what it was allocated, and for each task without room the machine that is
// nearest to having it. Every fourth short cycle smaller jobs may backfill.
func (c *Core) hold(now time.Duration, j *job, cands []*candidate, got allocation, l *limits) {
	j.short++
	missing := j.spec.Tasks - len(got)
	c.preempt(now, j, cands, l, missing)
	if j.short%(shortCycles+1) == 0 {
		release(j, got)
		return
	}
	taken := map[*candidate]bool{}
	for range missing {
		var best *candidate
		for _, x := range cands {
			if taken[x] || !c.fits(now, j, x, l) || !j.need.Fits(part.CapacityOf(x.kind)) {
				continue
			}
			if best == nil || x.free.Share(part.CapacityOf(x.kind)) > best.free.Share(part.CapacityOf(best.kind)) {
				best = x
			}
		}
		if best == nil {
			return
		}
		taken[best] = true
		best.free = part.Need{CPUs: -1, GPUs: -1, MemoryGB: -1}
	}
}

// grant promises room for the tasks, and has their placements recorded.
func (c *Core) grant(now time.Duration, j *job, got allocation) {
	if len(got) == 0 {
		return
	}
	attempt := uint64(0)
	if j.spec.Shape == protocol.Gang {
		attempt = j.attempt(0)
	}
	var ps []*part.Placement
	for _, g := range got {
		t, x := g.task, g.x
		a := attempt
		if a == 0 {
			a = j.attempt(t)
		}
		ps = append(ps, &part.Placement{
			Task: protocol.TaskID{Job: j.spec.ID, Task: t}, Attempt: a, Machine: x.m.Name,
			Need: j.need, Team: j.spec.Team, Rank: j.rank, Job: &j.spec,
		})
		p := j.pageOf(t)
		p.attempts = max(p.attempts, a)
	}
	if !c.part.Grant(now, ps) {
		c.due = true // the part knows better; ask again with what it says
		return
	}
	for _, pl := range ps {
		t := pl.Task.Task
		j.set(t, placed)
		j.places[t] = pl
		j.touch(t, now)
		j.granted = append(j.granted, pl)
		if m := c.part.Machine(pl.Machine); m.Reserved == j.spec.ID {
			m.Reserved = ""
		}
	}
}

// fetchesYield names, for a job with an aim on waiting, tasks that it may drive
// off a machine to have the whole rate for its fetch: those of arrays at least two
// steps lower in priority that are fetching, and lose nothing but that. In a
// crowd, as when a fleet is opened, arrays had come first, and replicas that shared
// the rate with them took twice as long to be up.
func (c *Core) fetchesYield(j *job) func(*part.Placement) bool {
	if j.spec.Shape == protocol.Gang || math.IsInf(c.waitAim(j.spec.Class), 1) {
		return nil
	}
	return func(pl *part.Placement) bool {
		return pl.Rank >= j.rank+2 && pl.Job != nil && pl.Job.Shape == protocol.Array && pl.Job.Image != j.spec.Image &&
			(!pl.Written || pl.State == protocol.Fetching) // one from an earlier term may run unseen
	}
}

// hurry stops the fetches that yield to a task's.
func (c *Core) hurry(now time.Duration, j *job, x *candidate) {
	yields := c.fetchesYield(j)
	if yields == nil || c.part.Warm(now, x.m, &j.spec) == c.part.WarmWithout(now, x.m, &j.spec, yields) {
		return
	}
	for _, pl := range c.placementsOn(x.m) {
		if o := c.jobs[pl.Task.Job]; o != nil && !pl.Stopping && yields(pl) {
			c.log.Info("stopped fetching", "task", pl.Task, "for", j.spec.ID, "machine", pl.Machine)
			c.stop(now, o, pl, 0)
		}
	}
}

// waitAim is the shortest wait that the objectives ask for a class, in seconds.
func (c *Core) waitAim(class string) float64 {
	within := math.Inf(1)
	for _, o := range c.cfg.Objectives {
		if o.Kind == "wait" && o.Class == class {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// displace says whether a task should rather wait a moment for room on a
// machine that has its image, because the fetch on the machine at hand would
// last longer than the class's aim on waiting. It clears such room of work
// that is at least two steps lower in priority. Free room is no reason to make
// a critical replica wait for a fetch of most of a minute.
func (c *Core) displace(now time.Duration, j *job, task int, x *candidate, cands []*candidate, l *limits) bool {
	within := c.waitAim(j.spec.Class)
	if math.IsInf(within, 1) {
		return false
	}
	left := config.Seconds(within) - (now - j.known)
	if left <= 0 && j.ran[task] {
		left = config.Seconds(within) // a replica that was lost should be back as soon
	}
	if left <= 0 || c.part.WarmWithout(now, x.m, &j.spec, c.fetchesYield(j)) <= left {
		return false
	}
	for _, y := range cands {
		// Room that is free by now is no longer waited for: had it been the
		// better one, the task would have got it.
		if y.m.ReservedFor(now, j.spec.ID) && !y.taken && l.allow(y.m.Zone) && !j.need.Fits(y.free) {
			y.taken = true // being cleared for one task of the job already
			l.perZone[y.m.Zone]++
			return true
		}
	}
	return c.clear(now, j, cands, l, left, j.rank+2)
}

// preempt stops work of lower priority to make room for up to n tasks, on the
// machines where least is lost, and reserves the room.
func (c *Core) preempt(now time.Duration, j *job, cands []*candidate, l *limits, n int) {
	if j.short < 2 {
		return
	}
	for _, x := range cands {
		if x.m.ReservedFor(now, j.spec.ID) {
			n-- // cleared already, and not yet free
		}
	}
	for ; n > 0 && c.clear(now, j, cands, l, math.MaxInt64, j.rank+1); n-- {
	}
}

// clear makes room for one task on the machine where that costs least, among
// those where the task could run within the given time, and reserves it. Only
// work of at least the given rank leaves.
func (c *Core) clear(now time.Duration, j *job, cands []*candidate, l *limits, within time.Duration, rank int) bool {
	var best *candidate
	var bestVictims []*part.Placement
	bestCost := math.Inf(1)
	for _, x := range cands {
		if !c.fits(now, j, x, l) || x.m.ReservedFor(now, j.spec.ID) || !j.need.Fits(part.CapacityOf(x.kind)) {
			continue
		}
		warm := c.part.Warm(now, x.m, &j.spec)
		if warm > within {
			continue
		}
		victims, cost, ok := c.victims(now, j, x, rank)
		cost += warm.Seconds()
		if ok && cost < bestCost {
			best, bestVictims, bestCost = x, victims, cost
		}
	}
	if best == nil {
		return false
	}
	wait := 0.0
	patience := c.patience(now, j, c.part.Warm(now, best.m, &j.spec))
	for _, v := range bestVictims {
		if !v.Stopping {
			c.log.Info("preempted", "task", v.Task, "for", j.spec.ID, "machine", v.Machine)
			left := patience
			if v.Job != nil && v.Job.SaveS >= v.Job.CheckpointS/2 {
				left = 0 // to save takes as long as what is lost without, and the room is wanted
			}
			c.stopOrderly(now, v, left)
		}
		wait = max(wait, v.GraceS)
	}
	best.taken = true
	l.perZone[best.m.Zone]++
	best.m.Reserved = j.spec.ID
	best.m.ReservedUntil = now + config.Seconds(wait+3*c.cfg.Workers.ReportS) + Cycle
	return true
}

// patience is how long a job can wait for work to be saved and still start in
// the time that its class's aim asks for. One that will be late anyhow, or has
// no such aim, waits as long as it takes.
func (c *Core) patience(now time.Duration, j *job, warm time.Duration) time.Duration {
	within := c.waitAim(j.spec.Class)
	if left := config.Seconds(within) - (now - j.known) - warm; !math.IsInf(within, 1) && left > 0 {
		return left
	}
	return math.MaxInt64
}

// victims chooses the work that would have to leave a machine. Its cost is in
// seconds of work lost or moved.
func (c *Core) victims(now time.Duration, j *job, x *candidate, rank int) (out []*part.Placement, cost float64, ok bool) {
	room := x.free // less what this cycle has given away already
	var lower []*part.Placement
	x.m.Placements(func(pl *part.Placement) {
		switch {
		case pl.Stopping:
			room = room.Plus(pl.Need)
			out = append(out, pl)
		case c.mayPreempt(j, pl, rank):
			lower = append(lower, pl)
		}
	})
	sort.Slice(lower, func(a, b int) bool {
		if lower[a].Rank != lower[b].Rank {
			return lower[a].Rank > lower[b].Rank
		}
		if ja, jb := c.age(now, lower[a]), c.age(now, lower[b]); ja != jb {
			return ja < jb
		}
		if lower[a].Since != lower[b].Since {
			return lower[a].Since > lower[b].Since
		}
		return lower[a].Task.String() < lower[b].Task.String()
	})
	for _, pl := range lower {
		if j.need.Fits(room) {
			break
		}
		room = room.Plus(pl.Need)
		out = append(out, pl)
		lost := (now - pl.Since).Seconds()
		if pl.Job != nil && pl.Job.CheckpointS > 0 {
			lost = pl.Job.SaveS
		}
		// An old job has been passed over or stopped before, and is the more
		// likely to be late for it.
		cost += 1 + lost*pl.Need.Share(part.CapacityOf(x.kind)) + c.age(now, pl).Seconds()/10
		if pl.Job != nil && pl.Job.Shape == protocol.Gang {
			// All of it has to find room, and often its image, again.
			cost += float64(pl.Job.Tasks) * x.kind.BootS
		}
	}
	return out, cost, len(out) > 0 && j.need.Fits(room)
}

// mayPreempt says whether a placement may be stopped to make room for a job: work of at
// least the given rank, and work of any rank that another team runs beyond its
// guarantee, for a team within its own. What a team runs within its guarantee need not
// yield to another team. Lower work of other teams had been spared altogether: a guest's
// idle-time batch then kept whole machines while urgent gangs waited for minutes.
func (c *Core) mayPreempt(j *job, pl *part.Placement, rank int) bool {
	if pl.Team == j.spec.Team {
		return pl.Rank >= rank
	}
	return c.borrows(pl) && (pl.Rank >= rank || c.owed(j))
}

// age is how long the job of a placement has been known.
func (c *Core) age(now time.Duration, pl *part.Placement) time.Duration {
	if j := c.jobs[pl.Task.Job]; j != nil {
		return now - j.known
	}
	return 0
}

// borrows says whether a placement's team uses more than its guarantee.
func (c *Core) borrows(pl *part.Placement) bool {
	return !withinGuarantee(c.cfg.Team(pl.Team), c.part.Usage(pl.Team))
}

// owed says whether a job's team is still within its guarantee with one more
// of its tasks.
func (c *Core) owed(j *job) bool {
	return withinGuarantee(c.cfg.Team(j.spec.Team), c.part.Usage(j.spec.Team).Plus(j.need))
}

// withinGuarantee says whether a team that uses so much has a guarantee and fits into
// it. A resource that no guarantee names does not count.
func withinGuarantee(t *config.Team, used part.Need) bool {
	if t == nil || t.CPUs == 0 && t.GPUs == 0 {
		return false
	}
	return (t.CPUs == 0 || used.CPUs <= t.CPUs) && (t.GPUs == 0 || used.GPUs <= t.GPUs)
}

// demand lists the room that is wanted: for tasks that wait, and then for the
// jobs that are likely to come before a machine rented now would be up.
func (c *Core) demand(now time.Duration, jobs []*job) []fleet.Unit {
	var units []fleet.Unit
	for _, j := range jobs {
		n := min(j.counts[pending], c.allowance(j))
		if n == 0 || c.held(j) {
			continue
		}
		if j.suspect() {
			// Its tasks fail everywhere. It still gets room, or it could never
			// show that the machines were at fault, but just for one attempt.
			if now < j.notBefore {
				continue
			}
			if j.spec.Shape != protocol.Gang {
				n = 1
			}
		}
		l := c.limits(j)
		if j.spec.SameZone && l.zone == "" && n > 1 {
			l.zone = c.likelyZone(now, j)
		}
		if !j.spec.Spread || l.zone != "" {
			units = append(units, fleet.Unit{Job: &j.spec, Zone: l.zone, Count: n, Avoid: j.avoids()})
			continue
		}
		for _, u := range c.spreadUnits(&j.spec, l, n) {
			u.Avoid = j.avoids()
			units = append(units, u)
		}
	}
	c.spareNow = c.spare(now)
	return append(units, c.spareNow...)
}

// likelyZone picks the zone in which room for a job that must be in one is
// gathered. Without it, machines in several zones could look like enough room
// while no zone has it, and the job would wait for ever.
func (c *Core) likelyZone(now time.Duration, j *job) string {
	room := map[string]int{}
	c.part.Each(func(m *part.Machine) {
		t := c.part.Type(m.Type)
		if t == nil || !t.Allows(&j.spec) || m.Condemned || m.Notice || m.Sick || m.Spot && !j.spec.Spot {
			return
		}
		free := c.part.Free(m)
		for n := 0; n < j.spec.Tasks && j.need.Fits(free); n++ {
			free = free.Minus(j.need)
			room[m.Zone]++
		}
	})
	best, bestRoom := "", -1
	for _, z := range c.zones(&j.spec) {
		n := room[z]
		if n < j.spec.Tasks && c.fleet.CanRent(now, c.part, &j.spec, z) {
			n += j.spec.Tasks
		}
		if n > bestRoom {
			best, bestRoom = z, n
		}
	}
	return best
}

// zones lists the zones that a job allows, in order.
func (c *Core) zones(spec *protocol.Job) []string {
	zones := map[string]bool{}
	for _, t := range c.part.Types() {
		if t.Allows(spec) {
			for _, z := range t.Zones {
				if spec.Zone == "" || spec.Zone == z {
					zones[z] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// spreadUnits deals tasks to zones as the job's spread demands.
func (c *Core) spreadUnits(spec *protocol.Job, l *limits, n int) []fleet.Unit {
	names := c.zones(spec)
	counts := map[string]int{}
	for ; n > 0; n-- {
		best := ""
		for _, z := range names {
			if l.perZone[z]+counts[z] < l.most && (best == "" || l.perZone[z]+counts[z] < l.perZone[best]+counts[best]) {
				best = z
			}
		}
		if best == "" {
			break
		}
		counts[best]++
	}
	var units []fleet.Unit
	for _, z := range names {
		if counts[z] > 0 {
			units = append(units, fleet.Unit{Job: spec, Zone: z, Count: counts[z]})
		}
	}
	return units
}

// spare is the room kept for classes whose aim on waiting is shorter than a
// machine takes to come up with their image.
func (c *Core) spare(now time.Duration) []fleet.Unit {
	var units []fleet.Unit
	for _, class := range slices.Sorted(maps.Keys(c.sample)) {
		spec := c.sample[class]
		within := c.waitAim(class)
		boot, ready := 0.0, math.Inf(1)
		for _, t := range c.part.Types() {
			if t.Allows(spec) && t.Fits(spec) > 0 && t.FetchGBPerS > 0 {
				if r := t.BootS + spec.ImageGB/t.FetchGBPerS; r < ready {
					boot, ready = t.BootS, r
				}
			}
		}
		if within >= ready || math.IsInf(ready, 1) {
			continue
		}
		mean := c.expected(now, class, config.Seconds(boot))
		if mean < 0.1 {
			continue
		}
		// Where a fetch that takes a third longer outlasts the aim, no time is
		// left to clear room first.
		quick := within < (ready-boot)*part.SlowFetch
		jobs := mean + c.margin(class)*math.Sqrt(mean)
		tasks := int(math.Round(jobs * c.sizes[class]))
		if tasks == 0 {
			continue
		}
		if spec.Spread {
			l := &limits{perZone: map[string]int{}, most: (tasks + 1) / 2}
			for _, u := range c.spreadUnits(spec, l, tasks) {
				u.Spare, u.Quick = true, quick
				units = append(units, u)
			}
			continue
		}
		units = append(units, fleet.Unit{Job: spec, Count: tasks, Spare: true, Quick: quick})
	}
	return units
}

// margin is how many deviations above the expected arrivals are met by the
// share of starts in time that a class's aims ask for.
func (c *Core) margin(class string) float64 {
	share := 0.5
	for _, o := range c.cfg.Objectives {
		if o.Kind == "wait" && o.Class == class {
			share = max(share, min(o.Share, 0.999))
		}
	}
	return math.Sqrt2 * math.Erfinv(2*share-1)
}

// expected is how many jobs of a class are likely to come in one boot time,
// with something added for a swing. Arrivals count for less as they age.
func (c *Core) expected(now time.Duration, class string, boot time.Duration) float64 {
	memory := memoryBoots * boot
	as := c.arrivals[class]
	for len(as) > 0 && as[0] < now-4*memory {
		as = as[1:]
	}
	c.arrivals[class] = as
	prior := c.prior[class] * math.Exp(-(now-c.began).Seconds()/memory.Seconds())
	if len(as) == 0 && prior == 0 {
		return 0
	}
	// A crowd that comes at once, as when a fleet is opened, tells little of
	// the rate: no short while counts for more than two.
	sum, crowd, first := 0.0, 0, time.Duration(math.MinInt64/2)
	for _, a := range as {
		if a-first > boot/8 {
			first, crowd = a, 0
		}
		if crowd++; crowd <= 2 {
			sum += math.Exp(-(now - a).Seconds() / memory.Seconds())
		}
	}
	// What came in so short a time that it could not yet have aged counts as if
	// it had come in a boot time or two.
	c.counted[class] = sum + prior
	if prior > 0 {
		return 1.2 * (sum + prior) * boot.Seconds() / memory.Seconds()
	}
	seen := 1 - math.Exp(-max(now-as[0], 2*boot).Seconds()/memory.Seconds())
	return 1.2 * sum * boot.Seconds() / memory.Seconds() / seen
}

// memoryBoots is the memory of the arrival rate, in boot times.
const memoryBoots = 3
