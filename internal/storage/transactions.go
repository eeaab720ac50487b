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

// TxnOutcome is the outcome of a transaction.
type TxnOutcome struct {
	// Succeeded is set if all comparisons held and the operations were applied.
	Succeeded bool
	// Revision is the new revision of the keys that were written.
	Revision uint64
	// FailedKeys are the keys whose comparisons failed.
	FailedKeys []string
}

// Txn sends a transaction once, as soon as its budget allows.
func (c *Client) Txn(ctx context.Context, budget Budget, t protocol.Txn) (TxnOutcome, error) {
	if err := c.admit(ctx, budget, firstKey(&t), len(t.Then)); err != nil {
		return TxnOutcome{}, err
	}
	return c.sendTxn(ctx, budget, t)
}

// Admission is a transaction's reservation within its budget.
type Admission struct {
	budget Budget
	at     time.Time
	// waitsForSpareWrites is set if the transaction must wait for writes that placements leave unused.
	waitsForSpareWrites bool
}

// admissionSpacing is the minimum interval between admission times. It makes transactions that are admitted at the same
// moment start in the order of their admission.
const admissionSpacing = time.Microsecond

// Admit reserves the next place in the budget for a transaction, without blocking. Transactions of the same budget are
// sent in the order of their admission.
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
			admission.waitsForSpareWrites = true
			return admission
		}
		reader, writer = c.readLimiters[BudgetPlacement], nil // its writes have been reserved above
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

// TxnAdmitted sends an admitted transaction once, at the time of its reservation.
func (c *Client) TxnAdmitted(ctx context.Context, admission Admission, t protocol.Txn) (TxnOutcome, error) {
	var err error
	if admission.waitsForSpareWrites {
		err = c.admitCompletion(ctx, firstKey(&t), len(t.Then))
	} else {
		err = actor.Sleep(ctx, time.Until(admission.at))
	}
	if err != nil {
		return TxnOutcome{}, fmt.Errorf("%w: %w", ErrThrottled, err)
	}
	return c.sendTxn(ctx, admission.budget, t)
}

// firstKey returns the first key that a transaction changes, which distinguishes it from other transactions in flight.
func firstKey(t *protocol.Txn) string {
	if len(t.Then) == 0 {
		return ""
	}
	return t.Then[0].PutKey + t.Then[0].DeleteKey
}

func (c *Client) sendTxn(ctx context.Context, budget Budget, t protocol.Txn) (TxnOutcome, error) {
	status, raw, err := c.send(ctx, budget, http.MethodPost, transactionsPath, firstKey(&t), t)
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

// HedgeDelay is how long TxnHedged waits for a response before it sends a transaction again. It is five times the usual
// response time of 10 ms; a few responses take hundreds of milliseconds.
const HedgeDelay = 50 * time.Millisecond

// TxnHedged sends a transaction, sends it again if the response is slow and the budget allows, and returns the first
// outcome that is certain. The transaction must be safe to repeat: a comparison may fail because of the other attempt.
func (c *Client) TxnHedged(ctx context.Context, budget Budget, t protocol.Txn) (succeeded bool, err error) {
	if err := c.admit(ctx, budget, firstKey(&t), len(t.Then)); err != nil {
		return false, err
	}
	type result struct {
		outcome TxnOutcome
		err     error
	}
	results := make(chan result, 2)
	attempt := func() {
		outcome, err := c.sendTxn(ctx, budget, t)
		results <- result{outcome, err}
	}
	go attempt()
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
				go attempt()
			}
		}
	}
}
