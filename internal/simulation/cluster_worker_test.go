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

// workerProcess is a machine of the cluster, with the model and the agent of its worker.
type workerProcess struct {
	*Agent
	cluster *cluster
	model   *Worker
	machine protocol.ListedMachine
	ip      string
	host    *Host
}

// startWorker starts the worker of a machine that has booted. The caller holds c.mu.
func (c *cluster) startWorker(m protocol.ListedMachine) {
	r := &workerProcess{cluster: c, machine: m, ip: HostOf(m.Addr)}
	r.model = c.world.AddMachine(
		c.now(),
		m.Name,
		m.Zone,
		m.Spot,
		&c.types[0],
		config.Seconds(c.cfg.Workers.LeaseSeconds),
	)
	c.workers[m.Name] = r
	r.host = c.net.Host(r.ip)
	r.Agent = NewAgent(c.ctx, c.environment(), r.model, m.Addr, transport.NewClient(r.host, 2, 4, time.Minute))
	r.OnHeartbeat = func(heartbeat *protocol.WorkerHeartbeat) {
		if c.onHeartbeat != nil {
			c.onHeartbeat(heartbeat)
		}
		if r.HeartbeatsLost {
			c.occurred["mute"]++
		}
	}
	ln, err := r.host.Listen(c.ctx, m.Addr)
	if err != nil {
		c.t.Error(err)
		return
	}
	srv := &http.Server{Handler: r.Agent, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	c.spawn(func() { _ = srv.Serve(ln) })
	context.AfterFunc(r.ctx, func() {
		_ = srv.Close()
		r.host.Kill()
	})
	at := c.randomInt("first "+m.Name, len(c.controllers))
	c.spawn(func() { r.Run(at) })
}

// stopWorker stops the worker of a machine that was removed. The caller holds c.mu.
func (c *cluster) stopWorker(name string) {
	if r := c.workers[name]; r != nil {
		r.Stop()
		delete(c.workers, name)
	}
	c.world.RemoveMachine(name)
}

// environment returns the environment that the agents of all workers share.
func (c *cluster) environment() *Environment {
	env := &Environment{
		Lock:              &c.mu,
		Now:               c.now,
		Random:            c.random.Derive("workers"),
		HeartbeatInterval: config.Seconds(c.cfg.Workers.HeartbeatSeconds),
		OnError:           func(err error) { c.t.Error(err) },
	}
	for _, n := range c.controllers {
		env.Controllers = append(env.Controllers, Controller{Name: n.name, Addr: n.ip + ":8080"})
	}
	return env
}

// hang suspends the machine for a while. The caller holds the mu of the cluster.
func (r *workerProcess) hang(d time.Duration) {
	r.Hang()
	r.cluster.occurred["hang"]++
	time.AfterFunc(d, func() {
		r.cluster.mu.Lock()
		defer r.cluster.mu.Unlock()
		r.Resume(s)
	})
}

// deliverCopy sends a copy of a heartbeat to a controller and discards the reply.
func (c *cluster) deliverCopy(heartbeat *protocol.WorkerHeartbeat, to *controller) {
	client := transport.NewClient(c.net.Host("10.1.9.9"), 4, 4, time.Second)
	if status, _, err := client.Do(
		c.ctx,
		protocol.HeartbeatTimeout,
		http.MethodPost,
		"http://"+to.ip+":8080/v1/report",
		heartbeat,
	); err == nil &&
		status == http.StatusOK {
		c.recordOccurrence("late report taken")
	}
	c.recordOccurrence("late report")
}
