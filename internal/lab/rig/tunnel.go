package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"portstall/internal/back/tunnel"
	"portstall/internal/lab/measure"
	"portstall/internal/lab/scenario"
)

// opaqueHost is the host name that clients of opaque tunnels request; each such class has a port.
const opaqueHost = "lines.example.org"

// opaquePort returns the port that clients of the class with the given index request.
func opaquePort(class int) int { return 7000 + class }

// requestTunnel is one try of an operation that requests an opaque tunnel; the reply to CONNECT is the final response.
// The request that the client sends inside tells the stub web server which tunnel it is. The tunnel stays open until
// the client is done or another party closes it.
func (r *rig) requestTunnel(op *scenario.Operation, tries int) outcome {
	class := &r.scenario.Classes[op.Class]
	startedAt := r.now()
	n := r.selectNode()
	if n == nil {
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	}
	id := fmt.Sprintf("%d-%d-%x", op.Index, tries, r.scenario.Seed)
	deadline := startedAt + class.Deadline - (startedAt - op.At)
	addRecord := func(kind recordKind, at time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.appendRecord(record{kind: kind, at: at, node: n.index, id: id, class: op.Class, deadline: deadline})
	}
	ctx, cancel := context.WithTimeout(r.ctx, deadline-startedAt+r.scenario.Rules.AnswerSlack+r.options.Slack)
	defer cancel()
	proxy := tunnel.Proxy{Protocol: tunnel.Connect, Addr: n.opaqueAddr}
	conn, err := proxy.Dial(ctx, &net.Dialer{}, fmt.Sprintf("%s:%d", opaqueHost, opaquePort(op.Class)))
	var refusal tunnel.ConnectStatusError
	var dialErr *net.OpError
	switch {
	case errors.As(err, &refusal):
		addRecord(requestSent, startedAt)
		result, kind := classify(nil, refusal.Status, false, false, false, true)
		addRecord(kind, r.now())
		return result
	case errors.As(err, &dialErr) && dialErr.Op == "dial":
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	case err != nil: // broken while requesting, or no response: the node may not have read it
		if ctx.Err() != nil && r.ctx.Err() == nil {
			addRecord(requestSent, startedAt)
			addRecord(clientTimedOut, r.now())
			return outcome{ending: measure.TimedOut, cause: "no answer in time"}
		}
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	}
	addRecord(requestSent, startedAt)
	duration := r.scenario.TunnelDuration(op, r.now())
	// The reply can arrive before the server's process has accepted the connection from its kernel, so the tunnel counts
	// as served from the server's first byte.
	fmt.Fprintf(conn, "GET /tunnel HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", opaqueHost, id)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	conn.Read(make([]byte, 1)) // an error or timeout changes nothing: the response is final
	addRecord(requestServed, r.now())
	r.wg.Go(func() {
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(duration))
		io.Copy(io.Discard, conn)
	})
	return outcome{ending: measure.Served}
}

// acceptedKey is the context key of the time at which a connection was accepted.
type acceptedKey struct{}

// acceptTime returns when the server accepted the connection of a request.
func (r *rig) acceptTime(ctx context.Context) time.Duration {
	at, _ := ctx.Value(acceptedKey{}).(time.Time)
	return at.Sub(r.startedAt)
}

// serveTunnel keeps a tunnel open at the server until the other side closes it. The attempt counts from the accepted
// connection on.
func (v *server) serveTunnel(w http.ResponseWriter, r *http.Request, id string) {
	attempt := v.rig.recordAttemptAt(v.rig.acceptTime(r.Context()), id, v, 0)
	defer v.rig.recordAttemptEnd(id, attempt, false)
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, in, err := h.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	v.mu.Lock()
	if !v.up {
		v.mu.Unlock()
		return
	}
	if v.tunnels == nil {
		v.tunnels = map[net.Conn]struct{}{}
	}
	v.tunnels[conn] = struct{}{}
	v.mu.Unlock()
	io.WriteString(conn, "+")
	io.Copy(io.Discard, in)
	v.mu.Lock()
	delete(v.tunnels, conn)
	v.mu.Unlock()
}
