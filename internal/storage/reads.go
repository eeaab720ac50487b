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

// listPageSize is the maximum number of keys that one request lists.
const listPageSize = 500

// Get reads a key. The revision is 0 if the key doesn't exist.
func (c *Client) Get(ctx context.Context, budget Budget, key string) (protocol.KeyValue, error) {
	status, raw, err := c.call(ctx, budget, http.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return protocol.KeyValue{}, err
	}
	if status == http.StatusNotFound {
		return protocol.KeyValue{Key: key}, nil
	}
	var pair protocol.KeyValue
	if err := protocol.Decode(raw, &pair); err != nil {
		return pair, fmt.Errorf("get %s: %w", key, err)
	}
	return pair, nil
}

// List reads all keys with a prefix. It returns the revision of the first page; a watch from that revision misses no
// change.
func (c *Client) List(ctx context.Context, prefix string) (all []protocol.KeyValue, revision uint64, err error) {
	return c.ListWithBudget(ctx, BudgetPlacement, prefix)
}

// ListWithBudget is like List but uses the given budget.
func (c *Client) ListWithBudget(
	ctx context.Context,
	budget Budget,
	prefix string,
) (all []protocol.KeyValue, revision uint64, err error) {
	from := ""
	for {
		path := fmt.Sprintf("/kv?prefix=%s&limit=%d", url.QueryEscape(prefix), listPageSize)
		if from != "" {
			path += "&from=" + url.QueryEscape(from)
		}
		_, raw, err := c.call(ctx, budget, http.MethodGet, path, nil)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		var page protocol.KeyValuePage
		if err := protocol.Decode(raw, &page); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, revision, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// Changes returns the changes to keys with a prefix after a revision. The error is ErrCompacted if the changes have
// been compacted or are too large for one response. In both cases the keys must be listed again; a list is read page by
// page, so its size is not limited.
func (c *Client) Changes(
	ctx context.Context,
	budget Budget,
	prefix string,
	revision uint64,
) (*protocol.WatchResponse, error) {
	status, raw, err := c.call(ctx, budget, http.MethodGet, changesPath(prefix, revision, 0), nil)
	if errors.Is(err, transport.ErrResponseTooLarge) {
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, err
	}
	return decodeEvents(prefix, status, raw)
}

// Watch returns the changes to keys with a prefix after a revision, and waits up to the given time if there are none
// yet. Its errors are those of Changes.
func (c *Client) Watch(
	ctx context.Context,
	prefix string,
	revision uint64,
	wait time.Duration,
) (*protocol.WatchResponse, error) {
	path := changesPath(prefix, revision, wait)
	status, raw, err := c.watches.Do(ctx, wait+2*c.timeout, http.MethodGet, c.baseURL+path, nil)
	if errors.Is(err, transport.ErrResponseTooLarge) {
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err := c.checkStatus(http.MethodGet, path, "", status, raw); err != nil {
		return nil, err
	}
	return decodeEvents(prefix, status, raw)
}

func changesPath(prefix string, revision uint64, wait time.Duration) string {
	return fmt.Sprintf("/changes?prefix=%s&from=%d&block_ms=%d", url.QueryEscape(prefix), revision, wait.Milliseconds())
}

func decodeEvents(prefix string, status int, raw []byte) (*protocol.WatchResponse, error) {
	if status == http.StatusGone {
		return nil, ErrCompacted
	}
	var events protocol.WatchResponse
	if err := protocol.Decode(raw, &events); err != nil {
		return nil, fmt.Errorf("decode changes of %s: %w", prefix, err)
	}
	return &events, nil
}
