package loadtest

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"pinebay/internal/simulation"
)

// Fault is something that is broken for a while.
type Fault string

// Faults.
const (
	KillLeader       Fault = "kill-leader"
	FreezeLeader     Fault = "freeze-leader"
	KillOwner        Fault = "kill-owner"   // a follower, which owns a shard of the machines
	FreezeOwner      Fault = "freeze-owner" // a follower, which owns a shard of the machines
	SilentWorkers    Fault = "silent-workers"
	AllWorkersSilent Fault = "all-back" // all of them return at once
	StateOutage      Fault = "state-outage"
)

// injector breaks something and returns what repairs it.
type injector func(*run) (repair func() error, err error)

var injectors = map[Fault]injector{
	KillLeader:       func(r *run) (func() error, error) { return kill(r.leader()) },
	FreezeLeader:     func(r *run) (func() error, error) { return freeze(r.leader()) },
	KillOwner:        func(r *run) (func() error, error) { return kill(r.follower()) },
	FreezeOwner:      func(r *run) (func() error, error) { return freeze(r.follower()) },
	SilentWorkers:    muteSomeWorkers,
	AllWorkersSilent: muteAllWorkers,
	StateOutage:      stopStore,
}

// FaultNames lists all faults.
func FaultNames() []Fault { return slices.Sorted(maps.Keys(injectors)) }

func noRepair() error { return nil }

// kill kills a controller; the repair starts it again. A nil controller is left out.
func kill(p *controllerProcess) (func() error, error) {
	if p == nil {
		return noRepair, nil
	}
	p.kill()
	return p.start, nil
}

// freeze stops a controller's process; the repair lets it go on. A nil controller is left out.
func freeze(p *controllerProcess) (func() error, error) {
	if p == nil {
		return noRepair, nil
	}
	return func() error { return p.signal(syscall.SIGCONT) }, p.signal(syscall.SIGSTOP)
}

func muteSomeWorkers(r *run) (func() error, error) {
	const part = 10
	return r.muteWorkers(func(i int) bool { return i%part == 0 }), nil
}

func muteAllWorkers(r *run) (func() error, error) {
	return r.muteWorkers(func(int) bool { return true }), nil
}

// muteWorkers loses the heartbeats of some hollow workers, by their place in the order of their
// addresses, until the repair.
func (r *run) muteWorkers(includes func(i int) bool) (repair func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var muted []*simulation.Agent
	for i, host := range slices.Sorted(maps.Keys(r.agents)) {
		if includes(i) {
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

// stopStore lets the key-value store refuse all requests until the repair.
func stopStore(r *run) (func() error, error) {
	r.store.SetOutage(true)
	return func() error {
		r.store.SetOutage(false)
		return nil
	}, nil
}

const (
	// repliesInTransit is how long replies may take that were sent before a fault began.
	repliesInTransit = 100 * time.Millisecond
	// recoveryLeases is for how many leases the workers' return is awaited.
	recoveryLeases = 6
)

// injectFault breaks something for half a lease, repairs it, and observes the recovery.
func (r *run) injectFault(f Fault) (FaultResult, error) {
	r.log.Info("fault injected", "fault", f)
	duration := r.cfg.Lease / 2
	result := FaultResult{Fault: f, DurationS: duration.Seconds()}
	r.resetTimes()
	began := time.Now()
	repair, err := injectors[f](r)
	if err != nil {
		return result, err
	}
	if err := r.sleep(repliesInTransit); err != nil {
		return result, err
	}
	replies := r.countReplies()
	repaired := make(chan error, 1)
	timer := time.AfterFunc(duration, func() { repaired <- repair() })
	defer timer.Stop()
	if err := r.awaitReplies(replies); err != nil {
		return result, err
	}
	if workers, firstAt := replies.count(); workers > 0 {
		result.FirstReplyS = firstAt.Sub(began).Seconds()
		result.MostRepliedS = time.Since(began).Seconds()
	}
	// Consequences such as expired leases show within a lease.
	if err := r.sleep(max(duration, r.cfg.Lease) + r.cfg.Lease/2); err != nil {
		return result, err
	}
	for _, p := range r.controllers {
		if at, ok := p.recordsReadSince(began); ok {
			result.RecoveryS = max(result.RecoveryS, at.Sub(began).Seconds())
		}
	}
	result.Times, result.Steps = r.meter.Times(), r.combinedStepTimes()
	return result, <-repaired
}

// awaitReplies waits until nearly all hollow workers had a reply, or for the time that they have to
// return.
func (r *run) awaitReplies(replies *replyCounter) error {
	_, err := r.waitUntil("workers replied to", recoveryLeases*r.cfg.Lease, func() bool {
		workers, _ := replies.count()
		r.mu.Lock()
		all := len(r.agents)
		r.mu.Unlock()
		return float64(workers) >= nearlyAll*float64(all)
	})
	return err
}

// resetTimes drops the latencies and step times that were collected so far.
func (r *run) resetTimes() {
	r.meter.ResetTimes()
	for _, p := range r.controllers {
		p.resetSteps()
	}
}

// combinedStepTimes returns the step times of all controllers together.
func (r *run) combinedStepTimes() map[string]stepTimes {
	sum := map[string]stepTimes{}
	for _, p := range r.controllers {
		p.addStepsTo(sum)
	}
	return sum
}
