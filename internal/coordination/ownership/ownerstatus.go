package ownership

import (
	"time"

	"pinebay/internal/protocol"
)

// OwnerStatus is what decides whether a controller may answer workers as an owner.
type OwnerStatus struct {
	Table      *Table // in force, as far as this controller has read; nil: none
	Controller string // this controller
	Process    uint64 // of its process
	// Leader is who leads, as far as lately heard; "": nobody. LeaderEpoch is the epoch that it goes by.
	Leader      string
	LeaderEpoch uint64
	// DigestAge is how long ago the last digest was sent that the leader has taken in, and Fresh for how long that
	// counts.
	DigestAge, MaxDigestAge time.Duration
	// KnowsCancellations says that this controller knows of every cancellation, as far as whoever renews leases must.
	KnowsCancellations bool
}

// MayAnswer says whether the controller may answer workers as an owner: it is one in the epoch by which the leader
// goes, the leader has lately taken in whom it answered, and it knows of every cancellation. A process that stood still
// finds none of that fresh when it wakes.
func (s OwnerStatus) MayAnswer() bool {
	if s.Table == nil || s.Leader == "" || s.Leader == s.Controller || s.LeaderEpoch != s.Table.Epoch {
		return false
	}
	m, ok := s.Table.Member(s.Controller)
	return ok && m.Incarnation.Process == s.Process && s.DigestAge <= s.MaxDigestAge && s.KnowsCancellations
}

// UnchangedReply is an owner's answer to a report that tells nothing new. The token is the worker's own, so that
// nothing is commanded but that what users may have been told is cancelled ends.
func UnchangedReply(rep *protocol.WorkerHeartbeat, withdrawn func(job string) bool) protocol.WorkerHeartbeatReply {
	return protocol.WorkerHeartbeatReply{FencingToken: rep.FencingToken, Commands: rep.StopCommands(withdrawn)}
}
