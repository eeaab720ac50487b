package storage

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/protocol"
)

const transactionsPath = "/multi"

// TxnOutcome is the answer to a transaction.
type TxnOutcome struct {
	// Succeeded says that all conditions held, and the operations were carried out.
	Succeeded bool
	// Revision is that of the keys written.
	Revision uint64
	// FailedKeys are those whose conditions failed.
	FailedKeys []string
}

// Txn tries a transaction once.
func (c *Client) Txn(ctx context.Context, budget Budget, t protocol.Txn) (TxnOutcome, error) {
	if err := c.admit(ctx, budget, firstKeyOf(&t), len(t.Then)); err != nil {
		return TxnOutcome{}, err
	}
	return c.tryTxn(ctx, budget, t)
}

// Admission is a transaction's turn within the budgets.
type Admission struct {
	budget Budget
	at     time.Time
	// leftover says that it still has to wait for what placements leave of their budget.
	leftover bool
}

// admissionSpacing is the time between the turns of transactions that are admitted at the same moment, so that they
// are sent in order.
const admissionSpacing = time.Microsecond

// Admit reserves the next turn for a transaction, without waiting. Transactions of one budget are sent in the order
// in which they were admitted.
func (c *Client) Admit(budget Budget, t *protocol.Txn) Admission {
	now := time.Now()
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	admission := Admission{budget: budget, at: now}
	if earliest := c.lastAdmission.Add(admissionSpacing); earliest.After(now) {
		admission.at = earliest
	}
	c.lastAdmission = admission.at
	writes := len(t.Then)
	reader, writer := c.readLimiters[budget], c.writeLimiters[budget]
	if budget == BudgetCompletion {
		placements := c.writeLimiters[BudgetPlacement]
		if !placements.AllowN(now, min(writes, placements.Burst())) {
			admission.leftover = true
			return admission
		}
		reader, writer = c.readLimiters[BudgetPlacement], nil // its writes are taken already
	}
	if reader != nil {
		admission.delayUntil(now.Add(reader.ReserveN(now, 1).DelayFrom(now)))
	}
	if writer != nil && writes > 0 {
		admission.delayUntil(now.Add(writer.ReserveN(now, min(writes, writer.Burst())).DelayFrom(now)))
	}
	return admission
}

func (a *Admission) delayUntil(at time.Time) {
	if at.After(a.at) {
		a.at = at
	}
}

// TxnAdmitted tries a transaction once, when it is its turn.
func (c *Client) TxnAdmitted(ctx context.Context, admission Admission, t protocol.Txn) (TxnOutcome, error) {
	var err error
	if admission.leftover {
		err = c.admitCompletion(ctx, firstKeyOf(&t), len(t.Then))
	} else {
		err = actor.Sleep(ctx, time.Until(admission.at))
	}
	if err != nil {
		return TxnOutcome{}, fmt.Errorf("%w: %w", ErrThrottled, err)
	}
	return c.tryTxn(ctx, admission.budget, t)
}

// firstKeyOf returns the first key that a transaction changes, which tells it from others in flight.
func firstKeyOf(t *protocol.Txn) string {
	if len(t.Then) == 0 {
		return ""
	}
	return t.Then[0].PutKey + t.Then[0].DeleteKey
}

func (c *Client) tryTxn(ctx context.Context, budget Budget, t protocol.Txn) (TxnOutcome, error) {
	status, raw, err := c.send(ctx, budget, http.MethodPost, transactionsPath, firstKeyOf(&t), t)
	if err != nil {
		return TxnOutcome{}, err
	}
	var result protocol.TxnResult
	if err := protocol.Decode(raw, &result); err != nil {
		return TxnOutcome{}, fmt.Errorf("transaction: %w", err)
	}
	return TxnOutcome{
		Succeeded:  status == http.StatusOK,
		Revision:   result.Revision,
		FailedKeys: result.FailedKeys,
	}, nil
}

// HedgeDelay is when an answer counts as slow: after five times the 10 ms that are usual. A few take hundreds.
const HedgeDelay = 50 * time.Millisecond

// TxnHedged tries a transaction, and a second time if the answer is slow and the budget has room, and returns the
// first outcome that is certain. The transaction must be harmless to repeat: that it failed may be due to the
// other try.
func (c *Client) TxnHedged(ctx context.Context, budget Budget, t protocol.Txn) (succeeded bool, err error) {
	if err := c.admit(ctx, budget, firstKeyOf(&t), len(t.Then)); err != nil {
		return false, err
	}
	type result struct {
		outcome TxnOutcome
		err     error
	}
	results := make(chan result, 2)
	try := func() {
		outcome, err := c.tryTxn(ctx, budget, t)
		results <- result{outcome, err}
	}
	go try()
	timer := time.NewTimer(HedgeDelay)
	defer timer.Stop()
	inFlight := 1
	for {
		select {
		case r := <-results:
			inFlight--
			if r.err == nil || inFlight == 0 {
				return r.outcome.Succeeded, r.err
			}
		case <-timer.C:
			if c.tryAdmit(budget, len(t.Then)) {
				inFlight++
				go try()
			}
		}
	}
}
