package scale

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"portstall/internal/lab/standin"
)

// Relay is a TCP relay that stands for the network between a region's nodes and one address. While it is cut, nothing
// that is sent arrives, but connections stay open. Those that lost bytes are closed when the network is restored. Its
// mutex guards the fields below it. It is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup
	bytes    atomic.Int64 // forwarded, in both directions

	mu      sync.Mutex
	conns   map[net.Conn]bool // true: the connection lost bytes, or was accepted while the network was cut
	cut     bool
	stopped bool
}

// StartRelay starts a relay to the address to, on a free port.
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

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Bytes returns how many bytes were forwarded, in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Cut cuts the network, or restores it.
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

// Stop stops the relay and closes all connections.
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

// accept serves connections until the listener is closed.
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

// track records a connection. If the relay has stopped, it closes the connection and returns false.
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

// closeAndForget closes a connection and removes it from the records.
func (r *Relay) closeAndForget(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// forwards reports whether bytes of a connection arrive. Once they don't, none of that connection arrive any more.
func (r *Relay) forwards(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		r.conns[c] = true
	}
	return !r.conns[c]
}

// serve connects a client to the target and copies bytes in both directions until either side ends.
func (r *Relay) serve(c net.Conn) {
	if !r.track(c) {
		return
	}
	defer r.closeAndForget(c)
	if !r.forwards(c) { // it stays open until the network is restored
		var b [1]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				return
			}
		}
	}
	targetConn, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil || !r.track(targetConn) {
		return
	}
	defer r.closeAndForget(targetConn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(targetConn, c, c)
		targetConn.Close() // ends the other direction
	}()
	r.copy(c, targetConn, c)
	c.Close()
	<-done
}

// copy copies bytes unless the network is cut. The connection of, the client's, is the one that is marked when bytes
// are lost.
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
