package daemon

import (
	"context"
	"net/http"
	"time"

	"pinebay/internal/coordination/fencing"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// handleHeartbeat takes a worker's report. The leader answers it; others send the worker
// there, or pass its report on if it comes from there and so cannot reach it.
func (c *Controller) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	l := c.leading.Load()
	view := c.view.Load()
	leader := view.Leader
	standby := l == nil && c.mayRenewOnStandby()
	nobody := l == nil && (leader == "" || leader == c.cfg.Name)
	if nobody && !standby && c.storeReachable() {
		c.redirect(w, c.standbyRenewer())
		return
	}
	raw, err := transport.ReadBody(w, r)
	if err != nil {
		transport.WriteResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	rep, err := protocol.DecodeWorkerHeartbeat(raw)
	if err != nil {
		c.log.Info("report refused", "remote", r.RemoteAddr, "err", err)
		transport.WriteResponse(w, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	if nobody || l != nil && !l.Ready() {
		c.fencingMailbox.Send(fencing.HeartbeatReceived{Heartbeat: rep})
	}
	if nobody && !standby {
		// Its lease may be about to end: it should not have to try every controller.
		c.redirect(w, c.standbyRenewer())
		return
	}
	if standby {
		// Nobody can lead: keep the tasks alive, with the token that the worker
		// has, but for those whose users may have been told that they are cancelled.
		transport.WriteResponse(
			w,
			http.StatusOK,
			protocol.WorkerHeartbeatReply{
				FencingToken: rep.FencingToken,
				Commands:     rep.StopCommands(c.cancellationRequested),
			},
		)
		return
	}
	if c.routeByOwner(w, r, l, view, rep, raw) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	if l == nil {
		// With owners a worker may have the leader's word from one of those.
		met := protocol.TermOfToken(rep.FencingToken) == view.Term && !c.ownershipEffective(view)
		if c.redirects.ShouldRelay(rep.Machine, leader, met, c.now()) {
			c.relay(ctx, w, leader, raw)
		} else {
			c.redirect(w, leader)
		}
		return
	}
	a, ok := l.Heartbeat(ctx, rep, false)
	if !ok || c.leading.Load() != l || !c.knowsCancellations() {
		// A 200 with a token that the worker has to drop would hold it here, and one
		// by a leader that may not know of a cancellation would keep its tasks alive.
		c.redirect(w, "")
		return
	}
	transport.WriteResponse(w, http.StatusOK, a)
}

// relay passes a report to the leader and its answer to the worker, so the 200
// carries the leader's word.
func (c *Controller) relay(ctx context.Context, w http.ResponseWriter, leader string, raw []byte) {
	c.forwardToLeader(ctx, w, leader, protocol.PeerMessage{Kind: protocol.PeerForwardedHeartbeat, Body: raw})
}

// forwardToLeader passes a report to the leader and its answer to the worker, and says whether there was one.
func (c *Controller) forwardToLeader(
	ctx context.Context,
	w http.ResponseWriter,
	leader string,
	m protocol.PeerMessage,
) bool {
	reply, err := c.mesh.Call(ctx, leader, m)
	if err != nil || len(reply.Body) == 0 {
		c.redirect(w, "")
		return false
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(reply.Body) // a worker that is gone reports again
	return true
}

// answerRelayedHeartbeat answers a report that another controller passed on.
func (c *Controller) answerRelayedHeartbeat(m *protocol.PeerMessage) []byte {
	l := c.leading.Load()
	if l == nil {
		return nil
	}
	rep, err := protocol.DecodeWorkerHeartbeat(m.Body)
	if err != nil {
		c.log.Info("report refused", "from", m.From, "err", err)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	// An owner ends the connections of machines that may well be in our reach; others pass on what can't reach us.
	a, ok := l.Heartbeat(ctx, rep, m.OwnershipEpoch == 0)
	if !ok || c.leading.Load() != l || !c.knowsCancellations() {
		return nil
	}
	raw, err := protocol.Encode(a)
	if err != nil {
		c.log.Error("report answer", "err", err)
		return nil
	}
	return raw
}

// knowsCancellations says whether workers may be answered by the leader that we are.
func (c *Controller) knowsCancellations() bool {
	v := c.view.Load()
	return v.Leading && c.now() < v.MayRenewUntil
}

// heartbeatTimeout stays inside the 4 s that a worker waits.
const heartbeatTimeout = 3 * time.Second

// redirect sends a worker to the leader, or away if none is known.
func (c *Controller) redirect(w http.ResponseWriter, leader string) {
	if leader == "" {
		transport.WriteResponse(
			w,
			http.StatusServiceUnavailable,
			protocol.ErrorResponse{Error: "no leader is known here"},
		)
		return
	}
	transport.WriteResponse(w, http.StatusMisdirectedRequest, protocol.Redirect{Leader: leader})
}
