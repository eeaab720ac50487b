package protocol

// Verb is the action that a command requests from a worker.
type Verb string

// Verbs of commands.
const (
	VerbRun    Verb = "run"
	VerbStop   Verb = "stop"
	VerbForget Verb = "forget" // stop reporting an exited task in heartbeats
)

// Command tells a worker to run, stop or forget one attempt of a task.
type Command struct {
	Verb     Verb   `msgpack:"verb"`
	TaskName string `msgpack:"piece"`
	Attempt  uint64 `msgpack:"try"`
	// GraceSeconds is the time that a stopped task has for saving a checkpoint. Only VerbStop uses it.
	GraceSeconds *float64 `msgpack:"leave_s,omitempty"`
}

// StartsTaskOf reports whether the command starts a task of one of the selected jobs.
func (c *Command) StartsTaskOf(selected func(jobID string) bool) bool {
	if c.Verb != VerbRun {
		return false
	}
	id, err := ParseTaskID(c.TaskName)
	return err == nil && selected(id.JobID)
}

// CommandBatch is the body of a request that delivers commands to a worker. The worker executes them only if
// FencingToken is not lower than the highest token that it has seen and Incarnation is its current incarnation.
type CommandBatch struct {
	FencingToken uint64    `msgpack:"warrant"`
	Incarnation  uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}
