package endpoints

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// maxListBytes is the largest response that is read.
const maxListBytes = 16 << 20

// Client calls discovery at one address. It is safe for concurrent use.
type Client struct {
	addr string
	now  func() time.Duration
	http *http.Client
}

// NewClient returns a Client for an address. now is the clock by which responses are received.
func NewClient(addr string, now func() time.Duration) *Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return &Client{addr: addr, now: now,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: dialer.DialContext}}}
}

// Addr returns the address.
func (c *Client) Addr() string { return c.addr }

// CloseIdle closes the connections that carry no call.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Fetch asks for the complete list. The response must begin within limit, and be complete within body of its first byte.
func (c *Client) Fetch(ctx context.Context, limit, body time.Duration) (*List, Failure, error) {
	return c.call(ctx, "", limit, body)
}

// Watch asks for what has changed since a version, for which discovery waits up to the given time. The limits are as for
// Fetch.
func (c *Client) Watch(ctx context.Context, since int64, wait, limit, body time.Duration) (*List, Failure, error) {
	return c.call(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds()), limit, body)
}

// call sends one request. A failure is CallError where there is no error.
func (c *Client) call(ctx context.Context, query string, limit, body time.Duration) (list *List, failure Failure, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timedOut atomic.Bool
	timer := time.AfterFunc(limit, func() {
		timedOut.Store(true)
		cancel()
	})
	defer timer.Stop()
	var firstByte atomic.Int64
	defer func() {
		switch {
		case err == nil:
		case firstByte.Load() > 0:
			failure = ResponseBroken
		case timedOut.Load():
			failure, err = CallTimeout, fmt.Errorf("no response within %v: %w", limit, err)
		}
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		firstByte.Store(int64(c.now()))
		timer.Reset(body)
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, CallError, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, CallError, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, CallError, err
	}
	if resp.StatusCode != http.StatusOK {
		firstByte.Store(0) // a refusal announces nothing of the list
		return nil, CallRejected, errors.New("discovery responded with status " + strconv.Itoa(resp.StatusCode))
	}
	list = &List{ReceivedAt: time.Duration(firstByte.Load())}
	if err := json.Unmarshal(text, list); err != nil {
		return nil, CallError, fmt.Errorf("decode discovery's list: %w", err)
	}
	return list, CallError, nil
}
