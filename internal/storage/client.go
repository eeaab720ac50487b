// Package storage keeps what must last: a client of the state service with
// rate budgets, and the records that the controllers keep there.
package storage

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/transport"
)

// ErrUnavailable says that a request was not executed.
var ErrUnavailable = errors.New("state service unavailable")

// ErrBusy says that a request was not executed because a budget is used up;
// it can be tried again in a moment. It is a kind of ErrUnavailable.
var ErrBusy = fmt.Errorf("%w: over the rate", ErrUnavailable)

// ErrCrowded says that a request was not even sent, because too many wait for the
// same budget. It is a kind of ErrBusy.
var ErrCrowded = fmt.Errorf("%w here", ErrBusy)

// ErrUncertain says that a request may have been executed, or may yet be.
var ErrUncertain = errors.New("no answer from the state service")

// ErrNoLease says that a lease has ended.
var ErrNoLease = errors.New("no such lease")

// ErrCompacted says that a watch asked for changes too old to be kept.
var ErrCompacted = errors.New("changes no longer kept")

// Use says what a request is for, and so which budget pays for it.
type Use int

// Uses of the state service.
const (
	Urgent  Use = iota // leadership: never waits for a budget
	Decide             // the leader's placements
	Accept             // acceptance and cancels
	Consult            // users' polls
	Bulk               // cleaning
	Settle             // what has ended: what is left of Decide's budget
)

// DecideShare is the part of the writes that the leader may use for its placements, and what is
// left of it for what has ended.
const DecideShare = 0.6

// socketsState is the part of a process's sockets that calls of the state service
// may take.
const socketsState = 32

// Client speaks to the state service.
type Client struct {
	base    string
	calls   *transport.Client
	urgent  *transport.Client
	watches *transport.Client
	timeout time.Duration
	random  *random.Source
	reads   map[Use]*rate.Limiter
	writes  map[Use]*rate.Limiter
	// settleMu has one that has ended look at the budget at a time.
	settleMu sync.Mutex
	admitMu  sync.Mutex
	admitted time.Time    // the last turn but for the budgets
	lastOK   atomic.Int64 // steady time of the last answer, from start
	start    time.Time
}

// NewClient returns a client. The limits of the service are shared between
// the controllers; within a controller no use can starve one before it.
func NewClient(network transport.Network, source *random.Source, d *config.Deployment, addr string, timeout time.Duration) *Client {
	// A read or write beyond a second's share waits; the service's own 429
	// corrects where several controllers are busy at once.
	share := func(limit, part float64) *rate.Limiter {
		r := limit * part
		return rate.NewLimiter(rate.Limit(r), max(1, int(r)))
	}
	n := float64(d.Nodes)
	perHost := max(4, d.Quota.MaxSockets/socketsState)
	return &Client{
		base:    "http://" + addr,
		calls:   transport.NewClient(network, perHost, perHost, config.Seconds(d.Workers.LeaseS)),
		urgent:  transport.NewClient(network, 4, 4, config.Seconds(d.Workers.LeaseS)),
		watches: transport.NewClient(network, 4, 4, config.Seconds(d.Workers.LeaseS)),
		timeout: timeout,
		random:  source,
		reads: map[Use]*rate.Limiter{
			Decide: share(d.State.RPS, 0.5), Accept: share(d.State.RPS, 1/n),
			Consult: share(d.State.RPS, 0.6/n), Bulk: share(d.State.RPS, 0.1),
		},
		writes: map[Use]*rate.Limiter{
			Decide: share(d.State.WriteRPS, DecideShare), Accept: share(d.State.WriteRPS, 1/n),
			Bulk: share(d.State.WriteRPS, 0.2), Settle: share(d.State.WriteRPS, DecideShare*settleFloor),
		},
		start: time.Now(),
	}
}

// SilentFor returns how long ago the service last gave an answer.
func (c *Client) SilentFor() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastOK.Load())
}

// Answered says whether the service has ever answered this process.
func (c *Client) Answered() bool { return c.lastOK.Load() > 0 }

// Queue is how long a user's request may wait for its turn: no longer than the
// pause after which a user who was refused asks again.
const Queue = time.Second

// admit waits until the budgets allow a request, which its text tells from others. Users' requests that would wait
// for too long are refused at once, so that a crowd is told to come back instead
// of being held.
func (c *Client) admit(ctx context.Context, use Use, request string, writes int) error {
	if use == Settle {
		return c.admitLeftover(ctx, request, writes)
	}
	if use == Accept || use == Consult {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, Queue)
		defer cancel()
	}
	if l := c.reads[use]; l != nil {
		if err := l.Wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrCrowded, err)
		}
	}
	if l := c.writes[use]; l != nil && writes > 0 {
		if err := l.WaitN(ctx, min(writes, l.Burst())); err != nil {
			return fmt.Errorf("%w: %w", ErrCrowded, err)
		}
	}
	return nil
}

// How what has ended gives way to the placements.
const (
	// settlePatience is how long it waits for writes that they leave. Then it takes its turn
	// beside them, while no more than settleBacklog of a second's writes are promised already: a
	// job's end waits for the record of its last ends, and its user for the job's end.
	settlePatience = time.Second
	settleBacklog  = 0.1
	// settleFloor is the part of the placements' budget that it has whatever they want.
	settleFloor = 0.25
)

// admitLeftover waits until the budget of the placements has something left. It reserves nothing
// meanwhile, so that placements don't wait behind hundreds of these when many jobs end at once.
func (c *Client) admitLeftover(ctx context.Context, request string, writes int) error {
	l := c.writes[Decide]
	n := min(writes, l.Burst())
	began := time.Now()
	for !l.AllowN(time.Now(), n) {
		if time.Since(began) > settlePatience && c.reserveSettle(n) {
			break
		}
		c.random.Pause(ctx, request, time.Duration(float64(time.Second)/float64(l.Limit())))
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: %w", ErrCrowded, err)
		}
	}
	return c.admit(ctx, Decide, request, 0)
}

// reserveSettle takes writes out of the placements' budget although they are promised to those,
// within bounds, and says whether it did.
func (c *Client) reserveSettle(n int) bool {
	c.settleMu.Lock()
	defer c.settleMu.Unlock()
	l := c.writes[Decide]
	now := time.Now()
	if l.Tokens() <= -settleBacklog*float64(l.Limit()) && !c.writes[Settle].AllowN(now, min(n, c.writes[Settle].Burst())) {
		return false
	}
	l.ReserveN(now, n)
	return true
}

// spare says whether the budgets allow a request that is not needed, and takes it
// from them.
func (c *Client) spare(use Use, writes int) bool {
	if l := c.reads[use]; l != nil && !l.Allow() {
		return false
	}
	l := c.writes[use]
	return l == nil || l.AllowN(time.Now(), writes)
}

func (c *Client) call(ctx context.Context, use Use, writes int, method, path string, body any) (int, []byte, error) {
	if err := c.admit(ctx, use, path, writes); err != nil {
		return 0, nil, err
	}
	return c.send(ctx, use, method, path, body)
}

func (c *Client) send(ctx context.Context, use Use, method, path string, body any) (int, []byte, error) {
	client := c.calls
	if use == Urgent {
		client = c.urgent // the leadership must not wait behind a crowd
	}
	status, raw, err := client.Do(ctx, c.timeout, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return status, raw, c.judge(status, raw)
}

// judge notes the service's answer and turns refusals into errors.
func (c *Client) judge(status int, raw []byte) error {
	switch status {
	case http.StatusTooManyRequests:
		c.lastOK.Store(int64(time.Since(c.start)))
		return ErrBusy
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		c.lastOK.Store(int64(time.Since(c.start)))
		return nil
	default:
		return fmt.Errorf("state service: status %d: %.80q", status, raw)
	}
}

// Get reads a key; a version of 0 means that it does not exist.
func (c *Client) Get(ctx context.Context, use Use, key string) (protocol.Pair, error) {
	var p protocol.Pair
	status, raw, err := c.call(ctx, use, 0, http.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return p, err
	}
	if status == http.StatusNotFound {
		return protocol.Pair{Key: key}, nil
	}
	if err := protocol.Decode(raw, &p); err != nil {
		return p, fmt.Errorf("get %s: %w", key, err)
	}
	return p, nil
}

// List reads all keys with a prefix. The revision is that of the first page:
// a watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string) ([]protocol.Pair, uint64, error) {
	return c.ListFor(ctx, Decide, prefix)
}

// ListFor is List at the expense of another budget.
func (c *Client) ListFor(ctx context.Context, use Use, prefix string) ([]protocol.Pair, uint64, error) {
	var all []protocol.Pair
	var rev uint64
	from := ""
	for {
		path := "/kv?prefix=" + url.QueryEscape(prefix) + "&limit=500"
		if from != "" {
			path += "&from=" + url.QueryEscape(from)
		}
		_, raw, err := c.call(ctx, use, 0, http.MethodGet, path, nil)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		var page protocol.Pairs
		if err := protocol.Decode(raw, &page); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if rev == 0 {
			rev = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, rev, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// Txn tries a transaction once. ok is false when a condition failed.
func (c *Client) Txn(ctx context.Context, use Use, t protocol.Txn) (rev uint64, ok bool, err error) {
	rev, ok, _, err = c.TxnFailed(ctx, use, t)
	return rev, ok, err
}

// TxnFailed is Txn, and also returns the keys whose conditions failed.
func (c *Client) TxnFailed(ctx context.Context, use Use, t protocol.Txn) (rev uint64, ok bool, failed []string, err error) {
	if err := c.admit(ctx, use, nameOf(&t), len(t.Then)); err != nil {
		return 0, false, nil, err
	}
	return c.try(ctx, use, t)
}

// Admission is a transaction's place within the budgets.
type Admission struct {
	use      Use
	at       time.Time // when it is its turn
	leftover bool      // it still has to wait for what placements leave
}

// admissionGap parts the turns of transactions that are admitted at one moment, so that they are sent
// in order.
const admissionGap = time.Microsecond

// Admit takes the next place for a transaction, and does not wait. Whoever asks for several in a
// certain order has them sent in that order, as far as the budgets are of one use.
func (c *Client) Admit(use Use, t *protocol.Txn) Admission {
	now := time.Now()
	c.admitMu.Lock()
	defer c.admitMu.Unlock()
	a := Admission{use: use, at: now}
	if earliest := c.admitted.Add(admissionGap); earliest.After(now) {
		a.at = earliest
	}
	c.admitted = a.at
	budget, writes := c.writes[use], len(t.Then)
	if use == Settle {
		budget = nil
		if l := c.writes[Decide]; !l.AllowN(now, min(writes, l.Burst())) {
			a.leftover = true
			return a
		}
		use = Decide
	}
	if l := c.reads[use]; l != nil {
		if at := now.Add(l.ReserveN(now, 1).DelayFrom(now)); at.After(a.at) {
			a.at = at
		}
	}
	if budget != nil && writes > 0 {
		if at := now.Add(budget.ReserveN(now, min(writes, budget.Burst())).DelayFrom(now)); at.After(a.at) {
			a.at = at
		}
	}
	return a
}

// TxnAdmitted is TxnFailed for a transaction that has its place.
func (c *Client) TxnAdmitted(ctx context.Context, a Admission, t protocol.Txn) (rev uint64, ok bool, failed []string, err error) {
	if a.leftover {
		err = c.admitLeftover(ctx, nameOf(&t), len(t.Then))
	} else {
		err = waitUntil(ctx, a.at)
	}
	if err != nil {
		return 0, false, nil, err
	}
	return c.try(ctx, a.use, t)
}

func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrCrowded, ctx.Err())
	}
}

// nameOf is what tells a transaction from others that are under way.
func nameOf(t *protocol.Txn) string {
	if len(t.Then) == 0 {
		return ""
	}
	return t.Then[0].Put + t.Then[0].Delete
}

func (c *Client) try(ctx context.Context, use Use, t protocol.Txn) (rev uint64, ok bool, failed []string, err error) {
	status, raw, err := c.send(ctx, use, http.MethodPost, "/multi", t)
	if err != nil {
		return 0, false, nil, err
	}
	var r protocol.TxnResult
	if err := protocol.Decode(raw, &r); err != nil {
		return 0, false, nil, fmt.Errorf("transaction: %w", err)
	}
	return r.Revision, status == http.StatusOK, r.Failed, nil
}

// Slow is when an answer is later than usual: five times the 10 ms that the
// protocol calls usual. Now and then one takes a few hundred.
const Slow = 50 * time.Millisecond

// TxnTwice tries a transaction, and a second time when the answer is slow and the
// budget has room, and returns the first outcome that is certain. It must be harmless
// to repeat: a failed condition may be the work of the other try.
func (c *Client) TxnTwice(ctx context.Context, use Use, t protocol.Txn) (ok bool, err error) {
	if err := c.admit(ctx, use, nameOf(&t), len(t.Then)); err != nil {
		return false, err
	}
	type outcome struct {
		ok  bool
		err error
	}
	done := make(chan outcome, 2)
	try := func() {
		_, ok, _, err := c.try(ctx, use, t)
		done <- outcome{ok, err}
	}
	go try()
	timer := time.NewTimer(Slow)
	defer timer.Stop()
	under := 1
	for {
		select {
		case o := <-done:
			if under--; o.err == nil || under == 0 {
				return o.ok, o.err
			}
			err = o.err
		case <-timer.C:
			if c.spare(use, len(t.Then)) {
				under++
				go try()
			}
		}
	}
}

// Lease asks for a lease.
func (c *Client) Lease(ctx context.Context, ttl time.Duration) (uint64, error) {
	_, raw, err := c.call(ctx, Urgent, 0, http.MethodPost, "/grants", protocol.LeaseRequest{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var r protocol.LeaseResult
	if err := protocol.Decode(raw, &r); err != nil {
		return 0, fmt.Errorf("lease: %w", err)
	}
	return r.Lease, nil
}

// Renew renews a lease.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	status, _, err := c.call(ctx, Urgent, 0, http.MethodPost, "/grants/"+strconv.FormatUint(lease, 10)+"/extend", struct{}{})
	if err == nil && status == http.StatusNotFound {
		return ErrNoLease
	}
	return err
}

// EndLease ends a lease at once, and removes the keys attached to it.
func (c *Client) EndLease(ctx context.Context, lease uint64) error {
	_, _, err := c.call(ctx, Urgent, 0, http.MethodDelete, "/grants/"+strconv.FormatUint(lease, 10), nil)
	return err
}

// Changes returns what has changed after rev of keys with the prefix. Changes that are too long to be
// taken in are as good as no longer kept: the keys have to be read again, which goes page by page.
func (c *Client) Changes(ctx context.Context, use Use, prefix string, rev uint64) (*protocol.Events, error) {
	path := fmt.Sprintf("/changes?prefix=%s&from=%d&block_ms=0", url.QueryEscape(prefix), rev)
	status, raw, err := c.call(ctx, use, 0, http.MethodGet, path, nil)
	if errors.Is(err, transport.ErrTooLong) {
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, err
	}
	return events(prefix, status, raw)
}

func events(prefix string, status int, raw []byte) (*protocol.Events, error) {
	if status == http.StatusGone {
		return nil, ErrCompacted
	}
	var e protocol.Events
	if err := protocol.Decode(raw, &e); err != nil {
		return nil, fmt.Errorf("changes of %s: %w", prefix, err)
	}
	return &e, nil
}

// Watch waits up to wait for changes after rev to keys with the prefix; see Changes for those that are too long.
func (c *Client) Watch(ctx context.Context, prefix string, rev uint64, wait time.Duration) (*protocol.Events, error) {
	path := fmt.Sprintf("%s/changes?prefix=%s&from=%d&block_ms=%d", c.base, url.QueryEscape(prefix), rev, wait.Milliseconds())
	status, raw, err := c.watches.Do(ctx, wait+2*c.timeout, http.MethodGet, path, nil)
	if errors.Is(err, transport.ErrTooLong) {
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	if err := c.judge(status, raw); err != nil {
		return nil, err
	}
	return events(prefix, status, raw)
}
