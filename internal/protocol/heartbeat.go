package protocol

import "time"

// WorkerHeartbeat is the message that a worker sends periodically to a controller. It identifies the worker's machine
// and lists the status of all tasks there.
type WorkerHeartbeat struct {
	Machine string `msgpack:"rig"`
	Addr    string `msgpack:"endpoint"`
	Type    string `msgpack:"breed"`
	Zone    string `msgpack:"parish"`
	Spot    bool   `msgpack:"lendable"`
	// Incarnation starts at 1 and is incremented each time the worker's lease expires.
	Incarnation uint64 `msgpack:"shift"`
	// Sequence increases with every heartbeat of an incarnation. Of two heartbeats of a machine, the one with the
	// larger (Incarnation, Sequence), compared in this order, is the newer one.
	Sequence uint64 `msgpack:"tally"`
	// FencingToken is the highest fencing token that the worker has seen.
	FencingToken uint64 `msgpack:"warrant"`
	// InterruptionNoticeSeconds is the time until the cloud reclaims the machine. It is nil unless the cloud has given
	// notice.
	InterruptionNoticeSeconds *float64     `msgpack:"warning_s"`
	Tasks                     []TaskStatus `msgpack:"pieces"`
}

// DecodeWorkerHeartbeat decodes and validates a worker heartbeat.
func DecodeWorkerHeartbeat(raw []byte) (*WorkerHeartbeat, error) {
	var heartbeat WorkerHeartbeat
	if err := Decode(raw, &heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Machine == "" || heartbeat.Addr == "" || heartbeat.Type == "" || heartbeat.Zone == "" ||
		heartbeat.Incarnation == 0 {
		return nil, NewMalformedError("report without machine, address, type, zone or session")
	}
	return &heartbeat, nil
}

// StopCommands returns a command for each reported task that has not exited and whose job is selected. The commands
// stop the tasks at once, without time for saving a checkpoint.
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

// WorkerHeartbeatReply is the reply to a worker heartbeat. It renews the worker's lease if FencingToken is not lower
// than the highest token that the worker has seen.
type WorkerHeartbeatReply struct {
	FencingToken uint64    `msgpack:"warrant"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect tells a worker to send its heartbeats to another controller: the leader, or any other controller if Leader
// is empty.
type Redirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}

const (
	// HeartbeatTimeout limits how long a worker waits for the reply to a heartbeat.
	HeartbeatTimeout = 4 * time.Second
	// HeartbeatRetryDelay is how long a worker waits after an unanswered heartbeat before it tries the next controller.
	HeartbeatRetryDelay = time.Second
)
