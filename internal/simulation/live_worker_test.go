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

// Workers.

// rig is a machine with its worker's process.
type rig struct {
	*Agent
	l    *live
	w    *Worker
	m    protocol.ListedMachine
	ip   string
	host *Host
}

// up starts a machine's worker; l.mu is held.
func (l *live) up(m protocol.ListedMachine) {
	r := &rig{l: l, m: m, ip: HostOf(m.Addr)}
	r.w = l.world.Add(l.now(), m.Name, m.Zone, m.Spot, &l.types[0], config.Seconds(l.cfg.Workers.LeaseS))
	l.rigs[m.Name] = r
	r.host = l.net.Host(r.ip)
	r.Agent = NewAgent(l.ctx, l.surroundings(), r.w, m.Addr, transport.NewClient(r.host, 2, 4, time.Minute))
	r.OnReport = func(rep *protocol.Report) {
		if l.reports != nil {
			l.reports(rep)
		}
		if r.Mute {
			l.happened["mute"]++
		}
	}
	ln, err := r.host.Listen(m.Addr)
	if err != nil {
		l.t.Error(err)
		return
	}
	srv := &http.Server{Handler: r.Agent, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	l.go_(func() { _ = srv.Serve(ln) })
	context.AfterFunc(r.ctx, func() { srv.Close(); r.host.Kill() })
	at := l.draw("first "+m.Name, len(l.nodes))
	l.go_(func() { r.Run(at) })
}

// down ends a machine's worker; l.mu is held.
func (l *live) down(name string) {
	if r := l.rigs[name]; r != nil {
		r.Stop()
		delete(l.rigs, name)
	}
	l.world.Remove(name)
}

// surroundings is what the workers share.
func (l *live) surroundings() *Surroundings {
	s := &Surroundings{Lock: &l.mu, Now: l.now, Random: l.random.Named("workers"), Interval: config.Seconds(l.cfg.Workers.ReportS), Fault: func(err error) { l.t.Error(err) }}
	for _, n := range l.nodes {
		s.Controllers = append(s.Controllers, Controller{Node: n.name, Addr: n.ip + ":8080"})
	}
	return s
}

// hang makes the machine execute nothing for a while; l.mu is held.
func (r *rig) hang(d time.Duration) {
	r.Hang()
	r.l.happened["hang"]++
	time.AfterFunc(d, func() {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		r.Resume(s)
	})
}

// deliver sends a copy of a report to a controller; nobody hears the answer.
func (l *live) deliver(rep *protocol.Report, to *controller) {
	c := transport.NewClient(l.net.Host("10.1.9.9"), 4, 4, time.Second)
	if status, _, err := c.Do(l.ctx, protocol.ReportPatience, http.MethodPost, "http://"+to.ip+":8080/v1/report", rep); err == nil && status == http.StatusOK {
		l.note("late report taken")
	}
	l.note("late report")
}
