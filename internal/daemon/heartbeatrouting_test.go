package daemon

import (
	"fmt"
	"testing"
)

// TestHeartbeatRoutes checks when a heartbeat is answered by the leader, by the machine's owner or on standby, and when
// it is forwarded, redirected or rejected.
func TestHeartbeatRoutes(t *testing.T) {
	const term, epoch = 7, 3
	follower := leadershipView{self: "n-0", leader: "n-1", term: term}
	leading := leadershipView{self: "n-0", leader: "n-0", leadsHere: true, term: term}
	owned := ownershipView{epoch: epoch, owner: "n-0", mayAnswer: true}
	ownedElsewhere := ownershipView{epoch: epoch, owner: "n-2", ownerReachable: true}
	toLeader := heartbeatRoute{action: sendToLeader, controller: "n-1"}
	for _, row := range []struct {
		name      string
		view      leadershipView
		ownership ownershipView
		tokenTerm uint64
		want      heartbeatRoute
	}{
		{"nobody leads", leadershipView{self: "n-0"}, ownershipView{}, term, heartbeatRoute{action: rejectHeartbeat}},
		{
			"nobody leads, whoever owns",
			leadershipView{self: "n-0"},
			owned, term,
			heartbeatRoute{action: rejectHeartbeat},
		},
		{
			"elected, but the leader does not run yet",
			leadershipView{self: "n-0", leader: "n-0", term: term},
			ownershipView{},
			term,
			heartbeatRoute{action: rejectHeartbeat},
		},
		{
			"standby without a leader",
			leadershipView{self: "n-0", renewsOnStandby: true},
			ownershipView{},
			term,
			heartbeatRoute{action: renewOnStandby},
		},
		{
			"standby, although a leader has been heard of since",
			leadershipView{self: "n-0", leader: "n-1", renewsOnStandby: true},
			ownedElsewhere, term,
			heartbeatRoute{action: renewOnStandby},
		},
		{"leads here", leading, ownershipView{}, 0, heartbeatRoute{action: answerAsLeader}},
		{"leads here and owns", leading, owned, 0, heartbeatRoute{action: answerAsLeader}},
		{
			"leads here, owned by a peer", leading, ownedElsewhere, 0,
			heartbeatRoute{action: redirectToOwner, controller: "n-2"},
		},
		{
			"leads here, owner not reachable", leading,
			ownershipView{epoch: epoch, owner: "n-2"},
			0,
			heartbeatRoute{action: answerAsLeader},
		},
		{
			"leads here, owned by nobody", leading,
			ownershipView{epoch: epoch, ownerReachable: true},
			0,
			heartbeatRoute{action: answerAsLeader},
		},
		{"follower", follower, ownershipView{}, term - 1, toLeader},
		{
			"follower, answered by this leader", follower,
			ownershipView{},
			term,
			heartbeatRoute{action: sendToLeader, controller: "n-1", answeredByLeader: true},
		},
		{"owner", follower, owned, term, heartbeatRoute{action: answerAsOwner, controller: "n-1"}},
		{"owner that may not answer", follower, ownershipView{epoch: epoch, owner: "n-0"}, term, toLeader},
		{
			"follower, owned by a peer", follower, ownedElsewhere, term,
			heartbeatRoute{action: redirectToOwner, controller: "n-2"},
		},
		{
			"follower, owned by the leader", follower,
			ownershipView{epoch: epoch, owner: "n-1", ownerReachable: true},
			term,
			heartbeatRoute{action: redirectToOwner, controller: "n-1"},
		},
		{
			"follower, owner not reachable", follower, ownershipView{epoch: epoch, owner: "n-2"}, term, toLeader,
		},
		{"follower, owned by nobody", follower, ownershipView{epoch: epoch, ownerReachable: true}, term, toLeader},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := routeHeartbeat(row.view, row.ownership, row.tokenTerm); got != row.want {
				t.Errorf("route %+v, want %+v", got, row.want)
			}
		})
	}
}

// TestHeartbeatRouteInvariants checks, for all combinations of inputs, that a heartbeat is answered only by a
// controller that may answer it, and is sent only to another controller that is known and, if it is an owner,
// reachable.
func TestHeartbeatRouteInvariants(t *testing.T) {
	bools := []bool{false, true}
	names := []string{"", "n-0", "n-1"}
	for _, leader := range names {
		for _, owner := range names {
			for bits := range 1 << 5 {
				v := leadershipView{
					self: "n-0", leader: leader, leadsHere: bools[bits&1], storeReachable: bools[bits>>1&1],
					renewsOnStandby: bools[bits>>2&1] && !bools[bits&1],
				}
				o := ownershipView{
					epoch:          1,
					owner:          owner,
					mayAnswer:      bools[bits>>3&1],
					ownerReachable: bools[bits>>4&1],
				}
				got := routeHeartbeat(v, o, 1)
				state := fmt.Sprintf("%+v %+v: %+v", v, o, got)
				switch {
				case (got.action == renewOnStandby) != v.renewsOnStandby:
					t.Errorf("%s: renewal on standby does not match renewsOnStandby", state)
				case got.action == answerAsOwner && (!o.mayAnswer || owner != v.self || v.leadsHere):
					t.Errorf("%s: answered as owner without permission", state)
				case got.action == answerAsLeader && !v.leadsHere:
					t.Errorf("%s: answered as leader without a local leader", state)
				case got.action == redirectToOwner && (!o.ownerReachable || got.controller == v.self):
					t.Errorf("%s: redirected to an owner that is this controller or not reachable", state)
				case got.action == sendToLeader && (got.controller == v.self || got.controller == ""):
					t.Errorf("%s: sent to a leader that is unknown or this controller", state)
				case v.rejectsBeforeReading() && got.action != rejectHeartbeat:
					t.Errorf("%s: rejected before reading, but routed otherwise after reading", state)
				}
			}
		}
	}
}

// TestHeartbeatsRejectedBeforeReading checks that, without a leader, the body of a heartbeat is read only if the
// heartbeat may have to be answered, or may have to be passed to fencing as a sign that its machine is alive.
func TestHeartbeatsRejectedBeforeReading(t *testing.T) {
	for _, row := range []struct {
		name string
		view leadershipView
		want bool
	}{
		{"nobody leads", leadershipView{self: "n-0", storeReachable: true}, true},
		{"elected, not running yet", leadershipView{self: "n-0", leader: "n-0", storeReachable: true}, true},
		{"nobody leads in an outage", leadershipView{self: "n-0"}, false},
		{"standby", leadershipView{self: "n-0", renewsOnStandby: true}, false},
		{"leads", leadershipView{self: "n-0", leader: "n-0", leadsHere: true}, false},
		{"follows", leadershipView{self: "n-0", leader: "n-1", storeReachable: true}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := row.view.rejectsBeforeReading(); got != row.want {
				t.Errorf("rejectsBeforeReading() = %v, want %v", got, row.want)
			}
		})
	}
}
