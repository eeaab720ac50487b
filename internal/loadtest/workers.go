package loadtest

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
	"pinebay/internal/transport"
)

// How a worker calls controllers.
const (
	workerConnectionsPerHost = 1
	workerConnections        = 2
	// idleConnectionTimeout is longer than the interval between two heartbeats.
	idleConnectionTimeout = 5 * time.Minute
)

func newWorkerClient(network transport.Network) *transport.Client {
	return transport.NewClient(network, workerConnectionsPerHost, workerConnections, idleConnectionTimeout)
}

// startWorker starts the worker of a machine. The cloud's model calls it, with mu held.
func (r *run) startWorker(m protocol.ListedMachine) {
	if m.Type == workerProcessType {
		r.startWorkerProcess(m)
		return
	}
	worker := r.world.AddMachine(r.now(), m.Name, m.Zone, m.Spot, &r.machineTypes[0], r.cfg.Lease)
	host, _, err := net.SplitHostPort(m.Addr)
	if err != nil {
		r.fail(fmt.Errorf("address of worker %s: %w", m.Name, err))
		return
	}
	network := meteredNetwork{from: net.ParseIP(host), bytes: &r.meter.bytes[LinkHeartbeats]}
	a := simulation.NewAgent(r.ctx, r.environment, worker, m.Addr, newWorkerClient(network))
	a.OnHeartbeat = func(*protocol.WorkerHeartbeat) { r.meter.CountMessage(LinkHeartbeats, "report") }
	a.OnReply = func(took time.Duration, status int) {
		r.meter.RecordLatency(HeartbeatReply, took)
		if status == http.StatusOK {
			r.recordHeartbeatReply(a)
		}
	}
	r.agents[host] = a
	r.workerHosts[m.Name] = host
	firstController := r.rng.IntN(len(r.controllers))
	r.wg.Go(func() {
		r.stagger(a)
		a.Run(firstController)
	})
}

// stagger spreads the first heartbeats of the workers over one interval.
func (r *run) stagger(a *simulation.Agent) {
	r.mu.Lock()
	pause := r.randomDuration(r.cfg.HeartbeatInterval)
	r.mu.Unlock()
	select {
	case <-time.After(pause):
	case <-a.Done():
	}
}

// stopWorker ends the worker of a machine. The cloud's model calls it, with mu held.
func (r *run) stopWorker(machine string) {
	if p := r.processes[machine]; p != nil {
		_ = p.cmd.Process.Kill() // fails if it has exited already
		delete(r.processes, machine)
	}
	host := r.workerHosts[machine]
	if a := r.agents[host]; a != nil {
		a.Stop()
		delete(r.agents, host)
		delete(r.workerHosts, machine)
	}
	r.world.RemoveMachine(machine)
}

// serveCommands passes a command on to the hollow worker at whose address it has arrived.
func (r *run) serveCommands(w http.ResponseWriter, req *http.Request) {
	local, ok := req.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok || !local.IP.IsLoopback() {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	r.mu.Lock()
	a := r.agents[local.IP.String()]
	r.mu.Unlock()
	if a == nil {
		panic(http.ErrAbortHandler) // the machine is gone: it does not answer
	}
	a.ServeHTTP(w, req)
}

// serve runs an HTTP service at an address until the run ends. An address that is not free is an
// error of the configuration.
func (r *run) serve(link Link, addr string, handler http.Handler) error {
	l, err := new(net.ListenConfig).Listen(r.ctx, "tcp4", addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
	}
	srv := newServer(r.meter.handler(link, handler))
	r.wg.Go(func() { _ = srv.Serve(meteredListener{l, &r.meter.bytes[link]}) }) // it ends with Close
	context.AfterFunc(r.ctx, func() { _ = srv.Close() })                        // nobody is left to be told
	return nil
}

// newServer returns an HTTP server that does not log: clients that break connections are normal.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ReadHeaderTimeout: time.Minute,
	}
}
