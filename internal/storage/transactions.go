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
func (c *Client) Txn(ctx context.Context, use Budget, t protocol.Txn) (rev uint64, ok bool, err error) {
	rev, ok, _, err = c.TxnFailed(ctx, use, t)
	return rev, ok, err
}

// TxnFailed is Txn, and also returns the keys whose conditions failed.
func (c *Client) TxnFailed(
	ctx context.Context,
	use Budget,
	t protocol.Txn,
) (rev uint64, ok bool, failed []string, err error) {
	if err := c.admit(ctx, use, firstKeyOf(&t), len(t.Then)); err != nil {
		return 0, false, nil, err
	}
	return c.try(ctx, use, t)
}

// Admission is a transaction's place within the budgets.
type Admission struct {
	budget   Budget
	at       time.Time // when it is its turn
	leftover bool      // it still has to wait for what placements leave
}

// admissionSpacing parts the turns of transactions that are admitted at one moment, so that they are sent
// in order.
const admissionSpacing = time.Microsecond

// Admit takes the next place for a transaction, and does not wait. Whoever asks for several in a
// certain order has them sent in that order, as far as the budgets are of one use.
func (c *Client) Admit(use Budget, t *protocol.Txn) Admission {
	now := time.Now()
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	a := Admission{budget: use, at: now}
	if earliest := c.lastAdmission.Add(admissionSpacing); earliest.After(now) {
		a.at = earliest
	}
	c.lastAdmission = a.at
	budget, writes := c.writeLimiters[use], len(t.Then)
	if use == BudgetCompletion {
		budget = nil
		if l := c.writeLimiters[BudgetPlacement]; !l.AllowN(now, min(writes, l.Burst())) {
			a.leftover = true
			return a
		}
		use = BudgetPlacement
	}
	if l := c.readLimiters[use]; l != nil {
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
func (c *Client) TxnAdmitted(
	ctx context.Context,
	a Admission,
	t protocol.Txn,
) (rev uint64, ok bool, failed []string, err error) {
	if a.leftover {
		err = c.admitCompletion(ctx, firstKeyOf(&t), len(t.Then))
	} else {
		err = actor.Sleep(ctx, time.Until(a.at))
	}
	if err != nil {
		return 0, false, nil, fmt.Errorf("%w: %w", ErrThrottled, err)
	}
	return c.try(ctx, a.budget, t)
}

// firstKeyOf is what tells a transaction from others that are under way.
func firstKeyOf(t *protocol.Txn) string {
	if len(t.Then) == 0 {
		return ""
	}
	return t.Then[0].PutKey + t.Then[0].DeleteKey
}

func (c *Client) try(
	ctx context.Context,
	use Budget,
	t protocol.Txn,
) (rev uint64, ok bool, failed []string, err error) {
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

// HedgeDelay is when an answer is later than usual: five times the 10 ms that the
// protocol calls usual. Now and then one takes a few hundred.
const HedgeDelay = 50 * time.Millisecond

// TxnHedged tries a transaction, and a second time when the answer is slow and the
// budget has room, and returns the first outcome that is certain. It must be harmless
// to repeat: a failed condition may be the work of the other try.
func (c *Client) TxnHedged(ctx context.Context, use Budget, t protocol.Txn) (ok bool, err error) {
	if err := c.admit(ctx, use, firstKeyOf(&t), len(t.Then)); err != nil {
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
	timer := time.NewTimer(HedgeDelay)
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
			if c.tryAdmit(use, len(t.Then)) {
				under++
				go try()
			}
		}
	}
}
