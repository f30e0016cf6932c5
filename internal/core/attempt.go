package core

import (
	"context"
	"errors"
	"time"

	"portstall/policy"
)

// Sender sends attempts to web servers.
type Sender interface {
	// Attempt sends a request once and waits for the outcome. It returns only after nothing more of the attempt can
	// reach its server, so that the next attempt is never a concurrent second copy. It runs in a goroutine of its own.
	// ctx ends when the attempt is given up, with ErrCanceled as its cause, or when the core is closed.
	Attempt(ctx context.Context, a *Attempt) Result
}

// ErrCanceled is the cause with which an attempt's context ends when the policy needs the attempt no more.
var ErrCanceled = errors.New("attempt canceled")

// Attempt is one send of a request to a web server.
type Attempt struct {
	Request      *Request
	Index        int
	Server       any           // as Discovery returned it
	Timeout      time.Duration // the attempt is given up after this time
	serverNumber uint32
	sentAt       time.Duration
	run          policy.Run // what it is if it may have run
	cancel       context.CancelCauseFunc
}

// Wanted reports, without blocking, whether the client still waits for the attempt. A Sender calls it before it sends
// the first byte, so that a request is not sent on whose client disconnected while the request waited for a slot or a
// connection. It is safe for concurrent use.
func (a *Attempt) Wanted() bool {
	r := a.Request
	return !r.clientGone.Load() && (r.ClientLeft == nil || !r.ClientLeft())
}

// Result is the end of an attempt.
type Result struct {
	Outcome     policy.Outcome
	Load        policy.Load
	Payload     Payload       // set if the outcome is OK
	FirstByteAt time.Duration // when the first byte of a response arrived, on the Clock; 0 if none did
}

// Uploaded reports that the last byte of a body which was incomplete at Begin has been sent to the server. The attempt's
// latency counts from here.
func (c *Core) Uploaded(a *Attempt) {
	c.Lock()
	defer c.Unlock()
	a.sentAt = c.Now()
}

// Established gives a request its final response while the attempt goes on, for a request that asks for a connection to
// the server itself. The attempt counts as in flight until it ends. It returns false if the request has its response
// already; the payload is then not taken over.
func (c *Core) Established(a *Attempt, p Payload) bool {
	c.Lock()
	defer c.Unlock()
	r := a.Request
	if r.responded {
		return false
	}
	r.responded = true
	r.response <- Response{Kind: Served, Payload: p}
	return true
}

// attemptEnded hands an attempt's outcome to the policy, and passes on the response of a successful one.
func (c *Core) attemptEnded(a *Attempt, res Result) {
	c.Lock()
	defer c.Unlock()
	r := a.Request
	r.openAttempts--
	if r.run == nil && !res.Outcome.NeverRan() {
		r.run = &a.run
	}
	if res.Outcome == policy.OK && !r.responded {
		r.responded = true
		r.response <- Response{Kind: Served, Payload: res.Payload}
	} else {
		releasePayload(res.Payload) // the request has its response already, or the attempt was not served
	}
	now := c.Now()
	if c.cells != nil {
		c.cells.Ended(now, r, res.Outcome)
	}
	elapsed := now - a.sentAt
	if res.FirstByteAt > 0 { // the time after the first byte depends on the network and on the body's size
		elapsed = max(0, res.FirstByteAt-a.sentAt)
	}
	r.admission.serverTime += now - a.sentAt
	spent := r.Body.Spent() || !r.responded && !c.mayRetry(now, r)
	c.handleAt(now, &policy.Event{Kind: policy.EvOutcome, ID: r.ID, Server: a.serverNumber, Attempt: a.Index,
		Elapsed: elapsed, Final: r.responded, BodySpent: spent, Outcome: res.Outcome, Load: res.Load})
	c.removeIfDone(r)
}

// startAttempt starts an attempt. Its outcome is always handed to the policy later.
func (c *Core) startAttempt(now time.Duration, act *policy.Action) {
	r := c.requests[act.ID]
	if r == nil {
		return
	}
	a := &Attempt{Request: r, Index: len(r.attempts), serverNumber: act.Server, sentAt: now, run: act.Run, Timeout: r.deadline - now}
	if act.Wait > 0 {
		a.Timeout = min(a.Timeout, act.Wait)
	}
	var known bool
	a.Server, known = c.discovery.Server(act.Server)
	ctx, cancel := context.WithCancelCause(c.ctx)
	a.cancel = cancel
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if c.cells != nil && known {
		c.cells.Sent(now, r, act.Server)
	}
	c.Go(func() {
		defer cancel(nil)
		res := Result{Outcome: policy.NeverSent}
		if known { // otherwise it is never sent
			res = c.sender.Attempt(ctx, a)
		}
		c.attemptEnded(a, res)
	})
}
