package zonefailover

import (
	"cmp"
	"math"
	"slices"

	"pinebay/internal/coordination/machineregistry"
)

// Lender is a task that may be preempted for its capacity.
type Lender struct {
	Task TaskAttempt
	Need machineregistry.Resources
	Cost float64 // of preempting the task, in seconds; mainly the work that it loses
	// Gang is set for a task of a gang: preempting one lender of the job preempts all of them, and their costs add up.
	Gang bool
}

// CapacityOffer is a machine with capacity to choose from.
type CapacityOffer struct {
	Machine, Zone string
	Free          machineregistry.Resources
	Lenders       []Lender
	StartCost     float64 // cost of starting a task there, in seconds, such as for fetching the image
}

// CapacityRequest is a request for capacity for tasks of one job.
type CapacityRequest struct {
	Need  machineregistry.Resources // of one task
	Tasks int
	// MaxPerZone is the maximum number of tasks by zone. Zones without an entry take none.
	MaxPerZone map[string]int
	// DisruptionCost is the cost of preempting tasks of one more job, in seconds of work.
	DisruptionCost float64
}

// InZone returns a copy of the request that is limited to one zone.
func (r CapacityRequest) InZone(zone string) CapacityRequest {
	r.MaxPerZone = map[string]int{zone: r.MaxPerZone[zone]}
	return r
}

// minLenderShare is the lower bound of the share of the requested capacity by which a lender's cost is divided to get
// its price. It bounds the price of lenders that free almost nothing of what is requested.
const minLenderShare = 1e-3

// Pick is a machine chosen for one task.
type Pick struct{ Machine, Zone string }

// Choice is the capacity chosen for a request.
type Choice struct {
	Picks   []Pick
	Lenders []TaskAttempt
	Cost    float64 // of all starts and preemptions, in seconds
}

// ChooseLenders picks machines for as many of the requested tasks as possible. It places one task after another at the
// lowest cost, preempting the lenders with the lowest price per capacity, except those that turn out to be unnecessary.
// This greedy choice costs little more than the choice of an exact solver (docs/zone-return.md).
func ChooseLenders(r CapacityRequest, offers []CapacityOffer) Choice {
	s := newLenderSearch(r, offers)
	for range r.Tasks {
		if !s.placeTask() {
			break
		}
	}
	return s.choice
}

// lenderSearch is the state of one ChooseLenders call.
type lenderSearch struct {
	request       CapacityRequest
	offers        []CapacityOffer
	free          []machineregistry.Resources // remaining free resources by offer
	zoneRemaining map[string]int              // number of tasks that each zone may still take
	preempted     map[TaskAttempt]bool
	disruptedJobs map[string]bool // jobs with preempted tasks
	gangs         map[string][]gangMember
	choice        Choice
}

// gangMember is a task of a gang and the index of the offer for its machine.
type gangMember struct {
	offer  int
	lender Lender
}

func newLenderSearch(r CapacityRequest, offers []CapacityOffer) *lenderSearch {
	s := &lenderSearch{
		request:       r,
		offers:        offers,
		zoneRemaining: map[string]int{},
		preempted:     map[TaskAttempt]bool{},
		disruptedJobs: map[string]bool{},
		gangs:         map[string][]gangMember{},
	}
	for zone, n := range r.MaxPerZone {
		s.zoneRemaining[zone] = n
	}
	for i, o := range offers {
		s.free = append(s.free, o.Free)
		for _, lender := range o.Lenders {
			if lender.Gang {
				s.gangs[lender.Task.Job] = append(s.gangs[lender.Task.Job], gangMember{i, lender})
			}
		}
	}
	return s
}

// placeTask places one task at the lowest cost. It returns false if there is no capacity for it.
func (s *lenderSearch) placeTask() bool {
	best, bestCost := -1, math.Inf(1)
	var bestLenders []Lender
	for i, o := range s.offers {
		if s.zoneRemaining[o.Zone] <= 0 {
			continue
		}
		lenders, cost, ok := s.lendersForOffer(i)
		if ok && cost < bestCost {
			best, bestCost, bestLenders = i, cost, lenders
		}
	}
	if best < 0 {
		return false
	}
	o := s.offers[best]
	for _, lender := range bestLenders {
		s.preempt(best, lender)
	}
	s.free[best] = s.free[best].Minus(s.request.Need)
	s.zoneRemaining[o.Zone]--
	s.choice.Picks = append(s.choice.Picks, Pick{o.Machine, o.Zone})
	s.choice.Cost += bestCost
	return true
}

// lendersForOffer returns the lenders to preempt for one more task on an offer, and the cost. It returns false if the
// task does not fit even then.
func (s *lenderSearch) lendersForOffer(i int) (lenders []Lender, cost float64, ok bool) {
	free := s.free[i]
	var chosen []Lender
	for _, lender := range s.lendersByPrice(i) {
		if s.request.Need.Fits(free) {
			break
		}
		free = free.Plus(lender.Need)
		chosen = append(chosen, lender)
	}
	if !s.request.Need.Fits(free) {
		return nil, 0, false
	}
	chosen = s.dropUnnecessary(free, chosen)
	return chosen, s.placementCost(s.offers[i], chosen), true
}

// placementCost returns the cost of starting a task on an offer and preempting the lenders, including their gangs.
func (s *lenderSearch) placementCost(offer CapacityOffer, lenders []Lender) float64 {
	cost := offer.StartCost
	jobs := map[string]bool{}
	for _, lender := range lenders {
		job := lender.Task.Job
		if lender.Gang && jobs[job] {
			continue
		}
		cost += s.preemptionCost(lender)
		if !s.disruptedJobs[job] && !jobs[job] {
			cost += s.request.DisruptionCost
		}
		jobs[job] = true
	}
	return cost
}

// lendersByPrice returns the lenders on an offer that are not preempted yet, sorted by price per capacity.
func (s *lenderSearch) lendersByPrice(i int) []Lender {
	var lenders []Lender
	for _, lender := range s.offers[i].Lenders {
		if !s.preempted[lender.Task] {
			lenders = append(lenders, lender)
		}
	}
	price := func(lender Lender) float64 {
		extra := s.request.DisruptionCost
		if s.disruptedJobs[lender.Task.Job] {
			extra = 0
		}
		return (s.preemptionCost(lender) + extra) / max(lender.Need.DominantShare(s.request.Need), minLenderShare)
	}
	slices.SortStableFunc(lenders, func(a, b Lender) int { return cmp.Compare(price(a), price(b)) })
	return lenders
}

// dropUnnecessary removes lenders, the most expensive first, as long as the task still fits without them.
func (s *lenderSearch) dropUnnecessary(free machineregistry.Resources, chosen []Lender) []Lender {
	byCost := slices.Clone(chosen)
	slices.SortStableFunc(
		byCost,
		func(a, b Lender) int { return cmp.Compare(s.preemptionCost(b), s.preemptionCost(a)) },
	)
	for _, lender := range byCost {
		if without := free.Minus(lender.Need); s.request.Need.Fits(without) {
			free = without
			chosen = slices.DeleteFunc(chosen, func(o Lender) bool { return o.Task == lender.Task })
		}
	}
	return chosen
}

// preemptionCost returns the cost of preempting a lender, including its gang, in seconds.
func (s *lenderSearch) preemptionCost(lender Lender) float64 {
	if !lender.Gang {
		return lender.Cost
	}
	cost := 0.0
	for _, member := range s.gangs[lender.Task.Job] {
		cost += member.lender.Cost
	}
	return cost
}

// preempt frees the capacity of a lender, including its gang, and adds the preempted tasks to the choice.
func (s *lenderSearch) preempt(i int, lender Lender) {
	members := []gangMember{{i, lender}}
	if lender.Gang {
		members = s.gangs[lender.Task.Job]
	}
	for _, member := range members {
		if s.preempted[member.lender.Task] {
			continue
		}
		s.preempted[member.lender.Task] = true
		s.free[member.offer] = s.free[member.offer].Plus(member.lender.Need)
		s.choice.Lenders = append(s.choice.Lenders, member.lender.Task)
	}
	s.disruptedJobs[lender.Task.Job] = true
}
