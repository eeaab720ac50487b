package storage

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/protocol"
)

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
		err = actor.Sleep(ctx, time.Until(a.at))
	}
	if err != nil {
		return 0, false, nil, fmt.Errorf("%w: %w", ErrCrowded, err)
	}
	return c.try(ctx, a.use, t)
}

// nameOf is what tells a transaction from others that are under way.
func nameOf(t *protocol.Txn) string {
	if len(t.Then) == 0 {
		return ""
	}
	return t.Then[0].PutKey + t.Then[0].DeleteKey
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
	return r.Revision, status == http.StatusOK, r.FailedKeys, nil
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
