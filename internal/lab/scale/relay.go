package scale

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/lab/standin"
)

// Relay is the network between a region's nodes and one address. Cut, nothing that is sent arrives: connections stand, and are
// broken only when the network is whole again. Safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup
	bytes    atomic.Int64 // passed on, both ways

	mu      sync.Mutex
	conns   map[net.Conn]bool // true: bytes of it were lost, or it came while the network was cut
	cut     bool
	stopped bool
}

// StartRelay opens one.
func StartRelay(to string) (*Relay, error) {
	ln, err := standin.Listen()
	if err != nil {
		return nil, err
	}
	r := &Relay{target: to, listener: ln, conns: map[net.Conn]bool{}}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Bytes is how many were passed on, both ways.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Cut cuts the network, or heals it.
func (r *Relay) Cut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = on
	if on {
		return
	}
	for c, lost := range r.conns {
		if lost {
			c.Close()
		}
	}
}

// Stop ends it, with all connections.
func (r *Relay) Stop() {
	r.listener.Close()
	r.mu.Lock()
	r.stopped = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.serve(c)
		}()
	}
}

// hold enters a connection; false: the relay has stopped.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		c.Close()
		return false
	}
	r.conns[c] = r.cut
	return true
}

func (r *Relay) closeAndForget(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// passes tells whether bytes of a connection arrive. Those that don't break it for good.
func (r *Relay) forwards(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		r.conns[c] = true
	}
	return !r.conns[c]
}

func (r *Relay) serve(c net.Conn) {
	if !r.track(c) {
		return
	}
	defer r.closeAndForget(c)
	if !r.forwards(c) { // it stands until the network is whole
		var b [1]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				return
			}
		}
	}
	o, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil || !r.track(o) {
		return
	}
	defer r.closeAndForget(o)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(o, c, c)
		o.Close() // ends the other way
	}()
	r.copy(c, o, c)
	c.Close()
	<-done
}

// copy passes on what comes, unless the network is cut. Of is the connection that the cut is booked to.
func (r *Relay) copy(to, from, of net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && r.forwards(of) {
			r.bytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
