package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"portstall/internal/back/tunnel"
	"portstall/internal/lab/fleet"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/scenario"
)

// routeName is what clients that come through tunnels ask for.
const routeHost = "placement.example.org"

// newClient keeps the connections of clients to one node, or to its address for tunnels where they come via one.
func newClient(via, tunnels string) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	dial := dialer.DialContext
	if via != "" {
		way := tunnel.Proxy{Kind: tunnel.SOCKS5, Addr: tunnels}
		if via == "connect" {
			way.Kind = tunnel.Connect
		}
		dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return way.Dial(ctx, dialer, routeHost+":80")
		}
	}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		DialContext: dial}}
}

// verdict is how one try ended.
type outcome struct {
	ending     measure.Ending
	cause      string
	retryAfter time.Duration // Retry-After
}

// ask is one client: it tries, and tries again where that is allowed and still worth it.
func (r *rig) runOperation(a scenario.Ask) {
	c := &r.scenario.Classes[a.Class]
	for tries := 1; ; tries++ {
		r.mu.Lock()
		r.recorder.Try(a.At)
		r.mu.Unlock()
		try := r.sendRequest
		if c.Stands > 0 {
			try = r.requestTunnel
		}
		v := try(&a, tries)
		now := r.now()
		r.mu.Lock()
		storm := r.conditions.Storm
		if v.ending != measure.Served {
			r.recorder.Cause(a.At, v.cause)
		}
		r.mu.Unlock()
		if v.ending != measure.Served && v.ending != measure.Left {
			promised := v.ending == measure.Refused || v.ending == measure.Unreachable
			if wait, ok := fleet.Again(r.scenario, &a, tries, promised, now, v.retryAfter, storm, rand.Float64()); ok {
				select {
				case <-time.After(wait):
					continue
				case <-r.ctx.Done():
				}
			}
		}
		tenant := ""
		if a.Tenant >= 0 {
			tenant = r.scenario.Tenants[a.Tenant].Name
		}
		r.mu.Lock()
		took := now - a.At
		r.recorder.Ask(a.At, c.Name, tenant, v.ending, v.ending == measure.Served && took <= c.Aim, took, c.Worth*a.Work.Seconds())
		r.mu.Unlock()
		return
	}
}

// pick is the node that the front deals a client to.
func (r *rig) selectNode() *node {
	var seen []*node
	for _, n := range r.nodes {
		n.mu.Lock()
		if n.inRotation {
			seen = append(seen, n)
		}
		n.mu.Unlock()
	}
	if len(seen) == 0 {
		return nil
	}
	return seen[rand.IntN(len(seen))]
}

// request words an ask as clients do.
func newRequest(ctx context.Context, addr, id string, s *scenario.Scenario, a *scenario.Ask, tries int, patience time.Duration) (*http.Request, error) {
	c := &s.Classes[a.Class]
	method, body := http.MethodGet, ""
	if c.Effect != "safe" {
		method, body = http.MethodPost, "ask "+strconv.Itoa(a.Index)
	}
	url := fmt.Sprintf("http://%s/api?us=%d", addr, a.Work.Microseconds())
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body == "" {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	h := req.Header
	h.Set("X-Request-Id", id)
	h.Set("X-Class", c.Name)
	h.Set("X-Deadline", fmt.Sprintf("%du", patience.Microseconds()))
	if a.Tenant >= 0 {
		h.Set("X-Tenant", s.Tenants[a.Tenant].Name)
		if part := s.Tenants[a.Tenant].Hints; part > 0 {
			h.Set("X-Cost-Hint", strconv.FormatInt(int64(part*float64(a.Work.Microseconds())), 10))
		}
	}
	if c.Effect == "keyed" {
		h.Set("Idempotency-Key", scenario.IdempotencyKey(s, a))
	}
	if tries > 1 {
		h.Set("X-Retry", "1")
	}
	return req, nil
}

// try sends one request to a node and books what came of it.
func (r *rig) sendRequest(a *scenario.Ask, tries int) outcome {
	c := &r.scenario.Classes[a.Class]
	begun := r.now()
	patience := min(c.Deadline-(begun-a.At), time.Duration(a.TryShare*float64(c.Deadline)))
	n := r.selectNode()
	if n == nil {
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	}
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	id := fmt.Sprintf("%d-%d-%x", a.Index, tries, r.scenario.Seed)
	until := begun + patience
	wait := patience + r.scenario.Rules.AnswerSlack + r.options.Slack
	leaves := a.Leaves > 0
	if leaves {
		wait = time.Duration(a.Leaves * float64(patience))
	}
	ctx, cancel := context.WithTimeout(r.ctx, wait)
	defer cancel()
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil && !wrote.Swap(true) {
			r.mu.Lock()
			r.appendRecord(record{kind: requestSent, at: begun, node: n.index, id: id, class: a.Class, key: r.scenario.Key(a), deadline: until})
			r.mu.Unlock()
		}
	}})
	req, err := newRequest(ctx, n.addr, id, r.scenario, a, tries, patience)
	if err != nil {
		r.addError(err)
		return outcome{ending: measure.Failed, cause: "the client is at fault"}
	}
	resp, err := n.client.Do(req)
	status, text, after := 0, "", time.Duration(0)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		resp.Body.Close()
		status, text = resp.StatusCode, string(body)
		if f, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil && f > 0 {
			after = time.Duration(f * float64(time.Second))
		}
	}
	v, rec := classify(err, status, text == "made for "+id, leaves, ctx.Err() != nil, wrote.Load())
	v.retryAfter = after
	if err == nil && v.ending == measure.Refused {
		rule, _, _ := strings.Cut(resp.Header.Get("Portstall-Refusal"), ";")
		if rule = strings.TrimPrefix(rule, "rule="); rule != "" {
			v.cause = "contract: " + rule
		}
	}
	if status == http.StatusOK && err == nil && text != "made for "+id {
		r.addError(fmt.Errorf("request %s was served with %q", id, text))
	}
	if !wrote.Load() {
		return v
	}
	n.mu.Lock()
	killed := n.cmd != cmd || !n.running
	n.mu.Unlock()
	if v.ending == measure.Lost && !killed {
		v = outcome{ending: measure.Failed, cause: "the connection broke"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendRecord(record{kind: rec, at: r.now(), node: n.index, id: id, flag: rec == connectionBroken && killed})
	return v
}

// judge says how a try ended for its client, and which record that makes.
func classify(err error, status int, right, leaves, timeUp, wrote bool) (outcome, recordKind) {
	switch {
	case err == nil && status == http.StatusOK && right:
		return outcome{ending: measure.Served}, requestServed
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return outcome{ending: measure.Refused, cause: "refused"}, requestRefused
	case err == nil:
		return outcome{ending: measure.Failed, cause: "failed: answered " + strconv.Itoa(status)}, requestFailed
	case timeUp && leaves:
		return outcome{ending: measure.Left, cause: "client left early"}, clientLeft
	case errors.Is(err, context.DeadlineExceeded) || timeUp:
		return outcome{ending: measure.Overdue, cause: "no answer in time"}, clientTimedOut
	case status == http.StatusOK: // begun and not finished, and the client can tell
		return outcome{ending: measure.Failed, cause: "failed: the answer broke off"}, requestFailed
	case !wrote:
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}, connectionBroken
	}
	return outcome{ending: measure.Lost, cause: "node died"}, connectionBroken
}
