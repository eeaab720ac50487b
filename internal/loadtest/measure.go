package loadtest

import (
	"maps"
	"os"
	"slices"
	"time"

	"pinebay/internal/simulation"
)

// sample is every counter at one moment.
type sample struct {
	at             time.Time
	leader         string
	controllers    map[string]resourceUsage
	workers        []resourceUsage // of workers that are processes
	self           resourceUsage
	state          simulation.StoreUsage
	bytes          [linkCount]int64
	messages       [linkCount]int64
	messagesByKind map[string]int64
	starts         int
	replies        int64
	accepted       int64
}

func (r *run) sample() (sample, error) {
	s := sample{
		at:             time.Now(),
		controllers:    map[string]resourceUsage{},
		state:          r.state.Usage(),
		messagesByKind: r.meter.messageCounts(),
		replies:        r.replyCount.Load(),
		accepted:       r.acceptedJobs.Load(),
	}
	if p := r.leader(); p != nil {
		s.leader = p.name
	}
	for _, p := range r.controllers {
		u, err := p.usage()
		if err != nil {
			return s, err
		}
		s.controllers[p.name] = u
	}
	for _, pid := range r.workerPIDs() {
		u, err := readUsage(pid)
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, u)
	}
	var err error
	if s.self, err = readUsage(os.Getpid()); err != nil {
		return s, err
	}
	for i := range linkCount {
		s.bytes[i], s.messages[i] = r.meter.bytes[i].Load(), r.meter.messages[i].Load()
	}
	r.mu.Lock()
	s.starts = r.world.Starts
	r.mu.Unlock()
	return s, nil
}

// workerPIDs lists the workers that are processes, always in the same order.
func (r *run) workerPIDs() (pids []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.processes)) {
		pids = append(pids, r.processes[name].cmd.Process.Pid)
	}
	return pids
}

// Figure is something measured: its mean, and the least and most of the slices.
type Figure struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func newFigure(values []float64) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Figure{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}

// SizeResult is what one size came to.
type SizeResult struct {
	Size int  `json:"size"`
	Load Load `json:"load"`
	// ServicesRunning says whether the standing work ran before the measurement, and Stopped why the
	// size was broken off, if it was.
	ServicesRunning bool   `json:"filled"`
	StopReason      string `json:"stopped,omitempty"`
	// Figures are by name; names end in their unit.
	Figures        map[string]Figure    `json:"figures"`
	Messages       map[string]float64   `json:"messages_per_s"`
	Times          map[string]Times     `json:"times"`
	Steps          map[string]stepTimes `json:"steps"`
	Faults         []FaultResult        `json:"troubles,omitempty"`
	Starts         int                  `json:"starts"`
	CheckedReplies int                  `json:"answers_judged"`
}

// Names of figures.
const (
	figLeaderCPU       = "leader cpu (cores)"
	figLeaderMemory    = "leader memory (MB)"
	figLeaderSockets   = "leader sockets"
	figLeaderBytes     = "leader traffic (KB/s)"
	figFollowerCPU     = "follower cpu (cores)"
	figFollowerMemory  = "follower memory (MB)"
	figFollowerSockets = "follower sockets"
	figFollowerBytes   = "follower traffic (KB/s)"
	figModelsCPU       = "models cpu (cores)"
	figHeartbeats      = "reports (1/s)"
	figCommands        = "commands (1/s)"
	figStarts          = "starts (1/s)"
	figAccepted        = "jobs accepted (1/s)"
	figStateRequests   = "state requests (1/s)"
	figStateWrites     = "state writes (1/s)"
	figStateRefused    = "state refusals (1/s)"
	figStateBytes      = "state traffic (KB/s)"
	figStateKeys       = "state keys"
	figCloudRequests   = "cloud requests (1/s)"
	figUserRequests    = "user requests (1/s)"
	figWorkerMessages  = "worker messages (1/s)"
	figWorkerBytes     = "worker traffic (KB/s)"
	figProcessCPU      = "worker process cpu (cores)"
	figProcessMemory   = "worker process memory (MB)"
)

// measure samples for the measured time, and returns the figures of its slices.
func (r *run) measure(result *SizeResult) error {
	r.resetTimes()
	samples := make([]sample, 0, r.cfg.Slices+1)
	for i := range r.cfg.Slices + 1 {
		if i > 0 {
			if err := r.sleep(r.cfg.MeasureTime / time.Duration(r.cfg.Slices)); err != nil {
				return err
			}
		}
		s, err := r.sample()
		if err != nil {
			return err
		}
		samples = append(samples, s)
	}
	result.Figures = r.figures(samples)
	result.Messages = messageRates(samples[0], samples[len(samples)-1])
	result.Times, result.Steps = r.meter.Times(), r.combinedStepTimes()
	return nil
}

// messageRates are the messages a second of each kind between two samples.
func messageRates(a, b sample) map[string]float64 {
	seconds := b.at.Sub(a.at).Seconds()
	out := map[string]float64{}
	for kind, n := range b.messagesByKind {
		if d := n - a.messagesByKind[kind]; d > 0 {
			out[kind] = float64(d) / seconds
		}
	}
	return out
}

// figures computes the figures of each slice between two samples.
func (r *run) figures(samples []sample) map[string]Figure {
	values := map[string][]float64{}
	add := func(name string, v float64) { values[name] = append(values[name], v) }
	const kilo = 1024
	for i, b := range samples[1:] {
		a := samples[i]
		seconds := b.at.Sub(a.at).Seconds()
		per := func(d float64) float64 { return d / seconds }
		for node, u := range b.controllers {
			before, ok := a.controllers[node]
			if !ok || u.CPU < before.CPU {
				continue // it was started anew
			}
			cpu, traffic := per(u.CPU-before.CPU), per(float64(u.Bytes-before.Bytes))/kilo
			names := [4]string{figFollowerCPU, figFollowerMemory, figFollowerSockets, figFollowerBytes}
			if node == b.leader {
				names = [4]string{figLeaderCPU, figLeaderMemory, figLeaderSockets, figLeaderBytes}
			}
			for k, v := range []float64{cpu, u.MemMB, float64(u.Sockets), traffic} {
				add(names[k], v)
			}
		}
		for k := range b.workers {
			if k < len(a.workers) {
				add(figProcessCPU, per(b.workers[k].CPU-a.workers[k].CPU))
				add(figProcessMemory, b.workers[k].MemMB)
			}
		}
		add(figModelsCPU, per(b.self.CPU-a.self.CPU))
		add(figHeartbeats, per(float64(b.replies-a.replies)))
		add(figCommands, per(float64(b.messages[LinkCommands]-a.messages[LinkCommands])))
		add(figStarts, per(float64(b.starts-a.starts)))
		add(figAccepted, per(float64(b.accepted-a.accepted)))
		add(figStateRequests, per(float64(b.state.Requests-a.state.Requests)))
		add(figStateWrites, per(float64(b.state.Writes-a.state.Writes)))
		add(figStateRefused, per(float64(b.state.Refused-a.state.Refused)))
		add(figStateBytes, per(float64(b.bytes[LinkState]-a.bytes[LinkState]))/kilo)
		add(figStateKeys, float64(b.state.Keys))
		add(figCloudRequests, per(float64(b.messages[LinkCloud]-a.messages[LinkCloud])))
		add(figUserRequests, per(float64(b.messages[LinkUsers]-a.messages[LinkUsers])))
		workers := float64(r.load.Workers)
		toWorkers := func(s sample) float64 { return float64(s.messages[LinkHeartbeats] + s.messages[LinkCommands]) }
		ofWorkers := func(s sample) float64 { return float64(s.bytes[LinkHeartbeats] + s.bytes[LinkCommands]) }
		add(figWorkerMessages, per(toWorkers(b)-toWorkers(a))/workers)
		add(figWorkerBytes, per(ofWorkers(b)-ofWorkers(a))/kilo/workers)
	}
	out := map[string]Figure{}
	for name, v := range values {
		out[name] = newFigure(v)
	}
	return out
}
