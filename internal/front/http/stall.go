package http

import (
	"io"
	"net"
	"sync"
	"time"

	"portstall/internal/flow"
)

// streamCheckInterval is how long a web server may send nothing within a response before it is checked whether the client
// is still there.
const streamCheckInterval = 5 * time.Second

// watchedStream reads the stream of a response for a client. A read that waits for the web server is interrupted once the
// client has closed its connection: nothing is written meanwhile that would show it.
type watchedStream struct {
	io.Reader
	client    net.Conn
	interrupt func()

	mu      sync.Mutex
	waiting bool
	timer   *time.Timer // runs check while a read waits
}

// Read reads from the stream.
func (w *watchedStream) Read(p []byte) (int, error) {
	w.setWaiting(true)
	defer w.setWaiting(false)
	return w.Reader.Read(p)
}

// setWaiting records whether a read waits.
func (w *watchedStream) setWaiting(waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = waiting
	switch {
	case !waiting:
		w.timer.Stop()
	case w.timer == nil:
		w.timer = time.AfterFunc(streamCheckInterval, w.check)
	default:
		w.timer.Reset(streamCheckInterval)
	}
}

// check interrupts the read that waits if the client has closed its connection.
func (w *watchedStream) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.waiting:
	case flow.PeerClosed(w.client):
		w.interrupt()
	default:
		w.timer.Reset(streamCheckInterval)
	}
}
