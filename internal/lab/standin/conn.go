package standin

import (
	"net"
	"syscall"
)

// Pair is a connection on loopback: the end that dialled, and the other. The caller closes both. An error means that neither is open.
func Pair() (far, near *net.TCPConn, err error) {
	ln, err := Listen()
	if err != nil {
		return nil, nil, err
	}
	defer ln.Close()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	taken, err := ln.Accept()
	if err != nil {
		dialled.Close()
		return nil, nil, err
	}
	return dialled.(*net.TCPConn), taken.(*net.TCPConn), nil
}

// Test is a test or a benchmark, which gives a helper its failures and what is to be closed behind it.
type Test interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// Ends is a Pair of a test's. Both are closed behind it.
func Ends(t Test) (far, near *net.TCPConn) {
	t.Helper()
	far, near, err := Pair()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		far.Close()
		near.Close()
	})
	return far, near
}

// Pour writes as much of a text as the two kernels take at once, in pieces of at most so many bytes, and tells how much that is. It
// does not wait for room.
func Pour(c *net.TCPConn, text string, piece int) (sent int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Write(func(fd uintptr) bool {
		for sent < len(text) {
			n, err := syscall.Write(int(fd), []byte(text[sent:min(len(text), sent+piece)]))
			if err != nil {
				break // its kernel and the other one are full
			}
			sent += n
		}
		return true
	})
	return sent, err
}
