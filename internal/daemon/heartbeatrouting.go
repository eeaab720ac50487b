package daemon

// leadershipView is what this controller knows of the leader when a worker's heartbeat arrives.
type leadershipView struct {
	self      string
	leadsHere bool   // a leader runs in this process
	leader    string // the leader's controller as far as known; "": none
	term      uint64 // of that leader
	// renewsOnStandby says that this controller renews leases although nobody leads. It is false if leadsHere.
	renewsOnStandby bool
	// storeReachable says that the key-value store answers here. It is only read if nobody leads and this controller
	// does not renew leases.
	storeReachable bool
}

// leaderless returns whether this controller knows of no leader. It does not count itself before its leader runs.
func (v leadershipView) leaderless() bool {
	return !v.leadsHere && (v.leader == "" || v.leader == v.self)
}

// refusesUnread returns whether a heartbeat is refused without its body being read. While the store answers, a leader
// is being elected. While it does not, machines may have to be fenced without one, and for that their heartbeats count
// although they are refused.
func (v leadershipView) refusesUnread() bool {
	return v.leaderless() && !v.renewsOnStandby && v.storeReachable
}

// ownershipView is what this controller knows of the ownership of a heartbeat's machine. The zero value says that
// no ownership is in force.
type ownershipView struct {
	epoch uint64 // in force, by the leader's word; 0: none
	owner string // of the machine; "": none
	// mayAnswer says that this controller may answer as an owner. It is only read if it is the machine's owner and
	// no leader runs here.
	mayAnswer bool
	// ownerReachable says that the owner is likely to answer the worker. It is only read of another controller.
	ownerReachable bool
}

// heartbeatAction is what is done with a worker's heartbeat.
type heartbeatAction int

const (
	// refuseHeartbeat sends the worker to a controller that renews leases without a leader, or asks it to try again.
	refuseHeartbeat heartbeatAction = iota
	// renewOnStandby renews the worker's lease without a leader.
	renewOnStandby
	// answerAsOwner answers an unchanged heartbeat here, and forwards another one to the leader.
	answerAsOwner
	// redirectToOwner sends the worker to the owner of its machine.
	redirectToOwner
	// answerAsLeader has the leader of this process answer.
	answerAsLeader
	// sendToLeader redirects the worker to the leader's controller, or relays the heartbeat if the worker can't reach
	// that one.
	sendToLeader
)

// heartbeatRoute is the routing decision for a worker's heartbeat.
type heartbeatRoute struct {
	action heartbeatAction
	// controller is where the worker or its heartbeat goes, for redirectToOwner, sendToLeader and answerAsOwner.
	controller string
	// answeredByLeader says, for sendToLeader, that the worker has had an answer from the leader itself. It would
	// not be here if it could reach the leader, so it is not redirected there first.
	answeredByLeader bool
}

// routeHeartbeat decides how a worker's heartbeat is answered. tokenTerm is the term of the worker's fencing token.
func routeHeartbeat(v leadershipView, o ownershipView, tokenTerm uint64) heartbeatRoute {
	owned := o.epoch != 0
	switch {
	case v.leaderless() && !v.renewsOnStandby:
		return heartbeatRoute{action: refuseHeartbeat}
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
			// With owners, the worker may have the token of this term from one of those.
			answeredByLeader: tokenTerm == v.term && !owned,
		}
	}
}
