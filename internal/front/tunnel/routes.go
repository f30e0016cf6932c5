// Package tunnel is the client side of tunnels. It speaks SOCKS5 (RFC 1928, RFC 1929) and HTTP CONNECT (RFC 9110,
// 9.3.6) until a tunnel is established, and holds the names that clients may request. HTTP requests that arrive through
// a tunnel are handled by Options.ServeRequests, and an opaque tunnel is a request to Options.Core. The package makes
// no decision about web servers.
package tunnel

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"

	"portstall/internal/message"
)

// Route is a destination that a client may request by name and port. There are no routes to addresses: this is not an
// open proxy.
type Route struct {
	Host    string // lower case, without a trailing dot
	Port    uint16
	Service string

	Opaque bool                 // the tunnel itself is one request; else HTTP requests arrive through it
	Class  string               // of an opaque tunnel's request
	Limits message.TunnelLimits // of an opaque tunnel's lifetime
}

// Table holds the routes and the users. It is safe for concurrent use. A lookup sees a change of the routes completely
// or not at all.
type Table struct {
	users map[string][sha256.Size]byte // SHA-256 of the password by user; not changed after NewTable

	mu     sync.RWMutex
	routes map[address]Route
}

// address is the key of a route: a normalized host and a port.
type address struct {
	host string
	port uint16
}

func (a address) String() string { return fmt.Sprintf("%s:%d", a.host, a.port) }

// NewTable returns a table of the routes and of users with the SHA-256 of their passwords. Without users no password is
// required. An error names the route at fault.
func NewTable(routes []Route, users map[string][sha256.Size]byte) (*Table, error) {
	t := &Table{routes: make(map[address]Route, len(routes)), users: users}
	for i, r := range routes {
		key := r.normalize()
		if field, why := r.Check(); field != "" {
			return nil, fmt.Errorf("routes[%d].%s: %s", i, field, why)
		}
		if _, dup := t.routes[key]; dup {
			return nil, fmt.Errorf("routes[%d].host: duplicate route to %s", i, key)
		}
		t.routes[key] = r
	}
	return t, nil
}

// normalize brings a route's host into the form in which it is looked up, and returns the route's key.
func (r *Route) normalize() address {
	r.Host = strings.ToLower(strings.TrimSuffix(r.Host, "."))
	return address{r.Host, r.Port}
}

// Name returns the name of a route: host:port, with the host in lower case and without a trailing dot.
func (r *Route) Name() string {
	copied := *r
	return copied.normalize().String()
}

// Check returns the first invalid field, by its name in files, and the reason. An empty field means that the route is
// valid.
func (r *Route) Check() (field, why string) {
	host := strings.TrimSuffix(r.Host, ".")
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return "host", fmt.Sprintf("%q is an address; a route needs a host name", host)
	}
	if host == "" || len(host) > 255 || strings.ContainsAny(host, " \r\n\t/:") {
		return "host", fmt.Sprintf("%q is not a host name", host)
	}
	if r.Port == 0 {
		return "port", "missing"
	}
	return "", ""
}

// Change is a change of the routes. Its cost depends on its own size, not on the number of routes. Established tunnels
// are not affected.
type Change struct {
	Put     []Route  // routes to add, or to replace the one of the same address
	Removed []string // names of routes to remove (Route.Name); unknown ones are ignored
}

// ChangeError is the reason why a change is invalid.
type ChangeError struct {
	Name  string // of the route at fault
	Field string // of the route; empty: the route itself is at fault
	Why   string
}

func (e *ChangeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("route %q: %s", e.Name, e.Why)
	}
	return fmt.Sprintf("route %q: %s: %s", e.Name, e.Field, e.Why)
}

// Check reports whether a change is valid: each route that it puts is valid and is named only once. It does not change
// the table. An error is a *ChangeError.
func (t *Table) Check(c *Change) error {
	named := make(map[string]bool, len(c.Put)+len(c.Removed))
	for _, name := range c.Removed {
		named[name] = true
	}
	for i := range c.Put {
		r := &c.Put[i]
		name := r.Name()
		if field, why := r.Check(); field != "" {
			return &ChangeError{name, field, why}
		}
		if named[name] {
			return &ChangeError{name, "", "is put twice, or both put and removed"}
		}
		named[name] = true
	}
	return nil
}

// ApplyChange applies a change, which must have passed Check. Lookups see all of it or nothing.
func (t *Table) ApplyChange(c *Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range c.Removed {
		if host, port, ok := parseName(name); ok {
			delete(t.routes, address{host, port})
		}
	}
	for _, r := range c.Put {
		key := r.normalize()
		t.routes[key] = r
	}
}

// parseName splits a route's name.
func parseName(name string) (host string, port uint16, ok bool) {
	i := strings.LastIndexByte(name, ':')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.ParseUint(name[i+1:], 10, 16)
	return name[:i], uint16(n), err == nil
}

// Find returns the route to a host and port.
func (t *Table) Find(host string, port uint16) (Route, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.routes[address{strings.ToLower(strings.TrimSuffix(host, ".")), port}]
	return r, ok
}

// Len returns the number of routes.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.routes)
}

// AllowsAnonymous reports whether tunnels may be requested without a password.
func (t *Table) AllowsAnonymous() bool { return len(t.users) == 0 }

// Authenticate reports whether a password is the user's. An unknown user takes as long as a known one, so that the time
// does not reveal which users exist.
func (t *Table) Authenticate(user, password string) bool {
	want, ok := t.users[user]
	got := sha256.Sum256([]byte(password))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1 && ok
}
