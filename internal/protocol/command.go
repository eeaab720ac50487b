package protocol

// Verb is what a command tells a worker to do with a task.
type Verb string

// The verbs of commands.
const (
	VerbRun    Verb = "run"
	VerbStop   Verb = "stop"
	VerbForget Verb = "forget" // drop an exited task from the heartbeats
)

// Command tells a worker what to do with one attempt of a task.
type Command struct {
	Verb     Verb   `msgpack:"verb"`
	TaskName string `msgpack:"piece"`
	Attempt  uint64 `msgpack:"try"`
	// GraceSeconds, of a stop, is how long the task may take to save a checkpoint.
	GraceSeconds *float64 `msgpack:"leave_s,omitempty"`
}

// CommandBatch is a request to a worker's address that carries commands. The worker executes them only if the token is
// not lower than the highest one that it has seen and the incarnation is its current one.
type CommandBatch struct {
	FencingToken uint64    `msgpack:"warrant"`
	Incarnation  uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}
