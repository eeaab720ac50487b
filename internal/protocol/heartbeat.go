package protocol

import "time"

// WorkerHeartbeat is a worker's periodic message to the controllers: the identity of its machine and the status of all
// tasks on it.
type WorkerHeartbeat struct {
	Machine string `msgpack:"rig"`
	Addr    string `msgpack:"endpoint"`
	Type    string `msgpack:"breed"`
	Zone    string `msgpack:"parish"`
	Spot    bool   `msgpack:"lendable"`
	// Incarnation starts at 1 and increases each time the worker's lease expires.
	Incarnation uint64 `msgpack:"shift"`
	// Sequence increases with every heartbeat of an incarnation. Of two heartbeats of a machine, the one with the
	// larger (Incarnation, Sequence) is the newer.
	Sequence uint64 `msgpack:"tally"`
	// FencingToken is the highest token that the worker has seen.
	FencingToken uint64 `msgpack:"warrant"`
	// InterruptionNoticeSeconds is the time until the cloud takes the machine back, or nil if no notice was given.
	InterruptionNoticeSeconds *float64     `msgpack:"warning_s"`
	Tasks                     []TaskStatus `msgpack:"pieces"`
}

// DecodeWorkerHeartbeat decodes and validates a worker's heartbeat.
func DecodeWorkerHeartbeat(raw []byte) (*WorkerHeartbeat, error) {
	var heartbeat WorkerHeartbeat
	if err := Decode(raw, &heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Machine == "" || heartbeat.Addr == "" || heartbeat.Type == "" || heartbeat.Zone == "" ||
		heartbeat.Incarnation == 0 {
		return nil, Malformed("report without machine, address, type, zone or session")
	}
	return &heartbeat, nil
}

// StopCommands returns commands that stop at once every reported task whose job the given function selects.
func (h *WorkerHeartbeat) StopCommands(selected func(jobID string) bool) []Command {
	commands := []Command{}
	for i := range h.Tasks {
		task := &h.Tasks[i]
		id, err := ParseTaskID(task.TaskName)
		if err != nil || task.State == TaskExited || !selected(id.JobID) {
			continue
		}
		commands = append(commands, Command{
			Verb:         VerbStop,
			TaskName:     task.TaskName,
			Attempt:      task.Attempt,
			GraceSeconds: new(float64),
		})
	}
	return commands
}

// WorkerHeartbeatReply is the reply to a worker's heartbeat. It renews the worker's lease if its token is not lower
// than the highest one that the worker has seen.
type WorkerHeartbeatReply struct {
	FencingToken uint64    `msgpack:"warrant"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect sends a worker to the named controller, or to any other one if none is named.
type Redirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}

// How long a worker waits for the reply to a heartbeat, and how long it then waits before it tries the next controller.
const (
	HeartbeatTimeout    = 4 * time.Second
	HeartbeatRetryDelay = time.Second
)
