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

// opaqueName is what clients of opaque tunnels ask for; each class of them has a port.
const opaqueHost = "lines.example.org"

func opaquePort(class int) int { return 7000 + class }

// tunnel is one try of an ask for an opaque tunnel: the reply is the final answer. What the client says inside tells the
// stand-in server which tunnel that is; it stands until the client has done, or somebody ends it.
func (r *rig) requestTunnel(a *scenario.Ask, tries int) outcome {
	c := &r.scenario.Classes[a.Class]
	begun := r.now()
	n := r.selectNode()
	if n == nil {
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	}
	id := fmt.Sprintf("%d-%d-%x", a.Index, tries, r.scenario.Seed)
	until := begun + c.Deadline - (begun - a.At)
	note := func(w recordKind, at time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.appendRecord(record{kind: w, at: at, node: n.index, id: id, class: a.Class, deadline: until})
	}
	ctx, cancel := context.WithTimeout(r.ctx, until-begun+r.scenario.Rules.AnswerSlack+r.options.Slack)
	defer cancel()
	way := tunnel.Proxy{Kind: tunnel.Connect, Addr: n.opaqueAddr}
	conn, err := way.Dial(ctx, &net.Dialer{}, fmt.Sprintf("%s:%d", opaqueHost, opaquePort(a.Class)))
	var refusal tunnel.Refusal
	var op *net.OpError
	switch {
	case errors.As(err, &refusal):
		note(requestSent, begun)
		v, w := classify(nil, refusal.Status, false, false, false, true)
		note(w, r.now())
		return v
	case errors.As(err, &op) && op.Op == "dial":
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	case err != nil: // cut off while it asked, or never answered: the node may not have read it
		if ctx.Err() != nil && r.ctx.Err() == nil {
			note(requestSent, begun)
			note(clientTimedOut, r.now())
			return outcome{ending: measure.Overdue, cause: "no answer in time"}
		}
		return outcome{ending: measure.Unreachable, cause: "node unreachable"}
	}
	note(requestSent, begun)
	holds := r.scenario.Holds(a, r.now())
	// The reply can be here before the server's process has taken the connection from its kernel: it counts from the
	// server's first byte.
	fmt.Fprintf(conn, "GET /tunnel HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", opaqueHost, id)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	conn.Read(make([]byte, 1)) // or its end, or silence: the answer stands
	note(requestServed, r.now())
	r.wg.Go(func() {
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(holds))
		io.Copy(io.Discard, conn)
	})
	return outcome{ending: measure.Served}
}

type acceptedKey struct{}

// accepted is when a server accepted the connection of a request.
func (r *rig) acceptTime(ctx context.Context) time.Duration {
	at, _ := ctx.Value(acceptedKey{}).(time.Time)
	return at.Sub(r.startedAt)
}

// stands lets a tunnel stand at the server until it ends. It counts from its connection on.
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
