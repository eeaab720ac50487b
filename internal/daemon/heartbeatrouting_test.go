package daemon

import (
	"fmt"
	"testing"
)

// TestHeartbeatRoutes: a worker's heartbeat is answered by the leader, by the machine's owner, on standby, or not here.
func TestHeartbeatRoutes(t *testing.T) {
	const term, epoch = 7, 3
	follower := leadershipView{self: "n-0", leader: "n-1", term: term}
	here := leadershipView{self: "n-0", leader: "n-0", leadsHere: true, term: term}
	owns := ownershipView{epoch: epoch, owner: "n-0", mayAnswer: true}
	ownedElsewhere := ownershipView{epoch: epoch, owner: "n-2", ownerReachable: true}
	toLeader := heartbeatRoute{action: sendToLeader, controller: "n-1"}
	for _, row := range []struct {
		name      string
		view      leadershipView
		ownership ownershipView
		tokenTerm uint64
		want      heartbeatRoute
	}{
		{"nobody leads", leadershipView{self: "n-0"}, ownershipView{}, term, heartbeatRoute{action: refuseHeartbeat}},
		{
			"nobody leads, whoever owns",
			leadershipView{self: "n-0"},
			owns, term,
			heartbeatRoute{action: refuseHeartbeat},
		},
		{
			"elected, but the leader does not run yet",
			leadershipView{self: "n-0", leader: "n-0", term: term},
			ownershipView{},
			term,
			heartbeatRoute{action: refuseHeartbeat},
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
		{"leads here", here, ownershipView{}, 0, heartbeatRoute{action: answerAsLeader}},
		{"leads here and owns", here, owns, 0, heartbeatRoute{action: answerAsLeader}},
		{
			"leads here, owned by a peer", here, ownedElsewhere, 0,
			heartbeatRoute{action: redirectToOwner, controller: "n-2"},
		},
		{
			"leads here, owner not reachable", here,
			ownershipView{epoch: epoch, owner: "n-2"},
			0,
			heartbeatRoute{action: answerAsLeader},
		},
		{
			"leads here, owned by nobody", here,
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
		{"owner", follower, owns, term, heartbeatRoute{action: answerAsOwner, controller: "n-1"}},
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
				t.Errorf("%+v, want %+v", got, row.want)
			}
		})
	}
}

// TestHeartbeatRouteInvariants: whatever is known, leases are renewed only by who may.
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
				what := fmt.Sprintf("%+v %+v: %+v", v, o, got)
				switch {
				case (got.action == renewOnStandby) != v.renewsOnStandby:
					t.Errorf("%s: renewed on standby", what)
				case got.action == answerAsOwner && (!o.mayAnswer || owner != v.self || v.leadsHere):
					t.Errorf("%s: answered as owner", what)
				case got.action == answerAsLeader && !v.leadsHere:
					t.Errorf("%s: answered as leader", what)
				case got.action == redirectToOwner && (!o.ownerReachable || got.controller == v.self):
					t.Errorf("%s: redirected to the owner", what)
				case got.action == sendToLeader && (got.controller == v.self || got.controller == ""):
					t.Errorf("%s: sent to the leader", what)
				case v.refusesUnread() && got.action != refuseHeartbeat:
					t.Errorf("%s: refused unread, and answered when read", what)
				}
			}
		}
	}
}

// TestHeartbeatsRefusedUnread: without a leader, a heartbeat is read only where it may have to be answered or counted.
func TestHeartbeatsRefusedUnread(t *testing.T) {
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
			if got := row.view.refusesUnread(); got != row.want {
				t.Errorf("%v, want %v", got, row.want)
			}
		})
	}
}
