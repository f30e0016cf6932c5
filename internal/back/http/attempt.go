// Package http sends requests to web servers by HTTP/1.1 and judges what comes back: by PROTOCOL, whether a request
// ran, may have run, or never did.
package http

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	stdhttp "net/http"
	"strconv"
	"sync"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
	"portstall/internal/wire"
	"portstall/policy"
)

var errTimeout = errors.New("the attempt's time is up")

// maxHead bounds the head of an answer, in bytes.
const maxHead = 16 << 10

const (
	// answerStall is how long an answer that could still be tried again may stand still once it has begun,
	answerStall = 250 * time.Millisecond
	// fairWait is what a sound backend takes to accept a connection at most, on a busy day: less tells nothing of one.
	fairWait = 100 * time.Millisecond
	// streamStall one that is passed on,
	streamStall = 5 * time.Second
)

// Back sends requests to web servers. It is safe for concurrent use.
type Back struct {
	Core    *core.Core
	Pool    *back.Pool
	Budget  *flow.Budget
	Reports func() bool // whether answers hold load reports
	Log     *slog.Logger
	Slack   time.Duration // is added to how long an answer may stand still: tests run many nodes on a busy machine
}

// Attempt sends the request once and waits for what comes back. It returns only after a connection that it gave
// up is closed, so that an attempt that follows is never a second copy.
func (n *Back) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeUp := time.AfterFunc(a.Wait, func() { cancel(errTimeout) })
	defer timeUp.Stop()
	b := a.Server.(*back.Server)
	in, up := a.Request.Message.(*stdhttp.Request), a.Request.Body.(*flow.Upload)
	heard := b.Heard.Load()
	c, err := n.Pool.Get(ctx, b)
	switch {
	case errors.Is(err, back.ErrSockets):
		return core.Result{Outcome: policy.Moot} // not the backend's doing, and not to be held against it
	case errors.Is(context.Cause(ctx), errTimeout) && (err == nil || a.Wait < fairWait):
		if err == nil {
			n.Pool.Put(c)
		}
		return core.Result{Outcome: policy.Moot} // the client's patience was too short for any backend
	case err != nil && context.Cause(ctx) == nil, errors.Is(context.Cause(ctx), errTimeout):
		return core.Result{Outcome: policy.ConnectFailed}
	case err != nil:
		return core.Result{Outcome: policy.Canceled}
	}
	if ctx.Err() != nil { // given up while it waited for a connection
		n.Pool.Put(c)
		return core.Result{Outcome: policy.Canceled}
	}
	giveUp := context.AfterFunc(ctx, func() { c.Close() })
	if !up.Whole() {
		timeUp.Stop() // a request's time counts from its last byte
	}
	sent, err := n.write(a, in, up, c)
	if errors.Is(err, back.ErrShut) || errors.Is(err, back.ErrLeft) {
		if giveUp() {
			n.Pool.Put(c)
		} else {
			n.Pool.Close(c)
		}
		return core.Result{Outcome: policy.Moot}
	}
	if !up.Whole() {
		n.Core.Uploaded(a)
		timeUp.Reset(a.Wait)
	}
	var got received
	if err == nil {
		got, err = n.read(ctx, c, in.Method)
	}
	alive := giveUp() // the answer stands, however its connection ends, if it is whole
	if err == nil && got.more && !alive {
		n.Budget.AnswerDone(got.held)
		err = errSpoilt
	}
	switch {
	case err == nil && got.more: // the connection belongs to the answer now
	case err == nil && alive && reusable(c, got.resp):
		n.Pool.Put(c)
	default:
		if err == nil && c.In.Buffered() > 0 {
			n.Pool.Surplus()
		}
		n.Pool.Close(c)
	}
	if err == nil || errors.Is(err, errSpoilt) {
		b.Heard.Add(1)
	}
	if err != nil {
		outcome := policy.Reset // unless shown otherwise it may have run
		switch cause := context.Cause(ctx); {
		case cause != nil && !errors.Is(cause, errTimeout):
			return core.Result{Outcome: policy.Canceled}
		case !sent:
			outcome = policy.ConnectFailed // its last byte was never written
		case cause != nil:
			outcome = policy.TimedOut
		}
		if outcome == policy.TimedOut && b.Heard.Load() == heard {
			// Nothing came back from this backend for the whole of the attempt. When a machine was cut off, each
			// connection kept from before would swallow one more request, and reset one when it is back.
			n.Pool.Clear(b, false)
		}
		n.Log.Debug("an attempt broke off", "backend", b.ID, "err", err)
		return core.Result{Outcome: outcome}
	}
	res := n.judge(b, got)
	full := &message.Answer{Body: got.body, Held: got.held, Budget: n.Budget}
	if got.more {
		full = &message.Answer{Stream: newDownload(n, c, got), Length: got.resp.ContentLength, Budget: n.Budget}
	}
	if res.Outcome != policy.OK {
		full.Release() // nobody is told what a failure looks like
		return res
	}
	full.Type = got.resp.Header.Get("Content-Type")
	res.Payload = full
	return res
}

// writers are reused: each request would want one otherwise.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, back.FirstBytes) }}

// write sends a request, with the headers that PROTOCOL knows, unless the backend may be sent nothing new. It tells
// whether the last byte was written.
func (n *Back) write(a *core.Attempt, in *stdhttp.Request, up *flow.Upload, c *back.Conn) (bool, error) {
	req := &stdhttp.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: stdhttp.Header{"User-Agent": nil},
		ContentLength: up.Length}
	if up.Length != 0 {
		req.Body = io.NopCloser(up.Reader())
	}
	for _, name := range message.Headers {
		if v, ok := in.Header[name]; ok {
			req.Header[name] = v
		}
	}
	req.Header.Set("X-Deadline", strconv.FormatInt(a.Wait.Microseconds(), 10)+"u")
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(back.NewGated(c.Conn, a.Server.(*back.Server), a.Wanted))
	defer w.Reset(nil)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	return err == nil, err
}

// errSpoilt is an answer that can't be the backend's answer to the request. The request may have run.
var errSpoilt = errors.New("a spoilt answer")

// received is what came back on an attempt. With more the body is large, and only begun.
type received struct {
	resp  *stdhttp.Response
	body  []byte
	more  bool
	held  int64         // bytes of the budget
	first time.Duration // when the first byte of it came
}

// read reads one answer. One that is not large is read whole, before any of it goes on: if it breaks it can still be
// tried again.
func (n *Back) read(ctx context.Context, c *back.Conn, method string) (received, error) {
	c.Cap.N = maxHead
	spoilt := func(err error) (received, error) { return received{}, fmt.Errorf("%w: %w", errSpoilt, err) }
	for {
		c.Stall = 0 // it comes when it comes
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return received{}, err
		}
		if _, err := c.In.Peek(1); err != nil {
			return received{}, err
		}
		got := received{first: n.Core.Now()}
		c.Stall = answerStall + n.Slack
		resp, err := stdhttp.ReadResponse(c.In, &stdhttp.Request{Method: method})
		if err != nil {
			return spoilt(err)
		}
		if resp.StatusCode == stdhttp.StatusSwitchingProtocols {
			return spoilt(errors.New("it switches protocols"))
		}
		if resp.StatusCode < 200 { // informational: the answer follows, perhaps after a while
			continue
		}
		if resp.ContentLength > message.Max {
			return spoilt(fmt.Errorf("%d bytes", resp.ContentLength))
		}
		got.resp = resp
		c.Cap.N = 2*flow.Keep + maxHead // chunks have lengths of their own
		got.held = flow.Need(resp.ContentLength)
		if err := n.Budget.Answer(ctx, got.held); err != nil {
			return received{}, err
		}
		switch {
		case resp.ContentLength > flow.Keep:
			got.more = true
			return got, nil
		case resp.ContentLength >= 0:
			got.body = make([]byte, resp.ContentLength)
			_, err = io.ReadFull(resp.Body, got.body)
		default:
			var b bytes.Buffer
			_, err = io.Copy(&b, io.LimitReader(resp.Body, flow.Keep+1))
			got.body, got.more = b.Bytes(), b.Len() > flow.Keep
		}
		if err == nil && !got.more {
			_, err = resp.Body.Read(make([]byte, 1)) // the end of chunks, and trailers, are behind the body
			if err == io.EOF {
				err = nil
			}
		}
		if err != nil {
			n.Budget.AnswerDone(got.held)
			return spoilt(err)
		}
		return got, nil
	}
}

// reusable tells whether another request may go over a connection whose answer was read whole: it is to stay, and
// nothing stands behind the answer.
func reusable(c *back.Conn, resp *stdhttp.Response) bool {
	c.Stall = 0
	return !resp.Close && c.In.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil
}

// judge tells what an answer means.
func (n *Back) judge(b *back.Server, got received) core.Result {
	resp := got.resp
	res := core.Result{Outcome: policy.Failed, First: got.first}
	if reports := resp.Header["X-Load"]; len(reports) > 0 && n.Reports() {
		load, err := wire.DecodeLoad(reports[0])
		if err == nil && len(reports) == 1 {
			res.Load = load
		} else {
			n.Log.Debug("a load report makes no sense", "backend", b.ID, "reports", reports)
		}
	}
	turned := resp.StatusCode == stdhttp.StatusServiceUnavailable || resp.StatusCode == stdhttp.StatusGatewayTimeout
	switch {
	case turned && resp.Header.Get("X-Not-Run") == "1":
		res.Outcome = policy.Full
	case resp.StatusCode == stdhttp.StatusOK:
		res.Outcome = policy.OK
	}
	return res
}
