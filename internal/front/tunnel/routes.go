// Package tunnel is the clients' side of tunnels: it speaks SOCKS5 (RFC 1928, RFC 1929) and HTTP CONNECT (RFC 9110, 9.3.6)
// up to the point where a tunnel stands, and knows which names may be asked for. What then comes through the tunnel is the
// business of whoever it is handed to. It decides nothing about web servers.
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

// Route is what a client may ask for by name and port. There is no route to an address: this is no open proxy.
type Route struct {
	Host    string // lower case, without a dot at its end
	Port    uint16
	Service string

	Opaque bool // the tunnel itself is the request,
	Class  string
	Limits message.Limits // and lives within these
}

// Table holds the routes and the users. It is safe for concurrent use; a change of its routes is seen whole or not at all.
type Table struct {
	users map[string][sha256.Size]byte // never changed

	mu     sync.RWMutex
	routes map[address]Route
}

type address struct {
	host string
	port uint16
}

func (a address) String() string { return fmt.Sprintf("%s:%d", a.host, a.port) }

// NewTable makes a table. With no users nobody has to show a password. An error names the route or user at fault.
func NewTable(routes []Route, users map[string][sha256.Size]byte) (*Table, error) {
	t := &Table{routes: make(map[address]Route, len(routes)), users: users}
	for i, r := range routes {
		at := r.normalize()
		if field, why := r.Check(); field != "" {
			return nil, fmt.Errorf("routes[%d].%s: %s", i, field, why)
		}
		if _, dup := t.routes[at]; dup {
			return nil, fmt.Errorf("routes[%d].host: there is a route to %s already", i, at)
		}
		t.routes[at] = r
	}
	return t, nil
}

// normal brings a route's host into the form in which it is looked up.
func (r *Route) normalize() address {
	r.Host = strings.ToLower(strings.TrimSuffix(r.Host, "."))
	return address{r.Host, r.Port}
}

// Name is what a route is called: host:port, with the host in lower case and without a dot at its end.
func (r *Route) Name() string {
	at := *r
	return at.normalize().String()
}

// Check reports the first field that makes no sense, by the name that files give it.
func (r *Route) Check() (field, why string) {
	host := strings.TrimSuffix(r.Host, ".")
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return "host", fmt.Sprintf("%q is an address; a route is to a name", host)
	}
	if host == "" || len(host) > 255 || strings.ContainsAny(host, " \r\n\t/:") {
		return "host", fmt.Sprintf("%q is no name", host)
	}
	if r.Port == 0 {
		return "port", "missing"
	}
	return "", ""
}

// Change is what becomes of the routes. It costs by what is in it, not by what there is. Tunnels that stand already go on.
type Change struct {
	Put  []Route  // new ones, or those of an address that is there in place of what they were
	Gone []string // as Route.Name has it; one that is not there is of no interest
}

// ChangeError is what is wrong with a change.
type ChangeError struct {
	Name  string // of the route at fault
	Field string // empty: the route as a whole
	Why   string
}

func (e *ChangeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("route %q: %s", e.Name, e.Why)
	}
	return fmt.Sprintf("route %q: %s: %s", e.Name, e.Field, e.Why)
}

// Check tells whether a change makes sense: what it puts is sound and put once. It changes nothing. An error is a *ChangeError.
func (t *Table) Check(c *Change) error {
	named := make(map[string]bool, len(c.Put)+len(c.Gone))
	for _, name := range c.Gone {
		named[name] = true
	}
	for i := range c.Put {
		r := &c.Put[i]
		name := r.Name()
		if field, why := r.Check(); field != "" {
			return &ChangeError{name, field, why}
		}
		if named[name] {
			return &ChangeError{name, "", "is put twice, or both put and gone"}
		}
		named[name] = true
	}
	return nil
}

// Change puts a change in force, whole for whoever looks up; it must have been checked (Check).
func (t *Table) Change(c *Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range c.Gone {
		if host, port, ok := parseName(name); ok {
			delete(t.routes, address{host, port})
		}
	}
	for _, r := range c.Put {
		at := r.normalize()
		t.routes[at] = r
	}
}

// parseName takes a route's name apart.
func parseName(name string) (host string, port uint16, ok bool) {
	i := strings.LastIndexByte(name, ':')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.ParseUint(name[i+1:], 10, 16)
	return name[:i], uint16(n), err == nil
}

// Find is the route to a name and port.
func (t *Table) Find(host string, port uint16) (Route, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.routes[address{strings.ToLower(strings.TrimSuffix(host, ".")), port}]
	return r, ok
}

// Len is the number of routes.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.routes)
}

// Open tells whether anybody may come in without a password.
func (t *Table) AllowsAnonymous() bool { return len(t.users) == 0 }

// Knows tells whether a user showed the right password. It takes as long for a user that is not known.
func (t *Table) Authenticate(user, password string) bool {
	want, ok := t.users[user]
	got := sha256.Sum256([]byte(password))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1 && ok
}
