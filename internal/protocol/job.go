package protocol

import "strings"

// Shape is the kind of a job: how its tasks relate to one another and when they end.
type Shape string

// Shapes of jobs.
const (
	Array   Shape = "array"  // independent tasks, each of which runs to completion
	Gang    Shape = "group"  // gang scheduling: either all tasks run at the same time or none does
	Service Shape = "daemon" // replicas that run until the job is cancelled
)

// Priority is the scheduling priority of a job.
type Priority string

// Priorities of jobs, highest first.
const (
	PriorityCritical   Priority = "critical"
	PriorityUrgent     Priority = "urgent"
	PriorityNormal     Priority = "normal"
	PriorityBestEffort Priority = "best_effort"
)

// Rank returns the position of p among the priorities, 0 for the highest and 3 for the lowest, or -1 if p is unknown.
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

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Job is the description of a job as the user submits it.
type Job struct {
	ID        string   `msgpack:"name_id"`
	Class     string   `msgpack:"docket"`
	Team      string   `msgpack:"crew"`
	Shape     Shape    `msgpack:"shape"`
	Priority  Priority `msgpack:"urgency"`
	TaskCount int      `msgpack:"pieces"`
	// CPUs, GPUs and MemoryGB are the resources that each task requests.
	CPUs     float64 `msgpack:"vcpus"`
	GPUs     float64 `msgpack:"accelerators"`
	MemoryGB float64 `msgpack:"memory_gb"`
	// Image is the name of the image that a machine must have before a task can start there; ImageGB is its size.
	Image   string  `msgpack:"kit"`
	ImageGB float64 `msgpack:"size_gb"`
	// MachineTypes lists the machine types that the job may use. If it is empty, the job may use all types.
	MachineTypes []string `msgpack:"breeds,omitempty"`
	// Zone is the only zone that the job may use. If it is empty, the job may use all zones.
	Zone string `msgpack:"parish,omitempty"`
	// SameZone requires that all tasks run in the same zone.
	SameZone bool `msgpack:"same_place"`
	// Spread requires that no zone has more than half of the tasks, rounded up.
	Spread bool `msgpack:"spread"`
	// SpotAllowed is set if the job may use spot machines.
	SpotAllowed bool `msgpack:"lendable"`
	// EstimateSeconds is the user's estimate of a task's run time. It does not include fetching the image.
	EstimateSeconds float64 `msgpack:"reckon_s"`
	// CheckpointIntervalSeconds is the progress, in run time, between two checkpoints of a task, or 0 if the tasks save
	// none.
	CheckpointIntervalSeconds float64 `msgpack:"bookmark_s"`
	// CheckpointSaveSeconds is the time that a task needs for saving a checkpoint when it is stopped.
	CheckpointSaveSeconds float64 `msgpack:"stow_s"`
	// DeadlineSeconds is the time from the submission to the deadline of the job, or 0 if it has no deadline.
	DeadlineSeconds float64 `msgpack:"due_s,omitempty"`
	// Dependencies are the IDs of the jobs that must be done before any task of this job starts.
	Dependencies []string `msgpack:"awaits,omitempty"`
}

// A job ID is jobIDPrefix followed by at least one and at most maxJobIDSuffix ASCII letters and digits.
const (
	jobIDPrefix    = "j-"
	maxJobIDSuffix = 64
)

// ValidJobID reports whether id is a well-formed job ID. It must not allocate, as it is called for every task of every
// heartbeat.
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

// JobState is the state of a job as it is shown to the user.
type JobState string

// States of jobs.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// Final reports whether a job in this state can no longer change its state.
func (s JobState) Final() bool { return s == JobDone || s == JobCancelled }

// JobStatus is the response to a user's request about a job.
type JobStatus struct {
	ID           string   `msgpack:"name_id"  cbor:"1,keyasint"`
	State        JobState `msgpack:"standing" cbor:"2,keyasint"`
	DoneTasks    int      `msgpack:"done"     cbor:"3,keyasint"`
	RunningTasks int      `msgpack:"running"  cbor:"4,keyasint"`
	// Unblocked is set if all dependencies of the job are durably recorded as done. It is sent between controllers
	// only.
	Unblocked bool `msgpack:"-" cbor:"5,keyasint,omitempty"`
}
