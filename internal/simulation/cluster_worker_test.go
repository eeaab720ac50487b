package simulation

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// workerProcess is a machine of the cluster with the process of its worker.
type workerProcess struct {
	*Agent
	cluster *cluster
	model   *Worker
	machine protocol.ListedMachine
	ip      string
	host    *Host
}

// startWorker starts the worker of a machine. The caller holds l.mu.
func (l *cluster) startWorker(m protocol.ListedMachine) {
	r := &workerProcess{cluster: l, machine: m, ip: HostOf(m.Addr)}
	r.model = l.world.AddMachine(
		l.now(),
		m.Name,
		m.Zone,
		m.Spot,
		&l.types[0],
		config.Seconds(l.cfg.Workers.LeaseSeconds),
	)
	l.workers[m.Name] = r
	r.host = l.net.Host(r.ip)
	r.Agent = NewAgent(l.ctx, l.environment(), r.model, m.Addr, transport.NewClient(r.host, 2, 4, time.Minute))
	r.OnHeartbeat = func(rep *protocol.WorkerHeartbeat) {
		if l.onHeartbeat != nil {
			l.onHeartbeat(rep)
		}
		if r.HeartbeatsLost {
			l.occurred["mute"]++
		}
	}
	ln, err := r.host.Listen(l.ctx, m.Addr)
	if err != nil {
		l.t.Error(err)
		return
	}
	srv := &http.Server{Handler: r.Agent, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	l.spawn(func() { _ = srv.Serve(ln) })
	context.AfterFunc(r.ctx, func() {
		_ = srv.Close()
		r.host.Kill()
	})
	at := l.randomInt("first "+m.Name, len(l.controllers))
	l.spawn(func() { r.Run(at) })
}

// stopWorker ends the worker of a machine. The caller holds l.mu.
func (l *cluster) stopWorker(name string) {
	if r := l.workers[name]; r != nil {
		r.Stop()
		delete(l.workers, name)
	}
	l.world.RemoveMachine(name)
}

// environment returns what the workers share.
func (l *cluster) environment() *Environment {
	s := &Environment{
		Lock:              &l.mu,
		Now:               l.now,
		Random:            l.random.Named("workers"),
		HeartbeatInterval: config.Seconds(l.cfg.Workers.HeartbeatSeconds),
		OnError:           func(err error) { l.t.Error(err) },
	}
	for _, n := range l.controllers {
		s.Controllers = append(s.Controllers, Controller{Name: n.name, Addr: n.ip + ":8080"})
	}
	return s
}

// hang makes the machine execute nothing for a while. The caller holds the cluster's lock.
func (r *workerProcess) hang(d time.Duration) {
	r.Hang()
	r.cluster.occurred["hang"]++
	time.AfterFunc(d, func() {
		r.cluster.mu.Lock()
		defer r.cluster.mu.Unlock()
		r.Resume(s)
	})
}

// deliverCopy sends a copy of a heartbeat to a controller, and drops the reply.
func (l *cluster) deliverCopy(rep *protocol.WorkerHeartbeat, to *controller) {
	c := transport.NewClient(l.net.Host("10.1.9.9"), 4, 4, time.Second)
	if status, _, err := c.Do(
		l.ctx,
		protocol.HeartbeatTimeout,
		http.MethodPost,
		"http://"+to.ip+":8080/v1/report",
		rep,
	); err == nil &&
		status == http.StatusOK {
		l.recordOccurrence("late report taken")
	}
	l.recordOccurrence("late report")
}
