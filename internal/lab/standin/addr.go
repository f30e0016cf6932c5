package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// claimPort marks a block of hosts as in use. It lies below the range of ephemeral ports, so that the kernel never
// assigns it.
const claimPort = 20254

// hostPool holds the loopback hosts that this process may use; its mutex guards its fields. A block is 4,096 addresses,
// from 127.a.b.0 on with a from 64 to 127 and b a multiple of 16. The process that listens at a block's claimPort owns
// the whole block until it exits. Two concurrent test runs therefore never share a host, whatever folders they run in.
// As connections on loopback use 127.0.0.1 as their source address, no connection uses a port of such a host either:
// the address of a stand-in stays reserved while the stand-in is down.
var hostPool struct {
	sync.Mutex
	block int
	left  int            // hosts of the block that are not yet assigned
	held  []net.Listener // one for each claimed block; none ever accepts
}

const (
	blockCount    = 64 << 4  // blocks of hosts in the range 127.64.0.0 to 127.127.255.255
	hostsPerBlock = 16 * 250 // hosts of a block that are assigned
)

// ReserveHost returns a loopback host, such as 127.80.3.7, that no other caller in any process of this machine gets. It
// is safe for concurrent use.
func ReserveHost() (string, error) {
	hostPool.Lock()
	defer hostPool.Unlock()
	if hostPool.left == 0 {
		if err := claimBlock(); err != nil {
			return "", err
		}
	}
	hostPool.left--
	return hostInBlock(hostPool.left/250, 1+hostPool.left%250), nil
}

// hostInBlock returns a host of the current block.
func hostInBlock(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+hostPool.block>>4, hostPool.block&15<<4+network, host)
}

// claimBlock claims the first free block. The search starts at the process id, so that concurrent runs seldom collide.
// The caller holds the lock of hostPool.
func claimBlock() error {
	if hostPool.held == nil {
		hostPool.block = os.Getpid() % blockCount
	}
	for range blockCount {
		hostPool.block = (hostPool.block + 1) % blockCount
		ln, err := net.Listen("tcp", net.JoinHostPort(hostInBlock(0, 254), strconv.Itoa(claimPort)))
		if err == nil {
			hostPool.held, hostPool.left = append(hostPool.held, ln), hostsPerBlock
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return fmt.Errorf("reserving a loopback host: %w", err)
		}
	}
	return errors.New("reserving a loopback host: all blocks are in use")
}

// Listen listens at a free port of a newly reserved host.
func Listen() (net.Listener, error) {
	host, err := ReserveHost()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", net.JoinHostPort(host, "0"))
}

// SmallBuffers are the sizes of the sockets of a server that is slow to read: what it has not read waits in the program
// that sends, and not in the kernel. On loopback, segments of 64 KiB let the kernel buffer megabytes.
type SmallBuffers struct {
	Receive int // bytes of the receive buffer
	Segment int // maximum bytes of a segment
}

// ListenSmall is Listen with small buffers for each accepted connection.
func ListenSmall(size SmallBuffers) (net.Listener, error) {
	host, err := ReserveHost()
	if err != nil {
		return nil, err
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size.Receive),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, size.Segment))
		})
		return errors.Join(err, setErr)
	}}
	return config.Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
}

// listenAt listens at an address, or, where that is empty, at a free port of a newly reserved host.
func listenAt(addr string) (net.Listener, error) {
	if addr == "" {
		return Listen()
	}
	return net.Listen("tcp", addr)
}

// FreeAddr returns an address on a newly reserved host at which nothing listens.
func FreeAddr() (string, error) {
	ln, err := Listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
