package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// claimPort marks a block of hosts as taken. It lies below the ports that kernels hand out by themselves.
const claimPort = 20254

// hosts are those that this process may use. A block is 4,096 addresses, from 127.a.b.0 on with a from 64 to 127 and b a
// multiple of 16; whoever listens at its claimPort has all of it, until its end. Two runs of the tests side by side, in
// whatever folders, therefore never share a host, and as connections on loopback leave from 127.0.0.1, no connection takes a
// port of one either: an address of a stand-in stays its own while the stand-in is down.
var hostPool struct {
	sync.Mutex
	block int
	left  int            // hosts of the block that were not yet given out
	held  []net.Listener // one for each block; never accepted from
}

const (
	blockCount    = 64 << 4
	hostsPerBlock = 16 * 250
)

// Host is a host on loopback, such as 127.80.3.7, that nobody else on this machine is given. Safe for concurrent use.
func Host() (string, error) {
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

// inBlock is a host of the block in use.
func hostInBlock(net, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+hostPool.block>>4, hostPool.block&15<<4+net, host)
}

// claim takes the first free block, looked for from the process's number on so that runs seldom meet. hosts is locked.
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
			return fmt.Errorf("hosts on loopback: %w", err)
		}
	}
	return errors.New("hosts on loopback: all blocks are taken")
}

// Listen listens on a host of its own.
func Listen() (net.Listener, error) {
	host, err := Host()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", net.JoinHostPort(host, "0"))
}

// listen listens at an address; "" is one of its own.
func listenAt(addr string) (net.Listener, error) {
	if addr == "" {
		return Listen()
	}
	return net.Listen("tcp", addr)
}

// FreeAddr is an address on a host of its own, on which nothing listens.
func FreeAddr() (string, error) {
	ln, err := Listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
