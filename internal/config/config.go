// Package config reads the product's configuration file, deploy/portstall.yaml, which enables what goes beyond the node
// of the platform. Without a file nothing of that is enabled. A File is an immutable value, replaced as a whole at a
// reload. Only Load and Members.Load read from disk.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	backtunnel "portstall/internal/back/tunnel"
	"portstall/internal/cell"
	"portstall/internal/front/tunnel"
)

// File is the product's configuration file.
type File struct {
	Services  []Service  `yaml:"services"`
	Contracts []Contract `yaml:"contracts"`
	Parts     string     `yaml:"parts"` // share of each contract that a node enforces: seen (by the traffic that it sees; the default) or even
	Tunnels   *Tunnels   `yaml:"tunnels"`
	Cells     *Cells     `yaml:"cells"`
	Health    *Health    `yaml:"health"`
	Members   *Members   `yaml:"members"`
	State     *State     `yaml:"state"`
	Control   *Control   `yaml:"control"` // source of services, contracts, routes and pinned tenants, in place of this file

	// How the text of the file ends: with a newline, and with the line "...", YAML's marker for the end of a document.
	endsWithNewline, endsWithMarker bool
}

// CheckReplacement returns an error where the file must not replace the current one. The beginning of a YAML file is
// often a valid file itself, so a file that is still being written, or was truncated, could remove contracts.
func (f *File) CheckReplacement(old *File) error {
	sections := func(f *File) [9]bool {
		return [...]bool{f.Services != nil, f.Contracts != nil, f.Parts != "", f.Tunnels != nil, f.Cells != nil, f.Health != nil, f.Members != nil, f.State != nil,
			f.Control != nil}
	}
	switch {
	case sections(f) == [9]bool{} && sections(old) != [9]bool{}:
		return errors.New("nothing is in it")
	case old.endsWithNewline && !f.endsWithNewline:
		return errors.New("its last line has no end: the file is truncated")
	case old.endsWithMarker && !f.endsWithMarker:
		return errors.New("it does not end with the line \"...\", as the current file does: the file is truncated")
	}
	return f.Control.checkReplacement(old.Control)
}

// Cells gives each tenant its own subset of the web servers, spread over zones and pods.
type Cells struct {
	Size    int            `yaml:"size"`    // web servers per tenant
	Seed    uint64         `yaml:"seed"`    // another seed selects other subsets
	Spill   float64        `yaml:"spill"`   // share of a tenant's requests that may go to its neighbor cell if its own servers accept none
	Memory  int            `yaml:"memory"`  // maximum number of keys of pinned tenants that a node remembers; default 100,000
	Marked  bool           `yaml:"marked"`  // clients always mark repeated requests
	Skew    time.Duration  `yaml:"skew"`    // maximum difference between the clocks of nodes; default 1 s
	Tenants []PinnedTenant `yaml:"tenants"` // tenants pinned to pods, which may be moved
}

// PinnedTenant is a tenant whose web servers are all those of some pods.
type PinnedTenant struct {
	Tenant string  `yaml:"tenant" json:"tenant,omitzero"`
	Pods   []int64 `yaml:"pods" json:"pods,omitzero"` // pods are called cells in discovery
	Moves  []Move  `yaml:"moves" json:"moves,omitzero"`
}

// Move moves a pinned tenant to other pods.
type Move struct {
	To      []int64       `yaml:"to" json:"to,omitzero"`
	Keys    []float64     `yaml:"keys" json:"keys,omitzero"` // [from, below] as fractions of all keys: moves only those; empty: all requests
	Start   time.Time     `yaml:"start" json:"start,omitzero"`
	Prepare time.Duration `yaml:"prepare" json:"prepare_ns,omitzero"` // default 10 s
	Both    time.Duration `yaml:"both" json:"both_ns,omitzero"`
	Stop    time.Time     `yaml:"stop" json:"stop,omitzero"` // time at which the move halts at its current step
	Back    time.Time     `yaml:"back" json:"back,omitzero"` // time at which the move is reversed
}

// Settings returns how tenants are placed and moved, with defaults filled in. An error is a *FieldError.
func (c *Cells) Settings() (cell.Settings, error) {
	t := cell.Settings{Plan: cell.Plan{Size: c.Size, Seed: c.Seed}, Assumptions: cell.Assumptions{RepeatsMarked: c.Marked, MaxClockSkew: c.Skew}, MaxKeys: c.Memory, SpillShare: c.Spill}
	fail := func(field, format string, args ...any) (cell.Settings, error) {
		return t, &FieldError{"cells." + field, fmt.Sprintf(format, args...)}
	}
	if field, reason := t.Plan.Check(); field != "" {
		return fail(field, "%s", reason)
	}
	switch {
	case !(c.Spill >= 0 && c.Spill <= 1):
		return fail("spill", "%v is outside 0 to 1", c.Spill)
	case c.Memory < 0 || c.Memory > 10_000_000:
		return fail("memory", "%d is outside 0 to 10,000,000", c.Memory)
	case c.Skew < 0 || c.Skew > time.Minute:
		return fail("skew", "%s is outside 0 to 1m", c.Skew)
	}
	if t.MaxKeys == 0 {
		t.MaxKeys = 100_000
	}
	if t.Assumptions.MaxClockSkew == 0 {
		t.Assumptions.MaxClockSkew = time.Second
	}
	seen := map[string]bool{}
	for i, v := range c.Tenants {
		p := fmt.Sprintf("tenants[%d].", i)
		if v.Tenant == "" || seen[v.Tenant] {
			return fail(p+"tenant", "%q is missing or used twice", v.Tenant)
		}
		seen[v.Tenant] = true
		tenant, err := v.Compile("cells." + p)
		if err != nil {
			return t, err
		}
		t.Tenants = append(t.Tenants, tenant)
	}
	return t, nil
}

// Tunnels holds the listeners on which clients request tunnels, and the routes that they may request.
type Tunnels struct {
	SOCKS5  string  `yaml:"socks5"`  // host:port; empty: SOCKS5 is disabled
	Connect string  `yaml:"connect"` // host:port; empty: HTTP CONNECT is disabled
	Users   []User  `yaml:"users"`   // empty: no password is required
	Routes  []Route `yaml:"routes"`
	Proxies []Proxy `yaml:"proxies"` // the first one whose pattern matches a web server is used for it
}

// Proxy is the proxy through which some web servers are reached, for opaque tunnels as well as for requests.
type Proxy struct {
	Servers  string `yaml:"servers"` // pattern of server IDs, with * and ? as in filepath.Match
	SOCKS5   string `yaml:"socks5"`  // host:port; exactly one of socks5 and connect is given
	Connect  string `yaml:"connect"` // host:port
	User     string `yaml:"user"`    // empty: no credentials are sent
	Password string `yaml:"password"`
}

// User may open tunnels. A contract applies to a user by a match on the header Proxy-User.
type User struct {
	Name     string `yaml:"name"`
	Password string `yaml:"password_sha256"`
}

// Route is a host name and port that clients may request, and the service behind it.
type Route struct {
	Host    string `yaml:"host" json:"host,omitzero"`
	Port    uint16 `yaml:"port" json:"port,omitzero"`
	Service string `yaml:"service" json:"service,omitzero"`

	Kind  string        `yaml:"kind" json:"kind,omitzero"`      // http (the default): requests of this node's protocol; opaque: any protocol
	Class string        `yaml:"class" json:"class,omitzero"`    // class of an opaque tunnel
	Idle  time.Duration `yaml:"idle" json:"idle_ns,omitzero"`   // opaque tunnels end after this time without a byte; default 1 min
	Total time.Duration `yaml:"total" json:"total_ns,omitzero"` // opaque tunnels end this long after their opening; default 1 h
	// Stall is the time without a reply of the server to the client's latest bytes after which an opaque tunnel ends;
	// 0: no limit.
	Stall time.Duration `yaml:"stall" json:"stall_ns,omitzero"`
	// Drain is the time after which an opaque tunnel ends once its server or the node has begun to drain; default 30 s.
	Drain time.Duration `yaml:"drain" json:"drain_ns,omitzero"`
}

// ProxyRule says through which proxy the web servers are reached whose IDs match a pattern.
type ProxyRule struct {
	Pattern string // as in filepath.Match
	Proxy   backtunnel.Proxy
}

// ProxyRules returns the proxies ready for use, in the order of the file. An error is a *FieldError.
func (t *Tunnels) ProxyRules() ([]ProxyRule, error) {
	var rules []ProxyRule
	for i := range t.Proxies {
		rule, err := t.Proxies[i].compile(fmt.Sprintf("tunnels.proxies[%d].", i))
		if err != nil {
			return nil, err
		}
		rules = append(rules, rule)
	}
	return rules, nil
}

// compile checks a proxy. Path is the prefix of field names in errors, which are *FieldError.
func (p *Proxy) compile(path string) (ProxyRule, error) {
	proxy := backtunnel.Proxy{Protocol: backtunnel.SOCKS5, Addr: p.SOCKS5, User: p.User, Password: p.Password}
	field := "socks5"
	if p.Connect != "" {
		proxy.Protocol, proxy.Addr, field = backtunnel.Connect, p.Connect, "connect"
	}
	_, _, addrErr := net.SplitHostPort(proxy.Addr)
	switch {
	case (p.SOCKS5 == "") == (p.Connect == ""):
		return ProxyRule{}, &FieldError{path + "socks5", "exactly one of socks5 and connect is required"}
	case addrErr != nil:
		return ProxyRule{}, &FieldError{path + field, fmt.Sprintf("%q is not host:port", proxy.Addr)}
	case len(p.User) > 255 || len(p.Password) > 255 || strings.Contains(p.User, ":"):
		return ProxyRule{}, &FieldError{path + "user", "user or password exceeds 255 bytes, or user contains a colon"}
	}
	if _, err := filepath.Match(p.Servers, ""); err != nil || p.Servers == "" {
		return ProxyRule{}, &FieldError{path + "servers", fmt.Sprintf("%q is not a valid pattern", p.Servers)}
	}
	return ProxyRule{p.Servers, proxy}, nil
}

// Table checks the section and returns its routes and users ready for use. An error is a *FieldError.
func (t *Tunnels) Table() (*tunnel.Table, error) {
	for _, v := range []struct{ field, addr string }{{"socks5", t.SOCKS5}, {"connect", t.Connect}} {
		if _, _, err := net.SplitHostPort(v.addr); v.addr != "" && err != nil {
			return nil, &FieldError{"tunnels." + v.field, fmt.Sprintf("%q is not host:port", v.addr)}
		}
	}
	var users map[string][sha256.Size]byte
	for i, u := range t.Users {
		p := fmt.Sprintf("tunnels.users[%d].", i)
		digest, err := hex.DecodeString(u.Password)
		if _, dup := users[u.Name]; u.Name == "" || dup {
			return nil, &FieldError{p + "name", fmt.Sprintf("%q is missing or used twice", u.Name)}
		}
		if err != nil || len(digest) != sha256.Size {
			return nil, &FieldError{p + "password_sha256", "is not the 64 hex digits of a SHA-256"}
		}
		if users == nil {
			users = map[string][sha256.Size]byte{}
		}
		users[u.Name] = [sha256.Size]byte(digest)
	}
	var routes []tunnel.Route
	for i := range t.Routes {
		r, err := t.Routes[i].Compile(fmt.Sprintf("tunnels.routes[%d].", i))
		if err != nil {
			return nil, err
		}
		routes = append(routes, r)
	}
	if _, err := t.ProxyRules(); err != nil {
		return nil, err
	}
	table, err := tunnel.NewTable(routes, users)
	if err != nil {
		field, reason, _ := strings.Cut(err.Error(), ": ")
		return nil, &FieldError{"tunnels." + field, reason}
	}
	return table, nil
}

// Service is a named set of classes that one team offers.
type Service struct {
	Name    string  `yaml:"name" json:"name,omitzero"`
	Classes []Class `yaml:"classes" json:"classes,omitzero"`
}

// Class names a class. Effect is what a repeated request of it does: safe, keyed or unsafe. It is optional, and is
// checked against the node's settings where given.
type Class struct {
	Name   string `yaml:"name" json:"name,omitzero"`
	Effect string `yaml:"effect" json:"effect,omitzero"`
}

// Contract limits the requests of some clients: which services they may call, at what rate and with what budget. Values
// are for all nodes together; 0 or a missing value means no limit, except in work.guaranteed.
type Contract struct {
	Name        string    `yaml:"name" json:"name,omitzero"`
	Match       []Match   `yaml:"match" json:"match,omitzero"`       // any of them; empty: all requests that no other contract matches
	Services    []string  `yaml:"services" json:"services,omitzero"` // empty: all classes
	Rate        float64   `yaml:"rate" json:"rate,omitzero"`         // requests per second
	Burst       float64   `yaml:"burst" json:"burst,omitzero"`       // requests at once; default one second's rate, at least 1
	InFlight    int       `yaml:"in_flight" json:"in_flight,omitzero"`
	Bandwidth   float64   `yaml:"bandwidth" json:"bandwidth,omitzero"` // bytes per second through opaque tunnels, both directions together
	Attempts    *Attempts `yaml:"attempts" json:"attempts,omitzero"`
	Retries     []string  `yaml:"retries" json:"retries,omitzero"` // classes that may be retried; missing: as each class allows
	Work        Work      `yaml:"work" json:"work,omitzero"`
	Criticality string    `yaml:"criticality" json:"criticality,omitzero"` // critical, high, normal (the default) or sheddable
	Weight      *float64  `yaml:"weight" json:"weight,omitzero"`           // weight in the redistribution of unused quota; default 1
	Lends       *float64  `yaml:"lends" json:"lends,omitzero"`             // share of its unused guarantee that other contracts may use; default 1
}

// Match is a condition on requests. All fields that are given must hold.
type Match struct {
	Tenant string `yaml:"tenant" json:"tenant,omitzero"`
	Header string `yaml:"header" json:"header,omitzero"` // Name: value
	From   string `yaml:"from" json:"from,omitzero"`     // address or CIDR range
	Token  string `yaml:"token_sha256" json:"token_sha256,omitzero"`
}

// Attempts bounds retries by nodes and repeats marked by clients, both together.
type Attempts struct {
	Ratio  float64       `yaml:"ratio" json:"ratio,omitzero"`      // maximum, as a fraction of first attempts
	Window time.Duration `yaml:"window" json:"window_ns,omitzero"` // over which both are counted; default 10 s
	Floor  float64       `yaml:"floor" json:"floor,omitzero"`      // retries per second that are always allowed
}

// Work is in server-seconds per second, which is about the number of requests that are at web servers at a time.
type Work struct {
	Guaranteed float64 `yaml:"guaranteed" json:"guaranteed,omitzero"`
	Limit      float64 `yaml:"limit" json:"limit,omitzero"`
}

// Load reads and checks the file at path. An error names file, line and field.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a file. Name is the file's name in errors.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	if err := Decode(name, text, f, f.check); err != nil {
		return nil, err
	}
	f.endsWithNewline = strings.HasSuffix(string(text), "\n")
	f.endsWithMarker = strings.HasSuffix(strings.TrimRight(string(text), "\r\n"), "\n...")
	return f, nil
}

// check checks all sections. An error is a *FieldError.
func (f *File) check() error {
	if f.Control != nil {
		if err := f.Control.check(f); err != nil {
			return err
		}
	}
	if f.Tunnels != nil {
		if _, err := f.Tunnels.Table(); err != nil {
			return err
		}
		for i, r := range f.Tunnels.Routes {
			if !slices.ContainsFunc(f.Services, func(s Service) bool { return s.Name == r.Service }) {
				return &FieldError{fmt.Sprintf("tunnels.routes[%d].service", i), fmt.Sprintf("%q is no service of this file", r.Service)}
			}
		}
	}
	if f.Health != nil {
		if err := f.Health.check(); err != nil {
			return err
		}
	}
	if f.State != nil {
		if _, err := f.State.WithDefaults(); err != nil {
			return err
		}
	}
	if f.Members != nil {
		if _, err := f.Members.settings(); err != nil {
			return err
		}
	}
	if f.Cells != nil {
		if _, err := f.Cells.Settings(); err != nil {
			return err
		}
	}
	_, err := Compile(f, nil)
	return err
}
