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
	Fetching    TaskState = "fetching"
	Waiting     TaskState = "gathering"
	TaskRunning TaskState = "running"
	Saving      TaskState = "saving"
	Exited      TaskState = "exited"
)

// Cause says why a task exited.
type Cause string

// Causes of exits.
const (
	CauseDone       Cause = "done"
	CauseStopped    Cause = "halted"
	CausePeers      Cause = "peers"
	CauseIncomplete Cause = "incomplete"
	CauseError      Cause = "error"
	CauseNoRoom     Cause = "full"
	CauseBusy       Cause = "in_use"
	CauseUnknown    Cause = "no_such"
)

// TaskID names a task: its job and its number.
type TaskID struct {
	Job  string
	Task int
}

// String returns the task's name on the wire.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Task) }

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

// TaskReport is one task in a report.
type TaskReport struct {
	Name    string    `msgpack:"piece"`
	Attempt uint64    `msgpack:"try"`
	State   TaskState `msgpack:"standing"`
	Cause   Cause     `msgpack:"cause,omitempty"`
	Saved   bool      `msgpack:"kept,omitempty"`
}

// Report is what a worker says of its machine.
type Report struct {
	Machine string       `msgpack:"rig"`
	Addr    string       `msgpack:"endpoint"`
	Type    string       `msgpack:"breed"`
	Zone    string       `msgpack:"parish"`
	Spot    bool         `msgpack:"lendable"`
	Session uint64       `msgpack:"shift"`
	Seq     uint64       `msgpack:"tally"`
	Token   uint64       `msgpack:"warrant"`
	NoticeS *float64     `msgpack:"warning_s"`
	Tasks   []TaskReport `msgpack:"pieces"`
}

// DecodeReport reads and checks a worker's report.
func DecodeReport(raw []byte) (*Report, error) {
	var r Report
	if err := Decode(raw, &r); err != nil {
		return nil, err
	}
	if r.Machine == "" || r.Addr == "" || r.Type == "" || r.Zone == "" || r.Session == 0 {
		return nil, fmt.Errorf("%w: report without machine, address, type, zone or session", ErrMalformed)
	}
	return &r, nil
}

// StopsOf returns commands that end at once every reported task whose job the
// function names.
func (r *Report) StopsOf(job func(string) bool) []Command {
	out := []Command{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if id, err := ParseTaskID(t.Name); err == nil && t.State != Exited && job(id.Job) {
			out = append(out, Command{Verb: Stop, Name: t.Name, Attempt: t.Attempt, GraceS: new(float64)})
		}
	}
	return out
}

// Verb is what a command tells a worker to do.
type Verb string

// Verbs of commands.
const (
	Run    Verb = "run"
	Stop   Verb = "stop"
	Forget Verb = "forget"
)

// Command tells a worker what to do with a task.
type Command struct {
	Verb    Verb     `msgpack:"verb"`
	Name    string   `msgpack:"piece"`
	Attempt uint64   `msgpack:"try"`
	GraceS  *float64 `msgpack:"leave_s,omitempty"`
}

// ReportAnswer answers a report.
type ReportAnswer struct {
	Token    uint64    `msgpack:"warrant"`
	Commands []Command `msgpack:"orders"`
}

// Redirect sends a worker to another controller, or just away.
type Redirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}

// Orders carries commands straight to a worker.
type Orders struct {
	Token    uint64    `msgpack:"warrant"`
	Session  uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"`
}

// How long a worker waits for the answer to a report, and then before it goes on
// to the next controller.
const (
	ReportPatience = 4 * time.Second
	ReportPause    = time.Second
)

// epochBits is how many low bits of a token count the epochs within a term.
const epochBits = 24

// MaxEpoch is the last epoch of a term.
const MaxEpoch = 1<<epochBits - 1

// Token makes a worker's token from a term and an epoch. A leader may raise
// the epoch of a machine to make its own earlier commands invalid there.
func Token(term, epoch uint64) uint64 { return term<<epochBits | min(epoch, MaxEpoch) }

// TermOf returns the term of a token.
func TermOf(token uint64) uint64 { return token >> epochBits }
