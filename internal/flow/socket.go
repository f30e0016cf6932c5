package flow

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// WriteStallTimeout is how long a write may wait for the peer to read before the connection is given up.
const WriteStallTimeout = 10 * time.Second

// WriteTimeoutConn limits how long each write to a connection may wait for the peer to read.
type WriteTimeoutConn struct {
	net.Conn
	Timeout time.Duration
}

// Write writes with a deadline of Timeout from now.
func (w WriteTimeoutConn) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(w.Timeout))
	return w.Conn.Write(p)
}

// InputState is what can be read from a socket at the moment.
type InputState uint8

const (
	// NoInput means that nothing can be read yet.
	NoInput InputState = iota
	// InputAvailable means that bytes can be read.
	InputAvailable
	// InputEnded means that the peer has closed the connection, or that it broke.
	InputEnded
)

// PeekInput reports what a socket has received, without consuming it and without waiting.
func PeekInput(c net.Conn) InputState {
	s, ok := c.(syscall.Conn)
	if !ok {
		return InputEnded
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return InputEnded
	}
	state := InputEnded
	raw.Control(func(fd uintptr) { // an error means that the socket is closed on this side
		switch n, err := peekByte(fd); {
		case n > 0:
			state = InputAvailable
		case err == syscall.EAGAIN:
			state = NoInput
		}
	})
	return state
}

// peekByte peeks for one byte. A socket reports its error only once, so the next reader does not see an error that this
// returns.
func peekByte(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// PeerClosed reports, without waiting, whether the peer has closed its sending side or the connection broke, even if
// unread bytes precede that end. For a connection that is not a socket it reports false.
func PeerClosed(c net.Conn) bool {
	closed := false
	raw, err := rawConn(c)
	if raw == nil {
		return err != nil
	}
	err = raw.Control(func(fd uintptr) { closed = inputFinished(fd) })
	return closed || err != nil
}

const (
	// unreadThreshold is how many bytes may remain unread in a socket, behind a full reader, while WatchPeer waits for
	// its end. It is well below what closes the receive window (72 KB or more on Linux, however small the segments):
	// up to that the end still arrives behind the bytes.
	unreadThreshold = 16 << 10
	// discardDelay is how long that many bytes may remain before they are discarded. A client that gets its response at
	// once loses nothing, and the end is still seen well within 0.1 s.
	discardDelay = 50 * time.Millisecond
	// MaxDiscard is how many bytes are discarded at most: more than a peer that has closed the connection can have left
	// in its own kernel (4 MB on Linux). A peer that sends more ahead of a response does not get the response.
	MaxDiscard = 8 << 20
	// minClosedWindow is the number of unread bytes above which the receive window may be closed; on Linux it closes at
	// 72 KB or more. A request body that is buffered completely (MaxBuffered) does not exceed it.
	minClosedWindow = MaxBuffered
	// discardTimeout is how long a connection is read at most to find its end behind a closed window.
	discardTimeout = time.Second
)

// WatchPeer closes end once the peer has closed its sending side or the connection broke. What the peer sends in the
// meantime stays in the reader while it has space, and then in the socket. The end is seen behind it, unless there is
// so much that the receive window closes and the end cannot arrive. With discard such input is discarded, so that the
// end is always seen, and end is also closed after MaxDiscard bytes. Stop reports whether input was discarded, after
// which the connection must not be used any further. No read deadline may be set when WatchPeer is called; stop sets
// one, and returns once the caller may use the reader again. After end is closed, calling stop is optional.
func WatchPeer(socket net.Conn, in *bufio.Reader, discard bool) (end <-chan struct{}, stop func() (discarded bool)) {
	ended, stopped, stopping := make(chan struct{}), make(chan struct{}), make(chan struct{})
	discarded := false // set before stopped is closed
	go func() {
		defer close(stopped)
		err := error(nil)
		for err == nil && in.Buffered() < in.Size() {
			_, err = in.Peek(in.Buffered() + 1)
		}
		if raw, _ := rawConn(socket); err == nil && raw != nil {
			var full bool
			err = raw.Read(func(fd uintptr) bool {
				if inputFinished(fd) {
					return true
				}
				full = discard && unreadAtLeast(fd, unreadThreshold)
				return full
			})
			switch {
			case err == nil && !full:
				err = io.EOF
			case err == nil && waitUnlessClosed(stopping, discardDelay):
				discarded, err = true, discardUntilError(socket, MaxDiscard)
			}
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(ended)
		}
	}()
	return ended, sync.OnceValue(func() bool {
		close(stopping)
		socket.SetReadDeadline(time.Unix(1, 0))
		<-stopped
		return discarded
	})
}

// UnreadBytes returns, without waiting, how many bytes are unread in a socket; 0 if the connection is not a socket.
func UnreadBytes(c net.Conn) (n int) {
	if raw, _ := rawConn(c); raw != nil {
		raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n
}

// LimitUnsent limits how many bytes that were written to a socket the kernel holds before it sends them. A connection that
// is not a socket, or a system that does not know the limit, stays as it is.
func LimitUnsent(c net.Conn, bytes int) {
	if raw, _ := rawConn(c); raw != nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
		})
	}
}

// WindowMayBeClosed reports, without waiting, whether so many bytes are unread in a socket that its receive window may
// be closed, in which case the peer's end cannot arrive. A request that is buffered completely does not cause that by
// itself.
func WindowMayBeClosed(c net.Conn) bool { return UnreadBytes(c) > minClosedWindow }

// DiscardInput discards what the peer has sent, so that its end can arrive. It reports whether there was any input, and
// whether the end arrived, the connection broke or MaxDiscard bytes were read. It reads until nothing arrives for
// discardDelay, and for discardTimeout at most. It sets the read deadline and leaves it set.
func DiscardInput(socket net.Conn, in *bufio.Reader) (discarded, ended bool) {
	got, _ := in.Discard(in.Buffered())
	buf := make([]byte, 8<<10)
	for deadline := time.Now().Add(discardTimeout); got < MaxDiscard; {
		now := time.Now()
		if !now.Before(deadline) {
			return got > 0, false
		}
		socket.SetReadDeadline(now.Add(discardDelay))
		n, err := socket.Read(buf)
		got += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return got > 0, true
		case PeekInput(socket) == NoInput: // otherwise this process was delayed, not the peer
			return got > 0, false
		}
	}
	return true, true
}

// waitUnlessClosed waits for d and returns true, or returns false as soon as cancel is closed.
func waitUnlessClosed(cancel <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-cancel:
		return false
	}
}

var errTooMuchInput = errors.New("peer sent too much input ahead of its response")

// discardUntilError reads and discards up to limit bytes. It always returns an error, errTooMuchInput at the limit.
func discardUntilError(c net.Conn, limit int) error {
	buf := make([]byte, 8<<10)
	for got := 0; got < limit; {
		n, err := c.Read(buf)
		if err != nil {
			return err
		}
		got += n
	}
	return errTooMuchInput
}

// peekBuffers holds buffers for unreadAtLeast, which needs one only briefly.
var peekBuffers = sync.Pool{New: func() any { return new([unreadThreshold]byte) }}

// unreadAtLeast reports whether at least minBytes (at most unreadThreshold) bytes are unread in a socket.
func unreadAtLeast(fd uintptr, minBytes int) bool {
	b := peekBuffers.Get().(*[unreadThreshold]byte)
	defer peekBuffers.Put(b)
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n >= minBytes
}

// rawConn returns the socket of a connection; nil without an error if it is not a socket, nil with one if it is closed.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return s.SyscallConn()
}

// inputFinished reports whether nothing more arrives on a socket behind what is already there.
func inputFinished(fd uintptr) bool {
	n, err := peekByte(fd)
	if n <= 0 {
		return err != syscall.EAGAIN && err != syscall.EINTR
	}
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(polled, 0)
	return err == nil && ready == 1 && polled[0].Revents&unix.POLLNVAL == 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// WaitReadable waits until a connection has bytes or its end to read, and returns how many bytes are available; 0 means
// the end. For a connection that is not a socket it returns 0 at once: the following read waits.
func WaitReadable(c net.Conn) (available int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		if _, peekErr = peekByte(fd); peekErr == syscall.EAGAIN {
			return false
		}
		available, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		return true
	})
	return available, errors.Join(err, peekErr)
}

// AcceptsAgain reports whether a listener whose accept failed may accept again: the error is of this moment, or of the
// connection that was to be accepted. Linux reports a new connection's network errors by accept too.
func AcceptsAgain(err error) bool {
	var errno syscall.Errno
	if errors.Is(err, net.ErrClosed) || !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK: // the listener is no socket that listens
		return false
	}
	return true
}

// Serve accepts connections until ln is closed. It serves up to limit of them at a time, each in its own goroutine, and
// closes them afterwards. It returns once all have ended. OnError is called with the error of a failed accept, after
// which Serve pauses for 10 ms.
func Serve(ln net.Listener, limit int, serve func(net.Conn), onError func(error)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, limit)
	for {
		slots <- struct{}{}
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the peer closed the connection first
			<-slots
			onError(err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			serve(conn)
		})
	}
}
