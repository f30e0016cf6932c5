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

// routeHost is the host name of the route that tunneled clients request.
const routeHost = "placement.example.org"

// newClient returns the HTTP client for one node, which pools its connections. protocol is that of the tunnels through
// which clients connect at tunnelAddr; empty: they connect directly.
func newClient(protocol, tunnelAddr string) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	dial := dialer.DialContext
	if protocol != "" {
		proxy := tunnel.Proxy{Protocol: tunnel.SOCKS5, Addr: tunnelAddr}
		if protocol == "connect" {
			proxy.Protocol = tunnel.Connect
		}
		dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return proxy.Dial(ctx, dialer, routeHost+":80")
		}
	}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 5 * time.Second,
		DisableCompression: true, DialContext: dial}}
}

// outcome says how one try ended.
type outcome struct {
	ending     measure.Ending
	cause      string        // written into results; empty if served
	retryAfter time.Duration // of a Retry-After; 0: none
}

// runOperation makes the tries of one operation, for as long as a retry is allowed and can still be in time, and
// records its ending.
func (r *rig) runOperation(op scenario.Operation) {
	class := &r.scenario.Classes[op.Class]
	for tries := 1; ; tries++ {
		r.mu.Lock()
		r.recorder.RecordTry(op.At)
		r.mu.Unlock()
		send := r.sendRequest
		if class.Stands > 0 {
			send = r.requestTunnel
		}
		result := send(&op, tries)
		now := r.now()
		r.mu.Lock()
		storm := r.fleetEffects.RetryFactor
		if result.ending != measure.Served {
			r.recorder.RecordCause(op.At, result.cause)
		}
		r.mu.Unlock()
		if result.ending != measure.Served && result.ending != measure.ClientLeft {
			promised := result.ending == measure.Refused || result.ending == measure.Unreachable
			if wait, ok := fleet.RetryDelay(r.scenario, &op, tries, promised, now, result.retryAfter, storm, rand.Float64()); ok {
				select {
				case <-time.After(wait):
					continue
				case <-r.ctx.Done():
				}
			}
		}
		tenant := ""
		if op.Tenant >= 0 {
			tenant = r.scenario.Tenants[op.Tenant].Name
		}
		r.mu.Lock()
		took := now - op.At
		r.recorder.RecordOperation(op.At, class.Name, tenant, result.ending, result.ending == measure.Served && took <= class.Aim, took,
			class.Worth*op.Work.Seconds())
		r.mu.Unlock()
		return
	}
}

// selectNode returns a random node in rotation, as the front balancer does, or nil if there is none.
func (r *rig) selectNode() *node {
	var candidates []*node
	for _, n := range r.nodes {
		n.mu.Lock()
		if n.inRotation {
			candidates = append(candidates, n)
		}
		n.mu.Unlock()
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rand.IntN(len(candidates))]
}

// newRequest returns the HTTP request of one try.
func newRequest(ctx context.Context, addr, id string, s *scenario.Scenario, op *scenario.Operation, tries int,
	timeout time.Duration) (*http.Request, error) {
	class := &s.Classes[op.Class]
	method, body := http.MethodGet, ""
	if class.Effect != "safe" {
		method, body = http.MethodPost, "ask "+strconv.Itoa(op.Index)
	}
	url := fmt.Sprintf("http://%s/api?us=%d", addr, op.Work.Microseconds())
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body == "" {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	header := req.Header
	header.Set("X-Request-Id", id)
	header.Set("X-Class", class.Name)
	header.Set("X-Deadline", fmt.Sprintf("%du", timeout.Microseconds()))
	if op.Tenant >= 0 {
		header.Set("X-Tenant", s.Tenants[op.Tenant].Name)
		if factor := s.Tenants[op.Tenant].Hints; factor > 0 {
			header.Set("X-Cost-Hint", strconv.FormatInt(int64(factor*float64(op.Work.Microseconds())), 10))
		}
	}
	if class.Effect == "keyed" {
		header.Set("Idempotency-Key", scenario.IdempotencyKey(s, op))
	}
	if tries > 1 {
		header.Set("X-Retry", "1")
	}
	return req, nil
}

// sendRequest is one try of an operation: it sends one request to a node and records the outcome.
func (r *rig) sendRequest(op *scenario.Operation, tries int) outcome {
	class := &r.scenario.Classes[op.Class]
	startedAt := r.now()
	timeout := min(class.Deadline-(startedAt-op.At), time.Duration(op.TryShare*float64(class.Deadline)))
	n := r.selectNode()
	if n == nil {
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	}
	n.mu.Lock()
	process := n.cmd
	n.mu.Unlock()
	id := fmt.Sprintf("%d-%d-%x", op.Index, tries, r.scenario.Seed)
	deadline := startedAt + timeout
	wait := timeout + r.scenario.Rules.AnswerSlack + r.options.Slack
	leavesEarly := op.LeaveShare > 0
	if leavesEarly {
		wait = time.Duration(op.LeaveShare * float64(timeout))
	}
	ctx, cancel := context.WithTimeout(r.ctx, wait)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil && !sent.Swap(true) {
			r.mu.Lock()
			r.appendRecord(record{kind: requestSent, at: startedAt, node: n.index, id: id, class: op.Class,
				key: r.scenario.PodKey(op), deadline: deadline})
			r.mu.Unlock()
		}
	}})
	req, err := newRequest(ctx, n.addr, id, r.scenario, op, tries, timeout)
	if err != nil {
		r.addError(err)
		return outcome{ending: measure.Failed, cause: "the client is at fault"}
	}
	resp, err := n.client.Do(req)
	status, text, retryAfter := 0, "", time.Duration(0)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		resp.Body.Close()
		status, text = resp.StatusCode, string(body)
		if seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil && seconds > 0 {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	result, kind := classify(err, status, text == "made for "+id, leavesEarly, ctx.Err() != nil, sent.Load())
	result.retryAfter = retryAfter
	if err == nil && result.ending == measure.Refused {
		rule, _, _ := strings.Cut(resp.Header.Get("Portstall-Refusal"), ";")
		if rule = strings.TrimPrefix(rule, "rule="); rule != "" {
			result.cause = "contract: " + rule
		}
	}
	if status == http.StatusOK && err == nil && text != "made for "+id {
		r.addError(fmt.Errorf("request %s was served with %q", id, text))
	}
	if !sent.Load() {
		return result
	}
	n.mu.Lock()
	killed := n.cmd != process || !n.running
	n.mu.Unlock()
	if result.ending == measure.Lost && !killed {
		result = outcome{ending: measure.Failed, cause: "the connection broke"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendRecord(record{kind: kind, at: r.now(), node: n.index, id: id, flag: kind == connectionBroken && killed})
	return result
}

// classify returns how a try ended for its client, and the kind of its record. bodyOK is set if the body is that of this
// request, leavesEarly if the client disconnects early, expired if the client's timeout has expired, and sent if the
// request was written completely.
func classify(err error, status int, bodyOK, leavesEarly, expired, sent bool) (outcome, recordKind) {
	switch {
	case err == nil && status == http.StatusOK && bodyOK:
		return outcome{ending: measure.Served}, requestServed
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return outcome{ending: measure.Refused, cause: "refused"}, requestRefused
	case err == nil:
		return outcome{ending: measure.Failed, cause: "failed: answered " + strconv.Itoa(status)}, requestFailed
	case expired && leavesEarly:
		return outcome{ending: measure.ClientLeft, cause: "client left early"}, clientLeft
	case errors.Is(err, context.DeadlineExceeded) || expired:
		return outcome{ending: measure.TimedOut, cause: "no answer in time"}, clientTimedOut
	case status == http.StatusOK: // a truncated response, which the client recognizes
		return outcome{ending: measure.Failed, cause: "failed: the answer broke off"}, requestFailed
	case !sent:
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}, connectionBroken
	}
	return outcome{ending: measure.Lost, cause: "node died"}, connectionBroken
}
