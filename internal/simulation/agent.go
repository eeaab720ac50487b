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
	// minChangeInterval is the minimum time between a heartbeat and a following one that a state change triggers.
	minChangeInterval = 500 * time.Millisecond
	// maxRedirectDelay limits the random delay before a worker follows a redirect.
	maxRedirectDelay = 500 * time.Millisecond
	// resumeDelay is the minimum time between the end of a hang and the next message that the machine handles, so that
	// it first notices whether its lease has expired.
	resumeDelay = 60 * time.Millisecond
)

// Controller identifies a controller by its name and the address that workers and users connect to.
type Controller struct{ Name, Addr string }

// Environment holds what all agents of a simulation share.
type Environment struct {
	Lock              sync.Locker // guards the World
	Now               func() time.Duration
	Random            *random.Source
	Controllers       []Controller
	HeartbeatInterval time.Duration
	// OnError is called for responses that violate the protocol, such as malformed ones.
	OnError func(error)
}

// Agent is the network side of a worker: it sends the heartbeats of a modeled machine over HTTP and passes commands on
// to the model.
type Agent struct {
	*Environment
	Worker *Worker
	Addr   string
	Client *transport.Client
	// HeartbeatsLost makes every heartbeat time out without reaching a controller. It is guarded by Lock.
	HeartbeatsLost bool
	// OnHeartbeat, if set, is called with Lock held for each heartbeat that is sent.
	OnHeartbeat func(*protocol.WorkerHeartbeat)
	// OnReply, if set, is called for each reply with its round-trip time.
	OnReply func(took time.Duration, status int)
	// OnTaskStatus, if set, is called with Lock held before task statuses are sent in a heartbeat or a response.
	OnTaskStatus func(*protocol.WorkerHeartbeat)

	ctx    context.Context
	cancel context.CancelFunc
	resume chan struct{} // closed when the machine stops hanging
	wake   chan struct{} // buffers one notification of a state change
}

// NewAgent returns an agent that runs until ctx is done or Stop is called.
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

// Done returns a channel that is closed when the agent is stopped.
func (a *Agent) Done() <-chan struct{} { return a.ctx.Done() }

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Hang suspends the machine until Resume is called: it neither runs tasks nor handles messages. The caller holds Lock.
func (a *Agent) Hang() { a.Worker.Hung = true }

// Resume ends a hang. Commands that were delayed by it may still arrive within the grace period, see
// Worker.LateCommandsAllowedUntil. The caller holds Lock.
func (a *Agent) Resume(grace time.Duration) {
	a.Worker.Hung, a.Worker.LateCommandsAllowedUntil = false, a.Now()+grace
	close(a.resume)
	a.resume = make(chan struct{})
}

// waitUntilAwake waits while the machine hangs. It returns true with Lock held, or false without Lock if the agent was
// stopped. The random delay after a hang is derived from purpose, so that activities with different purposes resume at
// different moments and in the same order in every run.
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

// pause waits for d and reports whether the agent is still running.
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

// ServeHTTP handles requests that are sent to the worker's address.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || !a.waitUntilAwake(r.URL.Path+string(raw)) {
		return
	}
	status, body := a.handleRequest(r.URL.Path, raw)
	a.Lock.Unlock()
	writeResponse(w, status, body)
}

// handleRequest handles a probe or a batch of commands and returns the response. The caller holds Lock.
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

// nextHeartbeat returns the next heartbeat to send. The caller holds Lock.
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

// Run sends heartbeats until the agent is stopped. The first one goes to the controller with the given index.
func (a *Agent) Run(index int) {
	for a.ctx.Err() == nil {
		a.waitForHeartbeat()
		redirected := true
		for redirected && a.ctx.Err() == nil {
			if index, redirected = a.sendHeartbeat(index); redirected {
				a.pause(a.Random.UpTo("redirect "+a.Worker.Name, maxRedirectDelay))
			}
		}
	}
}

// waitForHeartbeat waits until the next heartbeat is due: when its randomized interval has passed, or earlier if the
// state of the machine has changed.
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

// sendHeartbeat sends a heartbeat to the controller with the given index. It returns the index of the controller for
// the next heartbeat. redirected reports whether a redirect named that controller; the next heartbeat is then sent
// without waiting for the interval.
func (a *Agent) sendHeartbeat(index int) (next int, redirected bool) {
	if !a.waitUntilAwake("report") {
		return index, false
	}
	heartbeat := a.nextHeartbeat()
	sent, incarnation, lost := a.Now(), a.Worker.Incarnation, a.HeartbeatsLost
	if a.OnHeartbeat != nil {
		a.OnHeartbeat(heartbeat)
	}
	a.Lock.Unlock()
	if lost {
		a.pause(protocol.HeartbeatTimeout)
		return a.nextController(index), false
	}
	url := "http://" + a.Controllers[index].Addr + "/v1/report"
	status, raw, err := a.Client.Do(a.ctx, protocol.HeartbeatTimeout, http.MethodPost, url, heartbeat)
	if err != nil {
		return a.nextController(index), false
	}
	if a.OnReply != nil {
		a.OnReply(a.Now()-sent, status)
	}
	switch status {
	case http.StatusOK:
		a.handleReply(raw, sent, incarnation)
		return index, false
	case http.StatusMisdirectedRequest:
		if to, ok := a.redirectTarget(raw); ok && to != index {
			return to, true
		}
	}
	return a.nextController(index), false
}

// nextController waits for the retry delay and returns the index of the controller that follows the given one.
func (a *Agent) nextController(index int) int {
	a.pause(protocol.HeartbeatRetryDelay)
	return (index + 1) % len(a.Controllers)
}

// handleReply handles the reply to a heartbeat. sent and incarnation are the time at which the heartbeat was sent and
// the worker's incarnation then. A reply that is older than the heartbeat timeout is dropped.
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

// redirectTarget returns the index of the controller that a redirect names, or false if it names none that is known.
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
