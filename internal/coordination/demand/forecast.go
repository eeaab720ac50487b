// Package demand estimates which capacity jobs that have not been submitted yet will need, and divides demand among
// zones. A Forecast learns from the arrivals of each class how many jobs are likely to come within the time that a
// new machine takes to boot, and turns that into headroom for the autoscaler. It does no I/O and reads no clock.
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
	// arrivalMemoryBoots is the time constant by which arrivals lose weight, in boot times.
	arrivalMemoryBoots = 3
	// forgetAfterMemories is the age, in time constants, at which an arrival is dropped.
	forgetAfterMemories = 4
	// burstBootFraction is the length of a burst, as a fraction of the boot time, and maxBurstArrivals how many
	// arrivals of one burst count.
	burstBootFraction = 8
	maxBurstArrivals  = 2
	// swingFactor is added to the expected arrivals, since rates swing.
	swingFactor = 1.2
	// minExpectedArrivals is the expectation below which no headroom is kept.
	minExpectedArrivals = 0.1
	// meanTasksWeight is the weight of the past, in jobs, in the moving average of a job's tasks.
	meanTasksWeight = 8
)

// Forecast is what a leader has learned of the arrivals of each class.
type Forecast struct {
	termStartedAt time.Duration
	classes       map[string]*class
	headroom      []autoscaler.Demand // of the last plan
}

// class is what is known of the arrivals of one class.
type class struct {
	arrivals  []time.Duration // the newest last
	newestJob *protocol.Job   // nil if none has arrived in this term
	meanTasks float64
	// inherited is how many arrivals the last leader counted, valid if isInherited is set.
	inherited   float64
	isInherited bool
	// counted is the number of arrivals at the last estimate, each with its weight, valid if isCounted is set.
	counted   float64
	isCounted bool
}

// ClassRate is what the next leader needs to go on with the forecast of a class.
type ClassRate struct {
	Class     string
	Arrivals  float64 // in the memory, each with its weight
	MeanTasks float64
}

// NewForecast returns the forecast of a term in which nothing has arrived yet.
func NewForecast(termStartedAt time.Duration) *Forecast {
	return &Forecast{termStartedAt: termStartedAt, classes: map[string]*class{}}
}

func (f *Forecast) class(name string) *class {
	k := f.classes[name]
	if k == nil {
		k = &class{}
		f.classes[name] = k
	}
	return k
}

// Arrived records that a job which may start came at the given time.
func (f *Forecast) Arrived(job *protocol.Job, at time.Duration) {
	k := f.class(job.Class)
	k.arrivals = append(k.arrivals, at)
	k.newestJob = job
	if k.meanTasks > 0 {
		k.meanTasks += (float64(job.TaskCount) - k.meanTasks) / meanTasksWeight
	} else {
		k.meanTasks = float64(job.TaskCount)
	}
}

// Inherit takes over what the last leader knew of a class.
func (f *Forecast) Inherit(rate ClassRate) {
	k := f.class(rate.Class)
	k.inherited, k.isInherited = rate.Arrivals, true
	k.meanTasks = rate.MeanTasks
}

// DropInheritedArrivals forgets the arrivals of classes that were inherited: the jobs that still live were counted
// by the last leader already.
func (f *Forecast) DropInheritedArrivals() {
	for _, k := range f.classes {
		if k.isInherited {
			k.arrivals = nil
		}
	}
}

// Rates returns what is known of each class that was estimated, in the order of their names.
func (f *Forecast) Rates() []ClassRate {
	var rates []ClassRate
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		if k := f.classes[name]; k.isCounted {
			rates = append(rates, ClassRate{Class: name, Arrivals: k.counted, MeanTasks: k.meanTasks})
		}
	}
	return rates
}

// ExpectedArrivals returns how many jobs of a class are likely to come within one boot time. Arrivals count for
// less as they age.
func (f *Forecast) ExpectedArrivals(now time.Duration, className string, boot time.Duration) float64 {
	k := f.classes[className]
	if k == nil {
		return 0
	}
	memory := arrivalMemoryBoots * boot
	k.forgetBefore(now - forgetAfterMemories*memory)
	inherited := k.inherited * math.Exp(-(now-f.termStartedAt).Seconds()/memory.Seconds())
	if len(k.arrivals) == 0 && inherited == 0 {
		return 0
	}
	sum := k.weightedArrivals(now, boot, memory)
	k.counted, k.isCounted = sum+inherited, true
	if inherited > 0 {
		return swingFactor * (sum + inherited) * boot.Seconds() / memory.Seconds()
	}
	// Arrivals of so short a time that they could not age yet count as if they had come within two boot times.
	seen := 1 - math.Exp(-max(now-k.arrivals[0], 2*boot).Seconds()/memory.Seconds())
	return swingFactor * sum * boot.Seconds() / memory.Seconds() / seen
}

// forgetBefore drops the arrivals before a time.
func (k *class) forgetBefore(oldest time.Duration) {
	for len(k.arrivals) > 0 && k.arrivals[0] < oldest {
		k.arrivals = k.arrivals[1:]
	}
}

// weightedArrivals returns the sum of the arrivals' weights. A burst, as when a fleet is opened, says little of the
// rate, so only the first arrivals of one count.
func (k *class) weightedArrivals(now, boot, memory time.Duration) float64 {
	sum, inBurst, burstStart := 0.0, 0, time.Duration(math.MinInt64/2)
	for _, at := range k.arrivals {
		if at-burstStart > boot/burstBootFraction {
			burstStart, inBurst = at, 0
		}
		if inBurst++; inBurst <= maxBurstArrivals {
			sum += math.Exp(-(now - at).Seconds() / memory.Seconds())
		}
	}
	return sum
}

// bootAndStart returns how long the machine type that has a job's task running first takes to boot, and to boot and
// fetch the image, in seconds. The latter is infinite if no type will do.
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

// mustBeFree reports whether there is no time to preempt other work first: when even a fetch at the slowest rate
// that is reckoned with outlasts the objective.
func mustBeFree(objective, fetch float64) bool {
	return objective < fetch*machineregistry.SlowFetchFactor
}

// Headroom returns the headroom of the last plan.
func (f *Forecast) Headroom() []autoscaler.Demand { return f.headroom }

// PlanHeadroom plans the capacity to be kept for classes whose start latency objective is shorter than a new machine
// takes to boot and to fetch their image.
func (f *Forecast) PlanHeadroom(now time.Duration, types map[string]*protocol.MachineType, objectives Objectives) {
	f.headroom = nil
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		k := f.classes[name]
		if k.newestJob == nil {
			continue
		}
		objective := objectives.startLatency(name)
		boot, start := bootAndStart(types, k.newestJob)
		if objective >= start || math.IsInf(start, 1) {
			continue
		}
		expected := f.ExpectedArrivals(now, name, config.Seconds(boot))
		if expected < minExpectedArrivals {
			continue
		}
		jobs := expected + objectives.deviations(name)*math.Sqrt(expected)
		tasks := int(math.Round(jobs * k.meanTasks))
		f.headroom = append(f.headroom, headroomFor(k.newestJob, types, tasks, mustBeFree(objective, start-boot))...)
	}
}

// headroomFor returns the headroom for a number of tasks like those of a job.
func headroomFor(
	job *protocol.Job, types map[string]*protocol.MachineType, tasks int, free bool,
) []autoscaler.Demand {
	if tasks == 0 {
		return nil
	}
	if !job.Spread {
		return []autoscaler.Demand{{Job: job, Count: tasks, Headroom: true, MustBeFree: free}}
	}
	demands := SpreadOverZones(job, AllowedZones(types, job), nil, (tasks+1)/2, tasks)
	for i := range demands {
		demands[i].Headroom, demands[i].MustBeFree = true, free
	}
	return demands
}
