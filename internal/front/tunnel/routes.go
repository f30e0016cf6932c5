// Package tunnel is the clients' side of tunnels: it speaks SOCKS5 (RFC 1928, RFC 1929) and HTTP CONNECT (RFC 9110, 9.3.6)
// up to the point where a tunnel stands, and knows which names may be asked for. What then comes through the tunnel is the
// business of whoever it is handed to. It decides nothing about web servers.
package tunnel

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/netip"
	"strings"

	"portstall/internal/message"
)

// Route is what a client may ask for by name and port. There is no route to an address: this is no open proxy.
type Route struct {
	Host    string // lower case, without a dot at its end
	Port    uint16
	Service string

	Opaque bool // the tunnel itself is the request,
	Class  string
	Limits message.Limits // and lives within these
}

// Table holds the routes and the users. It is immutable and safe for concurrent use.
type Table struct {
	routes map[string]Route
	users  map[string][sha256.Size]byte
}

// NewTable makes a table. With no users nobody has to show a password. An error names the route or user at fault.
func NewTable(routes []Route, users map[string][sha256.Size]byte) (*Table, error) {
	t := &Table{routes: map[string]Route{}, users: users}
	for i, r := range routes {
		r.Host = strings.ToLower(strings.TrimSuffix(r.Host, "."))
		if _, err := netip.ParseAddr(strings.Trim(r.Host, "[]")); err == nil {
			return nil, fmt.Errorf("routes[%d].host: %q is an address; a route is to a name", i, r.Host)
		}
		if r.Host == "" || len(r.Host) > 255 || strings.ContainsAny(r.Host, " \r\n\t/:") {
			return nil, fmt.Errorf("routes[%d].host: %q is no name", i, r.Host)
		}
		if r.Port == 0 {
			return nil, fmt.Errorf("routes[%d].port: missing", i)
		}
		key := routeKey(r.Host, r.Port)
		if _, dup := t.routes[key]; dup {
			return nil, fmt.Errorf("routes[%d].host: there is a route to %s already", i, key)
		}
		t.routes[key] = r
	}
	return t, nil
}

func routeKey(host string, port uint16) string { return fmt.Sprintf("%s:%d", host, port) }

// Find is the route to a name and port.
func (t *Table) Find(host string, port uint16) (Route, bool) {
	r, ok := t.routes[routeKey(strings.ToLower(strings.TrimSuffix(host, ".")), port)]
	return r, ok
}

// Open tells whether anybody may come in without a password.
func (t *Table) Open() bool { return len(t.users) == 0 }

// Knows tells whether a user showed the right password. It takes as long for a user that is not known.
func (t *Table) Knows(user, password string) bool {
	want, ok := t.users[user]
	got := sha256.Sum256([]byte(password))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1 && ok
}
