package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// sharedListener is the clients' listener. It can be closed and opened again while its socket stays open: while it is
// closed, connections wait in the kernel's queue, or go to another process that listens on the same socket. It starts
// closed. The handoverController opens it; mu guards its fields.
type sharedListener struct {
	net.Listener
	mu      sync.Mutex
	open    bool
	closed  bool
	changed chan struct{} // closed at the next change
}

// newSharedListener returns a closed listener on a socket.
func newSharedListener(ln net.Listener) *sharedListener {
	return &sharedListener{Listener: ln, changed: make(chan struct{})}
}

// setOpen opens or closes it. An Accept that is running when it is closed may still return a connection.
func (l *sharedListener) setOpen(open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == open {
		return
	}
	l.open = open
	close(l.changed)
	l.changed = make(chan struct{})
	if l, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if open {
			l.SetDeadline(time.Time{})
		} else {
			l.SetDeadline(time.Unix(1, 0)) // wakes a blocked Accept
		}
	}
}

// Accept waits until the listener is open and a connection has arrived.
func (l *sharedListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		open, closed, changed := l.open, l.closed, l.changed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case !open:
			<-changed
			continue
		}
		c, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return c, err
	}
}

// Close closes the socket as well; Accept then returns net.ErrClosed.
func (l *sharedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	return l.Listener.Close()
}
