// Package http sends requests to web servers by HTTP/1.1 and classifies the results: whether a request ran, may have
// run, or never ran.
package http

import (
	"context"
	"errors"
	"log/slog"
	stdhttp "net/http"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
	"portstall/internal/wire"
	"portstall/policy"
)

// minConnectTimeout is the longest time that a healthy web server takes to accept a connection under load. A failure to
// connect in less time does not show that a server is unhealthy.
const minConnectTimeout = 100 * time.Millisecond

// Sender sends requests to web servers and is a core.Sender. It is safe for concurrent use.
type Sender struct {
	Core        *core.Core
	Pool        *back.Pool
	Budget      *flow.Budget
	LoadReports func() bool   // whether responses hold load reports
	Log         *slog.Logger  // gets a line for each attempt that fails, and each second copy
	StallSlack  time.Duration // added to bufferedStallAllowance, for tests that run many nodes on a busy machine
	history     responseHistory
}

// Attempt sends the request once and waits for the response. An attempt that is given up returns only after its
// connection is closed, so that a retry never runs concurrently as a second copy.
func (s *Sender) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	upload := a.Request.Body.(*flow.Upload)
	if !upload.Complete() {
		a.Timeout = s.Core.LimitTimeout(a.Timeout) // the request's deadline is from before its last byte, and may be later
		if a.Timeout <= 0 {
			return core.Result{Outcome: policy.NeverSent}
		}
	}
	expiry := &expiry{cancel: cancel}
	timer := time.AfterFunc(a.Timeout, expiry.expire)
	defer timer.Stop()
	server := a.Server.(*back.Server)
	responsesBefore := server.Responses.Load()
	c, outcome := s.connect(ctx, a, server)
	if c == nil {
		return core.Result{Outcome: outcome}
	}
	stopWatch := context.AfterFunc(ctx, func() {
		c.Close()
		upload.Discard() // the sending may wait for the client
	})
	sent, err := s.send(a, upload, c, timer)
	if neverBegun(err) {
		if stopWatch() {
			s.Pool.Put(c)
		} else {
			s.Pool.Close(c)
		}
		return core.Result{Outcome: policy.NeverSent}
	}
	var got response
	if err == nil {
		got, err = s.read(ctx, c, a, expiry)
	}
	alive := stopWatch() // a complete response is valid however its connection ends
	if err == nil && got.streamed && !alive {
		got.share.Release()
		err = errMalformed
	}
	if got.surplus {
		s.Log.Info("discarded a second copy of an earlier response", "request", a.Request.ID, "backend", server.ID)
	}
	s.returnConn(c, got, alive, err)
	if err == nil || errors.Is(err, errMalformed) {
		server.Responses.Add(1)
	}
	if err != nil {
		outcome := s.failureOutcome(context.Cause(ctx), server, sent, responsesBefore)
		s.Log.Info("attempt failed: its connection is closed", "request", a.Request.ID, "attempt", a.Index, "backend", server.ID,
			"outcome", outcome, "sent", sent, "timeout", a.Timeout, "cause", context.Cause(ctx), "err", err)
		return core.Result{Outcome: outcome}
	}
	res := s.result(server, c, got)
	if res.Outcome != policy.OK {
		s.Log.Info("attempt turned away", "request", a.Request.ID, "attempt", a.Index, "backend", server.ID,
			"outcome", res.Outcome, "status", got.resp.StatusCode, "maybe_copy", got.maybeCopy)
	}
	return res
}

// connect returns a connection to the server, or nil and the attempt's outcome.
func (s *Sender) connect(ctx context.Context, a *core.Attempt, server *back.Server) (*back.Conn, policy.Outcome) {
	c, err := s.Pool.Get(ctx, server)
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, errTimeout)
	if err == nil {
		switch {
		case timedOut:
			s.Pool.Put(c)
			return nil, policy.NeverSent // the client's timeout was too short for any web server
		case cause != nil: // canceled while it waited for a connection
			s.Pool.Put(c)
			return nil, policy.Canceled
		}
		return c, policy.OK
	}
	switch {
	case errors.Is(err, back.ErrNoSockets):
		return nil, policy.NeverSent // not the web server's failure, and not held against it
	case timedOut && a.Timeout < minConnectTimeout:
		return nil, policy.NeverSent
	case cause == nil, timedOut:
		return nil, policy.ConnectFailed
	}
	return nil, policy.Canceled
}

// returnConn returns the connection of an attempt to the pool, or closes it if it can't carry another request. A streamed
// response keeps it.
func (s *Sender) returnConn(c *back.Conn, got response, alive bool, err error) {
	switch {
	case err == nil && got.streamed:
	case err == nil && alive && !got.surplus && !got.maybeCopy && reusable(c, got.resp):
		s.Pool.Put(c)
	default:
		if err == nil && c.In.Buffered() > 0 {
			s.Pool.ReportSurplus()
		}
		s.Pool.Close(c)
	}
}

// failureOutcome returns the outcome of an attempt without a response: cause is why it was given up, nil if it was not,
// and responsesBefore the server's responses before it.
func (s *Sender) failureOutcome(cause error, server *back.Server, sent bool, responsesBefore int64) policy.Outcome {
	switch {
	case cause != nil && !errors.Is(cause, errTimeout):
		return policy.Canceled
	case !sent:
		return policy.ConnectFailed // its last byte was never written
	case cause == nil:
		return policy.Reset // it may have run
	}
	if server.Responses.Load() == responsesBefore {
		// This server has not responded to anything during the attempt. If its machine was cut off, each idle
		// connection from before would lose one more request, and would reset one once the machine is back.
		s.Pool.CloseIdle(server, false)
	}
	return policy.TimedOut
}

// result returns the result of an attempt with a response, and passes on its body if the request was served.
func (s *Sender) result(server *back.Server, c *back.Conn, got response) core.Result {
	res := s.classify(server, got)
	payload := &message.Response{Body: got.body, Share: got.share}
	if got.streamed {
		payload = &message.Response{Stream: newDownload(s, c, got), Length: got.resp.ContentLength, Interrupt: func() { c.Conn.Close() }}
	}
	if res.Outcome != policy.OK {
		payload.Release() // the body of a failed response is not passed on
		return res
	}
	payload.ContentType = got.resp.Header.Get("Content-Type")
	res.Payload = payload
	return res
}

// classify returns the outcome that a response stands for, and its load report.
func (s *Sender) classify(server *back.Server, got response) core.Result {
	resp := got.resp
	res := core.Result{Outcome: policy.Failed, FirstByteAt: got.firstByteAt}
	if reports := resp.Header["X-Load"]; len(reports) > 0 && s.LoadReports() {
		load, err := wire.DecodeLoadReport(reports[0])
		if err == nil && len(reports) == 1 {
			res.Load = load
		} else {
			s.Log.Debug("ignoring invalid load report", "backend", server.ID, "reports", reports)
		}
	}
	rejected := resp.StatusCode == stdhttp.StatusServiceUnavailable || resp.StatusCode == stdhttp.StatusGatewayTimeout
	switch {
	case got.maybeCopy: // the request may have run, whatever the response says
	case rejected && resp.Header.Get("X-Not-Run") == "1":
		res.Outcome = policy.QueueFull
	case resp.StatusCode == stdhttp.StatusOK:
		res.Outcome = policy.OK
	}
	return res
}
