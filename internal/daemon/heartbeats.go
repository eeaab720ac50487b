package daemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/fencing"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// heartbeatTimeout limits how long the leader may take to answer a heartbeat. It is less than the 4 s for which a
// worker waits.
const heartbeatTimeout = 3 * time.Second

// heartbeatRequest is a worker's heartbeat that has not been answered yet.
type heartbeatRequest struct {
	w         http.ResponseWriter
	heartbeat *protocol.WorkerHeartbeat
	raw       []byte         // the encoded heartbeat, as received
	leader    *leader.Leader // local leader when the request arrived; nil if none
	view      *election.View // view when the request arrived
	epoch     uint64         // active ownership epoch; 0 if none
}

// workerHeartbeats serves the heartbeats of workers.
type workerHeartbeats struct {
	*environment
	peers     *peerTable
	fencing   *fencingActor
	owner     *machineOwner    // nil if ownership is disabled
	redirects *redirectTracker // machines that were redirected to the leader
}

// handle answers a worker's heartbeat or redirects the worker to a controller that does. routeHeartbeat makes the
// decision.
//
// The shared state that the decision is based on must be read in this order:
//
//   - The local leader is read before the view. The election publishes a view before it starts or stops the leader, so
//     the view is at least as new as the leader. If there is no local leader but the view names this controller, its
//     leader is about to start or has just stopped, and there is no leader for now.
//   - Whether this controller renews leases on standby is read after the local leader was found to be absent, from a
//     newer view.
//   - All of this is read before the body, because most heartbeats without a leader are rejected without reading it. A
//     slow body does not extend a lease: leases are renewed from the time at which the worker sent its heartbeat.
//   - Whether the leader is ready, and the ownership, are read after the body. The body may take long, and an owner
//     must decide on state that is current when it answers.
//   - After the leader has answered, the local leader and then the view are read again; see askLocalLeader.
func (h *workerHeartbeats) handle(w http.ResponseWriter, r *http.Request) {
	l := h.localLeader.Load()
	view := h.view.Load()
	leadership := h.leadershipView(l, view)
	if leadership.rejectsBeforeReading() {
		h.redirect(w, h.peers.standbyRenewer())
		return
	}
	heartbeat, raw, err := h.readHeartbeat(w, r)
	if err != nil {
		transport.WriteResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	if leadership.leaderless() || l != nil && !l.Ready() {
		h.fencing.mailbox.Send(fencing.HeartbeatReceived{Heartbeat: heartbeat})
	}
	ownerView := h.owner.machineOwnership(leadership, l, view, heartbeat.Machine)
	tokenTerm := protocol.TermOfToken(heartbeat.FencingToken)
	route := routeHeartbeat(leadership, ownerView, tokenTerm)
	if route.action == redirectToOwner && h.owner.returnedFromOwner(heartbeat.Machine, ownerView.epoch) {
		ownerView.ownerReachable = false // the owner is not reachable from this worker
		route = routeHeartbeat(leadership, ownerView, tokenTerm)
	}
	h.execute(r.Context(), route, heartbeatRequest{
		w:         w,
		heartbeat: heartbeat,
		raw:       raw,
		leader:    l,
		view:      view,
		epoch:     ownerView.epoch,
	})
}

// leadershipView returns what is known about the leader. view must have been read after l, the local leader.
func (h *workerHeartbeats) leadershipView(l *leader.Leader, view *election.View) leadershipView {
	v := leadershipView{self: h.cfg.Name, leadsHere: l != nil, leader: view.Leader, term: view.Term}
	v.renewsOnStandby = !v.leadsHere && h.peers.mayRenewOnStandby()
	if v.leaderless() && !v.renewsOnStandby {
		v.storeReachable = h.storeReachable()
	}
	return v
}

// readHeartbeat reads the body of a request. It returns the heartbeat decoded and as received.
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

// execute handles a heartbeat according to its route.
func (h *workerHeartbeats) execute(ctx context.Context, route heartbeatRoute, req heartbeatRequest) {
	switch route.action {
	case rejectHeartbeat:
		// The worker's lease may be about to expire: name a controller that can renew it, if one is known, instead of
		// leaving the worker to try every controller.
		h.redirect(req.w, h.peers.standbyRenewer())
	case renewOnStandby:
		h.renewOnStandby(req)
	case answerAsOwner:
		h.answerAsOwner(ctx, route.controller, req)
	case redirectToOwner:
		h.redirect(req.w, route.controller)
	case answerAsLeader:
		h.answerAsLeader(ctx, req)
	case sendToLeader:
		h.sendToLeader(ctx, route, req)
	}
}

// renewOnStandby renews the worker's lease with the fencing token that it already has, while no leader can be elected.
// The reply stops the tasks of every job that a user may have been told is cancelled.
func (h *workerHeartbeats) renewOnStandby(req heartbeatRequest) {
	transport.WriteResponse(req.w, http.StatusOK, protocol.WorkerHeartbeatReply{
		FencingToken: req.heartbeat.FencingToken,
		Commands:     req.heartbeat.StopCommands(h.cancellationRequested),
	})
}

// answerAsOwner answers the heartbeat of a machine that this controller owns, or forwards it to the leader if the
// leader has to process it.
func (h *workerHeartbeats) answerAsOwner(ctx context.Context, leader string, req heartbeatRequest) {
	if !h.owner.mustForward(req.heartbeat, req.view.Term) {
		transport.WriteResponse(req.w, http.StatusOK, ownership.UnchangedReply(req.heartbeat, h.cancellationRequested))
		h.owner.answered(req.heartbeat)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	forwarded := h.forwardToLeader(ctx, req.w, leader, protocol.PeerMessage{
		Kind:           protocol.PeerForwardedHeartbeat,
		Body:           req.raw,
		OwnershipEpoch: req.epoch,
	})
	if forwarded {
		h.owner.forwarded(req.heartbeat)
	}
}

// answerAsLeader answers with the reply of the local leader.
func (h *workerHeartbeats) answerAsLeader(ctx context.Context, req heartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, ok := h.askLocalLeader(ctx, req.leader, req.heartbeat, false)
	if !ok {
		h.redirect(req.w, "")
		return
	}
	transport.WriteResponse(req.w, http.StatusOK, reply)
}

// sendToLeader redirects a worker to the leader, or relays the heartbeat if the worker cannot reach the leader.
func (h *workerHeartbeats) sendToLeader(ctx context.Context, route heartbeatRoute, req heartbeatRequest) {
	if !h.redirects.shouldRelay(req.heartbeat.Machine, route.controller, route.answeredByLeader, h.now()) {
		h.redirect(req.w, route.controller)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	h.forwardToLeader(ctx, req.w, route.controller, protocol.PeerMessage{
		Kind: protocol.PeerForwardedHeartbeat,
		Body: req.raw,
	})
}

// askLocalLeader returns the local leader's reply to a heartbeat, and whether the reply may be sent to the worker.
//
// It may not be sent if the leader has been replaced meanwhile: the worker would reject the token of an ended term, and
// would not move on to the new leader. Nor may it be sent if the leader may have missed a cancellation, as the reply
// would keep the cancelled tasks running. The local leader is read before the view: the election publishes a view
// before it stops a leader, so the view is at least as new.
func (h *workerHeartbeats) askLocalLeader(
	ctx context.Context,
	l *leader.Leader,
	heartbeat *protocol.WorkerHeartbeat,
	relayed bool,
) (protocol.WorkerHeartbeatReply, bool) {
	reply, ok := l.Heartbeat(ctx, heartbeat, relayed)
	h.dropForbiddenStarts(&reply)
	return reply, ok && h.localLeader.Load() == l && h.mayRenewAsLeader()
}

// dropForbiddenStarts removes the start commands of cancelled jobs from a reply, and reports whether there were any. An
// intent to cancel a job may have arrived since the leader decided the reply.
func (h *workerHeartbeats) dropForbiddenStarts(reply *protocol.WorkerHeartbeatReply) bool {
	before := len(reply.Commands)
	reply.Commands = slices.DeleteFunc(reply.Commands, func(c protocol.Command) bool {
		return c.StartsTaskOf(h.startForbidden)
	})
	return len(reply.Commands) < before
}

// forwardToLeader forwards a heartbeat to the leader's controller and the reply to the worker. Without a reply it asks
// the worker to retry and returns false.
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
	var body protocol.WorkerHeartbeatReply
	if err := protocol.Decode(reply.Body, &body); err != nil {
		h.log.Error("malformed heartbeat reply", "peer", leader, "error", err)
		h.redirect(w, "")
		return false
	}
	if h.dropForbiddenStarts(&body) {
		transport.WriteResponse(w, http.StatusOK, body)
		return true
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(reply.Body) // a worker that lost the response sends another heartbeat
	return true
}

// answerForwardedHeartbeat returns the encoded reply to a heartbeat that another controller has forwarded, or nil if it
// cannot be answered here.
func (h *workerHeartbeats) answerForwardedHeartbeat(m *protocol.PeerMessage) []byte {
	l := h.localLeader.Load()
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
	// A heartbeat with an ownership epoch was forwarded by an owner, whose machines may well be able to reach this
	// controller. A heartbeat without one was relayed because its machine cannot.
	relayed := m.OwnershipEpoch == 0
	reply, ok := h.askLocalLeader(ctx, l, heartbeat, relayed)
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

// redirect redirects a worker to another controller, or asks it to retry later if controller is empty.
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
