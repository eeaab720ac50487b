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

// changePause is the least time between two reports because of a change, and redirectPause
// the longest that a worker waits before it follows a redirect, both by the protocol.
const (
	changePause   = 500 * time.Millisecond
	redirectPause = 500 * time.Millisecond
	// resumePause lets a machine that no longer hangs see first whether its lease is over.
	resumePause = 60 * time.Millisecond
)

// Controller names a controller and where workers and users reach it.
type Controller struct{ Node, Addr string }

// Surroundings is what the workers and users of a simulation share.
type Surroundings struct {
	Lock        sync.Locker // guards the world
	Now         func() time.Duration
	Random      *random.Source
	Controllers []Controller
	Interval    time.Duration // between two reports
	// Fault is told of what no worker should ever see.
	Fault func(error)
}

// Agent is the process of a worker: it reports to the controllers and takes their commands
// as the protocol says, for a worker that is a model.
type Agent struct {
	*Surroundings
	Worker *Worker
	Addr   string
	Client *transport.Client
	// Mute says that no report reaches a controller; it is read with the lock held.
	Mute bool
	// OnReport, if set, sees every report that is sent, with the lock held, and OnAnswer
	// how long the answer took.
	OnReport func(*protocol.Report)
	OnAnswer func(took time.Duration, status int)
	// OnTell, if set, hears everything that the worker is about to say of its tasks, with the
	// lock held.
	OnTell func(*protocol.Report)

	ctx    context.Context
	cancel context.CancelFunc
	resume chan struct{}
	wake   chan struct{}
}

// NewAgent returns an agent that runs until the context ends or it is stopped.
func NewAgent(ctx context.Context, s *Surroundings, w *Worker, addr string, client *transport.Client) *Agent {
	a := &Agent{Surroundings: s, Worker: w, Addr: addr, Client: client, resume: make(chan struct{}), wake: make(chan struct{}, 1)}
	a.ctx, a.cancel = context.WithCancel(ctx)
	w.Notify = a.notify
	return a
}

// Stop ends the agent.
func (a *Agent) Stop() { a.cancel() }

// Done is closed when the agent has been stopped.
func (a *Agent) Done() <-chan struct{} { return a.ctx.Done() }

func (a *Agent) notify() {
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
	a.Worker.Hung, a.Worker.Excused = false, a.Now()+grace
	close(a.resume)
	a.resume = make(chan struct{})
}

// awake waits until the machine does not hang, and returns with the lock held, or false
// without it. What waits for that, for different purposes, goes on one after the other.
func (a *Agent) awake(purpose string) bool {
	for {
		a.Lock.Lock()
		if !a.Worker.Hung {
			return true
		}
		resume := a.resume
		a.Lock.Unlock()
		select {
		case <-resume:
			a.pause(resumePause + a.Random.UpTo("resume "+a.Worker.Name+purpose, resumePause))
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
	if err != nil || !a.awake(r.URL.Path+string(raw)) {
		return
	}
	status, body := a.command(r.URL.Path, raw)
	a.Lock.Unlock()
	writeAnswer(w, status, body)
}

// command carries out a request; the lock is held.
func (a *Agent) command(path string, raw []byte) (int, any) {
	if path == "/inspect" {
		return http.StatusOK, a.report()
	}
	var orders protocol.Orders
	if err := protocol.Decode(raw, &orders); err != nil {
		return http.StatusBadRequest, protocol.Problem{Error: err.Error()}
	}
	report, ok := a.Worker.Command(a.Now(), orders)
	report.Addr = a.Addr
	a.tell(report)
	if !ok {
		return http.StatusConflict, report
	}
	return http.StatusOK, report
}

// report returns the next report; the lock is held.
func (a *Agent) report() *protocol.Report {
	r := a.Worker.Report()
	r.Addr = a.Addr
	a.tell(r)
	return r
}

func (a *Agent) tell(r *protocol.Report) {
	if a.OnTell != nil {
		a.OnTell(r)
	}
}

// Run reports until the agent is stopped, to the controller with that number first.
func (a *Agent) Run(at int) {
	for a.ctx.Err() == nil {
		a.waitForReport()
		redirected := true
		for redirected && a.ctx.Err() == nil {
			if at, redirected = a.send(at); redirected {
				a.pause(a.Random.UpTo("redirect "+a.Worker.Name, redirectPause))
			}
		}
	}
}

// waitForReport waits until a report is due: by its time, or because something has changed.
func (a *Agent) waitForReport() {
	due := a.Interval*3/4 + a.Random.UpTo("report "+a.Worker.Name, a.Interval/2)
	timer := time.NewTimer(due)
	defer timer.Stop()
	if !a.pause(min(changePause, due)) {
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

// send sends a report to a controller, and returns the one to report to next, and
// whether that one was named by the answer: then the worker goes there without waiting
// for its next report.
func (a *Agent) send(at int) (next int, redirected bool) {
	if !a.awake("report") {
		return at, false
	}
	report := a.report()
	sent, session, mute := a.Now(), a.Worker.Session, a.Mute
	if a.OnReport != nil {
		a.OnReport(report)
	}
	a.Lock.Unlock()
	if mute {
		a.pause(protocol.ReportPatience)
		return a.nextAfter(at), false
	}
	status, raw, err := a.Client.Do(a.ctx, protocol.ReportPatience, http.MethodPost, "http://"+a.Controllers[at].Addr+"/v1/report", report)
	if err != nil {
		return a.nextAfter(at), false
	}
	if a.OnAnswer != nil {
		a.OnAnswer(a.Now()-sent, status)
	}
	switch status {
	case http.StatusOK:
		a.take(raw, sent, session)
		return at, false
	case http.StatusMisdirectedRequest:
		if to, ok := a.redirect(raw); ok && to != at {
			return to, true
		}
	}
	return a.nextAfter(at), false
}

// nextAfter is the controller to go on to, after a pause.
func (a *Agent) nextAfter(at int) int {
	a.pause(protocol.ReportPause)
	return (at + 1) % len(a.Controllers)
}

// take takes in a controller's answer.
func (a *Agent) take(raw []byte, sent time.Duration, session uint64) {
	var answer protocol.ReportAnswer
	if err := protocol.Decode(raw, &answer); err != nil {
		a.Fault(err)
		return
	}
	if !a.awake("answer") {
		return
	}
	defer a.Lock.Unlock()
	if a.Now()-sent > protocol.ReportPatience {
		return
	}
	old := a.Worker.Token
	a.Worker.Answer(a.Now(), sent, session, answer)
	a.Worker.Changed = a.Worker.Changed || a.Worker.Token != old
}

// redirect returns the controller that an answer names.
func (a *Agent) redirect(raw []byte) (int, bool) {
	var to protocol.Redirect
	if err := protocol.Decode(raw, &to); err != nil {
		a.Fault(err)
		return 0, false
	}
	for i, c := range a.Controllers {
		if c.Node == to.Leader {
			return i, true
		}
	}
	return 0, false
}
