// Package daemon puts a controller together: it wires the layers and runs the
// election.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/intake"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/notice"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// Shares of the sockets that a process may have. The rest is for the state
// service (see storage), the cloud and the other controllers.
const (
	socketsServed   = 0.75    // users and workers
	socketsCommands = 1. / 16 // direct commands under way, and as many idle connections
)

// Controller is one process of the service.
type Controller struct {
	network transport.Network
	cfg     *config.Settings
	log     *slog.Logger
	start   time.Time
	times   election.Times

	store   *storage.Client
	cloud   *leader.Cloud
	workers *transport.Client
	mesh    *transport.Mesh
	intake  *intake.Intake

	box       *actor.Mailbox[any]
	elect     *election.Machine
	view      atomic.Pointer[election.View]
	leading   atomic.Pointer[leader.Leader]
	notices   *notice.Log
	wakes     map[string]chan struct{} // make the beat to a peer leave at once
	peersMu   sync.Mutex
	peers     map[string]election.Peer // what each last answered of itself
	turned    *Turned
	peersOK   atomic.Int64 // steady time when a peer last had the state service
	peerHeard atomic.Int64 // steady time when a peer was last heard
}

// Times derives the election's times from the settings.
func Times(d *config.Deployment) election.Times {
	lease, cancel := config.Seconds(d.Workers.LeaseS), config.Seconds(d.Workers.CancelS)
	base := min(lease, cancel/4)
	t := election.Times{
		Beat: base / 40, Silent: base / 5, TTL: max(3*base/10, 100*time.Millisecond),
		Hold: base / 2, Step: base / 50, Confirm: intake.Confirm,
	}
	// Whoever does not know of a cancellation renews a lease for the last time within
	// Hold of its confirmation, and the task must be gone within the cancel time.
	t.Hold = min(t.Hold, max((cancel-lease)/4, 4*t.Beat))
	t.Amnesia = lease + t.Hold + t.Silent
	return t
}

// keepNotices is how long notices are kept: until their tasks must be gone, and
// for longer than a controller may have forgotten some.
func keepNotices(d *config.Deployment, t election.Times) time.Duration {
	return config.Seconds(d.Workers.CancelS) + t.Amnesia
}

// New returns a controller that is not running yet.
func New(network transport.Network, cfg *config.Settings, log *slog.Logger) *Controller {
	d := &cfg.Deploy
	c := &Controller{network: network, cfg: cfg, log: log.With("node", cfg.Node), start: time.Now(), times: Times(d), box: actor.NewMailbox[any](),
		peers: map[string]election.Peer{}, wakes: map[string]chan struct{}{}, turned: NewTurned(config.Seconds(d.Workers.LeaseS))}
	c.store = storage.NewClient(network, d, cfg.Outside.State, config.Seconds(min(d.Workers.LeaseS/5, d.Workers.GangPeerS/2)))
	c.cloud = leader.NewCloud(network, cfg.Outside.Cloud, d.Cloud)
	c.workers = transport.NewClient(network, 1, max(1, int(float64(d.Quota.MaxSockets)*socketsCommands)), config.Seconds(d.Workers.LeaseS))
	c.intake = intake.New(d, c.store, c.log, c.statuses, c.announce)
	peers := map[string]string{}
	var names []string
	for _, p := range cfg.Seeds {
		if p.Node == cfg.Node {
			continue
		}
		peers[p.Node] = p.Addr
		names = append(names, p.Node)
		c.wakes[p.Node] = make(chan struct{}, 1)
	}
	keep := keepNotices(d, c.times)
	// The state service's writes bound how many cancellations there can be.
	c.notices = notice.New(names, keep, c.now()+c.times.Amnesia, int(max(1, d.State.WriteRPS*keep.Seconds())))
	c.mesh = transport.NewMesh(network, cfg.Node, peers, c.times.Silent/2, c.log, c.answerPeer,
		func(node string) { c.box.Send(election.Lost{Peer: node}) })
	c.elect = election.New(c.now(), cfg.Node, names, c.times)
	c.publish()
	return c
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

func (c *Controller) publish() {
	v := c.elect.View(c.now())
	c.view.Store(&v)
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	l, err := transport.Listen(c.network, c.cfg.Listen, int(float64(c.cfg.Deploy.Quota.MaxSockets)*socketsServed))
	if err != nil {
		return err
	}
	ml, err := c.network.Listen(c.cfg.MeshAddr)
	if err != nil {
		l.Close()
		return err
	}
	lease := config.Seconds(c.cfg.Deploy.Workers.LeaseS)
	srv := &http.Server{
		Handler: c.routes(), ReadHeaderTimeout: lease, ReadTimeout: lease, IdleTimeout: max(3*lease, 30*time.Second),
		ConnState: l.ConnState, MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	g.Go(func() error { return c.mesh.Serve(ctx, ml) })
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	g.Go(func() error { c.runElection(ctx); return nil })
	g.Go(func() error { c.watchLeader(ctx); return nil })
	g.Go(func() error { c.learnTypes(ctx); return nil })
	g.Go(func() error { c.probe(ctx); return nil })
	for _, p := range c.mesh.Peers() {
		g.Go(func() error { c.beat(ctx, p); return nil })
	}
	return g.Wait()
}

func (c *Controller) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/ready", c.ready)
	r.Post("/v1/report", c.report)
	c.intake.Routes(r)
	return r
}

// ready says whether users should come here. During an outage that all
// controllers share, going away would only add to the trouble; a controller
// that alone cannot reach the state service should not be asked.
func (c *Controller) ready(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !c.intake.Ready() || c.alone() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// alone says whether the state service is out of reach here and, as far as can
// be told, not for all: a peer has had an answer from it well after our last,
// or no peer is in contact at all.
func (c *Controller) alone() bool {
	silent := c.store.SilentFor()
	if silent <= c.times.Silent {
		return false
	}
	last := c.now() - silent
	return time.Duration(c.peersOK.Load()) > last+c.times.Silent ||
		c.now()-time.Duration(c.peerHeard.Load()) > c.times.Silent
}

// probe asks the state service for something small when nothing else has for a
// while, so that silence means that it does not answer.
func (c *Controller) probe(ctx context.Context) {
	for ctx.Err() == nil {
		if c.store.SilentFor() > c.times.Silent/4 {
			if _, err := c.store.Get(ctx, storage.Urgent, storage.LeaderKey); err != nil {
				c.log.Debug("state service does not answer", "err", err)
			}
		}
		storage.Pause(ctx, c.times.Silent/8)
	}
}

// report takes a worker's report. The leader answers it; others send the worker
// there, or pass its report on if it comes from there and so cannot reach it.
func (c *Controller) report(w http.ResponseWriter, r *http.Request) {
	l := c.leading.Load()
	view := c.view.Load()
	leader := view.Leader
	care := l == nil && c.caretaker()
	if l == nil && !care && (leader == "" || leader == c.cfg.Node) {
		c.redirect(w, "")
		return
	}
	raw, err := transport.ReadBody(w, r)
	if err != nil {
		transport.Answer(w, http.StatusBadRequest, protocol.Problem{Error: err.Error()})
		return
	}
	rep, err := protocol.DecodeReport(raw)
	if err != nil {
		c.log.Info("report refused", "remote", r.RemoteAddr, "err", err)
		transport.Answer(w, http.StatusBadRequest, protocol.Problem{Error: err.Error()})
		return
	}
	if care {
		// Nobody can lead: keep the tasks alive, with the token that the worker
		// has, but for those whose users may have been told that they are cancelled.
		transport.Answer(w, http.StatusOK, protocol.ReportAnswer{Token: rep.Token, Commands: rep.StopsOf(c.withdrawn)})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), reportPatience)
	defer cancel()
	if l == nil {
		met := protocol.TermOf(rep.Token) == view.Term
		if c.turned.Relay(rep.Machine, leader, met, c.now()) {
			c.relay(ctx, w, leader, raw)
		} else {
			c.redirect(w, leader)
		}
		return
	}
	a, ok := l.Report(ctx, rep, false)
	if !ok || c.leading.Load() != l || !c.aware() {
		// A 200 with a token that the worker has to drop would hold it here, and one
		// by a leader that may not know of a cancellation would keep its tasks alive.
		c.redirect(w, "")
		return
	}
	transport.Answer(w, http.StatusOK, a)
}

// relay passes a report to the leader and its answer to the worker, so the 200
// carries the leader's word.
func (c *Controller) relay(ctx context.Context, w http.ResponseWriter, leader string, raw []byte) {
	reply, err := c.mesh.Call(ctx, leader, protocol.MeshMessage{Kind: protocol.MeshReport, Body: raw})
	if err != nil || len(reply.Body) == 0 {
		c.redirect(w, "")
		return
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(reply.Body) // a worker that is gone reports again
}

// answerReport answers a report that another controller passed on.
func (c *Controller) answerReport(m *protocol.MeshMessage) []byte {
	l := c.leading.Load()
	if l == nil {
		return nil
	}
	rep, err := protocol.DecodeReport(m.Body)
	if err != nil {
		c.log.Info("report refused", "from", m.From, "err", err)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportPatience)
	defer cancel()
	a, ok := l.Report(ctx, rep, true)
	if !ok || c.leading.Load() != l || !c.aware() {
		return nil
	}
	raw, err := protocol.Encode(a)
	if err != nil {
		c.log.Error("report answer", "err", err)
		return nil
	}
	return raw
}

func (c *Controller) caretaker() bool {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	now := c.now()
	return election.Caretake(now, c.times, *c.view.Load(), c.stateOK(), c.notices.Whole(now), c.mesh.Peers(), c.peers)
}

// aware says whether workers may be answered by the leader that we are.
func (c *Controller) aware() bool {
	v := c.view.Load()
	return v.Leading && c.now() < v.Aware
}

// withdrawn says whether a user may have been told that the job is cancelled.
func (c *Controller) withdrawn(job string) bool { return c.notices.Active(c.now(), job) }

// errUnsafe says that a cancellation cannot be confirmed, since too few controllers
// would know of it.
var errUnsafe = errors.New("no majority holds the notice")

// announce has a majority hold a notice of a job's cancellation, and returns when
// the notice was made.
func (c *Controller) announce(ctx context.Context, job string) (time.Time, error) {
	now := c.now()
	own, err := c.notices.Announce(now, intake.Confirm/4, job)
	if err != nil {
		return time.Time{}, err
	}
	if l := c.leading.Load(); l != nil {
		l.Withdrawn(job, now)
	}
	for _, wake := range c.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.times.Silent/2)
	defer cancel()
	for {
		held, news := c.notices.Holders(own.Seq)
		if 2*held > len(c.wakes)+1 {
			return c.start.Add(own.At), nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return time.Time{}, errUnsafe
		}
	}
}

// takeNotices takes in the notices that a peer's message brings.
func (c *Controller) takeNotices(m *protocol.MeshMessage, reply bool) notice.Taken {
	now := c.now()
	t := c.notices.Take(now, m, reply)
	if l := c.leading.Load(); l != nil {
		for _, n := range t.News {
			l.Withdrawn(n.Job, now)
		}
	}
	return t
}

// reportPatience stays inside the 4 s that a worker waits.
const reportPatience = 3 * time.Second

// redirect sends a worker to the leader, or away if none is known.
func (c *Controller) redirect(w http.ResponseWriter, leader string) {
	if leader == "" {
		transport.Answer(w, http.StatusServiceUnavailable, protocol.Problem{Error: "no leader is known here"})
		return
	}
	transport.Answer(w, http.StatusMisdirectedRequest, protocol.Redirect{Leader: leader})
}

// statuses asks the leader about jobs, over the mesh if it is not here.
func (c *Controller) statuses(ctx context.Context, ids []string) (map[string]protocol.JobStatus, bool) {
	var list []protocol.JobStatus
	ok := false
	v := c.view.Load()
	if l := c.leading.Load(); l != nil {
		ctx, cancel := context.WithTimeout(ctx, c.times.Silent/2)
		defer cancel()
		list, ok = l.Statuses(ctx, ids)
	} else if v.Leader != "" && v.Leader != c.cfg.Node {
		r, err := c.mesh.Call(ctx, v.Leader, protocol.MeshMessage{Kind: protocol.MeshStatus, Jobs: ids})
		if ok = err == nil; ok {
			list = r.Statuses
		}
	}
	known := make(map[string]protocol.JobStatus, len(list))
	for _, s := range list {
		known[s.ID] = s
	}
	return known, ok
}

// answerPeer answers a peer's message.
func (c *Controller) answerPeer(m *protocol.MeshMessage) *protocol.MeshMessage {
	v := c.view.Load()
	reply := &protocol.MeshMessage{Kind: protocol.MeshReply}
	switch m.Kind {
	case protocol.MeshBeat:
		c.heardPeer(m)
		c.takeNotices(m, false)
		c.box.Send(election.Beat{From: m.From, Term: m.Term, Leader: m.Leader})
		reply.Term, reply.Leader = v.Term, v.Leader
		if m.Leader == m.From && m.Term >= v.Term {
			reply.Term, reply.Leader = m.Term, m.From // what we shall have taken in
		}
		reply.StateOK = c.stateOK()
		c.notices.Fill(c.now(), m.From, m.Life, reply)
	case protocol.MeshStatus:
		if l := c.leading.Load(); l != nil {
			ctx, cancel := context.WithTimeout(context.Background(), c.times.Silent/2)
			defer cancel()
			// A peer of an older version asks about one.
			if m.Job != "" {
				m.Jobs = []string{m.Job}
			}
			reply.Statuses, _ = l.Statuses(ctx, m.Jobs)
			if m.Job != "" && len(reply.Statuses) > 0 {
				reply.Status, reply.Statuses = &reply.Statuses[0], nil
			}
		}
	case protocol.MeshReport:
		reply.Body = c.answerReport(m)
	}
	return reply
}

func (c *Controller) stateOK() bool { return c.store.SilentFor() < c.times.Silent/2 }

func (c *Controller) heardPeer(m *protocol.MeshMessage) {
	c.peerHeard.Store(int64(c.now()))
	if m.StateOK {
		c.peersOK.Store(int64(c.now()))
	}
}

// beat tells one peer regularly who leads, and hears what it knows.
func (c *Controller) beat(ctx context.Context, peer string) {
	t := time.NewTicker(c.times.Beat)
	defer t.Stop()
	for ctx.Err() == nil {
		v := c.view.Load()
		sent := c.now()
		m := protocol.MeshMessage{Kind: protocol.MeshBeat, Term: v.Term, Leader: v.Leader, StateOK: c.stateOK()}
		c.notices.Fill(sent, peer, 0, &m)
		r, err := c.mesh.Call(ctx, peer, m)
		if err == nil {
			c.answeredBeat(r, sent)
		}
		select {
		case <-ctx.Done():
		case <-c.wakes[peer]:
		case <-t.C:
		}
	}
}

// answeredBeat takes in a peer's answer to a beat that was sent at the given time.
func (c *Controller) answeredBeat(r *protocol.MeshMessage, sent time.Duration) {
	c.heardPeer(r)
	t := c.takeNotices(r, true)
	c.peersMu.Lock()
	c.peers[r.From] = election.Peer{At: sent, StateOK: r.StateOK, Leader: r.Leader, Complete: t.Complete, Whole: t.Whole}
	c.peersMu.Unlock()
	c.box.Send(election.Beat{From: r.From, Term: r.Term, Leader: r.Leader, Reply: true, Sent: sent,
		Complete: t.Complete, Whole: t.Whole, LifeAt: t.LifeAt})
}

// runElection is the election's actor.
func (c *Controller) runElection(ctx context.Context) {
	step := func(e any) {
		effects := c.elect.Step(c.now(), e)
		c.publish()
		for _, e := range effects {
			c.carryOut(ctx, e)
		}
	}
	c.box.Run(ctx, c.times.Beat, step, func() { step(election.Tick{}) })
	if l := c.leading.Swap(nil); l != nil {
		l.Stop()
	}
}

func (c *Controller) carryOut(ctx context.Context, effect any) {
	switch e := effect.(type) {
	case election.Claim:
		go func() { c.box.Send(c.claim(ctx, e)) }()
	case election.Renew:
		go func() {
			sent := c.now()
			err := c.store.Renew(ctx, e.Lease)
			c.box.Send(election.Renewed{OK: err == nil, NoLease: errors.Is(err, storage.ErrNoLease), Term: e.Term, Sent: sent})
		}()
	case election.Lead:
		l := leader.Start(ctx, leader.Deps{
			Cfg: &c.cfg.Deploy, Log: c.log, Store: c.store, Cloud: c.cloud, Workers: c.workers, Now: c.now,
			Types: c.intake.SetTypes,
			Confirmed: func() bool {
				v := c.view.Load()
				return v.Leading && v.Term == e.Term && c.now() < v.Until
			},
			Watch: c.times.Silent / 2, Confirm: c.times.Confirm, Withdrawals: c.notices.Jobs, IsWithdrawn: c.withdrawn,
			Sighted: func(term uint64, at time.Duration) { c.box.Send(election.Sight{Term: term, At: at}) },
			Deposed: func(term uint64, d scheduler.Depose) {
				if d.Term > term {
					c.box.Send(election.Higher{Term: d.Term})
				}
				c.box.Send(election.Resign{Term: term, Away: d.Away})
			},
		}, e.Term, e.Stamp)
		if old := c.leading.Swap(l); old != nil {
			old.Stop()
		}
	case election.Yield:
		c.log.Info("yielding", "term", e.Term)
		// Its key ends with the lease, and others need not wait for that.
		go func() {
			if err := c.store.EndLease(ctx, e.Lease); err != nil {
				c.log.Debug("lease not ended", "err", err)
			}
		}()
		if l := c.leading.Load(); l != nil && l.Term() == e.Term {
			c.leading.Store(nil)
			l.Stop()
		}
	}
}

// claim tries to take the leadership once. Its transaction holds only while
// neither the leader's key nor the term has changed.
func (c *Controller) claim(ctx context.Context, e election.Claim) election.Claimed {
	sent := c.now()
	fail := func(err error) election.Claimed {
		c.log.Debug("claim failed", "err", err)
		return election.Claimed{}
	}
	tp, err := c.store.Get(ctx, storage.Urgent, storage.TermKey)
	if err != nil {
		return fail(err)
	}
	var rec storage.TermRecord
	if tp.Version != 0 {
		if err := protocol.Decode(tp.Value, &rec); err != nil {
			return fail(err)
		}
	}
	lp, err := c.store.Get(ctx, storage.Urgent, storage.LeaderKey)
	if err != nil {
		return fail(err)
	}
	if rec.Term > e.Over && lp.Version != 0 && rec.Node != c.cfg.Node {
		c.box.Send(election.Key{Present: true, Node: rec.Node, Term: rec.Term})
		return election.Claimed{}
	}
	lease, err := c.store.Lease(ctx, c.times.TTL)
	if err != nil {
		return fail(err)
	}
	// A worker may have seen a token that no record tells of any more only if
	// the state service lost it; be above what we have seen all the same.
	term := max(rec.Term, e.Over) + 1
	value, err := protocol.Encode(storage.TermRecord{Term: term, Node: c.cfg.Node, Claim: fmt.Sprint(lease)})
	if err != nil {
		return fail(err)
	}
	lvalue, err := protocol.Encode(storage.LeaderRecord{Node: c.cfg.Node, Term: term})
	if err != nil {
		return fail(err)
	}
	rev, ok, err := c.store.Txn(ctx, storage.Urgent, protocol.Txn{
		If:   []protocol.Cond{{Key: storage.TermKey, Version: tp.Version}, {Key: storage.LeaderKey, Version: lp.Version}},
		Then: []protocol.Op{{Put: storage.TermKey, Value: value}, {Put: storage.LeaderKey, Value: lvalue, Lease: lease}},
	})
	if err != nil || !ok {
		return fail(fmt.Errorf("transaction ok=%v: %w", ok, err))
	}
	return election.Claimed{Won: true, Term: term, Stamp: rev, Lease: lease, Sent: sent}
}

// watchLeader follows the leader's key.
func (c *Controller) watchLeader(ctx context.Context) {
	var rev uint64
	wait := config.Seconds(c.cfg.Deploy.Workers.LeaseS)
	fresh := false
	for ctx.Err() == nil {
		if !fresh {
			p, err := c.store.Get(ctx, storage.Urgent, storage.LeaderKey)
			if err != nil {
				storage.Pause(ctx, c.times.Beat)
				continue
			}
			c.leaderKey(p.Value, p.Version)
			rev, fresh = max(rev, p.Version), true
			if p.Version == 0 {
				pairs, r, err := c.store.List(ctx, storage.LeaderKey)
				if err != nil {
					fresh = false
					storage.Pause(ctx, c.times.Beat)
					continue
				}
				rev = max(rev, r)
				for _, p := range pairs {
					c.leaderKey(p.Value, p.Version)
				}
			}
		}
		ev, err := c.store.Watch(ctx, storage.LeaderKey, rev, wait)
		if err != nil {
			fresh = !errors.Is(err, storage.ErrCompacted)
			storage.Pause(ctx, c.times.Beat)
			continue
		}
		rev = max(rev, ev.Revision)
		for _, e := range ev.Events {
			if e.Delete != "" {
				c.leaderKey(nil, 0)
			} else {
				c.leaderKey(e.Value, e.Version)
			}
		}
	}
}

func (c *Controller) leaderKey(value []byte, version uint64) {
	if version == 0 {
		c.box.Send(election.Key{Term: c.view.Load().Term})
		return
	}
	var rec storage.LeaderRecord
	if err := protocol.Decode(value, &rec); err != nil {
		c.log.Error("leader record out of form", "err", err)
		return
	}
	c.box.Send(election.Key{Present: true, Node: rec.Node, Term: rec.Term})
}

// learnTypes reads the machine types once, without which nobody can be
// answered; the leader follows the prices.
func (c *Controller) learnTypes(ctx context.Context) {
	for ctx.Err() == nil && !c.intake.Ready() {
		types, err := c.cloud.Types(ctx, c.store)
		if err == nil {
			c.intake.SetTypes(types)
			return
		}
		c.log.Info("machine types not read", "err", err)
		storage.Pause(ctx, c.times.Beat*2)
	}
}
