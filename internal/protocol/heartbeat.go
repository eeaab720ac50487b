package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TaskState is a task's state on its machine.
type TaskState string

// States of tasks on machines.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "gathering"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// ExitCause says why a task exited.
type ExitCause string

// Causes of exits.
const (
	CauseDone         ExitCause = "done"
	CauseStopped      ExitCause = "halted"
	CausePeerLost     ExitCause = "peers"
	CauseIncomplete   ExitCause = "incomplete"
	CauseError        ExitCause = "error"
	CauseNoCapacity   ExitCause = "full"
	CauseOtherAttempt ExitCause = "in_use"
	CauseUnknownTask  ExitCause = "no_such"
)

// TaskID names a task: its job and its number.
type TaskID struct {
	JobID string
	Index int
}

// String returns the task's name on the wire.
func (t TaskID) String() string { return t.JobID + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads a task's name.
func ParseTaskID(s string) (TaskID, error) {
	job, num, ok := strings.Cut(s, "/")
	if ok {
		n, err := strconv.Atoi(num)
		if err == nil && n >= 0 && n < MaxTasks && ValidJobID(job) {
			return TaskID{job, n}, nil
		}
	}
	return TaskID{}, fmt.Errorf("%w: task %q", ErrMalformed, s)
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	TaskName        string    `msgpack:"piece"`
	Attempt         uint64    `msgpack:"try"`
	State           TaskState `msgpack:"standing"`
	Cause           ExitCause `msgpack:"cause,omitempty"`
	CheckpointSaved bool      `msgpack:"kept,omitempty"`
}

// WorkerHeartbeat is what a worker says of its machine.
type WorkerHeartbeat struct {
	Machine                   string       `msgpack:"rig"`
	Addr                      string       `msgpack:"endpoint"`
	Type                      string       `msgpack:"breed"`
	Zone                      string       `msgpack:"parish"`
	Spot                      bool         `msgpack:"lendable"`
	Incarnation               uint64       `msgpack:"shift"`
	Sequence                  uint64       `msgpack:"tally"`
	FencingToken              uint64       `msgpack:"warrant"`
	InterruptionNoticeSeconds *float64     `msgpack:"warning_s"`
	Tasks                     []TaskStatus `msgpack:"pieces"`
}

// DecodeWorkerHeartbeat reads and checks a worker's report.
func DecodeWorkerHeartbeat(raw []byte) (*WorkerHeartbeat, error) {
	var r WorkerHeartbeat
	if err := Decode(raw, &r); err != nil {
		return nil, err
	}
	if r.Machine == "" || r.Addr == "" || r.Type == "" || r.Zone == "" || r.Incarnation == 0 {
		return nil, fmt.Errorf("%w: report without machine, address, type, zone or session", ErrMalformed)
	}
	return &r, nil
}

// StopCommands returns commands that end at once every reported task whose job the
// function names.
func (r *WorkerHeartbeat) StopCommands(job func(string) bool) []Command {
	out := []Command{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if id, err := ParseTaskID(t.TaskName); err == nil && t.State != TaskExited && job(id.JobID) {
			out = append(
				out,
				Command{Verb: VerbStop, TaskName: t.TaskName, Attempt: t.Attempt, GraceSeconds: new(float64)},
			)
		}
	}
	return out
}

// Verb is what a command tells a worker to do.
type Verb string

// Verbs of commands.
const (
	VerbRun    Verb = "run"
	VerbStop   Verb = "stop"
	VerbForget Verb = "forget"
)

// Command tells a worker what to do with a task.
type Command struct {
	Verb         Verb     `msgpack:"verb"`
	TaskName     string   `msgpack:"piece"`
	Attempt      uint64   `msgpack:"try"`
	GraceSeconds *float64 `msgpack:"leave_s,omitempty"`
}

// WorkerHeartbeatReply answers a report.
type WorkerHeartbeatReply struct {
	FencingToken uint64    `msgpack:"warrant"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect sends a worker to another controller, or just away.
type Redirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}

// CommandBatch carries commands straight to a worker.
type CommandBatch struct {
	FencingToken uint64    `msgpack:"warrant"`
	Incarnation  uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}

// How long a worker waits for the answer to a report, and then before it goes on
// to the next controller.
const (
	HeartbeatTimeout    = 4 * time.Second
	HeartbeatRetryDelay = time.Second
)

// epochBits is how many low bits of a token count the epochs within a term.
const epochBits = 24

// MaxTokenEpoch is the last epoch of a term.
const MaxTokenEpoch = 1<<epochBits - 1

// FencingToken makes a worker's token from a term and an epoch. A leader may raise
// the epoch of a machine to make its own earlier commands invalid there.
func FencingToken(term, epoch uint64) uint64 { return term<<epochBits | min(epoch, MaxTokenEpoch) }

// TermOfToken returns the term of a token.
func TermOfToken(token uint64) uint64 { return token >> epochBits }
