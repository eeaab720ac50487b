package storage

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pinebay/internal/protocol"
)

// GrantLease asks for a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	_, raw, err := c.call(
		ctx,
		BudgetUrgent,
		0,
		http.MethodPost,
		"/grants",
		protocol.LeaseRequest{TTLMS: ttl.Milliseconds()},
	)
	if err != nil {
		return 0, err
	}
	var r protocol.LeaseResult
	if err := protocol.Decode(raw, &r); err != nil {
		return 0, fmt.Errorf("lease: %w", err)
	}
	return r.LeaseID, nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, _, err := c.call(
		ctx,
		BudgetUrgent,
		0,
		http.MethodPost,
		"/grants/"+strconv.FormatUint(lease, 10)+"/extend",
		struct{}{},
	)
	if err == nil && status == http.StatusNotFound {
		return ErrLeaseNotFound
	}
	return err
}

// RevokeLease ends a lease at once, and removes the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, _, err := c.call(ctx, BudgetUrgent, 0, http.MethodDelete, "/grants/"+strconv.FormatUint(lease, 10), nil)
	return err
}
