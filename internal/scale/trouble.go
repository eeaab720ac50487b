package scale

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"pinebay/internal/simulation"
)

// Trouble is something that is broken during a run.
type Trouble string

// Troubles.
const (
	KillLeader    Trouble = "kill-leader"
	FreezeLeader  Trouble = "freeze-leader"
	SilentWorkers Trouble = "silent-workers"
	KillOwner     Trouble = "kill-owner"
	FreezeOwner   Trouble = "freeze-owner"
	StateOutage   Trouble = "state-outage"
	AllBack       Trouble = "all-back"
)

// troubles break something and return what mends it.
var troubles = map[Trouble]func(r *run) (mend func() error, err error){
	KillLeader:   func(r *run) (func() error, error) { return kill(r.leader()) },
	FreezeLeader: func(r *run) (func() error, error) { return freeze(r.leader()) },
	KillOwner:    func(r *run) (func() error, error) { return kill(r.follower()) },
	FreezeOwner:  func(r *run) (func() error, error) { return freeze(r.follower()) },
	SilentWorkers: func(r *run) (func() error, error) {
		const part = 10
		return r.mute(func(i int) bool { return i%part == 0 }), nil
	},
	StateOutage: func(r *run) (func() error, error) {
		r.state.SetOutage(true)
		return func() error { r.state.SetOutage(false); return nil }, nil
	},
	AllBack: func(r *run) (func() error, error) {
		return r.mute(func(int) bool { return true }), nil
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

// TroubleNames lists all troubles.
func TroubleNames() []Trouble { return slices.Sorted(maps.Keys(troubles)) }

// mute keeps the reports of workers from all controllers, and returns what ends that.
func (r *run) mute(which func(i int) bool) func() error {
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

// TroubleResult is what a trouble came to.
type TroubleResult struct {
	Trouble Trouble `json:"trouble"`
	// ForS is how long it lasted, FirstS after what time the first worker had an answer again,
	// and MostS after what time nineteen of twenty had one, both from its begin; 0: not within
	// the time.
	ForS   float64 `json:"for_s"`
	FirstS float64 `json:"first_s"`
	MostS  float64 `json:"most_s"`
	// RecordsS is after what time a new leader had read the records; 0: none had to.
	RecordsS float64              `json:"records_s"`
	Times    map[string]Times     `json:"times"`
	Steps    map[string]stepTimes `json:"steps"`
}

// answersUnderWay is how long answers may take that were sent before a trouble began.
const answersUnderWay = 100 * time.Millisecond

// most workers are as good as all: some may be gone for other reasons.
const most = 0.95

// trouble breaks something for a while, and follows what comes of it.
func (r *run) trouble(t Trouble) (TroubleResult, error) {
	r.log.Info("trouble", "trouble", t)
	lasts := r.cfg.Lease / 2
	result := TroubleResult{Trouble: t, ForS: lasts.Seconds()}
	r.resetTimes()
	began := time.Now()
	mend, err := troubles[t](r)
	if err != nil {
		return result, err
	}
	// Answers under way when it began don't count.
	if err := r.sleep(answersUnderWay); err != nil {
		return result, err
	}
	watch := r.watchContact()
	watch.since = began
	var late error
	after := time.AfterFunc(lasts, func() {
		if mend != nil {
			late = mend()
		}
	})
	defer after.Stop()
	_, err = r.until("most workers answered", 6*r.cfg.Lease, func() bool {
		n, _ := watch.count()
		r.mu.Lock()
		all := len(r.agents)
		r.mu.Unlock()
		return float64(n) >= most*float64(all)
	})
	if err != nil {
		return result, err
	}
	if n, first := watch.count(); n > 0 {
		result.FirstS = first.Sub(watch.since).Seconds()
		result.MostS = time.Since(watch.since).Seconds()
	}
	// What follows, such as leases that ran out, shows within a lease.
	if err := r.sleep(max(lasts, r.cfg.Lease) + r.cfg.Lease/2); err != nil {
		return result, err
	}
	for _, p := range r.controllers {
		if at, ok := p.loggedSince("records read", watch.since); ok {
			result.RecordsS = max(result.RecordsS, at.Sub(watch.since).Seconds())
		}
	}
	result.Times, result.Steps = r.meter.Times(), r.worstSteps()
	return result, late
}

// resetTimes forgets the times that were collected so far.
func (r *run) resetTimes() {
	r.meter.ResetTimes()
	for _, p := range r.controllers {
		p.resetSteps()
	}
}

// worstSteps returns the step times of all controllers together.
func (r *run) worstSteps() map[string]stepTimes {
	all := map[string]stepTimes{}
	for _, p := range r.controllers {
		for kind, s := range p.stepsNow() {
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
