package loadtest

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"pinebay/internal/simulation"
)

// Fault is a kind of temporary failure that a load test injects.
type Fault string

// Faults that can be injected.
const (
	KillLeader            Fault = "kill-leader"
	FreezeLeader          Fault = "freeze-leader"
	KillOwner             Fault = "kill-owner"     // kills a follower, which owns a shard of the machines
	FreezeOwner           Fault = "freeze-owner"   // suspends a follower, which owns a shard of the machines
	UnreachableWorkers    Fault = "silent-workers" // the heartbeats of every tenth hollow worker are lost
	AllWorkersUnreachable Fault = "all-back"       // the heartbeats of all hollow workers are lost; all return at once
	StateOutage           Fault = "state-outage"
)

// injector injects a fault. It returns a function that ends the fault.
type injector func(*sizeRun) (repair func() error, err error)

var injectors = map[Fault]injector{
	KillLeader:            func(r *sizeRun) (func() error, error) { return killController(r.leader()) },
	FreezeLeader:          func(r *sizeRun) (func() error, error) { return freezeController(r.leader()) },
	KillOwner:             func(r *sizeRun) (func() error, error) { return killController(r.follower()) },
	FreezeOwner:           func(r *sizeRun) (func() error, error) { return freezeController(r.follower()) },
	UnreachableWorkers:    dropSomeHeartbeats,
	AllWorkersUnreachable: dropAllHeartbeats,
	StateOutage:           startStoreOutage,
}

// FaultNames returns the names of all faults in alphabetical order.
func FaultNames() []Fault { return slices.Sorted(maps.Keys(injectors)) }

func noRepair() error { return nil }

// killController kills a controller; the repair starts it again. It does nothing if p is nil.
func killController(p *controllerProcess) (func() error, error) {
	if p == nil {
		return noRepair, nil
	}
	p.kill()
	return p.start, nil
}

// freezeController suspends a controller's process with SIGSTOP; the repair resumes it. It does nothing if p is nil.
func freezeController(p *controllerProcess) (func() error, error) {
	if p == nil {
		return noRepair, nil
	}
	return func() error { return p.signal(syscall.SIGCONT) }, p.signal(syscall.SIGSTOP)
}

func dropSomeHeartbeats(r *sizeRun) (func() error, error) {
	const divisor = 10
	return r.dropHeartbeats(func(i int) bool { return i%divisor == 0 }), nil
}

func dropAllHeartbeats(r *sizeRun) (func() error, error) {
	return r.dropHeartbeats(func(int) bool { return true }), nil
}

// dropHeartbeats drops the heartbeats of the selected hollow workers until the repair. The function includes selects a
// worker by its index in the list of all hollow workers, sorted by address.
func (r *sizeRun) dropHeartbeats(includes func(i int) bool) (repair func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var affected []*simulation.Agent
	for i, host := range slices.Sorted(maps.Keys(r.agents)) {
		if includes(i) {
			a := r.agents[host]
			a.HeartbeatsLost = true
			affected = append(affected, a)
		}
	}
	return func() error {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, a := range affected {
			a.HeartbeatsLost = false
		}
		return nil
	}
}

// startStoreOutage makes the model of the key-value store reject all requests until the repair.
func startStoreOutage(r *sizeRun) (func() error, error) {
	r.store.SetOutage(true)
	return func() error {
		r.store.SetOutage(false)
		return nil
	}, nil
}

const (
	// replyTransitTime is how long a reply that was sent before a fault began may take to arrive. Replies are counted
	// only after that.
	replyTransitTime = 100 * time.Millisecond
	// recoveryTimeoutLeases limits how long awaitReplies waits, as a multiple of the lease duration.
	recoveryTimeoutLeases = 6
)

// injectFault injects a fault, ends it after half a lease, and measures the recovery.
func (r *sizeRun) injectFault(f Fault) (FaultResult, error) {
	r.log.Info("fault injected", "fault", f)
	duration := r.cfg.Lease / 2
	result := FaultResult{Fault: f, DurationSeconds: duration.Seconds()}
	r.resetLatenciesAndStepTimes()
	began := time.Now()
	repair, err := injectors[f](r)
	if err != nil {
		return result, err
	}
	if err := r.sleep(replyTransitTime); err != nil {
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
		result.FirstReplySeconds = firstAt.Sub(began).Seconds()
		result.MostRepliesSeconds = time.Since(began).Seconds()
	}
	// Consequences of the fault, such as expired leases, show within the duration of a lease.
	if err := r.sleep(max(duration, r.cfg.Lease) + r.cfg.Lease/2); err != nil {
		return result, err
	}
	for _, p := range r.controllers {
		if at, ok := p.recordsReadSince(began); ok {
			result.RecordsReadSeconds = max(result.RecordsReadSeconds, at.Sub(began).Seconds())
		}
	}
	result.Latencies, result.StepTimes = r.meter.Latencies(), r.combinedStepTimes()
	return result, <-repaired
}

// awaitReplies waits until sufficientShare of the hollow workers had a reply to a heartbeat, or until the timeout for
// the recovery.
func (r *sizeRun) awaitReplies(replies *replyCounter) error {
	_, err := r.waitUntil("heartbeats answered", recoveryTimeoutLeases*r.cfg.Lease, func() bool {
		workers, _ := replies.count()
		r.mu.Lock()
		all := len(r.agents)
		r.mu.Unlock()
		return float64(workers) >= sufficientShare*float64(all)
	})
	return err
}

// resetLatenciesAndStepTimes discards the latencies and step times that were collected so far.
func (r *sizeRun) resetLatenciesAndStepTimes() {
	r.meter.ResetLatencies()
	for _, p := range r.controllers {
		p.resetStepTimes()
	}
}

// combinedStepTimes returns the merged step times of all controllers.
func (r *sizeRun) combinedStepTimes() map[string]stepTimes {
	sum := map[string]stepTimes{}
	for _, p := range r.controllers {
		p.addStepTimesTo(sum)
	}
	return sum
}
