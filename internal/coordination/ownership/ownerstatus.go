package ownership

import (
	"time"

	"pinebay/internal/protocol"
)

// OwnerStatus is the information that determines whether, at one point in time, a controller may answer workers as an
// owner.
type OwnerStatus struct {
	// Table is the ownership table of the latest record that this controller has read, or nil if there is none.
	Table *Table
	// Controller is the name of this controller, and Process identifies its process.
	Controller string
	Process    uint64
	// Leader is the leader according to a recent heartbeat, or "" if unknown. LeaderEpoch is the ownership epoch that
	// the leader uses.
	Leader      string
	LeaderEpoch uint64
	// DigestAge is the time since this controller sent the latest digest of unchanged heartbeats that the leader has
	// acknowledged. It must not exceed MaxDigestAge.
	DigestAge, MaxDigestAge time.Duration
	// KnowsCancellations reports whether this controller knows every cancellation that a controller must know to renew
	// leases.
	KnowsCancellations bool
}

// MayAnswer reports whether the controller may answer workers as an owner. It must be an owner in the epoch that the
// leader uses, the leader must have recently acknowledged the controller's digest of unchanged heartbeats, and the
// controller must know every cancellation. A process that resumes after a suspension fails these conditions, because
// all of its information is too old.
func (s OwnerStatus) MayAnswer() bool {
	if s.Table == nil || s.Leader == "" || s.Leader == s.Controller || s.LeaderEpoch != s.Table.Epoch {
		return false
	}
	m, ok := s.Table.Member(s.Controller)
	return ok && m.Incarnation.Process == s.Process && s.DigestAge <= s.MaxDigestAge && s.KnowsCancellations
}

// UnchangedReply returns an owner's reply to a heartbeat that need not be forwarded. It repeats the worker's own
// fencing token. Its only commands stop tasks of jobs that users may have been told are cancelled.
func UnchangedReply(h *protocol.WorkerHeartbeat, cancelled func(job string) bool) protocol.WorkerHeartbeatReply {
	return protocol.WorkerHeartbeatReply{FencingToken: h.FencingToken, Commands: h.StopCommands(cancelled)}
}
