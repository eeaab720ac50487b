package loadtest

import (
	"maps"
	"os"
	"slices"
	"time"

	"pinebay/internal/simulation"
)

// Names of metrics in results. They end with the unit, if there is one. They must not change, so that results remain
// comparable.
const (
	metricLeaderCPU       = "leader cpu (cores)"
	metricLeaderMemory    = "leader memory (MB)"
	metricLeaderSockets   = "leader sockets"
	metricLeaderBytes     = "leader traffic (KB/s)"
	metricFollowerCPU     = "follower cpu (cores)"
	metricFollowerMemory  = "follower memory (MB)"
	metricFollowerSockets = "follower sockets"
	metricFollowerBytes   = "follower traffic (KB/s)"
	metricModelsCPU       = "models cpu (cores)"
	metricHeartbeats      = "reports (1/s)"
	metricCommands        = "commands (1/s)"
	metricStarts          = "starts (1/s)"
	metricAccepted        = "jobs accepted (1/s)"
	metricStateRequests   = "state requests (1/s)"
	metricStateWrites     = "state writes (1/s)"
	metricStateRefused    = "state refusals (1/s)"
	metricStateBytes      = "state traffic (KB/s)"
	metricStateKeys       = "state keys"
	metricCloudRequests   = "cloud requests (1/s)"
	metricUserRequests    = "user requests (1/s)"
	metricWorkerMessages  = "worker messages (1/s)"
	metricWorkerBytes     = "worker traffic (KB/s)"
	metricProcessCPU      = "worker process cpu (cores)"
	metricProcessMemory   = "worker process memory (MB)"
)

// controllerMetrics has the names of the metrics of a controller.
type controllerMetrics struct{ cpu, memory, sockets, bytes string }

var (
	leaderMetrics   = controllerMetrics{metricLeaderCPU, metricLeaderMemory, metricLeaderSockets, metricLeaderBytes}
	followerMetrics = controllerMetrics{
		metricFollowerCPU,
		metricFollowerMemory,
		metricFollowerSockets,
		metricFollowerBytes,
	}
)

// sample is a snapshot of all counters.
type sample struct {
	at              time.Time
	leader          string
	controllers     map[string]resourceUsage
	workerProcesses []resourceUsage
	models          resourceUsage // of this process, which runs all models
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

// measure takes a sample at the beginning and the end of each time slice and adds the measurements to the result.
func (r *sizeRun) measure(result *SizeResult) error {
	r.resetLatenciesAndStepTimes()
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
	result.Metrics = r.metrics(samples)
	result.MessageRates = messageRates(&samples[0], &samples[len(samples)-1])
	result.Latencies, result.StepTimes = r.meter.Latencies(), r.combinedStepTimes()
	return nil
}

// sample reads all counters.
func (r *sizeRun) sample() (sample, error) {
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

// sampleProcesses reads the resource usage of all processes.
func (r *sizeRun) sampleProcesses(s *sample) error {
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
	for _, pid := range r.workerProcessPIDs() {
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

// workerProcessPIDs returns the process IDs of the worker processes, sorted by the names of their machines.
func (r *sizeRun) workerProcessPIDs() (pids []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range slices.Sorted(maps.Keys(r.workerProcesses)) {
		pids = append(pids, r.workerProcesses[machine].pid())
	}
	return pids
}

// messageRates returns the number of messages per second between two samples, by kind.
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

// metrics returns the metrics over the time slices between the samples, by name.
func (r *sizeRun) metrics(samples []sample) map[string]Metric {
	values := metricValues{}
	for i := range samples[1:] {
		s := timeSlice{values: values, from: &samples[i], to: &samples[i+1]}
		s.seconds = s.to.at.Sub(s.from.at).Seconds()
		s.addControllers()
		s.addWorkerProcesses()
		s.addRates()
		s.addPerWorkerRates(r.load.Workers)
	}
	metrics := map[string]Metric{}
	for name, v := range values {
		metrics[name] = newMetric(v)
	}
	return metrics
}

// metricValues has the values of each metric, by name. A metric has one value for each time slice; a metric of
// processes has one for each time slice and process.
type metricValues map[string][]float64

// timeSlice is the time between two samples. Its methods compute the metrics over that time and add them to values.
type timeSlice struct {
	values   metricValues
	from, to *sample
	seconds  float64
}

func (s *timeSlice) add(name string, value float64) { s.values[name] = append(s.values[name], value) }

// addRate adds the increase of a counter per second.
func (s *timeSlice) addRate(name string, from, to int64) { s.add(name, float64(to-from)/s.seconds) }

// addByteRate adds the increase of a byte counter in kilobytes per second.
func (s *timeSlice) addByteRate(name string, from, to int64) {
	s.add(name, float64(to-from)/s.seconds/kib)
}

func (s *timeSlice) addControllers() {
	for name, after := range s.to.controllers {
		before, ok := s.from.controllers[name]
		if !ok || after.CPUSeconds < before.CPUSeconds {
			continue // the controller was restarted during the slice
		}
		metrics := followerMetrics
		if name == s.to.leader {
			metrics = leaderMetrics
		}
		s.add(metrics.cpu, (after.CPUSeconds-before.CPUSeconds)/s.seconds)
		s.add(metrics.memory, after.MemoryMB)
		s.add(metrics.sockets, float64(after.Sockets))
		s.add(metrics.bytes, float64(after.Bytes-before.Bytes)/s.seconds/kib)
	}
}

func (s *timeSlice) addWorkerProcesses() {
	for i, after := range s.to.workerProcesses {
		if i < len(s.from.workerProcesses) {
			s.add(metricProcessCPU, (after.CPUSeconds-s.from.workerProcesses[i].CPUSeconds)/s.seconds)
			s.add(metricProcessMemory, after.MemoryMB)
		}
	}
}

func (s *timeSlice) addRates() {
	from, to := s.from, s.to
	s.add(metricModelsCPU, (to.models.CPUSeconds-from.models.CPUSeconds)/s.seconds)
	s.addRate(metricHeartbeats, from.replies, to.replies)
	s.addRate(metricCommands, from.messages[LinkCommands], to.messages[LinkCommands])
	s.addRate(metricStarts, int64(from.starts), int64(to.starts))
	s.addRate(metricAccepted, from.acceptedJobs, to.acceptedJobs)
	s.addRate(metricStateRequests, int64(from.store.Requests), int64(to.store.Requests))
	s.addRate(metricStateWrites, int64(from.store.Writes), int64(to.store.Writes))
	s.addRate(metricStateRefused, int64(from.store.Refused), int64(to.store.Refused))
	s.addByteRate(metricStateBytes, from.bytes[LinkState], to.bytes[LinkState])
	s.add(metricStateKeys, float64(to.store.Keys))
	s.addRate(metricCloudRequests, from.messages[LinkCloud], to.messages[LinkCloud])
	s.addRate(metricUserRequests, from.messages[LinkUsers], to.messages[LinkUsers])
}

// addPerWorkerRates adds the rates per worker.
func (s *timeSlice) addPerWorkerRates(workers int) {
	perWorker := s.seconds * float64(workers)
	s.add(metricWorkerMessages, float64(s.to.workerMessages()-s.from.workerMessages())/perWorker)
	s.add(metricWorkerBytes, float64(s.to.workerBytes()-s.from.workerBytes())/perWorker/kib)
}
