// Package leader runs one term of a leader: it reads the records, drives the
// scheduler's state machine and carries out its effects.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// Deps is what a leader needs of its controller.
type Deps struct {
	Cfg     *config.Deployment
	Log     *slog.Logger
	Store   *storage.Client
	Cloud   *Cloud
	Workers *transport.Client
	Now     func() time.Duration
	// Confirmed says whether the leadership is, at this moment.
	Confirmed func() bool
	// Watch is how long a look at the state service's changes may wait for one, and
	// Sighted is told up to when all of them are known.
	Watch   time.Duration
	Sighted func(term uint64, at time.Duration)
	// Withdrawals returns the jobs of which a notice of cancellation is held, and when
	// the newest came; IsWithdrawn says it of one. Without another, a cancellation is
	// confirmed within Confirm of its notice or not at all.
	Withdrawals func(now time.Duration) map[string]time.Duration
	IsWithdrawn func(job string) bool
	Confirm     time.Duration
	// Deposed is told that the term is over, and why.
	Deposed func(term uint64, d scheduler.Depose)
	// Types is told of machine types that were read.
	Types func([]protocol.MachineType)
}

// Leader is one term of leadership.
type Leader struct {
	Deps
	term, stamp uint64
	box         *actor.Mailbox[any] // of scheduler.Event, query and loaded
	ctx         context.Context
	cancel      context.CancelFunc
	inspects    *semaphore.Weighted
	ready       atomic.Bool // the records are read
}

// query asks for the status of jobs.
type query struct {
	ids   []string
	reply chan []protocol.JobStatus
}

// socketsInspects is the part of a process's sockets that may ask machines how
// they stand at a time: fewer than may command, so that commands have their turn.
const socketsInspects = 32

// Start begins a term.
func Start(ctx context.Context, d Deps, term, stamp uint64) *Leader {
	l := &Leader{Deps: d, term: term, stamp: stamp, box: actor.NewMailbox[any](),
		inspects: semaphore.NewWeighted(int64(max(1, d.Cfg.Quota.MaxSockets/socketsInspects)))}
	l.Log = d.Log.With("term", term)
	l.ctx, l.cancel = context.WithCancel(ctx)
	go l.run()
	return l
}

// Stop ends the term. Answers under way still go out: they are fenced.
func (l *Leader) Stop() { l.cancel() }

// Term returns the term's number.
func (l *Leader) Term() uint64 { return l.term }

// Ready says whether the leader has read the records, and so knows where tasks are.
func (l *Leader) Ready() bool { return l.ready.Load() }

// Report hands a worker's report to the leader and returns the answer, or
// false if none came in time. relayed says that another controller passed it on.
func (l *Leader) Report(ctx context.Context, r *protocol.Report, relayed bool) (protocol.ReportAnswer, bool) {
	reply := make(chan protocol.ReportAnswer, 1)
	l.box.Send(scheduler.Reported{Tag: reply, Report: r, Relayed: relayed})
	select {
	case a := <-reply:
		return a, true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return protocol.ReportAnswer{}, false
}

// Withdrawn tells that a user may be about to hear that the job is cancelled.
func (l *Leader) Withdrawn(job string, at time.Duration) {
	l.box.Send(scheduler.Withdrawn{ID: job, Until: at + l.Confirm})
}

// Statuses asks what the leader knows of jobs; those that it does not know are missing.
// false means that it did not answer.
func (l *Leader) Statuses(ctx context.Context, ids []string) ([]protocol.JobStatus, bool) {
	q := query{ids, make(chan []protocol.JobStatus, 1)}
	l.box.Send(q)
	select {
	case s := <-q.reply:
		return s, true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return nil, false
}

// loaded is what recovery read.
type loaded struct {
	types       []protocol.MachineType
	live, pages []protocol.Pair
	warm        []protocol.Pair
}

func (l *Leader) run() {
	defer l.cancel()
	l.Log.Info("leading")
	began := l.Now()
	go l.recover()
	var core *scheduler.Core
	early := map[string]scheduler.Reported{}
	var changes []scheduler.Event // of the accepted jobs, since they were read
	step := func(e any) {
		if !l.stands() {
			return
		}
		now := l.Now()
		if core != nil {
			switch e := e.(type) {
			case query:
				e.reply <- core.Statuses(e.ids)
			case scheduler.Event:
				l.do(core.Step(now, e))
			}
			return
		}
		// Until the records are read, workers get answers that renew their
		// leases, and nothing is decided.
		switch e := e.(type) {
		case query:
			e.reply <- nil
		case scheduler.Reported:
			if t := protocol.TermOf(e.Report.Token); t > l.term {
				l.Deposed(l.term, scheduler.Depose{Term: t, Reason: "a worker has seen a later term"})
				return
			}
			// What users may have been told is cancelled ends all the same.
			e.Tag.(chan protocol.ReportAnswer) <- protocol.ReportAnswer{Token: protocol.Token(l.term, 0), Commands: e.Report.StopsOf(l.IsWithdrawn)}
			e.Tag = nil // it has its answer
			early[e.Report.Machine] = e
		case loaded:
			core = scheduler.New(now, l.Cfg, l.Log, l.term, l.stamp, e.types, e.live, e.pages, e.warm, time.Now().UnixMilli())
			l.Log.Info("records read", "jobs", len(e.live), "pages", len(e.pages), "took", now-began)
			for job, at := range l.Withdrawals(now) {
				l.do(core.Step(now, scheduler.Withdrawn{ID: job, Until: at + l.Confirm}))
			}
			for _, c := range changes {
				l.do(core.Step(now, c))
			}
			changes = nil
			l.ready.Store(true)
			for _, r := range early {
				l.do(core.Step(now, r))
			}
			go l.refreshTypes()
		case scheduler.JobSet:
			changes = append(changes, e)
		case scheduler.JobDropped:
			changes = append(changes, e)
		case scheduler.Sighted:
			changes = append(changes, e)
		}
	}
	rest := time.Duration(0)
	l.box.Run(l.ctx, scheduler.Cycle/8, step, func() {
		now := l.Now()
		if core == nil || now < rest || !l.stands() {
			return
		}
		l.do(core.Step(now, scheduler.Tick{}))
		// A cycle that takes long is followed by a pause, so that reports and
		// questions have most of the time, however many jobs wait.
		rest = l.Now() + cycleShare*(l.Now()-now)
	})
	l.Log.Info("term over")
}

// cycleShare is how many times as long as a cycle the pause after it is.
const cycleShare = 3

// stands says whether the term still stands, and ends it if not. A process that
// stood still while its clocks ran on finds its books full of machines that seem
// silent and leases that seem over; by then others may lead, and it must not act on
// any of that.
func (l *Leader) stands() bool {
	if l.Confirmed() {
		return true
	}
	if l.ctx.Err() == nil {
		l.Deposed(l.term, scheduler.Depose{Reason: "unconfirmed"})
		l.cancel()
	}
	return false
}

// recover reads the records, trying until it can.
func (l *Leader) recover() {
	var got loaded
	var rev uint64
	watching := false
	for l.ctx.Err() == nil {
		var err error
		if !watching {
			asked := l.Now()
			if got.live, rev, err = l.Store.List(l.ctx, storage.LivePrefix); err == nil {
				watching = true
				l.sighted(asked)
				go l.watch(rev)
			}
		}
		if err == nil {
			if got.pages, _, err = l.Store.List(l.ctx, storage.PlacePrefix); err == nil {
				if got.warm, _, err = l.Store.List(l.ctx, storage.WarmPrefix); err == nil {
					got.types, err = l.Cloud.Types(l.ctx, l.Store)
				}
			}
		}
		if err == nil {
			l.Types(got.types)
			l.box.Send(got)
			return
		}
		l.Log.Info("recovery delayed", "err", err)
		storage.Pause(l.ctx, scheduler.Cycle/5)
	}
}

// sighted notes that all changes up to the given time have been taken in or wait
// in the mailbox.
func (l *Leader) sighted(at time.Duration) {
	l.box.Send(scheduler.Sighted{At: at})
	l.Sighted(l.term, at)
}

// watch follows the accepted jobs. It looks often, for only an answer shows that
// nothing has changed until the question was sent: a watch that hangs shows nothing.
func (l *Leader) watch(rev uint64) {
	for l.ctx.Err() == nil {
		asked := l.Now()
		ev, err := l.Store.Watch(l.ctx, storage.LivePrefix, rev, l.Watch)
		if errors.Is(err, storage.ErrCompacted) {
			l.Deposed(l.term, scheduler.Depose{Reason: "fell behind the changes"})
			return
		}
		if err != nil {
			storage.Pause(l.ctx, scheduler.Cycle/5)
			continue
		}
		rev = max(rev, ev.Revision)
		for _, e := range ev.Events {
			if e.Delete != "" {
				l.box.Send(scheduler.JobDropped{ID: e.Delete[len(storage.LivePrefix):]})
				continue
			}
			var rec storage.LiveRecord
			if err := protocol.Decode(e.Value, &rec); err != nil {
				l.Log.Error("live record out of form", "key", e.Put, "err", err)
				continue
			}
			l.box.Send(scheduler.JobSet{Record: rec, Stamp: e.Version})
		}
		l.sighted(asked)
	}
}

// refreshTypes follows the cloud's prices.
func (l *Leader) refreshTypes() {
	for l.ctx.Err() == nil {
		storage.Pause(l.ctx, config.Seconds(8*l.Cfg.Cloud.ListLagS))
		types, err := l.Cloud.fetchTypes(l.ctx)
		if err != nil {
			l.Log.Info("prices not read", "err", err)
			continue
		}
		l.Types(types)
		l.box.Send(scheduler.Types{Types: types})
	}
}

// do carries out effects. Whatever waits runs on its own goroutine and comes
// back as an event.
func (l *Leader) do(effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Answer:
			if ch, ok := e.Tag.(chan protocol.ReportAnswer); ok {
				ch <- e.Body
			}
		case scheduler.Depose:
			l.Log.Info("deposed", "reason", e.Reason, "later", e.Term)
			l.Deposed(l.term, e)
		case scheduler.Write:
			go l.write(e)
		case scheduler.Order:
			go l.order(e)
		case scheduler.Inspect:
			go l.inspect(e)
		case scheduler.Fleet:
			l.callCloud(e.Effect)
		}
	}
}

// callCloud carries out what the fleet asks of the cloud.
func (l *Leader) callCloud(effect fleet.Effect) {
	switch e := effect.(type) {
	case fleet.Rent:
		go l.rent(e)
	case fleet.Release:
		go l.release(e)
	case fleet.List:
		go l.list()
	}
}

// write tries a transaction until its outcome is known. After a try without an
// answer, a failed condition may be the work of that very try: the record that
// names the write tells.
func (l *Leader) write(w scheduler.Write) {
	use := storage.Decide
	if w.Bulk {
		use = storage.Bulk
	}
	uncertain := false
	for l.ctx.Err() == nil {
		rev, ok, failed, err := l.Store.TxnFailed(l.ctx, use, w.Txn)
		switch {
		case err == nil && ok:
			l.box.Send(scheduler.Written{Write: w.ID, OK: true, Rev: rev})
			return
		case err == nil && !uncertain:
			l.box.Send(scheduler.Written{Write: w.ID, Failed: failed})
			return
		case err == nil:
			p, err := l.Store.Get(l.ctx, use, w.Verify)
			if err != nil {
				break
			}
			var rec struct {
				Write string `msgpack:"w"`
			}
			mine := w.Name == "" && p.Version == 0
			if p.Version != 0 && protocol.Decode(p.Value, &rec) == nil && rec.Write == w.Name {
				mine = true
			}
			l.box.Send(scheduler.Written{Write: w.ID, OK: mine, Rev: p.Version, Failed: failed})
			return
		case errors.Is(err, storage.ErrUncertain):
			uncertain = true
		case !errors.Is(err, storage.ErrUnavailable):
			// Refused for its form: trying again at once would not help, and
			// giving up would leave the books open.
			l.Log.Error("write refused", "key", w.Verify, "err", err)
			storage.Pause(l.ctx, 10*scheduler.Cycle)
		}
		storage.Pause(l.ctx, scheduler.Cycle/10)
	}
}

func (l *Leader) order(o scheduler.Order) {
	status, raw, err := l.Workers.Do(l.ctx, orderPatience(l.Cfg), http.MethodPost, "http://"+o.Addr+"/commands", o.Orders)
	done := scheduler.OrdersDone{Machine: o.Machine}
	if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
		if r, err := protocol.DecodeReport(raw); err == nil {
			done.OK, done.Report = status == http.StatusOK, r
		}
	}
	if done.Report == nil {
		l.Log.Info("command unanswered", "machine", o.Machine, "status", status, "err", err)
	}
	l.box.Send(done)
}

// inspect asks a machine how it stands. A new leader asks all of them at once;
// some at a time are asked in fact.
func (l *Leader) inspect(e scheduler.Inspect) {
	if err := l.inspects.Acquire(l.ctx, 1); err != nil {
		return
	}
	defer l.inspects.Release(1)
	status, raw, err := l.Workers.Do(l.ctx, orderPatience(l.Cfg), http.MethodGet, "http://"+e.Addr+"/inspect", nil)
	if err != nil || status != http.StatusOK {
		l.Log.Debug("not inspected", "machine", e.Machine, "status", status, "err", err)
		return
	}
	if r, err := protocol.DecodeReport(raw); err == nil && r.Machine == e.Machine {
		l.box.Send(scheduler.Inspected{Report: r})
	}
}

// orderPatience is how long a direct command may take: a report's interval,
// give or take, after which the machine's next report is the better way.
func orderPatience(cfg *config.Deployment) time.Duration {
	return config.Seconds(min(cfg.Workers.ReportS*1.5, cfg.Workers.GangPeerS/2))
}

func (l *Leader) list() {
	asked := l.Now()
	ms, err := l.Cloud.List(l.ctx)
	if err != nil {
		l.Log.Info("machine list not read", "err", err)
	}
	l.box.Send(scheduler.Listed{Asked: asked, Machines: ms, Failed: err != nil})
}

func (l *Leader) rent(e fleet.Rent) {
	asked := l.Now()
	for l.ctx.Err() == nil {
		names, refused, err := l.Cloud.Rent(l.ctx, e.Rental)
		if err == nil {
			l.box.Send(scheduler.Rented{Request: e.Rental.Request, Asked: asked, Names: names, Refused: refused})
			return
		}
		// The same name rents nothing twice, so trying again is safe.
		l.Log.Info("rental unanswered", "request", e.Rental.Request, "err", err)
		storage.Pause(l.ctx, scheduler.Cycle)
	}
}

func (l *Leader) release(e fleet.Release) {
	for l.ctx.Err() == nil {
		err := l.Cloud.Release(l.ctx, e.Names)
		if err == nil {
			l.box.Send(scheduler.Released{Names: e.Names, OK: true})
			return
		}
		l.Log.Info("release unanswered", "machines", len(e.Names), "err", err)
		storage.Pause(l.ctx, scheduler.Cycle)
	}
}

// Cloud is a client of the cloud that keeps to its rate.
type Cloud struct {
	base    string
	client  *transport.Client
	limit   *rate.Limiter
	timeout time.Duration
}

// NewCloud returns a client. A controller uses most of the whole rate, since
// only the leader calls more than now and then.
func NewCloud(network transport.Network, addr string, cfg config.Cloud) *Cloud {
	return &Cloud{base: "http://" + addr, client: transport.NewClient(network, 4, 4, config.Seconds(cfg.ListLagS)),
		limit: rate.NewLimiter(rate.Limit(cfg.RPS*0.9), max(1, int(cfg.RPS))), timeout: 4 * scheduler.Cycle}
}

var (
	errCloud    = errors.New("cloud")
	errCapacity = errors.New("no capacity")
)

func (c *Cloud) call(ctx context.Context, method, path string, body, out any) (int, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return 0, err
	}
	status, raw, err := c.client.Do(ctx, c.timeout, method, c.base+path, body)
	if err != nil {
		return 0, err
	}
	if status == http.StatusOK && out != nil {
		return status, protocol.Decode(raw, out)
	}
	if status != http.StatusOK {
		var p protocol.Problem
		_ = protocol.Decode(raw, &p) // the status says enough without it
		if status == http.StatusServiceUnavailable && p.Error == errCapacity.Error() {
			return status, errCapacity
		}
		return status, fmt.Errorf("%w: %s: status %d %s", errCloud, path, status, p.Error)
	}
	return status, nil
}

func (c *Cloud) fetchTypes(ctx context.Context) ([]protocol.MachineType, error) {
	var t protocol.MachineTypes
	if _, err := c.call(ctx, http.MethodGet, "/machine_types", nil, &t); err != nil {
		return nil, err
	}
	if len(t.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", errCloud)
	}
	return t.Types, nil
}

// Types returns the machine types: from the state service if some controller
// has left them there, which is quick and works while the cloud does not, or
// else from the cloud.
func (c *Cloud) Types(ctx context.Context, store *storage.Client) ([]protocol.MachineType, error) {
	var t protocol.MachineTypes
	p, err := store.Get(ctx, storage.Decide, storage.TypesKey)
	if err == nil && p.Version != 0 && protocol.Decode(p.Value, &t) == nil && len(t.Types) > 0 {
		return t.Types, nil
	}
	types, err := c.fetchTypes(ctx)
	if err != nil {
		return nil, err
	}
	if value, err := protocol.Encode(protocol.MachineTypes{Types: types}); err == nil {
		// Only a short cut for others: without it they ask the cloud.
		_, _, _ = store.Txn(ctx, storage.Decide, protocol.Txn{
			If: []protocol.Cond{{Key: storage.TypesKey, Version: p.Version}}, Then: []protocol.Op{{Put: storage.TypesKey, Value: value}}})
	}
	return types, nil
}

// List reads the whole machine list.
func (c *Cloud) List(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	from := ""
	for {
		path := fmt.Sprintf("/machines?limit=%d", protocol.MaxListed)
		if from != "" {
			path += "&from=" + from
		}
		var page protocol.MachineList
		if _, err := c.call(ctx, http.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		from = page.Machines[len(page.Machines)-1].Name
	}
}

// Rent rents machines; refused means that there are none.
func (c *Cloud) Rent(ctx context.Context, r protocol.Rental) (names []string, refused bool, err error) {
	var out protocol.MachineNames
	status, err := c.call(ctx, http.MethodPost, "/machines", r, &out)
	if errors.Is(err, errCapacity) || status == http.StatusBadRequest {
		return nil, true, nil
	}
	return out.Machines, false, err
}

// Release returns machines. Without an error they are gone.
func (c *Cloud) Release(ctx context.Context, names []string) error {
	_, err := c.call(ctx, http.MethodPost, "/machines/release", protocol.MachineNames{Machines: names}, nil)
	return err
}
