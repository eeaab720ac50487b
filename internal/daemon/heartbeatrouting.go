package daemon

// leadershipView is what this controller knows about the leader when a worker's heartbeat arrives.
type leadershipView struct {
	self      string
	leadsHere bool   // the leader runs in this process
	leader    string // name of the leader's controller; empty if none is known
	term      uint64 // term of that leader
	// renewsOnStandby is set if this controller renews leases on standby, that is, while no leader can be elected. It
	// is false if leadsHere is set.
	renewsOnStandby bool
	// storeReachable is set if the key-value store answers this controller. It is only used if there is no leader and
	// this controller does not renew leases on standby.
	storeReachable bool
}

// leaderless reports whether this controller knows of no running leader. A controller that has been elected counts as
// leaderless until its own leader runs.
func (v leadershipView) leaderless() bool {
	return !v.leadsHere && (v.leader == "" || v.leader == v.self)
}

// rejectsBeforeReading reports whether a heartbeat is rejected without reading its body. This is safe while the store
// answers, because a leader is then about to be elected. During a store outage the body must be read: machines may have
// to be fenced without a leader, and a heartbeat shows that its machine is alive even if it is rejected.
func (v leadershipView) rejectsBeforeReading() bool {
	return v.leaderless() && !v.renewsOnStandby && v.storeReachable
}

// ownershipView is what this controller knows about the ownership of the machine that sent a heartbeat. The zero value
// means that no ownership epoch is active.
type ownershipView struct {
	epoch uint64 // active epoch according to the leader; 0 if none
	owner string // owner of the machine; empty if none
	// mayAnswer is set if this controller may answer as an owner. It is only used if this controller owns the machine
	// and is not the leader.
	mayAnswer bool
	// ownerReachable is set if the owner is likely to answer the worker. It is only used if the owner is another
	// controller.
	ownerReachable bool
}

// heartbeatAction is a way to handle a worker's heartbeat.
type heartbeatAction int

const (
	// rejectHeartbeat redirects the worker to a controller that renews leases on standby, or asks the worker to retry
	// if there is none.
	rejectHeartbeat heartbeatAction = iota
	// renewOnStandby renews the worker's lease without a leader.
	renewOnStandby
	// answerAsOwner answers an unchanged heartbeat on this controller, and forwards any other to the leader.
	answerAsOwner
	// redirectToOwner redirects the worker to the owner of its machine.
	redirectToOwner
	// answerAsLeader answers with the reply of the local leader.
	answerAsLeader
	// sendToLeader redirects the worker to the leader's controller, or relays the heartbeat if the worker cannot reach
	// that controller.
	sendToLeader
)

// heartbeatRoute is the routing decision for a worker's heartbeat.
type heartbeatRoute struct {
	action heartbeatAction
	// controller is the target of a redirect or of a forwarded heartbeat, for redirectToOwner, sendToLeader and
	// answerAsOwner.
	controller string
	// answeredByLeader is set for sendToLeader if this leader has already answered the worker. The worker would not
	// have come here if it could still reach the leader, so its heartbeat is relayed without a redirect first.
	answeredByLeader bool
}

// routeHeartbeat decides how a worker's heartbeat is handled. tokenTerm is the term of the worker's fencing token.
func routeHeartbeat(v leadershipView, o ownershipView, tokenTerm uint64) heartbeatRoute {
	owned := o.epoch != 0
	switch {
	case v.leaderless() && !v.renewsOnStandby:
		return heartbeatRoute{action: rejectHeartbeat}
	case v.renewsOnStandby:
		return heartbeatRoute{action: renewOnStandby}
	case owned && o.owner == v.self && !v.leadsHere && o.mayAnswer:
		return heartbeatRoute{action: answerAsOwner, controller: v.leader}
	case owned && o.owner != v.self && o.owner != "" && o.ownerReachable:
		return heartbeatRoute{action: redirectToOwner, controller: o.owner}
	case v.leadsHere:
		return heartbeatRoute{action: answerAsLeader}
	default:
		return heartbeatRoute{
			action:     sendToLeader,
			controller: v.leader,
			// While an ownership epoch is active, the worker may have received the token of this term from an owner
			// instead.
			answeredByLeader: tokenTerm == v.term && !owned,
		}
	}
}
