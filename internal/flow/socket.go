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

const (
	// crowded is how many bytes may stand unread in a socket, behind a full reader, while its end is waited for. It is well under
	// what shuts the window of one (72 KB and more on Linux, however small the pieces): before that its end comes behind them.
	crowded = 16 << 10
	// crowdedFor is how long they may stand there before they are thrown away: what is answered at once loses nothing, and the end
	// is seen long before 0.1 s are over.
	crowdedFor = 50 * time.Millisecond
	// SpillMost is how much is thrown away: more than what a sender that has gone may have left in its own kernel (4 MB on Linux).
	// Who sends so much ahead of an answer gets none waited for.
	SpillMost = 8 << 20
	// windowLeast is how many bytes stand unread at least in a socket whose window is shut: 72 KB and more were measured. What can be
	// kept of a request's body (Keep) is no more than this.
	windowLeast = Keep
	// spillTime is how long a connection is read at most to find its end behind a window that was shut.
	spillTime = time.Second
)

// Watch closes end once the other side has ended its sending or the connection broke. What it sends meanwhile stays in the
// reader as far as there is room, and else in the socket: its end is seen behind that too, unless it is so much that the end can't
// come. With spill that is thrown away, so that the end is seen behind anything, and end is closed too where SpillMost was: stop
// tells whether something is missing, so that the connection is of no further use. There is no read deadline when Watch is called;
// stop sets one, and returns once the reader is the caller's again. Who has seen the end needs no stop.
func Watch(socket net.Conn, in *bufio.Reader, spill bool) (end <-chan struct{}, stop func() (spilt bool)) {
	told, over, enough := make(chan struct{}), make(chan struct{}), make(chan struct{})
	spilt := false // set before over is closed
	go func() {
		defer close(over)
		err := error(nil)
		for err == nil && in.Buffered() < in.Size() {
			_, err = in.Peek(in.Buffered() + 1)
		}
		if raw, _ := rawOf(socket); err == nil && raw != nil {
			var full bool
			err = raw.Read(func(fd uintptr) bool {
				if ended(fd) {
					return true
				}
				full = spill && standing(fd, crowded)
				return full
			})
			switch {
			case err == nil && !full:
				err = io.EOF
			case err == nil && pause(enough, crowdedFor):
				spilt, err = true, throwAway(socket, SpillMost)
			}
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(told)
		}
	}()
	return told, sync.OnceValue(func() bool {
		close(enough)
		socket.SetReadDeadline(time.Unix(1, 0))
		<-over
		return spilt
	})
}

// Unread tells, without waiting, how many bytes stand unread in a socket; 0 of one that is none.
func Unread(c net.Conn) (n int) {
	if raw, _ := rawOf(c); raw != nil {
		raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n
}

// Shut tells, without waiting, whether so much stands unread in a socket that its window may be shut: the other side's end can't come
// then. No request of which all is to be kept does that by itself.
func Shut(c net.Conn) bool { return Unread(c) > windowLeast }

// Spill throws away what the other side has sent, so that its end can come, and tells whether there was anything, and whether the end
// came, the connection broke, or SpillMost was sent. It waits until nothing more comes for 50 ms, 1 s at most. It sets the read
// deadline, and leaves it set.
func Spill(socket net.Conn, in *bufio.Reader) (spilt, ended bool) {
	got, _ := in.Discard(in.Buffered())
	buf := make([]byte, 8<<10)
	for until := time.Now().Add(spillTime); got < SpillMost; {
		now := time.Now()
		if !now.Before(until) {
			return got > 0, false
		}
		socket.SetReadDeadline(now.Add(crowdedFor))
		n, err := socket.Read(buf)
		got += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return got > 0, true
		case Pending(socket) == Nothing: // else this process was late, not the other side
			return got > 0, false
		}
	}
	return true, true
}

// pause waits for a time, unless enough is closed before: false.
func pause(enough <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-enough:
		return false
	}
}

var errFlood = errors.New("the other side sends without waiting for its answer")

// throwAway reads a connection to its end, of at most so many bytes. It does not return without an error.
func throwAway(c net.Conn, most int) error {
	buf := make([]byte, 8<<10)
	for got := 0; got < most; {
		n, err := c.Read(buf)
		if err != nil {
			return err
		}
		got += n
	}
	return errFlood
}

// standings are buffers to look into what stands unread, for a moment each.
var standings = sync.Pool{New: func() any { return new([crowded]byte) }}

// standing tells whether at least so many bytes, at most crowded, stand unread in a socket.
func standing(fd uintptr, least int) bool {
	b := standings.Get().(*[crowded]byte)
	defer standings.Put(b)
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n >= least
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
