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

// WriteStall is how long a write may wait for the other side to read, before the connection is given up.
const WriteStall = 10 * time.Second

// Paced bounds the time that each write to a connection may wait for the other side to read.
type Paced struct {
	net.Conn
	Stall time.Duration
}

func (w Paced) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(w.Stall))
	return w.Conn.Write(p)
}

// Waiting is what can be read from a socket at this moment.
type Waiting uint8

const (
	Nothing Waiting = iota
	BytesThere
	Ended // the other side has closed the connection, or it broke
)

// Pending looks at what a socket has received, without taking any of it and without waiting.
func Pending(c net.Conn) Waiting {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Ended
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Ended
	}
	w := Ended
	raw.Control(func(fd uintptr) { // an error means that it is closed here
		switch n, err := peek(fd); {
		case n > 0:
			w = BytesThere
		case err == syscall.EAGAIN:
			w = Nothing
		}
	})
	return w
}

// peek looks for a first byte. A socket tells of its error once: it is lost to whoever reads next.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Left tells, without waiting, whether the other side has ended its sending or the connection broke, also where bytes that
// nobody has read stand before that end. Of one that is no socket it tells nothing.
func Left(c net.Conn) bool {
	left := false
	raw, err := rawOf(c)
	if raw == nil {
		return err != nil
	}
	err = raw.Control(func(fd uintptr) { left = ended(fd) })
	return left || err != nil
}

// Watch closes end once the other side has ended its sending or the connection broke. What it sends meanwhile stays in the
// reader as far as there is room, and else in the socket: its end is seen behind that too. There is no read deadline when it is
// called; stop sets one, and returns once the reader is the caller's again. Who has seen the end needs no stop.
func Watch(socket net.Conn, in *bufio.Reader) (end <-chan struct{}, stop func()) {
	told, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		err := error(nil)
		for err == nil && in.Buffered() < in.Size() {
			_, err = in.Peek(in.Buffered() + 1)
		}
		if raw, _ := rawOf(socket); err == nil && raw != nil {
			if err = raw.Read(ended); err == nil {
				err = io.EOF
			}
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(told)
		}
	}()
	return told, func() {
		socket.SetReadDeadline(time.Unix(1, 0))
		<-over
	}
}

// rawOf is the socket of a connection, nil where it is none or is closed: that is an error.
func rawOf(c net.Conn) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return s.SyscallConn()
}

// ended tells whether nothing more comes on a socket behind what is there.
func ended(fd uintptr) bool {
	n, err := peek(fd)
	if n <= 0 {
		return err != syscall.EAGAIN && err != syscall.EINTR
	}
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	m, err := unix.Poll(p, 0)
	return err == nil && m == 1 && p[0].Revents&unix.POLLNVAL == 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Readable waits until a connection has bytes, or its end, to be read, and tells how many there are; none: it is the end.
// Of one that is no socket it tells nothing: whoever reads from it waits.
func Readable(c net.Conn) (there int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var broke error
	err = raw.Read(func(fd uintptr) bool {
		if _, broke = peek(fd); broke == syscall.EAGAIN {
			return false
		}
		there, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		return true
	})
	return there, errors.Join(err, broke)
}

// Serve accepts connections until ln is closed, and serves at most so many at a time, each in a goroutine and closed behind it.
// It returns once all are over. Failed is told of an accept that failed, after which it waits a moment.
func Serve(ln net.Listener, most int, serve func(net.Conn), failed func(error)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	free := make(chan struct{}, most)
	for {
		free <- struct{}{}
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the other side was too quick
			<-free
			failed(err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		wg.Go(func() {
			defer func() { <-free }()
			defer conn.Close()
			serve(conn)
		})
	}
}
