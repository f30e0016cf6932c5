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
const opaqueName = "lines.example.org"

func opaquePort(class int) int { return 7000 + class }

// tunnel is one try of an ask for an opaque tunnel: the reply is the final answer. What the client says inside tells the
// stand-in server which tunnel that is; it stands until the client has done, or somebody ends it.
func (r *rig) tunnel(a *scenario.Ask, tries int) verdict {
	c := &r.s.Classes[a.Class]
	begun := r.now()
	n := r.pick()
	if n == nil {
		return verdict{end: measure.Unreachable, cause: "node unreachable"}
	}
	id := fmt.Sprintf("%d-%d-%x", a.Index, tries, r.s.Seed)
	until := begun + c.Deadline - (begun - a.At)
	note := func(w what, at time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.note(record{what: w, at: at, node: n.index, id: id, class: a.Class, until: until})
	}
	ctx, cancel := context.WithTimeout(r.ctx, until-begun+r.s.Rules.AnswerSlack+r.opt.Slack)
	defer cancel()
	way := tunnel.Proxy{Kind: tunnel.Connect, Addr: n.opaque}
	conn, err := way.Dial(ctx, &net.Dialer{}, fmt.Sprintf("%s:%d", opaqueName, opaquePort(a.Class)))
	var refusal tunnel.Refusal
	var op *net.OpError
	switch {
	case errors.As(err, &refusal):
		note(taken, begun)
		v, w := judge(nil, refusal.Status, false, false, false, true)
		note(w, r.now())
		return v
	case errors.As(err, &op) && op.Op == "dial":
		return verdict{end: measure.Unreachable, cause: "node unreachable"}
	case err != nil: // cut off while it asked, or never answered: the node may not have read it
		if ctx.Err() != nil && r.ctx.Err() == nil {
			note(taken, begun)
			note(overdue, r.now())
			return verdict{end: measure.Overdue, cause: "no answer in time"}
		}
		return verdict{end: measure.Unreachable, cause: "node unreachable"}
	}
	note(taken, begun)
	holds := r.s.Holds(a, r.now())
	// The reply can be here before the server's process has taken the connection from its kernel: it counts from the
	// server's first byte.
	fmt.Fprintf(conn, "GET /tunnel HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", opaqueName, id)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	conn.Read(make([]byte, 1)) // or its end, or silence: the answer stands
	note(servedTo, r.now())
	r.wg.Go(func() {
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(holds))
		io.Copy(io.Discard, conn)
	})
	return verdict{end: measure.Served}
}

type acceptedKey struct{}

// accepted is when a server accepted the connection of a request.
func (r *rig) accepted(ctx context.Context) time.Duration {
	at, _ := ctx.Value(acceptedKey{}).(time.Time)
	return at.Sub(r.begun)
}

// stands lets a tunnel stand at the server until it ends. It counts from its connection on.
func (v *server) stands(w http.ResponseWriter, r *http.Request, id string) {
	attempt := v.rig.recordedAt(v.rig.accepted(r.Context()), id, v, 0)
	defer v.rig.attemptOver(id, attempt, false)
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
