package standin

import (
	"net"
	"syscall"
)

// NewConnPair opens a TCP connection on loopback and returns the end that dialed and the accepted end. The caller
// closes both. After an error neither is open.
func NewConnPair() (far, near *net.TCPConn, err error) {
	ln, err := Listen()
	if err != nil {
		return nil, nil, err
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	accepted, err := ln.Accept()
	if err != nil {
		dialed.Close()
		return nil, nil, err
	}
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn), nil
}

// TB is the part of testing.TB that the helpers of this package need. It keeps the package testing out of binaries.
type TB interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// TestConnPair is NewConnPair for a test: it fails the test on an error and closes both ends when the test ends.
func TestConnPair(t TB) (far, near *net.TCPConn) {
	t.Helper()
	far, near, err := NewConnPair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		far.Close()
		near.Close()
	})
	return far, near
}

// FillSendBuffer writes a text in pieces of at most piece bytes until the socket buffers of both ends are full, and
// returns how many bytes were written. It does not wait for the peer to read.
func FillSendBuffer(c *net.TCPConn, text string, piece int) (sent int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Write(func(fd uintptr) bool {
		for sent < len(text) {
			n, err := syscall.Write(int(fd), []byte(text[sent:min(len(text), sent+piece)]))
			if err != nil {
				break // the socket buffers of both ends are full
			}
			sent += n
		}
		return true
	})
	return sent, err
}
