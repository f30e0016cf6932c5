package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// door is the clients' listener, which can be shut and opened again while its socket stays: while it is shut, connections wait
// in the kernel's queue, or go to another process that listens on the same socket. It is shut at first.
type door struct {
	net.Listener
	mu      sync.Mutex
	open    bool
	closed  bool
	changed chan struct{} // closed at the next change
}

func newSharedListener(ln net.Listener) *door {
	return &door{Listener: ln, changed: make(chan struct{})}
}

// set opens or shuts it. An Accept that is under way when it is shut may still return a connection.
func (l *door) setOpen(open bool) {
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
			l.SetDeadline(time.Unix(1, 0)) // wakes whoever is accepting
		}
	}
}

// Accept waits until the door is open and a connection has come.
func (l *door) Accept() (net.Conn, error) {
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

// Close closes the socket too.
func (l *door) Close() error {
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
