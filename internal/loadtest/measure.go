package loadtest

import (
	"maps"
	"os"
	"slices"
	"time"

	"pinebay/internal/simulation"
)

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

// controllerFigures are the names of a controller's figures.
type controllerFigures struct{ cpu, memory, sockets, bytes string }

var (
	leaderFigures   = controllerFigures{figLeaderCPU, figLeaderMemory, figLeaderSockets, figLeaderBytes}
	followerFigures = controllerFigures{figFollowerCPU, figFollowerMemory, figFollowerSockets, figFollowerBytes}
)

// sample is every counter at one moment.
type sample struct {
	at              time.Time
	leader          string
	controllers     map[string]resourceUsage
	workerProcesses []resourceUsage
	models          resourceUsage // of this process, in which all models run
	store           simulation.StoreUsage
	bytes           [linkCount]int64
	messages        [linkCount]int64
	messagesByKind  map[string]int64
	starts          int
	replies         int64
	acceptedJobs    int64
}

func (s *sample) workerMessages() int64 { return s.messages[LinkHeartbeats] + s.messages[LinkCommands] }

func (s *sample) workerBytes() int64 { return s.bytes[LinkHeartbeats] + s.bytes[LinkCommands] }

// measure takes samples at the bounds of the slices and fills in what they show.
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
	result.Messages = messageRates(&samples[0], &samples[len(samples)-1])
	result.Times, result.Steps = r.meter.Times(), r.combinedStepTimes()
	return nil
}

// sample reads all counters.
func (r *run) sample() (sample, error) {
	s := sample{
		at:             time.Now(),
		controllers:    map[string]resourceUsage{},
		store:          r.store.Usage(),
		messagesByKind: r.meter.messageCounts(),
		replies:        r.replyCount.Load(),
		acceptedJobs:   r.acceptedJobs.Load(),
	}
	if err := r.sampleProcesses(&s); err != nil {
		return s, err
	}
	for link := range linkCount {
		s.bytes[link], s.messages[link] = r.meter.bytes[link].Load(), r.meter.messages[link].Load()
	}
	r.mu.Lock()
	s.starts = r.world.Starts
	r.mu.Unlock()
	return s, nil
}

// sampleProcesses reads the usage of all processes.
func (r *run) sampleProcesses(s *sample) error {
	if p := r.leader(); p != nil {
		s.leader = p.name
	}
	for _, p := range r.controllers {
		usage, err := p.usage()
		if err != nil {
			return err
		}
		s.controllers[p.name] = usage
	}
	for _, pid := range r.workerPIDs() {
		usage, err := readUsage(pid)
		if err != nil {
			return err
		}
		s.workerProcesses = append(s.workerProcesses, usage)
	}
	var err error
	s.models, err = readUsage(os.Getpid())
	return err
}

// workerPIDs returns the process IDs of the workers that are processes, in the order of their
// machines.
func (r *run) workerPIDs() (pids []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range slices.Sorted(maps.Keys(r.processes)) {
		pids = append(pids, r.processes[machine].pid())
	}
	return pids
}

// messageRates returns the messages a second of each kind between two samples.
func messageRates(from, to *sample) map[string]float64 {
	seconds := to.at.Sub(from.at).Seconds()
	rates := map[string]float64{}
	for kind, count := range to.messagesByKind {
		if n := count - from.messagesByKind[kind]; n > 0 {
			rates[kind] = float64(n) / seconds
		}
	}
	return rates
}

// figures returns the figures of the slices between the samples.
func (r *run) figures(samples []sample) map[string]Figure {
	values := figureValues{}
	for i := range samples[1:] {
		s := slice{values: values, from: &samples[i], to: &samples[i+1]}
		s.seconds = s.to.at.Sub(s.from.at).Seconds()
		s.addControllers()
		s.addWorkerProcesses()
		s.addRates()
		s.addWorkers(r.load.Workers)
	}
	figures := map[string]Figure{}
	for name, v := range values {
		figures[name] = newFigure(v)
	}
	return figures
}

// figureValues are the values of figures, by name.
type figureValues map[string][]float64

// slice is the time between two samples. It adds the values of its figures.
type slice struct {
	values   figureValues
	from, to *sample
	seconds  float64
}

func (s *slice) add(name string, value float64) { s.values[name] = append(s.values[name], value) }

// addRate adds how much a counter has grown in a second.
func (s *slice) addRate(name string, from, to int64) { s.add(name, float64(to-from)/s.seconds) }

// addByteRate adds how much a counter of bytes has grown in a second, in kilobytes.
func (s *slice) addByteRate(name string, from, to int64) { s.add(name, float64(to-from)/s.seconds/kib) }

func (s *slice) addControllers() {
	for name, after := range s.to.controllers {
		before, ok := s.from.controllers[name]
		if !ok || after.CPUSeconds < before.CPUSeconds {
			continue // it was restarted meanwhile
		}
		figures := followerFigures
		if name == s.to.leader {
			figures = leaderFigures
		}
		s.add(figures.cpu, (after.CPUSeconds-before.CPUSeconds)/s.seconds)
		s.add(figures.memory, after.MemoryMB)
		s.add(figures.sockets, float64(after.Sockets))
		s.add(figures.bytes, float64(after.Bytes-before.Bytes)/s.seconds/kib)
	}
}

func (s *slice) addWorkerProcesses() {
	for i, after := range s.to.workerProcesses {
		if i < len(s.from.workerProcesses) {
			s.add(figProcessCPU, (after.CPUSeconds-s.from.workerProcesses[i].CPUSeconds)/s.seconds)
			s.add(figProcessMemory, after.MemoryMB)
		}
	}
}

func (s *slice) addRates() {
	from, to := s.from, s.to
	s.add(figModelsCPU, (to.models.CPUSeconds-from.models.CPUSeconds)/s.seconds)
	s.addRate(figHeartbeats, from.replies, to.replies)
	s.addRate(figCommands, from.messages[LinkCommands], to.messages[LinkCommands])
	s.addRate(figStarts, int64(from.starts), int64(to.starts))
	s.addRate(figAccepted, from.acceptedJobs, to.acceptedJobs)
	s.addRate(figStateRequests, int64(from.store.Requests), int64(to.store.Requests))
	s.addRate(figStateWrites, int64(from.store.Writes), int64(to.store.Writes))
	s.addRate(figStateRefused, int64(from.store.Refused), int64(to.store.Refused))
	s.addByteRate(figStateBytes, from.bytes[LinkState], to.bytes[LinkState])
	s.add(figStateKeys, float64(to.store.Keys))
	s.addRate(figCloudRequests, from.messages[LinkCloud], to.messages[LinkCloud])
	s.addRate(figUserRequests, from.messages[LinkUsers], to.messages[LinkUsers])
}

// addWorkers adds the figures that are given for one worker.
func (s *slice) addWorkers(workers int) {
	perWorker := s.seconds * float64(workers)
	s.add(figWorkerMessages, float64(s.to.workerMessages()-s.from.workerMessages())/perWorker)
	s.add(figWorkerBytes, float64(s.to.workerBytes()-s.from.workerBytes())/perWorker/kib)
}
