// Package demand forecasts the capacity that jobs not submitted yet will need, and divides demand among zones. A
// [Forecast] uses the arrivals of each job class to estimate how many jobs are likely to arrive while a new machine
// boots, and derives from that the headroom for the autoscaler. The package does no I/O and reads no clock.
package demand

import (
	"maps"
	"math"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

const (
	// arrivalDecayBoots is the time constant, in boot times, of the exponential decay of an arrival's weight.
	arrivalDecayBoots = 3
	// dropAfterTimeConstants is the age, in time constants, after which an arrival is dropped.
	dropAfterTimeConstants = 4
	// A burst lasts for the boot time divided by burstBootDivisor from its first arrival on. Only its first
	// maxBurstArrivals arrivals count.
	burstBootDivisor = 8
	maxBurstArrivals = 2
	// arrivalMargin is the factor by which the expected arrivals are increased, because arrival rates vary.
	arrivalMargin = 1.2
	// minExpectedArrivals is the expected number of arrivals below which no headroom is kept.
	minExpectedArrivals = 0.1
	// meanTasksWindow is the window, in jobs, of the exponential moving average of the tasks per job.
	meanTasksWindow = 8
)

// Forecast holds what a leader has learned about the arrivals of each job class.
type Forecast struct {
	termStartedAt time.Duration
	classes       map[string]*classStats
	headroom      []autoscaler.Demand // from the last PlanHeadroom
}

// classStats holds the arrival statistics of one job class.
type classStats struct {
	arrivals  []time.Duration // oldest first
	newestJob *protocol.Job   // nil if none has arrived in this term
	meanTasks float64
	// inheritedArrivals is the weighted arrival count of the previous leader, valid if hasInherited is set.
	inheritedArrivals float64
	hasInherited      bool
	// weightedCount is the weighted number of arrivals at the last estimate, valid if hasWeightedCount is set.
	weightedCount    float64
	hasWeightedCount bool
}

// ClassRate holds the arrival statistics of a class that a leader hands over to the next one.
type ClassRate struct {
	Class     string
	Arrivals  float64 // number of recent arrivals, weighted by age
	MeanTasks float64
}

// NewForecast returns a forecast without any arrivals for the term that started at the given time.
func NewForecast(termStartedAt time.Duration) *Forecast {
	return &Forecast{termStartedAt: termStartedAt, classes: map[string]*classStats{}}
}

func (f *Forecast) getOrCreateClass(name string) *classStats {
	c := f.classes[name]
	if c == nil {
		c = &classStats{}
		f.classes[name] = c
	}
	return c
}

// RecordArrival records the arrival of a job that may start.
func (f *Forecast) RecordArrival(job *protocol.Job, at time.Duration) {
	c := f.getOrCreateClass(job.Class)
	c.arrivals = append(c.arrivals, at)
	c.newestJob = job
	if c.meanTasks > 0 {
		c.meanTasks += (float64(job.TaskCount) - c.meanTasks) / meanTasksWindow
	} else {
		c.meanTasks = float64(job.TaskCount)
	}
}

// Inherit restores the statistics of a class from the previous leader.
func (f *Forecast) Inherit(rate ClassRate) {
	c := f.getOrCreateClass(rate.Class)
	c.inheritedArrivals, c.hasInherited = rate.Arrivals, true
	c.meanTasks = rate.MeanTasks
}

// DropRecoveredArrivals drops the arrivals recorded in this term for classes whose statistics were inherited. These are
// the arrivals of recovered jobs, which the previous leader has already counted.
func (f *Forecast) DropRecoveredArrivals() {
	for _, c := range f.classes {
		if c.hasInherited {
			c.arrivals = nil
		}
	}
}

// Rates returns the statistics of each class for which an estimate was made, sorted by class name.
func (f *Forecast) Rates() []ClassRate {
	var rates []ClassRate
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		if c := f.classes[name]; c.hasWeightedCount {
			rates = append(rates, ClassRate{Class: name, Arrivals: c.weightedCount, MeanTasks: c.meanTasks})
		}
	}
	return rates
}

// ExpectedArrivals returns the number of jobs of a class that are likely to arrive within one boot time. The weight of
// an arrival decays with its age.
func (f *Forecast) ExpectedArrivals(now time.Duration, className string, boot time.Duration) float64 {
	c := f.classes[className]
	if c == nil {
		return 0
	}
	timeConstant := arrivalDecayBoots * boot
	c.dropBefore(now - dropAfterTimeConstants*timeConstant)
	inheritedArrivals := c.inheritedArrivals * math.Exp(-(now-f.termStartedAt).Seconds()/timeConstant.Seconds())
	if len(c.arrivals) == 0 && inheritedArrivals == 0 {
		return 0
	}
	sum := c.weightedArrivals(now, boot, timeConstant)
	c.weightedCount, c.hasWeightedCount = sum+inheritedArrivals, true
	if inheritedArrivals > 0 {
		return arrivalMargin * (sum + inheritedArrivals) * boot.Seconds() / timeConstant.Seconds()
	}
	// The sum is scaled up by the part of the time constant that has been observed. At least two boot times count as
	// observed, or a few arrivals in quick succession would be extrapolated too far.
	observedFraction := 1 - math.Exp(-max(now-c.arrivals[0], 2*boot).Seconds()/timeConstant.Seconds())
	return arrivalMargin * sum * boot.Seconds() / timeConstant.Seconds() / observedFraction
}

// dropBefore drops the arrivals before the given time.
func (c *classStats) dropBefore(oldest time.Duration) {
	for len(c.arrivals) > 0 && c.arrivals[0] < oldest {
		c.arrivals = c.arrivals[1:]
	}
}

// weightedArrivals returns the sum of the arrivals' weights. Only the first arrivals of a burst count, because a burst,
// such as the submissions when a fleet goes into service, says little about the arrival rate.
func (c *classStats) weightedArrivals(now, boot, timeConstant time.Duration) float64 {
	sum, inBurst, burstStart := 0.0, 0, time.Duration(math.MinInt64/2)
	for _, at := range c.arrivals {
		if at-burstStart > boot/burstBootDivisor {
			burstStart, inBurst = at, 0
		}
		if inBurst++; inBurst <= maxBurstArrivals {
			sum += math.Exp(-(now - at).Seconds() / timeConstant.Seconds())
		}
	}
	return sum
}

// bootAndStart finds the suitable machine type on which a task of the job starts soonest. It returns the boot time of
// this type, and the start time, which is the time to boot and to fetch the image, both in seconds. The start time is
// infinite if no type is suitable.
func bootAndStart(types map[string]*protocol.MachineType, job *protocol.Job) (boot, start float64) {
	start = math.Inf(1)
	for _, t := range types {
		if !t.AllowedBy(job) || t.TaskCapacity(job) <= 0 || t.FetchGBPerSecond <= 0 {
			continue
		}
		if s := t.BootSeconds + job.ImageGB/t.FetchGBPerSecond; s < start {
			boot, start = t.BootSeconds, s
		}
	}
	return boot, start
}

// noTimeToPreempt reports whether the start latency objective leaves no time to preempt other tasks first, because a
// fetch of the image alone, at the slowest rate to be expected, takes longer than the objective. Both times are in
// seconds.
func noTimeToPreempt(objective, fetch float64) bool {
	return objective < fetch*machineregistry.SlowFetchFactor
}

// Headroom returns the headroom from the last call of PlanHeadroom.
func (f *Forecast) Headroom() []autoscaler.Demand { return f.headroom }

// PlanHeadroom computes the headroom for classes whose start latency objective is shorter than the time that a new
// machine needs to boot and to fetch the image.
func (f *Forecast) PlanHeadroom(now time.Duration, types map[string]*protocol.MachineType, objectives Objectives) {
	f.headroom = nil
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		c := f.classes[name]
		if c.newestJob == nil {
			continue
		}
		objective := objectives.startLatency(name)
		boot, start := bootAndStart(types, c.newestJob)
		if objective >= start || math.IsInf(start, 1) {
			continue
		}
		expected := f.ExpectedArrivals(now, name, config.Seconds(boot))
		if expected < minExpectedArrivals {
			continue
		}
		jobs := expected + objectives.standardDeviations(name)*math.Sqrt(expected)
		tasks := int(math.Round(jobs * c.meanTasks))
		f.headroom = append(
			f.headroom,
			headroomFor(c.newestJob, types, tasks, noTimeToPreempt(objective, start-boot))...)
	}
}

// headroomFor returns the headroom for the given number of tasks, each like those of the job.
func headroomFor(
	job *protocol.Job, types map[string]*protocol.MachineType, tasks int, mustBeFree bool,
) []autoscaler.Demand {
	if tasks == 0 {
		return nil
	}
	if !job.Spread {
		return []autoscaler.Demand{{Job: job, Count: tasks, Headroom: true, MustBeFree: mustBeFree}}
	}
	demands := SpreadOverZones(job, AllowedZones(types, job), nil, (tasks+1)/2, tasks)
	for i := range demands {
		demands[i].Headroom, demands[i].MustBeFree = true, mustBeFree
	}
	return demands
}
