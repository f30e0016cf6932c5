package standin

import "net"

// FreeAddr is an address on loopback on which nothing listens. Another process may take it before it is used; the kernel hands
// out ports in turn, so that this is as good as never.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
