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

// minChangeInterval is the least time between two reports because of a change, and maxRedirectDelay
// the longest that a worker waits before it follows a redirect, both by the protocol.
const (
	minChangeInterval = 500 * time.Millisecond
	maxRedirectDelay  = 500 * time.Millisecond
	// resumeDelay lets a machine that no longer hangs see first whether its lease is over.
	resumeDelay = 60 * time.Millisecond
)

// Controller names a controller and where workers and users reach it.
type Controller struct{ Name, Addr string }

// Environment is what the workers and users of a simulation share.
type Environment struct {
	Lock              sync.Locker // guards the world
	Now               func() time.Duration
	Random            *random.Source
	Controllers       []Controller
	HeartbeatInterval time.Duration // between two reports
	// OnError is told of what no worker should ever see.
	OnError func(error)
}

// Agent is the process of a worker: it reports to the controllers and takes their commands
// as the protocol says, for a worker that is a model.
type Agent struct {
	*Environment
	Worker *Worker
	Addr   string
	Client *transport.Client
	// HeartbeatsLost says that no report reaches a controller; it is read with the lock held.
	HeartbeatsLost bool
	// OnHeartbeat, if set, sees every report that is sent, with the lock held, and OnReply
	// how long the answer took.
	OnHeartbeat func(*protocol.WorkerHeartbeat)
	OnReply     func(took time.Duration, status int)
	// OnTaskStatus, if set, hears everything that the worker is about to say of its tasks, with the
	// lock held.
	OnTaskStatus func(*protocol.WorkerHeartbeat)

	ctx    context.Context
	cancel context.CancelFunc
	resume chan struct{}
	wake   chan struct{}
}

// NewAgent returns an agent that runs until the context ends or it is stopped.
func NewAgent(ctx context.Context, s *Environment, w *Worker, addr string, client *transport.Client) *Agent {
	a := &Agent{
		Environment: s,
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

// Hang makes the machine execute nothing until Resume; the lock is held.
func (a *Agent) Hang() { a.Worker.Hung = true }

// Resume ends what Hang began; the lock is held. Commands that were held up arrive within
// the grace.
func (a *Agent) Resume(grace time.Duration) {
	a.Worker.Hung, a.Worker.ExcusedUntil = false, a.Now()+grace
	close(a.resume)
	a.resume = make(chan struct{})
}

// waitUntilAwake waits until the machine does not hang, and returns with the lock held, or false
// without it. What waits for that, for different purposes, goes on one after the other.
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

// pause waits for a time, and says whether the agent still runs.
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

// ServeHTTP takes direct commands.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || !a.waitUntilAwake(r.URL.Path+string(raw)) {
		return
	}
	status, body := a.handleRequest(r.URL.Path, raw)
	a.Lock.Unlock()
	writeResponse(w, status, body)
}

// handleRequest carries out a request; the lock is held.
func (a *Agent) handleRequest(path string, raw []byte) (int, any) {
	if path == "/inspect" {
		return http.StatusOK, a.nextHeartbeat()
	}
	var orders protocol.CommandBatch
	if err := protocol.Decode(raw, &orders); err != nil {
		return http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()}
	}
	report, ok := a.Worker.HandleCommands(a.Now(), orders)
	report.Addr = a.Addr
	a.notifyTaskStatus(report)
	if !ok {
		return http.StatusConflict, report
	}
	return http.StatusOK, report
}

// nextHeartbeat returns the next report; the lock is held.
func (a *Agent) nextHeartbeat() *protocol.WorkerHeartbeat {
	r := a.Worker.NextHeartbeat()
	r.Addr = a.Addr
	a.notifyTaskStatus(r)
	return r
}

func (a *Agent) notifyTaskStatus(r *protocol.WorkerHeartbeat) {
	if a.OnTaskStatus != nil {
		a.OnTaskStatus(r)
	}
}

// Run reports until the agent is stopped, to the controller with that number first.
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

// waitForHeartbeat waits until a report is due: by its time, or because something has changed.
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

// sendHeartbeat sends a report to a controller, and returns the one to report to next, and
// whether that one was named by the answer: then the worker goes there without waiting
// for its next report.
func (a *Agent) sendHeartbeat(at int) (next int, redirected bool) {
	if !a.waitUntilAwake("report") {
		return at, false
	}
	report := a.nextHeartbeat()
	sent, session, mute := a.Now(), a.Worker.Incarnation, a.HeartbeatsLost
	if a.OnHeartbeat != nil {
		a.OnHeartbeat(report)
	}
	a.Lock.Unlock()
	if mute {
		a.pause(protocol.HeartbeatTimeout)
		return a.nextController(at), false
	}
	status, raw, err := a.Client.Do(
		a.ctx,
		protocol.HeartbeatTimeout,
		http.MethodPost,
		"http://"+a.Controllers[at].Addr+"/v1/report",
		report,
	)
	if err != nil {
		return a.nextController(at), false
	}
	if a.OnReply != nil {
		a.OnReply(a.Now()-sent, status)
	}
	switch status {
	case http.StatusOK:
		a.handleReply(raw, sent, session)
		return at, false
	case http.StatusMisdirectedRequest:
		if to, ok := a.redirectTarget(raw); ok && to != at {
			return to, true
		}
	}
	return a.nextController(at), false
}

// nextController is the controller to go on to, after a pause.
func (a *Agent) nextController(at int) int {
	a.pause(protocol.HeartbeatRetryDelay)
	return (at + 1) % len(a.Controllers)
}

// handleReply takes in a controller's answer.
func (a *Agent) handleReply(raw []byte, sent time.Duration, session uint64) {
	var answer protocol.WorkerHeartbeatReply
	if err := protocol.Decode(raw, &answer); err != nil {
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
	a.Worker.HandleReply(a.Now(), sent, session, answer)
	a.Worker.Changed = a.Worker.Changed || a.Worker.FencingToken != old
}

// redirectTarget returns the controller that an answer names.
func (a *Agent) redirectTarget(raw []byte) (int, bool) {
	var to protocol.Redirect
	if err := protocol.Decode(raw, &to); err != nil {
		a.OnError(err)
		return 0, false
	}
	for i, c := range a.Controllers {
		if c.Name == to.Leader {
			return i, true
		}
	}
	return 0, false
}
