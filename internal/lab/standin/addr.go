package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var handedOut atomic.Uint32

// FreeAddr is an address on loopback on which nothing listens. It is on a host of its own: on 127.0.0.1 whoever listens next may
// be given the same port, and a client of this address would be answered by somebody else.
func FreeAddr() (string, error) {
	pid, n := os.Getpid(), handedOut.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>8&63, pid&255, 1+n%250))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
