package simulation

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/transport"
)

const (
	// minChangeInterval is the minimum time between two heartbeats if the second is sent because of a change.
	minChangeInterval = 500 * time.Millisecond
	// maxRedirectDelay is the maximum time until a worker follows a redirect.
	maxRedirectDelay = 500 * time.Millisecond
	// resumeDelay lets a machine that no longer hangs notice first whether its lease has expired.
	resumeDelay = 60 * time.Millisecond
)

// Controller is the name of a controller and the address at which workers and users reach it.
type Controller struct{ Name, Addr string }

// Environment is what the workers of a simulation share.
type Environment struct {
	Lock              sync.Locker // guards the world
	Now               func() time.Duration
	Random            *random.Source
	Controllers       []Controller
	HeartbeatInterval time.Duration
	// OnError is called for responses that no controller should ever send.
	OnError func(error)
}

// Agent is the process of a worker: it sends heartbeats and executes commands, for a machine that is a model.
type Agent struct {
	*Environment
	Worker *Worker
	Addr   string
	Client *transport.Client
	// HeartbeatsLost says that no heartbeat reaches a controller. It is guarded by Lock.
	HeartbeatsLost bool
	// OnHeartbeat, if set, is called with Lock held for each heartbeat that is sent.
	OnHeartbeat func(*protocol.WorkerHeartbeat)
	// OnReply, if set, is called for each reply with the time that it took.
	OnReply func(took time.Duration, status int)
	// OnTaskStatus, if set, is called with Lock held before any status of the tasks is sent.
	OnTaskStatus func(*protocol.WorkerHeartbeat)

	ctx    context.Context
	cancel context.CancelFunc
	resume chan struct{} // closed when the machine no longer hangs
	wake   chan struct{} // has an element when something has changed
}

// NewAgent returns an agent, which ends with ctx or Stop.
func NewAgent(ctx context.Context, env *Environment, w *Worker, addr string, client *transport.Client) *Agent {
	a := &Agent{
		Environment: env,
		Worker:      w,
		Addr:        addr,
		Client:      client,
		resume:      make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	w.OnChange = a.wakeUp
	return a
}

// Stop ends the agent.
func (a *Agent) Stop() { a.cancel() }

// Done is closed when the agent has been stopped.
func (a *Agent) Done() <-chan struct{} { return a.ctx.Done() }

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Hang makes the machine execute nothing until Resume. The caller holds Lock.
func (a *Agent) Hang() { a.Worker.Hung = true }

// Resume ends what Hang began. Commands that were delayed by it arrive within the grace period. The caller holds Lock.
func (a *Agent) Resume(grace time.Duration) {
	a.Worker.Hung, a.Worker.ExcusedUntil = false, a.Now()+grace
	close(a.resume)
	a.resume = make(chan struct{})
}

// waitUntilAwake waits until the machine does not hang. It returns true with Lock held, or false without it if the
// agent has ended. Activities with different purposes resume one after the other.
func (a *Agent) waitUntilAwake(purpose string) bool {
	for {
		a.Lock.Lock()
		if !a.Worker.Hung {
			return true
		}
		resume := a.resume
		a.Lock.Unlock()
		select {
		case <-resume:
			a.pause(resumeDelay + a.Random.UpTo("resume "+a.Worker.Name+purpose, resumeDelay))
		case <-a.ctx.Done():
			return false
		}
	}
}

// pause waits, and reports whether the agent still runs.
func (a *Agent) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// ServeHTTP executes requests that are sent to the worker's address.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || !a.waitUntilAwake(r.URL.Path+string(raw)) {
		return
	}
	status, body := a.handleRequest(r.URL.Path, raw)
	a.Lock.Unlock()
	writeResponse(w, status, body)
}

// handleRequest executes a request. The caller holds Lock.
func (a *Agent) handleRequest(path string, raw []byte) (int, any) {
	if path == "/inspect" {
		return http.StatusOK, a.nextHeartbeat()
	}
	var batch protocol.CommandBatch
	if err := protocol.Decode(raw, &batch); err != nil {
		return badRequest(err)
	}
	heartbeat, ok := a.Worker.HandleCommands(a.Now(), batch)
	heartbeat.Addr = a.Addr
	a.notifyTaskStatus(heartbeat)
	if !ok {
		return http.StatusConflict, heartbeat
	}
	return http.StatusOK, heartbeat
}

// nextHeartbeat returns the next heartbeat. The caller holds Lock.
func (a *Agent) nextHeartbeat() *protocol.WorkerHeartbeat {
	heartbeat := a.Worker.NextHeartbeat()
	heartbeat.Addr = a.Addr
	a.notifyTaskStatus(heartbeat)
	return heartbeat
}

func (a *Agent) notifyTaskStatus(heartbeat *protocol.WorkerHeartbeat) {
	if a.OnTaskStatus != nil {
		a.OnTaskStatus(heartbeat)
	}
}

// Run sends heartbeats until the agent ends, first to the controller with the given index.
func (a *Agent) Run(at int) {
	for a.ctx.Err() == nil {
		a.waitForHeartbeat()
		redirected := true
		for redirected && a.ctx.Err() == nil {
			if at, redirected = a.sendHeartbeat(at); redirected {
				a.pause(a.Random.UpTo("redirect "+a.Worker.Name, maxRedirectDelay))
			}
		}
	}
}

// waitForHeartbeat waits until a heartbeat is due, because of the time or of a change.
func (a *Agent) waitForHeartbeat() {
	due := a.HeartbeatInterval*3/4 + a.Random.UpTo("report "+a.Worker.Name, a.HeartbeatInterval/2)
	timer := time.NewTimer(due)
	defer timer.Stop()
	if !a.pause(min(minChangeInterval, due)) {
		return
	}
	for {
		a.Lock.Lock()
		changed := a.Worker.Changed
		a.Lock.Unlock()
		if changed {
			return
		}
		select {
		case <-a.wake:
		case <-timer.C:
			return
		case <-a.ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends a heartbeat to a controller. It returns the controller for the next one, and whether the reply
// named that controller: then the worker does not wait until its next heartbeat is due.
func (a *Agent) sendHeartbeat(at int) (next int, redirected bool) {
	if !a.waitUntilAwake("report") {
		return at, false
	}
	heartbeat := a.nextHeartbeat()
	sent, incarnation, lost := a.Now(), a.Worker.Incarnation, a.HeartbeatsLost
	if a.OnHeartbeat != nil {
		a.OnHeartbeat(heartbeat)
	}
	a.Lock.Unlock()
	if lost {
		a.pause(protocol.HeartbeatTimeout)
		return a.nextController(at), false
	}
	url := "http://" + a.Controllers[at].Addr + "/v1/report"
	status, raw, err := a.Client.Do(a.ctx, protocol.HeartbeatTimeout, http.MethodPost, url, heartbeat)
	if err != nil {
		return a.nextController(at), false
	}
	if a.OnReply != nil {
		a.OnReply(a.Now()-sent, status)
	}
	switch status {
	case http.StatusOK:
		a.handleReply(raw, sent, incarnation)
		return at, false
	case http.StatusMisdirectedRequest:
		if to, ok := a.redirectTarget(raw); ok && to != at {
			return to, true
		}
	}
	return a.nextController(at), false
}

// nextController pauses, and returns the controller after the given one.
func (a *Agent) nextController(at int) int {
	a.pause(protocol.HeartbeatRetryDelay)
	return (at + 1) % len(a.Controllers)
}

// handleReply executes the reply to a heartbeat that was sent at the given time by the given incarnation.
func (a *Agent) handleReply(raw []byte, sent time.Duration, incarnation uint64) {
	var reply protocol.WorkerHeartbeatReply
	if err := protocol.Decode(raw, &reply); err != nil {
		a.OnError(err)
		return
	}
	if !a.waitUntilAwake("answer") {
		return
	}
	defer a.Lock.Unlock()
	if a.Now()-sent > protocol.HeartbeatTimeout {
		return
	}
	old := a.Worker.FencingToken
	a.Worker.HandleReply(a.Now(), sent, incarnation, reply)
	a.Worker.Changed = a.Worker.Changed || a.Worker.FencingToken != old
}

// redirectTarget returns the controller that a reply names.
func (a *Agent) redirectTarget(raw []byte) (int, bool) {
	var redirect protocol.Redirect
	if err := protocol.Decode(raw, &redirect); err != nil {
		a.OnError(err)
		return 0, false
	}
	for i, c := range a.Controllers {
		if c.Name == redirect.Leader {
			return i, true
		}
	}
	return 0, false
}
