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

// firstWorkerIP is the first worker's address; each has one of its own on the loopback
// device, and all share one listener.
var firstWorkerIP = [4]byte{127, 1, 0, 0}

// workerIP returns a worker's address.
func workerIP(number int) net.IP {
	const octet = 250 // addresses that end in 0 or 255 are left out
	return net.IPv4(
		firstWorkerIP[0],
		firstWorkerIP[1]+byte(number/octet/octet),
		byte(number/octet%octet),
		byte(1+number%octet),
	)
}

// idleConnectionTimeout is how long a worker keeps a connection that it does not use: longer than
// the time between two reports.
const idleConnectionTimeout = 5 * time.Minute

// startWorker starts a hollow worker; the world's lock is held.
func (r *run) startWorker(m protocol.ListedMachine) {
	if m.Type == workerProcessType {
		r.startWorkerProcess(m)
		return
	}
	w := r.world.AddMachine(r.now(), m.Name, m.Zone, m.Spot, &r.machineTypes[0], r.cfg.Lease)
	host, _, err := net.SplitHostPort(m.Addr)
	if err != nil {
		r.fail(fmt.Errorf("worker's address: %w", err))
		return
	}
	network := meteredNetwork{from: net.ParseIP(host), bytes: &r.meter.bytes[LinkHeartbeats]}
	a := simulation.NewAgent(
		r.ctx,
		r.surroundings,
		w,
		m.Addr,
		transport.NewClient(network, 1, 2, idleConnectionTimeout),
	)
	a.OnHeartbeat = func(*protocol.WorkerHeartbeat) { r.meter.CountMessage(LinkHeartbeats, "report") }
	a.OnReply = func(took time.Duration, status int) {
		r.meter.RecordLatency(HeartbeatReply, took)
		if status == http.StatusOK {
			r.recordHeartbeatReply(a)
		}
	}
	r.agents[host] = a
	r.workerHosts[m.Name] = host
	at := r.rng.IntN(len(r.controllers))
	r.wg.Go(func() {
		r.stagger(a)
		a.Run(at)
	})
}

// stagger spreads the first reports over an interval.
func (r *run) stagger(a *simulation.Agent) {
	r.mu.Lock()
	pause := r.randomDuration(r.cfg.HeartbeatInterval)
	r.mu.Unlock()
	select {
	case <-time.After(pause):
	case <-a.Done():
	}
}

// stopWorker ends a hollow worker; the world's lock is held.
func (r *run) stopWorker(name string) {
	if p := r.processes[name]; p != nil {
		_ = p.cmd.Process.Kill() // it may have ended by itself
		delete(r.processes, name)
	}
	host := r.workerHosts[name]
	if a := r.agents[host]; a != nil {
		a.Stop()
		delete(r.agents, host)
		delete(r.workerHosts, name)
	}
	r.world.RemoveMachine(name)
}

// serveCommands passes a command to the worker whose address it was sent to.
func (r *run) serveCommands(w http.ResponseWriter, q *http.Request) {
	local, ok := q.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok || !local.IP.IsLoopback() {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	r.mu.Lock()
	a := r.agents[local.IP.String()]
	r.mu.Unlock()
	if a == nil {
		// The machine is gone: nobody answers there.
		panic(http.ErrAbortHandler)
	}
	a.ServeHTTP(w, q)
}

// serve runs a service on an address until the run ends.
func (r *run) serve(link Link, addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
	}
	srv := &http.Server{
		Handler: r.meter.handler(link, h), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ReadHeaderTimeout: time.Minute,
	}
	r.wg.Go(func() { _ = srv.Serve(meteredListener{l, &r.meter.bytes[link]}) })
	context.AfterFunc(r.ctx, func() { srv.Close() })
	return nil
}
