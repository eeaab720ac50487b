package ownership

import (
	"time"

	"pinebay/internal/protocol"
)

// OwnerStatus is what decides, at one moment, whether a controller may answer workers as an owner.
type OwnerStatus struct {
	// Table is in force as far as this controller has read; nil: none.
	Table *Table
	// Controller is this controller, and Process the number of its process.
	Controller string
	Process    uint64
	// Leader is who leads according to a recent heartbeat, and LeaderEpoch the ownership epoch in
	// which it works; "": nobody is known.
	Leader      string
	LeaderEpoch uint64
	// DigestAge is how long ago the last digest of unchanged heartbeats was sent that the leader has
	// acknowledged. It must not exceed MaxDigestAge.
	DigestAge, MaxDigestAge time.Duration
	// KnowsCancellations says that this controller knows every cancellation that whoever renews leases
	// must know.
	KnowsCancellations bool
}

// MayAnswer says whether the controller may answer workers as an owner: it is one in the epoch in
// which the leader works, the leader has recently acknowledged which machines it answered, and it
// knows every cancellation. None of that is recent for a process that wakes after it stood still.
func (s OwnerStatus) MayAnswer() bool {
	if s.Table == nil || s.Leader == "" || s.Leader == s.Controller || s.LeaderEpoch != s.Table.Epoch {
		return false
	}
	m, ok := s.Table.Member(s.Controller)
	return ok && m.Incarnation.Process == s.Process && s.DigestAge <= s.MaxDigestAge && s.KnowsCancellations
}

// UnchangedReply is an owner's reply to a heartbeat that it need not forward. The fencing token is
// the worker's own, and the only commands are those that stop tasks of jobs of which users may
// have been told that they are cancelled.
func UnchangedReply(h *protocol.WorkerHeartbeat, cancelled func(job string) bool) protocol.WorkerHeartbeatReply {
	return protocol.WorkerHeartbeatReply{FencingToken: h.FencingToken, Commands: h.StopCommands(cancelled)}
}
