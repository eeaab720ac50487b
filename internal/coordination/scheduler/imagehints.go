package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/demand"
	"pinebay/internal/coordination/imagehints"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// recoverImageHints applies what earlier leaders recorded of the machines' images and of the arrivals of jobs.
func (c *Scheduler) recoverImageHints(records []protocol.KeyValue) {
	for _, record := range records {
		hints, err := c.imageHints.Recover(record)
		if err != nil {
			c.log.Error("malformed image hint record", "key", record.Key, "error", err)
			continue
		}
		for machine, images := range hints.Images {
			c.machines.SetImageHint(machine, images)
		}
		for _, class := range hints.Arrivals {
			rate := demand.ClassRate{Class: class.Class, Arrivals: class.Jobs, MeanTasks: class.MeanTasks}
			c.forecast.Inherit(rate)
		}
	}
}

// writeImageHints records the machines' images for the next leader, a few records at a time.
func (c *Scheduler) writeImageHints(now time.Duration) {
	if c.writes.paused || !c.imageHints.Due(now) {
		return
	}
	hints := imagehints.Hints{Images: c.machines.CachedImages(), Arrivals: c.classArrivals()}
	limits := imagehints.Limits{ValueKB: c.recordLimits.ValueKB(), MaxOperations: c.recordLimits.MaxOperations()}
	change, ok := c.imageHints.Next(now, hints, limits)
	if !ok {
		return
	}
	t := protocol.Txn{If: []protocol.Compare{c.writes.termUnchanged()}, Then: change.Ops}
	onOutcome := func(_ time.Duration, outcome TransactionOutcome) {
		if outcome.Malformed {
			c.shrinkTransactions(&t)
		}
		c.imageHints.Written(change, outcome.Succeeded)
	}
	id, _ := c.writes.nextID()
	write := Write{ID: id, Txn: t, Priority: PriorityMaintenance, VerifyKey: storage.TermKey, Name: "-"}
	c.submit(write, onOutcome)
}

// arrivalPrecision is the fraction of a job to which arrivals are rounded, so that a quiet fleet writes nothing.
const arrivalPrecision = 4

// classArrivals returns what is remembered of the arrivals of jobs, in the order of their classes.
func (c *Scheduler) classArrivals() []storage.ClassArrivals {
	var arrivals []storage.ClassArrivals
	for _, rate := range c.forecast.Rates() {
		arrivals = append(arrivals, storage.ClassArrivals{
			Class:     rate.Class,
			Jobs:      math.Round(rate.Arrivals*arrivalPrecision) / arrivalPrecision,
			MeanTasks: rate.MeanTasks,
		})
	}
	return arrivals
}
