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
	Cost float64 // work that is lost, in seconds
	// Gang says that the job's lenders are all preempted if one is. Their costs add up.
	Gang bool
}

// CapacityOffer is a machine whose capacity may be used.
type CapacityOffer struct {
	Machine, Zone string
	Free          machineregistry.Resources
	Lenders       []Lender
	StartCost     float64 // of a start there, in seconds, as for the fetch of an image
}

// CapacityRequest is capacity that is wanted for tasks of one job.
type CapacityRequest struct {
	Need  machineregistry.Resources // of one task
	Tasks int
	// MaxPerZone is how many tasks each zone may take. Other zones take none.
	MaxPerZone map[string]int
	// DisturbanceCost is what it costs that one more job has to lend, in seconds of work.
	DisturbanceCost float64
}

// InZone returns the request limited to one zone.
func (r CapacityRequest) InZone(zone string) CapacityRequest {
	r.MaxPerZone = map[string]int{zone: r.MaxPerZone[zone]}
	return r
}

// minLentShare bounds the price of lenders whose capacity is next to nothing of what is wanted.
const minLentShare = 1e-3

// Pick is a machine that takes one of the tasks.
type Pick struct{ Machine, Zone string }

// Choice is the capacity that was chosen for a request.
type Choice struct {
	Picks   []Pick
	Lenders []TaskAttempt
	Cost    float64
}

// ChooseLenders picks machines for as many of the tasks as possible, one after the other where it costs least: the
// lenders that are cheapest for their capacity, without those that turn out not to be needed. The greedy choice costs
// little more than that of an exact solver (docs/zone-return.md).
func ChooseLenders(r CapacityRequest, offers []CapacityOffer) Choice {
	s := newLenderSearch(r, offers)
	for range r.Tasks {
		if !s.placeOnCheapest() {
			break
		}
	}
	return s.choice
}

// lenderSearch is the state of one ChooseLenders.
type lenderSearch struct {
	request       CapacityRequest
	offers        []CapacityOffer
	free          []machineregistry.Resources // left on each offer
	zoneRemaining map[string]int              // tasks that each zone may still take
	preempted     map[TaskAttempt]bool
	disturbedJobs map[string]bool // that lend already
	gangs         map[string][]gangMember
	choice        Choice
}

// gangMember is a task of a gang, and the index of the offer whose machine it runs on.
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
		disturbedJobs: map[string]bool{},
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

// placeOnCheapest places one task where it costs least, and reports whether there is capacity for it.
func (s *lenderSearch) placeOnCheapest() bool {
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

// lendersForOffer returns the lenders that would be preempted for one more task on an offer, and what that costs. It
// returns false if there is no capacity for the task even so.
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
	chosen = s.dropUnneeded(free, chosen)
	return chosen, s.costOf(s.offers[i], chosen), true
}

// costOf is what it costs to start a task on an offer and to preempt lenders for it, with all of their gangs.
func (s *lenderSearch) costOf(offer CapacityOffer, lenders []Lender) float64 {
	cost := offer.StartCost
	jobs := map[string]bool{}
	for _, lender := range lenders {
		job := lender.Task.Job
		if lender.Gang && jobs[job] {
			continue
		}
		cost += s.lossOf(lender)
		if !s.disturbedJobs[job] && !jobs[job] {
			cost += s.request.DisturbanceCost
		}
		jobs[job] = true
	}
	return cost
}

// lendersByPrice returns the lenders on an offer that are not preempted yet, by what their capacity costs.
func (s *lenderSearch) lendersByPrice(i int) []Lender {
	var lenders []Lender
	for _, lender := range s.offers[i].Lenders {
		if !s.preempted[lender.Task] {
			lenders = append(lenders, lender)
		}
	}
	price := func(lender Lender) float64 {
		extra := s.request.DisturbanceCost
		if s.disturbedJobs[lender.Task.Job] {
			extra = 0
		}
		return (s.lossOf(lender) + extra) / max(lender.Need.DominantShare(s.request.Need), minLentShare)
	}
	slices.SortStableFunc(lenders, func(a, b Lender) int { return cmp.Compare(price(a), price(b)) })
	return lenders
}

// dropUnneeded drops the lenders without which there is enough free capacity as well, the most expensive first.
func (s *lenderSearch) dropUnneeded(free machineregistry.Resources, chosen []Lender) []Lender {
	byCost := slices.Clone(chosen)
	slices.SortStableFunc(byCost, func(a, b Lender) int { return cmp.Compare(s.lossOf(b), s.lossOf(a)) })
	for _, lender := range byCost {
		if without := free.Minus(lender.Need); s.request.Need.Fits(without) {
			free = without
			chosen = slices.DeleteFunc(chosen, func(o Lender) bool { return o.Task == lender.Task })
		}
	}
	return chosen
}

// lossOf is the work that is lost when a lender is preempted, with all of its gang, in seconds.
func (s *lenderSearch) lossOf(lender Lender) float64 {
	if !lender.Gang {
		return lender.Cost
	}
	cost := 0.0
	for _, member := range s.gangs[lender.Task.Job] {
		cost += member.lender.Cost
	}
	return cost
}

// preempt takes a lender off its offer, with all of its gang, and adds it to the choice.
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
	s.disturbedJobs[lender.Task.Job] = true
}
