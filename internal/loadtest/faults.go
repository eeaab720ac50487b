package loadtest

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"pinebay/internal/simulation"
)

// Fault is something that is broken during a run.
type Fault string

// Troubles.
const (
	KillLeader       Fault = "kill-leader"
	FreezeLeader     Fault = "freeze-leader"
	SilentWorkers    Fault = "silent-workers"
	KillOwner        Fault = "kill-owner"
	FreezeOwner      Fault = "freeze-owner"
	StateOutage      Fault = "state-outage"
	AllWorkersSilent Fault = "all-back"
)

// faults break something and return what mends it.
var faults = map[Fault]func(r *run) (mend func() error, err error){
	KillLeader:   func(r *run) (func() error, error) { return kill(r.leader()) },
	FreezeLeader: func(r *run) (func() error, error) { return freeze(r.leader()) },
	KillOwner:    func(r *run) (func() error, error) { return kill(r.follower()) },
	FreezeOwner:  func(r *run) (func() error, error) { return freeze(r.follower()) },
	SilentWorkers: func(r *run) (func() error, error) {
		const part = 10
		return r.muteWorkers(func(i int) bool { return i%part == 0 }), nil
	},
	StateOutage: func(r *run) (func() error, error) {
		r.state.SetOutage(true)
		return func() error { r.state.SetOutage(false); return nil }, nil
	},
	AllWorkersSilent: func(r *run) (func() error, error) {
		return r.muteWorkers(func(int) bool { return true }), nil
	},
}

// kill ends a controller's process, which is started again when it is mended; nil: none.
func kill(p *controllerProcess) (func() error, error) {
	if p == nil {
		return nil, nil
	}
	p.kill()
	return p.start, nil
}

// freeze has a controller's process stand still; nil: none.
func freeze(p *controllerProcess) (func() error, error) {
	if p == nil {
		return nil, nil
	}
	return func() error { return p.signal(syscall.SIGCONT) }, p.signal(syscall.SIGSTOP)
}

// follower returns a controller that does not lead, or nil if nobody is known to lead.
func (r *run) follower() *controllerProcess {
	leader := r.leader()
	if leader == nil {
		return nil
	}
	for _, p := range r.controllers {
		if p != leader {
			return p
		}
	}
	return nil
}

// FaultNames lists all troubles.
func FaultNames() []Fault { return slices.Sorted(maps.Keys(faults)) }

// muteWorkers keeps the reports of workers from all controllers, and returns what ends that.
func (r *run) muteWorkers(which func(i int) bool) func() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var muted []*simulation.Agent
	for i, host := range slices.Sorted(maps.Keys(r.agents)) {
		if which(i) {
			a := r.agents[host]
			a.HeartbeatsLost = true
			muted = append(muted, a)
		}
	}
	return func() error {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, a := range muted {
			a.HeartbeatsLost = false
		}
		return nil
	}
}

// FaultResult is what a trouble came to.
type FaultResult struct {
	Fault Fault `json:"trouble"`
	// DurationS is how long it lasted, FirstReplyS after what time the first worker had an answer again,
	// and MostRepliedS after what time nineteen of twenty had one, both from its begin; 0: not within
	// the time.
	DurationS    float64 `json:"for_s"`
	FirstReplyS  float64 `json:"first_s"`
	MostRepliedS float64 `json:"most_s"`
	// RecoveryS is after what time a new leader had read the records; 0: none had to.
	RecoveryS float64              `json:"records_s"`
	Times     map[string]Times     `json:"times"`
	Steps     map[string]stepTimes `json:"steps"`
}

// answersUnderWay is how long answers may take that were sent before a trouble began.
const answersUnderWay = 100 * time.Millisecond

// nearlyAll workers are as good as all: some may be gone for other reasons.
const nearlyAll = 0.95

// injectFault breaks something for a while, and follows what comes of it.
func (r *run) injectFault(t Fault) (FaultResult, error) {
	r.log.Info("trouble", "trouble", t)
	lasts := r.cfg.Lease / 2
	result := FaultResult{Fault: t, DurationS: lasts.Seconds()}
	r.resetTimes()
	began := time.Now()
	mend, err := faults[t](r)
	if err != nil {
		return result, err
	}
	// Answers under way when it began don't count.
	if err := r.sleep(answersUnderWay); err != nil {
		return result, err
	}
	watch := r.countReplies()
	watch.since = began
	var late error
	after := time.AfterFunc(lasts, func() {
		if mend != nil {
			late = mend()
		}
	})
	defer after.Stop()
	_, err = r.waitUntil("most workers answered", 6*r.cfg.Lease, func() bool {
		n, _ := watch.count()
		r.mu.Lock()
		all := len(r.agents)
		r.mu.Unlock()
		return float64(n) >= nearlyAll*float64(all)
	})
	if err != nil {
		return result, err
	}
	if n, first := watch.count(); n > 0 {
		result.FirstReplyS = first.Sub(watch.since).Seconds()
		result.MostRepliedS = time.Since(watch.since).Seconds()
	}
	// What follows, such as leases that ran out, shows within a lease.
	if err := r.sleep(max(lasts, r.cfg.Lease) + r.cfg.Lease/2); err != nil {
		return result, err
	}
	for _, p := range r.controllers {
		if at, ok := p.loggedSince("records read", watch.since); ok {
			result.RecoveryS = max(result.RecoveryS, at.Sub(watch.since).Seconds())
		}
	}
	result.Times, result.Steps = r.meter.Times(), r.combinedStepTimes()
	return result, late
}

// resetTimes forgets the times that were collected so far.
func (r *run) resetTimes() {
	r.meter.ResetTimes()
	for _, p := range r.controllers {
		p.resetSteps()
	}
}

// combinedStepTimes returns the step times of all controllers together.
func (r *run) combinedStepTimes() map[string]stepTimes {
	all := map[string]stepTimes{}
	for _, p := range r.controllers {
		for kind, s := range p.stepTimesSnapshot() {
			t := all[kind]
			if total := t.Count + s.Count; total > 0 {
				t.MeanMS = (t.MeanMS*float64(t.Count) + s.MeanMS*float64(s.Count)) / float64(total)
			}
			t.Count += s.Count
			t.P99MS, t.MaxMS = max(t.P99MS, s.P99MS), max(t.MaxMS, s.MaxMS)
			all[kind] = t
		}
	}
	return all
}
