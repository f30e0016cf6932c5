package http

import (
	"net"
	stdhttp "net/http"
	"net/netip"
	"strconv"
	"strings"

	"portstall/internal/contract"
)

// UserHeader is the header by which matches refer to the user that a tunnel was opened for. Clients cannot set it: the
// value that they send is ignored.
const UserHeader = "Proxy-User"

// Caller returns what a request says about its sender. A token is presented as a bearer token (RFC 6750).
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

// RemoteAddr returns the remote address of a connection, or the zero Addr if it has none.
func RemoteAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// costHint returns the expected cost of a request, in seconds, as its client gives it; 0 if it gives none or no valid
// one.
func costHint(h stdhttp.Header) float64 {
	us, err := strconv.ParseFloat(h.Get("X-Cost-Hint"), 64)
	if err != nil || !(us > 0 && us < 3.6e9) {
		return 0
	}
	return us / 1e6
}
