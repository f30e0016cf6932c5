package http

import (
	"net"
	stdhttp "net/http"
	"net/netip"
	"strconv"
	"strings"

	"portstall/internal/contract"
)

// UserHeader stands in matches for whom a tunnel was opened for. No client can set it: what it says is not looked at.
const UserHeader = "Proxy-User"

// Caller is what a request tells of who sent it. A token is shown as a bearer's (RFC 6750).
func Caller(h stdhttp.Header, from netip.Addr, user string) contract.Caller {
	c := contract.Caller{Tenant: h.Get("X-Tenant"), From: from, Header: func(name string) string {
		if name == UserHeader {
			return user
		}
		return h.Get(name)
	}}
	if scheme, token, ok := strings.Cut(h.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		c.Token = token
	}
	return c
}

// Address is the remote end of a connection, zero where it has none.
func Address(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// hint is what a client says that its request costs, in seconds; 0 where it says nothing that makes sense.
func costHint(h stdhttp.Header) float64 {
	us, err := strconv.ParseFloat(h.Get("X-Cost-Hint"), 64)
	if err != nil || !(us > 0 && us < 3.6e9) {
		return 0
	}
	return us / 1e6
}
