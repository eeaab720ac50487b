package storage

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pinebay/internal/protocol"
)

const leasesPath = "/grants"

func leasePath(lease uint64) string { return leasesPath + "/" + strconv.FormatUint(lease, 10) }

// GrantLease creates a lease and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	request := protocol.LeaseRequest{TTLMS: ttl.Milliseconds()}
	_, raw, err := c.call(ctx, BudgetUrgent, http.MethodPost, leasesPath, request)
	if err != nil {
		return 0, err
	}
	var result protocol.LeaseResult
	if err := protocol.Decode(raw, &result); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return result.LeaseID, nil
}

// RenewLease renews a lease. The error is ErrLeaseNotFound if the lease has expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, _, err := c.call(ctx, BudgetUrgent, http.MethodPost, leasePath(lease)+"/extend", struct{}{})
	if err == nil && status == http.StatusNotFound {
		return ErrLeaseNotFound
	}
	return err
}

// RevokeLease revokes a lease, which deletes the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, _, err := c.call(ctx, BudgetUrgent, http.MethodDelete, leasePath(lease), nil)
	return err
}
