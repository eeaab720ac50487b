package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/demand"
	"pinebay/internal/coordination/imagehints"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// recoverImageHints applies the cached images of machines and the job arrivals that earlier leaders recorded.
func (s *Scheduler) recoverImageHints(records []protocol.KeyValue) {
	for _, record := range records {
		hints, err := s.imageHints.Recover(record)
		if err != nil {
			s.log.Error("malformed image hint record", "key", record.Key, "error", err)
			continue
		}
		for machine, images := range hints.Images {
			s.machines.SetImageHint(machine, images)
		}
		for _, class := range hints.Arrivals {
			rate := demand.ClassRate{Class: class.Class, Arrivals: class.Jobs, MeanTasks: class.MeanTasks}
			s.forecast.Inherit(rate)
		}
	}
}

// writeImageHints records the cached images of machines for the next leader, a few records at a time.
func (s *Scheduler) writeImageHints(now time.Duration) {
	if s.writes.paused || !s.imageHints.Due(now) {
		return
	}
	hints := imagehints.Hints{Images: s.machines.CachedImages(), Arrivals: s.classArrivals()}
	limits := imagehints.Limits{ValueKB: s.recordLimits.ValueKB(), MaxOperations: s.recordLimits.MaxOperations()}
	change, ok := s.imageHints.Next(now, hints, limits)
	if !ok {
		return
	}
	txn := protocol.Txn{If: []protocol.Compare{s.writes.termUnchanged()}, Then: change.Ops}
	onOutcome := func(_ time.Duration, outcome TransactionOutcome) {
		if outcome.Malformed {
			s.shrinkTransactions(&txn)
		}
		s.imageHints.HandleOutcome(change, outcome.Succeeded)
	}
	id, _ := s.writes.nextID()
	write := Write{ID: id, Txn: txn, Priority: PriorityMaintenance, VerifyKey: storage.TermKey, VerifyName: "-"}
	s.submit(write, onOutcome)
}

// arrivalStepsPerJob is the resolution to which arrivals are rounded before they are recorded, in steps per job.
// Rounding keeps an idle fleet from causing writes.
const arrivalStepsPerJob = 4

// classArrivals returns the job arrivals that the forecast remembers, sorted by class.
func (s *Scheduler) classArrivals() []storage.ClassArrivals {
	var arrivals []storage.ClassArrivals
	for _, rate := range s.forecast.Rates() {
		arrivals = append(arrivals, storage.ClassArrivals{
			Class:     rate.Class,
			Jobs:      math.Round(rate.Arrivals*arrivalStepsPerJob) / arrivalStepsPerJob,
			MeanTasks: rate.MeanTasks,
		})
	}
	return arrivals
}
