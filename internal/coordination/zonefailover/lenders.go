package zonefailover

import (
	"cmp"
	"math"
	"slices"

	"pinebay/internal/coordination/machineregistry"
)

// Lender is a task that may be stopped for its room.
type Lender struct {
	Task TaskAttempt
	Need machineregistry.Resources
	Cost float64 // work that is lost, in seconds
	// Gang says that all lenders of the job leave together. Their costs add up.
	Gang bool
}

// CapacityOffer is a machine whose room may be had.
type CapacityOffer struct {
	Machine, Zone string
	Free          machineregistry.Resources
	Lenders       []Lender
	StartCost     float64 // of a start there, as for an image's fetch
}

// CapacityRequest is room that is wanted for tasks of one job.
type CapacityRequest struct {
	Need  machineregistry.Resources
	Tasks int
	// MaxPerZone limits how many tasks may go to a zone; a zone that it lacks takes none.
	MaxPerZone map[string]int
	// DisturbanceCost is what it counts for that one more job is disturbed.
	DisturbanceCost float64
}

// InZone returns the request limited to one zone.
func (r CapacityRequest) InZone(zone string) CapacityRequest {
	r.MaxPerZone = map[string]int{zone: r.MaxPerZone[zone]}
	return r
}

// Pick is a machine that is to take one of the tasks.
type Pick struct{ Machine, Zone string }

// Choice is the room that was chosen.
type Choice struct {
	Picks   []Pick
	Lenders []TaskAttempt
	Cost    float64
}

// ChooseLenders picks machines for as many of the tasks as can be, one after the other
// where it costs least: the cheapest lenders for their room, without those that turn out
// not to be needed. Against an exact solver it is hardly dearer (docs/zone-return.md).
func ChooseLenders(r CapacityRequest, offers []CapacityOffer) Choice {
	s := newLenderSearch(r, offers)
	for range r.Tasks {
		if !s.placeOnCheapest() {
			break
		}
	}
	return s.choice
}

// lenderSearch is the state of a choice.
type lenderSearch struct {
	request       CapacityRequest
	offers        []CapacityOffer
	free          []machineregistry.Resources // room left on each offer
	zoneRemaining map[string]int              // tasks that a zone may still take
	preempted     map[TaskAttempt]bool
	disturbedJobs map[string]bool // disturbed already
	gangs         map[string][]gangMember
	choice        Choice
}

// gangMember is a task of a gang, and the offer that it stands on.
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

// placeOnCheapest gives one task the offer that costs least.
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

// lendersForOffer returns the lenders that would leave an offer for one more task.
func (s *lenderSearch) lendersForOffer(i int) (lenders []Lender, cost float64, ok bool) {
	room := s.free[i]
	var chosen []Lender
	for _, lender := range s.lendersByPrice(i) {
		if s.request.Need.Fits(room) {
			break
		}
		room = room.Plus(lender.Need)
		chosen = append(chosen, lender)
	}
	if !s.request.Need.Fits(room) {
		return nil, 0, false
	}
	chosen = s.dropUnneeded(room, chosen)
	cost = s.offers[i].StartCost
	jobs := map[string]bool{}
	for _, lender := range chosen {
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
	return chosen, cost, true
}

// lendersByPrice returns the lenders that are still on an offer by what their room costs.
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
		return (s.lossOf(lender) + extra) / max(lender.Need.DominantShare(s.request.Need), 1e-3)
	}
	slices.SortStableFunc(lenders, func(a, b Lender) int { return cmp.Compare(price(a), price(b)) })
	return lenders
}

// dropUnneeded drops the lenders without which there is room as well, the dearest first.
func (s *lenderSearch) dropUnneeded(room machineregistry.Resources, chosen []Lender) []Lender {
	byCost := slices.Clone(chosen)
	slices.SortStableFunc(byCost, func(a, b Lender) int { return cmp.Compare(s.lossOf(b), s.lossOf(a)) })
	for _, lender := range byCost {
		if without := room.Minus(lender.Need); s.request.Need.Fits(without) {
			room = without
			chosen = slices.DeleteFunc(chosen, func(o Lender) bool { return o.Task == lender.Task })
		}
	}
	return chosen
}

// lossOf is what is lost when a lender leaves, with all of its gang.
func (s *lenderSearch) lossOf(lender Lender) float64 {
	if !lender.Gang {
		return lender.Cost
	}
	cost := 0.0
	for _, part := range s.gangs[lender.Task.Job] {
		cost += part.lender.Cost
	}
	return cost
}

// preempt takes a lender off its offer, with all of its gang.
func (s *lenderSearch) preempt(i int, lender Lender) {
	parts := []gangMember{{i, lender}}
	if lender.Gang {
		parts = s.gangs[lender.Task.Job]
	}
	for _, part := range parts {
		if s.preempted[part.lender.Task] {
			continue
		}
		s.preempted[part.lender.Task] = true
		s.free[part.offer] = s.free[part.offer].Plus(part.lender.Need)
		s.choice.Lenders = append(s.choice.Lenders, part.lender.Task)
	}
	s.disturbedJobs[lender.Task.Job] = true
}
