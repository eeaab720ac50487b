package storage

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// Get reads a key; a version of 0 means that it does not exist.
func (c *Client) Get(ctx context.Context, use Budget, key string) (protocol.KeyValue, error) {
	var p protocol.KeyValue
	status, raw, err := c.call(ctx, use, 0, http.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return p, err
	}
	if status == http.StatusNotFound {
		return protocol.KeyValue{Key: key}, nil
	}
	if err := protocol.Decode(raw, &p); err != nil {
		return p, fmt.Errorf("get %s: %w", key, err)
	}
	return p, nil
}

// List reads all keys with a prefix. The revision is that of the first page:
// a watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string) ([]protocol.KeyValue, uint64, error) {
	return c.ListWithBudget(ctx, BudgetPlacement, prefix)
}

// ListWithBudget is List at the expense of another budget.
func (c *Client) ListWithBudget(ctx context.Context, use Budget, prefix string) ([]protocol.KeyValue, uint64, error) {
	var all []protocol.KeyValue
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
		var page protocol.KeyValuePage
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

// Changes returns what has changed after rev of keys with the prefix. Changes that are too long to be
// taken in are as good as no longer kept: the keys have to be read again, which goes page by page.
func (c *Client) Changes(ctx context.Context, use Budget, prefix string, rev uint64) (*protocol.WatchResponse, error) {
	path := fmt.Sprintf("/changes?prefix=%s&from=%d&block_ms=0", url.QueryEscape(prefix), rev)
	status, raw, err := c.call(ctx, use, 0, http.MethodGet, path, nil)
	if errors.Is(err, transport.ErrResponseTooLarge) {
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, err
	}
	return decodeEvents(prefix, status, raw)
}

func decodeEvents(prefix string, status int, raw []byte) (*protocol.WatchResponse, error) {
	if status == http.StatusGone {
		return nil, ErrCompacted
	}
	var e protocol.WatchResponse
	if err := protocol.Decode(raw, &e); err != nil {
		return nil, fmt.Errorf("changes of %s: %w", prefix, err)
	}
	return &e, nil
}

// Watch waits up to wait for changes after rev to keys with the prefix; see Changes for those that are too long.
func (c *Client) Watch(
	ctx context.Context,
	prefix string,
	rev uint64,
	wait time.Duration,
) (*protocol.WatchResponse, error) {
	path := fmt.Sprintf(
		"%s/changes?prefix=%s&from=%d&block_ms=%d",
		c.base,
		url.QueryEscape(prefix),
		rev,
		wait.Milliseconds(),
	)
	status, raw, err := c.watches.Do(ctx, wait+2*c.timeout, http.MethodGet, path, nil)
	if errors.Is(err, transport.ErrResponseTooLarge) {
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err := c.checkStatus(status, raw); err != nil {
		return nil, err
	}
	return decodeEvents(prefix, status, raw)
}
