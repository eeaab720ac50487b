package daemon

import (
	"context"
	"net/http"
	"time"

	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/fencing"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// heartbeatTimeout is how long a leader may take to answer a heartbeat. It stays inside the 4 s that a worker waits.
const heartbeatTimeout = 3 * time.Second

// heartbeatRequest is a worker's heartbeat on its way to an answer.
type heartbeatRequest struct {
	w         http.ResponseWriter
	heartbeat *protocol.WorkerHeartbeat
	raw       []byte         // the heartbeat as it came
	leader    *leader.Leader // of this process when the request came; nil: none
	view      *election.View // of the same moment
	epoch     uint64         // of ownership; 0: none is in force
}

// workerHeartbeats answers the heartbeats of workers.
type workerHeartbeats struct {
	*environment
	peers     *peerTable
	fencing   *fencingActor
	owner     *machineOwner    // nil: ownership is off
	redirects *redirectTracker // machines that were sent to the leader
}

// handle answers a worker's heartbeat, or sends the worker to the controller that does. What is done is
// decided by routeHeartbeat.
//
// The reads of what others publish have an order:
//
//   - The leader of this process comes before the view. The election publishes a view and only then starts or stops
//     the leader, so a view read second is at least as new as the leader read first. Without a leader here, a view that
//     names this controller says that its leader is about to start, or has just ended: nobody leads.
//   - Whether this controller renews leases on standby is decided after no leader was found here, by a view of its own.
//   - All of this comes before the body, since most heartbeats without a leader are refused unread. A body that takes
//     long does not prolong what was decided: a lease is renewed from when the worker sent its heartbeat.
//   - Readiness of the leader, and ownership, are read after the body. A body may take long, and an owner answers by
//     what is fresh at the time of the answer.
//   - When the leader has answered, first the leader and then the view are read again: see askLeader.
func (h *workerHeartbeats) handle(w http.ResponseWriter, r *http.Request) {
	l := h.leading.Load()
	view := h.view.Load()
	known := h.leadershipView(l, view)
	if known.refusesUnread() {
		h.redirect(w, h.peers.standbyRenewer())
		return
	}
	heartbeat, raw, err := h.readHeartbeat(w, r)
	if err != nil {
		transport.WriteResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	if known.leaderless() || l != nil && !l.Ready() {
		h.fencing.mailbox.Send(fencing.HeartbeatReceived{Heartbeat: heartbeat})
	}
	owners := h.owner.viewOf(known, l, view, heartbeat.Machine)
	tokenTerm := protocol.TermOfToken(heartbeat.FencingToken)
	route := routeHeartbeat(known, owners, tokenTerm)
	if route.action == redirectToOwner && h.owner.returnedFromOwner(heartbeat.Machine, owners.epoch) {
		owners.ownerReachable = false // for this worker
		route = routeHeartbeat(known, owners, tokenTerm)
	}
	h.carryOut(r.Context(), route, heartbeatRequest{
		w:         w,
		heartbeat: heartbeat,
		raw:       raw,
		leader:    l,
		view:      view,
		epoch:     owners.epoch,
	})
}

// leadershipView returns what is known of the leader, given the leader of this process and a view read after it.
func (h *workerHeartbeats) leadershipView(l *leader.Leader, view *election.View) leadershipView {
	v := leadershipView{self: h.cfg.Name, leadsHere: l != nil, leader: view.Leader, term: view.Term}
	v.renewsOnStandby = !v.leadsHere && h.peers.mayRenewOnStandby()
	if v.leaderless() && !v.renewsOnStandby {
		v.storeReachable = h.storeReachable()
	}
	return v
}

// readHeartbeat reads and decodes the body of a request.
func (h *workerHeartbeats) readHeartbeat(
	w http.ResponseWriter,
	r *http.Request,
) (*protocol.WorkerHeartbeat, []byte, error) {
	raw, err := transport.ReadBody(w, r)
	if err != nil {
		return nil, nil, err
	}
	heartbeat, err := protocol.DecodeWorkerHeartbeat(raw)
	if err != nil {
		h.log.Info("heartbeat rejected", "address", r.RemoteAddr, "error", err)
		return nil, nil, err
	}
	return heartbeat, raw, nil
}

// carryOut does what was decided for a heartbeat.
func (h *workerHeartbeats) carryOut(ctx context.Context, route heartbeatRoute, q heartbeatRequest) {
	switch route.action {
	case refuseHeartbeat:
		// The worker's lease may be about to end: it should not have to try every controller.
		h.redirect(q.w, h.peers.standbyRenewer())
	case renewOnStandby:
		h.renewOnStandby(q)
	case answerAsOwner:
		h.answerAsOwner(ctx, route.controller, q)
	case redirectToOwner:
		h.redirect(q.w, route.controller)
	case answerAsLeader:
		h.answerAsLeader(ctx, q)
	case sendToLeader:
		h.sendToLeader(ctx, route, q)
	}
}

// renewOnStandby keeps the worker's tasks alive while nobody can lead, with the token that the worker has, but for
// those whose users may have been told that they are cancelled.
func (h *workerHeartbeats) renewOnStandby(q heartbeatRequest) {
	transport.WriteResponse(q.w, http.StatusOK, protocol.WorkerHeartbeatReply{
		FencingToken: q.heartbeat.FencingToken,
		Commands:     q.heartbeat.StopCommands(h.cancellationRequested),
	})
}

// answerAsOwner answers the heartbeat of a machine that this controller owns, or forwards it to the leader if that has
// to know of it.
func (h *workerHeartbeats) answerAsOwner(ctx context.Context, leader string, q heartbeatRequest) {
	if !h.owner.mustForward(q.heartbeat, q.view.Term) {
		transport.WriteResponse(q.w, http.StatusOK, ownership.UnchangedReply(q.heartbeat, h.cancellationRequested))
		h.owner.answered(q.heartbeat)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	forwarded := h.forwardToLeader(ctx, q.w, leader, protocol.PeerMessage{
		Kind:           protocol.PeerForwardedHeartbeat,
		Body:           q.raw,
		OwnershipEpoch: q.epoch,
	})
	if forwarded {
		h.owner.forwarded(q.heartbeat)
	}
}

// answerAsLeader has the leader of this process answer.
func (h *workerHeartbeats) answerAsLeader(ctx context.Context, q heartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, ok := h.askLeader(ctx, q.leader, q.heartbeat, false)
	if !ok {
		h.redirect(q.w, "")
		return
	}
	transport.WriteResponse(q.w, http.StatusOK, reply)
}

// sendToLeader redirects a worker to the leader, or relays the heartbeat of one that comes from there.
func (h *workerHeartbeats) sendToLeader(ctx context.Context, route heartbeatRoute, q heartbeatRequest) {
	if !h.redirects.shouldRelay(q.heartbeat.Machine, route.controller, route.answeredByLeader, h.now()) {
		h.redirect(q.w, route.controller)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	h.forwardToLeader(ctx, q.w, route.controller, protocol.PeerMessage{
		Kind: protocol.PeerForwardedHeartbeat,
		Body: q.raw,
	})
}

// askLeader returns the answer of a leader of this process to a heartbeat, and whether it may be given to the worker.
// By the time of the answer the leader must not have been replaced, and must know of every cancellation: a token of an
// ended term would be dropped by the worker, and hold it here; and a leader that may not know of a cancellation would
// keep its tasks alive. The leader is read before the view: the election publishes the view before it stops a leader,
// so the view is at least as new.
func (h *workerHeartbeats) askLeader(
	ctx context.Context,
	l *leader.Leader,
	heartbeat *protocol.WorkerHeartbeat,
	relayed bool,
) (protocol.WorkerHeartbeatReply, bool) {
	reply, ok := l.Heartbeat(ctx, heartbeat, relayed)
	return reply, ok && h.leading.Load() == l && h.knowsCancellations()
}

// forwardToLeader forwards a heartbeat to the leader's controller and its answer to the worker. It returns whether
// there was one.
func (h *workerHeartbeats) forwardToLeader(
	ctx context.Context,
	w http.ResponseWriter,
	leader string,
	m protocol.PeerMessage,
) bool {
	reply, err := h.mesh.Call(ctx, leader, m)
	if err != nil || len(reply.Body) == 0 {
		h.redirect(w, "")
		return false
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(reply.Body) // a worker that is gone reports again
	return true
}

// answerRelayedHeartbeat answers a heartbeat that another controller has forwarded; nil: not answered.
func (h *workerHeartbeats) answerRelayedHeartbeat(m *protocol.PeerMessage) []byte {
	l := h.leading.Load()
	if l == nil {
		return nil
	}
	heartbeat, err := protocol.DecodeWorkerHeartbeat(m.Body)
	if err != nil {
		h.log.Info("heartbeat rejected", "peer", m.From, "error", err)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	// An owner ends the connections of machines that may well be in our reach; others relay for what can't reach us.
	relayed := m.OwnershipEpoch == 0
	reply, ok := h.askLeader(ctx, l, heartbeat, relayed)
	if !ok {
		return nil
	}
	raw, err := protocol.Encode(reply)
	if err != nil {
		h.log.Error("failed to encode heartbeat reply", "error", err)
		return nil
	}
	return raw
}

// redirect sends a worker to another controller, or asks it to try again later if there is none.
func (h *workerHeartbeats) redirect(w http.ResponseWriter, controller string) {
	if controller == "" {
		transport.WriteResponse(
			w,
			http.StatusServiceUnavailable,
			protocol.ErrorResponse{Error: "no leader is known here"},
		)
		return
	}
	transport.WriteResponse(w, http.StatusMisdirectedRequest, protocol.Redirect{Leader: controller})
}
