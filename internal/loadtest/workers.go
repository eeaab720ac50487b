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

// Parameters of the connections from a worker to the controllers.
const (
	workerConnectionsPerHost = 1
	workerConnections        = 2
	// idleConnectionTimeout is longer than the interval between two heartbeats, so that connections are reused.
	idleConnectionTimeout = 5 * time.Minute
)

func newWorkerClient(network transport.Network) *transport.Client {
	return transport.NewClient(network, workerConnectionsPerHost, workerConnections, idleConnectionTimeout)
}

// startWorker starts the worker of a machine. The model of the cloud calls it with mu held.
func (r *sizeRun) startWorker(m protocol.ListedMachine) {
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

// stagger delays the first heartbeat of a worker by a random time, so that the heartbeats of all workers are spread
// over one heartbeat interval.
func (r *sizeRun) stagger(a *simulation.Agent) {
	r.mu.Lock()
	pause := r.randomDuration(r.cfg.HeartbeatInterval)
	r.mu.Unlock()
	select {
	case <-time.After(pause):
	case <-a.Done():
	}
}

// stopWorker stops the worker of a machine. The model of the cloud calls it with mu held.
func (r *sizeRun) stopWorker(machine string) {
	if p := r.workerProcesses[machine]; p != nil {
		_ = p.cmd.Process.Kill() // fails only if the process has already exited
		delete(r.workerProcesses, machine)
	}
	host := r.workerHosts[machine]
	if a := r.agents[host]; a != nil {
		a.Stop()
		delete(r.agents, host)
		delete(r.workerHosts, machine)
	}
	r.world.RemoveMachine(machine)
}

// serveCommands passes a request with commands to the hollow worker at the IP address to which the request was sent.
func (r *sizeRun) serveCommands(w http.ResponseWriter, req *http.Request) {
	local, ok := req.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok || !local.IP.IsLoopback() {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	r.mu.Lock()
	a := r.agents[local.IP.String()]
	r.mu.Unlock()
	if a == nil {
		panic(http.ErrAbortHandler) // the machine is gone: close the connection without a response
	}
	a.ServeHTTP(w, req)
}

// serve runs an HTTP server at an address until the run ends. If it cannot listen there, for example because the port
// is in use, the error wraps [ErrInvalidConfig].
func (r *sizeRun) serve(link Link, addr string, handler http.Handler) error {
	l, err := new(net.ListenConfig).Listen(r.ctx, "tcp4", addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
	}
	srv := newServer(r.meter.handler(link, handler))
	r.wg.Go(func() { _ = srv.Serve(meteredListener{l, &r.meter.bytes[link]}) }) // returns when srv is closed
	context.AfterFunc(
		r.ctx,
		func() { _ = srv.Close() },
	) // the run has ended: there is nothing to report an error to
	return nil
}

// newServer returns an HTTP server that does not log errors, because broken client connections are normal in a load
// test.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ReadHeaderTimeout: time.Minute,
	}
}
