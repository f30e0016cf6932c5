package control

import (
	"net"
	"net/http"
	"sync/atomic"

	"portstall/internal/control/follow"
)

// counters count what a server has done since its start.
type counters struct {
	bytesIn, bytesOut             atomic.Int64
	versions, reloads, badReloads atomic.Int64
	ok, bad, behind, full         atomic.Int64 // responses to calls for resources
}

// countResponse counts a response to a call for resources by its HTTP status.
func (c *counters) countResponse(status int) {
	switch status {
	case http.StatusOK:
		c.ok.Add(1)
	case http.StatusConflict:
		c.behind.Add(1)
	case http.StatusServiceUnavailable:
		c.full.Add(1)
	default:
		c.bad.Add(1)
	}
}

// countingListener counts the bytes on the connections that it accepts.
type countingListener struct {
	net.Listener
	counters *counters
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return follow.NewCountingConn(c, &l.counters.bytesIn, &l.counters.bytesOut), nil
}
