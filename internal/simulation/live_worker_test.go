package simulation

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// Workers.

// rig is a machine with its worker's process.
type rig struct {
	l      *live
	w      *Worker
	m      protocol.ListedMachine
	ip     string
	client *transport.Client
	ctx    context.Context
	cancel context.CancelFunc
	host   *Host
	mute   bool // it reaches no controller
	resume chan struct{}
}

// up starts a machine's worker; l.mu is held.
func (l *live) up(m protocol.ListedMachine) {
	r := &rig{l: l, m: m, ip: HostOf(m.Addr), resume: make(chan struct{})}
	r.w = l.world.Add(l.now(), m.Name, m.Zone, m.Spot, &l.types[0], config.Seconds(l.cfg.Workers.LeaseS))
	r.ctx, r.cancel = context.WithCancel(l.ctx)
	l.rigs[m.Name] = r
	r.host = l.net.Host(r.ip)
	r.client = transport.NewClient(r.host, 2, 4, time.Minute)
	ln, err := r.host.Listen(m.Addr)
	if err != nil {
		l.t.Error(err)
		return
	}
	srv := &http.Server{Handler: http.HandlerFunc(r.serve), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	l.go_(func() { _ = srv.Serve(ln) })
	context.AfterFunc(r.ctx, func() { srv.Close(); r.host.Kill() })
	l.go_(r.run)
}

func (r *rig) stop() { r.cancel() }

// hang makes the machine execute nothing for a while; l.mu is held.
func (r *rig) hang(d time.Duration) {
	r.w.Hung = true
	r.l.happened["hang"]++
	time.AfterFunc(d, func() {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		r.w.Hung, r.w.Excused = false, r.l.now()+s
		close(r.resume)
		r.resume = make(chan struct{})
	})
}

// awake waits until the machine does not hang, and returns with l.mu held.
func (r *rig) awake() bool {
	for {
		r.l.mu.Lock()
		if !r.w.Hung {
			return true
		}
		resume := r.resume
		r.l.mu.Unlock()
		select {
		case <-resume:
			time.Sleep(60 * ms) // first of all it sees whether its lease is over
		case <-r.ctx.Done():
			return false
		}
	}
}

func (r *rig) serve(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if !r.awake() {
		return
	}
	status, rep := http.StatusOK, (*protocol.Report)(nil)
	if q.URL.Path == "/inspect" {
		rep = r.report()
	} else {
		var o protocol.Orders
		if err := protocol.Decode(raw, &o); err != nil {
			r.l.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		got, ok := r.w.Command(r.l.now(), o)
		rep = got
		rep.Addr = r.m.Addr
		if !ok {
			status = http.StatusConflict
		}
	}
	r.l.mu.Unlock()
	out, err := protocol.Encode(rep)
	if err != nil {
		r.l.t.Error(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(out)
}

// report returns the next report; l.mu is held.
func (r *rig) report() *protocol.Report {
	rep := r.w.Report()
	rep.Addr = r.m.Addr
	return rep
}

func (r *rig) run() {
	l := r.l
	at := l.draw(len(l.nodes))
	interval := config.Seconds(l.cfg.Workers.ReportS)
	for r.ctx.Err() == nil {
		l.mu.Lock()
		due := l.now() + interval*3/4 + l.upTo(interval/2)
		soon := l.now() + 500*ms
		l.mu.Unlock()
		for r.ctx.Err() == nil {
			time.Sleep(50 * ms)
			l.mu.Lock()
			go_ := l.now() >= due || r.w.Changed && l.now() >= soon
			l.mu.Unlock()
			if go_ {
				break
			}
		}
		redirected := true
		for redirected && r.ctx.Err() == nil {
			if at, redirected = r.send(at); redirected {
				l.mu.Lock()
				pause := l.upTo(500 * ms)
				l.mu.Unlock()
				time.Sleep(pause)
			}
		}
	}
}

// send sends a report to a controller, and returns the one to report to next, and
// whether that one was named by the answer: then the worker goes there without waiting
// for its next report.
func (r *rig) send(at int) (int, bool) {
	l := r.l
	if !r.awake() {
		return at, false
	}
	rep := r.report()
	sent, session, mute := l.now(), r.w.Session, r.mute
	if l.reports != nil {
		l.reports(rep)
	}
	l.mu.Unlock()
	next := func() (int, bool) {
		time.Sleep(protocol.ReportPause)
		return (at + 1) % len(l.nodes), false
	}
	if mute {
		l.note("mute")
		time.Sleep(protocol.ReportPatience)
		return next()
	}
	status, raw, err := r.client.Do(r.ctx, protocol.ReportPatience, http.MethodPost, "http://"+l.nodes[at].ip+":8080/v1/report", rep)
	if err != nil {
		return next()
	}
	switch status {
	case http.StatusOK:
		var a protocol.ReportAnswer
		if err := protocol.Decode(raw, &a); err != nil {
			l.t.Error(err)
			return at, false
		}
		if !r.awake() {
			return at, false
		}
		defer l.mu.Unlock()
		if l.now()-sent <= protocol.ReportPatience {
			old := r.w.Token
			r.w.Answer(l.now(), sent, session, a)
			r.w.Changed = r.w.Changed || r.w.Token != old
		}
		return at, false
	case http.StatusMisdirectedRequest:
		var to protocol.Redirect
		if err := protocol.Decode(raw, &to); err != nil {
			l.t.Error(err)
		}
		for i, n := range l.nodes {
			if n.name == to.Leader && i != at {
				return i, true
			}
		}
	}
	return next()
}

// deliver sends a copy of a report to a controller; nobody hears the answer.
func (l *live) deliver(rep *protocol.Report, to *controller) {
	c := transport.NewClient(l.net.Host("10.1.9.9"), 4, 4, time.Second)
	if status, _, err := c.Do(l.ctx, protocol.ReportPatience, http.MethodPost, "http://"+to.ip+":8080/v1/report", rep); err == nil && status == http.StatusOK {
		l.note("late report taken")
	}
	l.note("late report")
}
