package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
)

// zoneReturn is the part of the core that acts when a zone is lost and when it comes back
// (docs/zone-return.md). It is nil unless an operator has turned it on.
type zoneReturn struct {
	order      *zones.Order
	monitor    *zones.Monitor
	ledger     *zones.Ledger
	several    bool // there is more than one zone
	number     uint64
	untaken    map[zones.LentTask]bool // made in this term, and its lender not told to stop yet
	left       map[string]string       // machines that have failed or left the cloud's list, and their zones
	lentBy     map[string]int          // how many loans a job has made in this term
	searched   int                     // for how many jobs room was looked for since searchedAt
	searchedAt time.Duration
	decisions  []zones.Decision // not told yet
	records    zoneRecords
}

// Intervals of zone return.
const (
	// writeOffCancels is after how many times the cancel time a loan is written off.
	writeOffCancels = 20
	// keepLeases is for how many leases a lost zone's machines are kept that hold work for
	// which there is no room elsewhere. They have its images when they come back.
	keepLeases = 12
	// probeLeases is after how many leases a machine is rented in a lost zone, if work waits
	// that can be nowhere else: a zone without machines could not be heard again.
	probeLeases = 2
)

// startZoneReturn turns zone return on, with what an earlier leader recorded.
func (c *Core) startZoneReturn(now time.Duration, order *zones.Order, pages []protocol.Pair) {
	names := c.zones(&protocol.Job{})
	z := &zoneReturn{
		order: order, several: len(names) > 1, untaken: map[zones.LentTask]bool{}, left: map[string]string{}, lentBy: map[string]int{}, records: newZoneRecords(),
		monitor: zones.NewMonitor(now, config.Seconds(c.cfg.Workers.LeaseS), names),
		ledger:  zones.NewLedger(c.pagesPerTransaction() * c.loansPerPage()),
	}
	c.returning = z
	c.decide(zones.OrderInForce{Order: order.String(), Zones: len(names)})
	if z.several {
		c.recoverZoneReturn(now, pages)
		c.recoverDisplaced()
	}
}

// recoverDisplaced marks the jobs that wait although they had started, when a zone was lost
// under an earlier leader.
func (c *Core) recoverDisplaced() {
	for _, zone := range c.returning.monitor.Zones() {
		if zone.State != zones.Lost && zone.State != zones.Returning {
			continue
		}
		for _, j := range c.jobs {
			if j.counts[pending] > 0 && j.hasStarted() {
				j.displacedFrom = zone.Name
			}
		}
	}
}

// hasStarted says whether a task of the job was ever placed.
func (j *job) hasStarted() bool {
	for _, p := range j.pages {
		if p.attempts > 0 {
			return true
		}
	}
	return false
}

// decide notes a decision, to be told with the next effects.
func (c *Core) decide(d zones.Decision) {
	c.returning.decisions = append(c.returning.decisions, d)
}

func (c *Core) announceDecisions() {
	if c.returning == nil {
		return
	}
	for _, d := range c.returning.decisions {
		c.emit(Decided{d})
	}
	c.returning.decisions = nil
}

// recovering says whether a zone is lost or not yet trusted again, so that the order of
// return is in force.
func (c *Core) recovering() bool {
	return c.returning != nil && c.returning.several && c.returning.monitor.Any(zones.Lost, zones.Returning)
}

// wallAt is the time of day at a moment, in milliseconds.
func (c *Core) wallAt(now time.Duration) int64 { return c.wallMS + (now - c.began).Milliseconds() }

// watchZones judges the zones, and draws the conclusions.
func (c *Core) watchZones(now time.Duration, jobs []*job) {
	z := c.returning
	if z == nil || !z.several {
		return
	}
	for _, change := range z.monitor.Step(now, c.zoneFacts(now)) {
		c.decide(zones.ZoneChanged{Change: change})
		z.records.dirty = true
		switch change.To {
		case zones.Lost:
			c.decide(zones.OrderInForce{Order: z.order.String(), Zones: len(z.monitor.Zones())})
		case zones.Returning:
			c.inspectZone(change.Zone)
		case zones.Available:
			maps.DeleteFunc(z.left, func(_, zone string) bool { return zone == change.Zone })
		}
	}
	c.settleLoans(now)
	c.setZonePolicies(now)
	c.fenceForReturn(now, jobs)
	if !z.monitor.Any(zones.Suspected, zones.Lost, zones.Returning) {
		clear(z.lentBy)
		for _, j := range jobs {
			j.displacedFrom = ""
		}
	}
}

// zoneFacts counts the machines of each zone by how they were heard.
func (c *Core) zoneFacts(now time.Duration) []zones.Facts {
	var facts []zones.Facts
	index := map[string]int{}
	for _, zone := range c.returning.monitor.Zones() {
		index[zone.Name] = len(facts)
		facts = append(facts, zones.Facts{Zone: zone.Name})
	}
	for _, zone := range c.returning.left {
		facts[index[zone]].Left++
	}
	expired := c.leaseOver()
	c.machines.Each(func(m *partition.Machine) {
		i, ok := index[m.Zone]
		if !ok || m.Condemned || !m.Up && m.Count() == 0 {
			return
		}
		f := &facts[i]
		f.Machines++
		switch quiet := now - m.Heard; {
		case m.Up && quiet <= c.machines.Silent():
			f.Heard++
		case quiet > expired:
			f.Silent++
			f.Expired++
		case quiet > c.machines.Silent():
			f.Silent++
		}
	})
	return facts
}

// leaseOver is after what silence no lease can still be renewed: whoever renews without the
// leader's knowledge gives up within half a lease, and the lease then takes its time.
func (c *Core) leaseOver() time.Duration {
	return config.Seconds(c.cfg.Workers.LeaseS*3/2 + c.cfg.Workers.ReportS)
}

// inspectZone asks the machines of a zone that returns how they stand, without waiting for
// their workers to find the leader.
func (c *Core) inspectZone(zone string) {
	c.machines.Each(func(m *partition.Machine) {
		if m.Zone == zone && m.Addr != "" && !m.Condemned {
			c.inspector.queue = append(c.inspector.queue, Inspect{m.Name, m.Addr})
		}
	})
}

// setZonePolicies tells the fleet how to treat zones that are not as they should be.
func (c *Core) setZonePolicies(now time.Duration) {
	policies := map[string]fleet.ZonePolicy{}
	lease := config.Seconds(c.cfg.Workers.LeaseS)
	for _, zone := range c.returning.monitor.Zones() {
		switch zone.State {
		case zones.Suspected:
			policies[zone.Name] = fleet.ZonePolicy{Closed: true, KeepUntil: zone.Since + 2*c.leaseOver()}
		case zones.Lost:
			policies[zone.Name] = c.lostPolicy(now, zone)
		case zones.Returning:
			policies[zone.Name] = fleet.ZonePolicy{KeepUntil: zone.Since + lease}
		}
	}
	c.fleet.SetZones(policies)
}

// lostPolicy is how the fleet treats a lost zone. Where machines are cut off, new ones would not
// be heard either, and are tried one at a time. Where all have died, new ones will do as soon
// as the cloud has some.
func (c *Core) lostPolicy(now time.Duration, zone zones.Zone) fleet.ZonePolicy {
	lease := config.Seconds(c.cfg.Workers.LeaseS)
	if zone.Evidence.Machines == 0 && zone.Evidence.Left > 0 {
		return fleet.ZonePolicy{}
	}
	probe := now-zone.Since > probeLeases*lease
	return fleet.ZonePolicy{Closed: !probe, Probe: probe, Uncounted: true, KeepUntil: zone.Since + keepLeases*lease}
}

// left notes that a machine has failed, or has left the cloud's list by itself, while its zone
// is not as it should be.
func (c *Core) left(name string) {
	m := c.machines.Machine(name)
	if c.returning == nil || m == nil || c.returning.monitor.State(m.Zone) == zones.Available {
		return
	}
	c.returning.left[name] = m.Zone
}

// displaced notes that a job has lost a task, which counts if it went with its zone.
func (c *Core) displaced(j *job, pl *partition.Placement) {
	if c.returning == nil || j.over {
		return
	}
	switch c.returning.monitor.State(pl.Zone) {
	case zones.Lost, zones.Returning:
		j.displacedFrom = pl.Zone
	}
}

// returnKey is what jobs are sorted by while the order of return is in force.
type returnKey struct {
	position, rank int
	debt           float64
	aim            float64
}

// sortForReturn puts jobs into the order of return: by the stated order, priority, what
// lenders are owed once no zone is lost, the class's aim on waiting, and age. The list is
// sorted by priority and age when it comes.
func (c *Core) sortForReturn(jobs []*job) {
	z := c.returning
	if z == nil || !c.recovering() && z.ledger.Len() == 0 {
		return
	}
	debts := map[string]float64{}
	if !z.monitor.Any(zones.Lost) {
		debts = z.ledger.Debts()
	}
	keys := make(map[*job]returnKey, len(jobs))
	for _, j := range jobs {
		keys[j] = returnKey{z.order.Position(j.spec.Class, j.spec.Team), j.rank, debts[j.spec.ID], c.waitAim(j.spec.Class)}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		x, y := keys[a], keys[b]
		return cmp.Or(cmp.Compare(x.position, y.position), cmp.Compare(x.rank, y.rank), cmp.Compare(y.debt, x.debt), cmp.Compare(x.aim, y.aim))
	})
}

// zonesToTry lists the zones that a job allows, those that are available first: where several
// have as little room, a lost one must not be where it waits for some.
func (c *Core) zonesToTry(spec *protocol.Job) []string {
	names := c.zones(spec)
	if c.returning == nil {
		return names
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(c.returning.monitor.State(a), c.returning.monitor.State(b))
	})
	return names
}

// lostZone says whether a zone is lost.
func (c *Core) lostZone(zone string) bool {
	return c.returning != nil && c.returning.monitor.State(zone) == zones.Lost
}

// returnsBefore says whether, by the order in force, the work of a placement goes before a
// job, whatever their priorities are.
func (c *Core) returnsBefore(pl *partition.Placement, j *job) bool {
	if !c.recovering() {
		return false
	}
	class := ""
	if pl.Job != nil {
		class = pl.Job.Class
	}
	order := c.returning.order
	return order.Position(class, pl.Team) < order.Position(j.spec.Class, j.spec.Team)
}

// returnPosition is a job's position in the order of return, while that is in force.
func (c *Core) returnPosition(spec *protocol.Job) int {
	if !c.recovering() {
		return 0
	}
	return c.returning.order.Position(spec.Class, spec.Team)
}

// placeGuaranteed places what teams run within their guarantee, which need not wait for
// other teams, in the order of return. What is beyond it has its turn with the others, and
// so have the team's jobs after it: a guarantee is held against other teams, not within one.
func (c *Core) placeGuaranteed(now time.Duration, waiting []*job, cands []*candidate) {
	beyond := map[string]bool{} // teams
	for _, j := range waiting {
		if beyond[j.spec.Team] {
			continue
		}
		least := 1
		if j.spec.Shape == protocol.Gang {
			least = j.spec.Tasks
		}
		if n := min(c.allowance(j), c.tasksWithinGuarantee(j)); n >= least {
			c.place(now, j, cands, n)
		}
		beyond[j.spec.Team] = j.counts[pending] > 0
	}
}

// distrust is what a start of a critical replica costs more, in seconds, in a zone that may
// be lost again at any time.
func (c *Core) distrust(j *job, zone string) float64 {
	if c.returning == nil || j.rank > 0 || j.spec.Shape != protocol.Service || c.returning.monitor.State(zone) == zones.Available {
		return 0
	}
	return c.cfg.Workers.LeaseS
}

// Bounds of what one look at a lost zone may cost and do.
const (
	fenceShare = 20 // of a zone's machines, one in so many may be fenced in a cycle
	// mostWaiting is for how many of a job's waiting tasks room is set aside before that.
	mostWaiting = 32
	// searchesPerCore is for how many jobs a whole core looks for room in a cycle, next to
	// its other work: a search among a hundred full machines takes it a millisecond or two.
	searchesPerCore = 100
	// searchPause is the time until the next search for a job for which there was no room.
	searchPause = 3 * Cycle
)

// searches is for how many jobs room may be looked for in a cycle.
func (c *Core) searches() int { return max(2, int(searchesPerCore*c.cfg.Quota.CoreShare)) }

// fenceForReturn returns machines of lost zones whose tasks would find room elsewhere, in the
// order of return: only that proves the tasks gone. What would find no room stays, and goes
// on at once when the zone comes back.
func (c *Core) fenceForReturn(now time.Duration, jobs []*job) {
	if !c.returning.monitor.Any(zones.Lost) {
		return
	}
	patience := c.returnPatience()
	budget := c.fenceBudget()
	market := c.newMarket(now)
	tries := c.searches()
	for _, j := range jobs {
		if budget <= 0 || tries <= 0 {
			return
		}
		held := c.heldByLostZones(now, j, patience)
		waiting := min(j.counts[pending], c.allowance(j), mostWaiting)
		if c.held(j) || len(held)+waiting == 0 || now < j.searchAgain {
			continue
		}
		whole := j.spec.Shape == protocol.Gang || j.spec.SameZone
		wanted := waiting + len(held)
		if whole {
			wanted = j.counts[pending] + len(j.places)
		}
		request, ok := c.requestElsewhere(j, wanted)
		if !ok {
			continue
		}
		tries--
		// What waits already takes its room first.
		found := market.place(j, request, whole) - waiting
		if found <= 0 && len(held) > 0 {
			j.searchAgain = now + searchPause
		}
		for _, pl := range held[:max(0, min(found, len(held)))] {
			budget -= c.fenceMachineOf(now, j, pl)
		}
	}
}

// fenceBudget is how many machines may be fenced in this cycle.
func (c *Core) fenceBudget() int {
	n := 0
	c.machines.Each(func(m *partition.Machine) {
		if _, lost := c.returning.monitor.LostSince(m.Zone); lost {
			n++
		}
	})
	return max(1, n/fenceShare)
}

// returnPatience is for how long a machine of a lost zone is waited for: until its leases are
// surely over, and as long as a machine takes to boot. Work that goes elsewhere pays about
// that much once more, for a fetch there and for a boot when the zone is back; whoever waits as
// long as it would pay never pays more than twice what foresight would.
func (c *Core) returnPatience() time.Duration {
	patience := c.leaseOver()
	for _, t := range c.machines.Types() {
		patience = max(patience, config.Seconds(t.BootS))
	}
	return patience
}

// heldByLostZones returns the placements of a job on machines of lost zones that have been
// silent for longer than the patience.
func (c *Core) heldByLostZones(now time.Duration, j *job, patience time.Duration) (held []*partition.Placement) {
	for _, pl := range placements(j) {
		m := c.machines.Machine(pl.Machine)
		if _, lost := c.returning.monitor.LostSince(pl.Zone); lost && m != nil && now-m.Heard > patience {
			held = append(held, pl)
		}
	}
	return held
}

// fenceMachineOf has the machine of a placement returned, and says how many that makes.
func (c *Core) fenceMachineOf(now time.Duration, j *job, pl *partition.Placement) int {
	m := c.machines.Machine(pl.Machine)
	if m == nil || m.Condemned {
		return 0
	}
	since, _ := c.returning.monitor.LostSince(pl.Zone)
	m.Condemned = true
	c.decide(zones.MachineFenced{Machine: m.Name, Zone: m.Zone, Job: j.spec.ID, LostFor: now - since})
	return 1
}

// requestElsewhere is the room that tasks of a job may take outside the lost zones; false if
// its limits allow none.
func (c *Core) requestElsewhere(j *job, tasks int) (zones.Request, bool) {
	perZone := map[string]int{}
	counts := map[string]int{}
	for _, pl := range j.places {
		counts[pl.Zone]++
	}
	most := math.MaxInt32
	if j.spec.Spread {
		most = (j.spec.Tasks + 1) / 2
	}
	total := 0
	for _, zone := range c.returning.monitor.Zones() {
		allowed := j.spec.Zone == "" || j.spec.Zone == zone.Name
		if left := min(tasks, most-counts[zone.Name]); allowed && left > 0 && zone.State == zones.Available {
			perZone[zone.Name] = left
			total += left
		}
	}
	return zones.Request{Need: j.need, Tasks: min(tasks, total), PerZone: perZone, JobCost: c.jobCost()}, total > 0
}
