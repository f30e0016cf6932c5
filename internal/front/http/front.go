// Package http is the front for clients that speak HTTP/1.1, over any kind of connection. It reads requests, passes
// them to the core and writes the final responses.
package http

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	stdhttp "net/http"
	"sync"
	"time"

	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

// Options configures a Front. Its functions are called from many goroutines.
type Options struct {
	Core     *core.Core
	Budget   *flow.Budget
	Limit    int         // maximum number of connections
	Draining func() bool // reports whether clients are to close their connections and go to another node or process
	Ready    func() int  // returns the status for GET /ready
	// CheckRequest returns an error if a request's head does not meet the requirements of its class.
	CheckRequest func(*stdhttp.Request) error
	// Log gets a line for each request that is not served and each connection that is closed early.
	Log *slog.Logger
	// Slack is added to the timeouts of clients, for tests that run many nodes on a busy machine.
	Slack time.Duration
}

// Front holds the connections of this node's clients. At the limit a new connection replaces one that carries no
// request; if there is none, its request is rejected. Once the limit is exceeded by an eighth, further connections wait
// in the listener's backlog. It is safe for concurrent use.
type Front struct {
	Options
	slots chan struct{} // holds one element per accepted connection; its capacity is the initial limit and an eighth

	mu       sync.Mutex
	conns    map[*conn]struct{}
	active   int           // connections and functions that Go runs
	finished chan struct{} // closed when active becomes 0; nil while nothing waits for that
}

// New returns a Front without connections.
func New(o Options) *Front {
	return &Front{Options: o, slots: make(chan struct{}, o.Limit+o.Limit/8), conns: map[*conn]struct{}{}}
}

// Accept accepts and serves connections until ln is closed.
func (f *Front) Accept(ln net.Listener) error {
	for {
		f.slots <- struct{}{}
		socket, err := ln.Accept()
		if err != nil {
			<-f.slots
			if !flow.AcceptsAgain(err) {
				return err
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.Go(func() { f.Serve(socket, bufio.NewReaderSize(socket, message.MaxHead), "") })
	}
}

// Go runs f in a goroutine that Wait waits for.
func (f *Front) Go(run func()) {
	f.mu.Lock()
	f.active++
	f.mu.Unlock()
	go func() {
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.active--; f.active == 0 && f.finished != nil {
				close(f.finished)
				f.finished = nil
			}
		}()
		run()
	}()
}

// Wait returns true once no connection is left and all functions that Go runs have returned; false if ctx ends or d
// elapses before. New connections may arrive after it has returned.
func (f *Front) Wait(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	if f.active == 0 {
		f.mu.Unlock()
		return true
	}
	if f.finished == nil {
		f.finished = make(chan struct{})
	}
	finished := f.finished
	f.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-finished:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// Serve responds to the requests of one connection until it is closed. The caller holds a slot, which Serve releases.
// What reader has buffered already is part of the input; its buffer has message.MaxHead bytes. User is the user that a
// tunnel was opened for, empty for none.
func (f *Front) Serve(socket net.Conn, reader *bufio.Reader, user string) {
	c := &conn{Conn: socket, accepted: time.Now(), reader: reader, user: user}
	c.lastChange = c.accepted
	f.mu.Lock()
	if len(f.conns) >= f.Limit {
		c.closeAfterNext = !f.evictIdle()
	}
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	f.serveRequests(c)
	c.Close()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	<-f.slots
}
