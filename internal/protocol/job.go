package protocol

import "strings"

// Shape says how the tasks of a job belong together.
type Shape string

// The shapes of jobs.
const (
	Array   Shape = "array"  // independent tasks, each runs to completion
	Gang    Shape = "group"  // all tasks run at the same time, or none does
	Service Shape = "daemon" // replicas that run until the job is cancelled
)

// Priority is the priority of a job.
type Priority string

// The priorities of jobs, highest first.
const (
	PriorityCritical   Priority = "critical"
	PriorityUrgent     Priority = "urgent"
	PriorityNormal     Priority = "normal"
	PriorityBestEffort Priority = "best_effort"
)

// Rank returns 0 for the highest priority, 3 for the lowest, and -1 for an unknown one.
func (p Priority) Rank() int {
	switch p {
	case PriorityCritical:
		return 0
	case PriorityUrgent:
		return 1
	case PriorityNormal:
		return 2
	case PriorityBestEffort:
		return 3
	}
	return -1
}

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// Job is the description of a job, as its user submits it.
type Job struct {
	ID        string   `msgpack:"name_id"`
	Class     string   `msgpack:"docket"`
	Team      string   `msgpack:"crew"`
	Shape     Shape    `msgpack:"shape"`
	Priority  Priority `msgpack:"urgency"`
	TaskCount int      `msgpack:"pieces"`
	// CPUs, GPUs and MemoryGB are the resources of each task.
	CPUs     float64 `msgpack:"vcpus"`
	GPUs     float64 `msgpack:"accelerators"`
	MemoryGB float64 `msgpack:"memory_gb"`
	// Image must be on a machine before a task starts there.
	Image   string  `msgpack:"kit"`
	ImageGB float64 `msgpack:"size_gb"`
	// MachineTypes are the types of machines that the job may use. An empty list allows all.
	MachineTypes []string `msgpack:"breeds,omitempty"`
	// Zone is the only zone that the job may use. An empty string allows all.
	Zone string `msgpack:"parish,omitempty"`
	// SameZone demands that all tasks are in one zone.
	SameZone bool `msgpack:"same_place"`
	// Spread demands that at most half of the tasks, rounded up, are in one zone.
	Spread bool `msgpack:"spread"`
	// SpotAllowed says whether the job may use spot machines.
	SpotAllowed bool `msgpack:"lendable"`
	// EstimateSeconds is the owner's estimate of a task's run time, without fetching the image.
	EstimateSeconds float64 `msgpack:"reckon_s"`
	// CheckpointIntervalSeconds is the progress between two checkpoints of a task, or 0 if it never saves any.
	CheckpointIntervalSeconds float64 `msgpack:"bookmark_s"`
	// SaveSeconds is how long a task takes to save a checkpoint when it is stopped.
	SaveSeconds float64 `msgpack:"stow_s"`
	// DeadlineSeconds is the time from the submission to the job's deadline, or 0 if it has none.
	DeadlineSeconds float64 `msgpack:"due_s,omitempty"`
	// Dependencies are the jobs that must be done before any task of this one starts.
	Dependencies []string `msgpack:"awaits,omitempty"`
}

// A job id is jobIDPrefix followed by at most maxJobIDSuffix letters and digits.
const (
	jobIDPrefix    = "j-"
	maxJobIDSuffix = 64
)

// ValidJobID reports whether id has the form of a job id. It is called for every task of every heartbeat and does not
// allocate.
func ValidJobID(id string) bool {
	suffix, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || suffix == "" || len(suffix) > maxJobIDSuffix {
		return false
	}
	for i := range len(suffix) {
		if !isAlphanumeric(suffix[i]) {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
}

// JobState is the state of a job as its user sees it.
type JobState string

// The states of jobs.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// Final reports whether a job in this state never changes its state again.
func (s JobState) Final() bool { return s == JobDone || s == JobCancelled }

// JobStatus is the answer to a user's request about a job.
type JobStatus struct {
	ID           string   `msgpack:"name_id"  cbor:"1,keyasint"`
	State        JobState `msgpack:"standing" cbor:"2,keyasint"`
	DoneTasks    int      `msgpack:"done"     cbor:"3,keyasint"`
	RunningTasks int      `msgpack:"running"  cbor:"4,keyasint"`
	// Unblocked says, between controllers, that all dependencies of the job are durably done.
	Unblocked bool `msgpack:"-" cbor:"5,keyasint,omitempty"`
}
