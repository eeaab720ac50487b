package zones

import (
	"cmp"
	"math"
	"slices"

	"pinebay/internal/coordination/partition"
)

// Lender is a task that may be stopped for its room.
type Lender struct {
	Task LentTask
	Need partition.Resources
	Cost float64 // work that is lost, in seconds
	// Gang says that all lenders of the job leave together. Their costs add up.
	Gang bool
}

// Offer is a machine whose room may be had.
type Offer struct {
	Machine, Zone string
	Free          partition.Resources
	Lenders       []Lender
	Cost          float64 // of a start there, as for an image's fetch
}

// Request is room that is wanted for tasks of one job.
type Request struct {
	Need  partition.Resources
	Tasks int
	// PerZone limits how many tasks may go to a zone; a zone that it lacks takes none.
	PerZone map[string]int
	// JobCost is what it counts for that one more job is disturbed.
	JobCost float64
}

// Pick is a machine that is to take one of the tasks.
type Pick struct{ Machine, Zone string }

// Choice is the room that was chosen.
type Choice struct {
	Picks   []Pick
	Lenders []LentTask
	Cost    float64
}

// ChooseLenders picks machines for as many of the tasks as can be, one after the other
// where it costs least: the cheapest lenders for their room, without those that turn out
// not to be needed. Against an exact solver it is hardly dearer (docs/zone-return.md).
func ChooseLenders(r Request, offers []Offer) Choice {
	s := newSearch(r, offers)
	for range r.Tasks {
		if !s.takeCheapest() {
			break
		}
	}
	return s.choice
}

// search is the state of a choice.
type search struct {
	request Request
	offers  []Offer
	free    []partition.Resources // room left on each offer
	left    map[string]int        // tasks that a zone may still take
	leaving map[LentTask]bool
	jobs    map[string]bool // disturbed already
	gangs   map[string][]gangPart
	choice  Choice
}

// gangPart is a task of a gang, and the offer that it stands on.
type gangPart struct {
	offer  int
	lender Lender
}

func newSearch(r Request, offers []Offer) *search {
	s := &search{request: r, offers: offers, left: map[string]int{}, leaving: map[LentTask]bool{}, jobs: map[string]bool{}, gangs: map[string][]gangPart{}}
	for zone, n := range r.PerZone {
		s.left[zone] = n
	}
	for i, o := range offers {
		s.free = append(s.free, o.Free)
		for _, lender := range o.Lenders {
			if lender.Gang {
				s.gangs[lender.Task.Job] = append(s.gangs[lender.Task.Job], gangPart{i, lender})
			}
		}
	}
	return s
}

// takeCheapest gives one task the offer that costs least.
func (s *search) takeCheapest() bool {
	best, bestCost := -1, math.Inf(1)
	var bestLenders []Lender
	for i, o := range s.offers {
		if s.left[o.Zone] <= 0 {
			continue
		}
		lenders, cost, ok := s.lendersOn(i)
		if ok && cost < bestCost {
			best, bestCost, bestLenders = i, cost, lenders
		}
	}
	if best < 0 {
		return false
	}
	o := s.offers[best]
	for _, lender := range bestLenders {
		s.leave(best, lender)
	}
	s.free[best] = s.free[best].Minus(s.request.Need)
	s.left[o.Zone]--
	s.choice.Picks = append(s.choice.Picks, Pick{o.Machine, o.Zone})
	s.choice.Cost += bestCost
	return true
}

// lendersOn returns the lenders that would leave an offer for one more task.
func (s *search) lendersOn(i int) (lenders []Lender, cost float64, ok bool) {
	room := s.free[i]
	var chosen []Lender
	for _, lender := range s.cheapestFirst(i) {
		if s.request.Need.Fits(room) {
			break
		}
		room = room.Plus(lender.Need)
		chosen = append(chosen, lender)
	}
	if !s.request.Need.Fits(room) {
		return nil, 0, false
	}
	chosen = s.needed(room, chosen)
	cost = s.offers[i].Cost
	jobs := map[string]bool{}
	for _, lender := range chosen {
		job := lender.Task.Job
		if lender.Gang && jobs[job] {
			continue
		}
		cost += s.costOf(lender)
		if !s.jobs[job] && !jobs[job] {
			cost += s.request.JobCost
		}
		jobs[job] = true
	}
	return chosen, cost, true
}

// cheapestFirst returns the lenders that are still on an offer by what their room costs.
func (s *search) cheapestFirst(i int) []Lender {
	var lenders []Lender
	for _, lender := range s.offers[i].Lenders {
		if !s.leaving[lender.Task] {
			lenders = append(lenders, lender)
		}
	}
	price := func(lender Lender) float64 {
		extra := s.request.JobCost
		if s.jobs[lender.Task.Job] {
			extra = 0
		}
		return (s.costOf(lender) + extra) / max(lender.Need.DominantShare(s.request.Need), 1e-3)
	}
	slices.SortStableFunc(lenders, func(a, b Lender) int { return cmp.Compare(price(a), price(b)) })
	return lenders
}

// needed drops the lenders without which there is room as well, the dearest first.
func (s *search) needed(room partition.Resources, chosen []Lender) []Lender {
	byCost := slices.Clone(chosen)
	slices.SortStableFunc(byCost, func(a, b Lender) int { return cmp.Compare(s.costOf(b), s.costOf(a)) })
	for _, lender := range byCost {
		if without := room.Minus(lender.Need); s.request.Need.Fits(without) {
			room = without
			chosen = slices.DeleteFunc(chosen, func(o Lender) bool { return o.Task == lender.Task })
		}
	}
	return chosen
}

// costOf is what is lost when a lender leaves, with all of its gang.
func (s *search) costOf(lender Lender) float64 {
	if !lender.Gang {
		return lender.Cost
	}
	cost := 0.0
	for _, part := range s.gangs[lender.Task.Job] {
		cost += part.lender.Cost
	}
	return cost
}

// leave takes a lender off its offer, with all of its gang.
func (s *search) leave(i int, lender Lender) {
	parts := []gangPart{{i, lender}}
	if lender.Gang {
		parts = s.gangs[lender.Task.Job]
	}
	for _, part := range parts {
		if s.leaving[part.lender.Task] {
			continue
		}
		s.leaving[part.lender.Task] = true
		s.free[part.offer] = s.free[part.offer].Plus(part.lender.Need)
		s.choice.Lenders = append(s.choice.Lenders, part.lender.Task)
	}
	s.jobs[lender.Task.Job] = true
}
