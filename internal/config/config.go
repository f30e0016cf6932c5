// Package config reads the product's own file, deploy/portstall.yaml: what is switched on beyond the platform's node. No
// file means that nothing is. It is pure but for Load; a file is one immutable value, swapped whole at a reload.
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

// File is the product's own file.
type File struct {
	Services  []Service  `yaml:"services"`
	Contracts []Contract `yaml:"contracts"`
	Parts     string     `yaml:"parts"` // of each contract that a node hands out: seen (as the reports tell; the default) or even
	Tunnels   *Tunnels   `yaml:"tunnels"`
	Cells     *Cells     `yaml:"cells"`
	Health    *Health    `yaml:"health"`
	Members   *Members   `yaml:"members"`
	State     *State     `yaml:"state"`
	Control   *Control   `yaml:"control"` // whence services, contracts, routes and pinned tenants come in place of this file

	endsWithNewline, endsWithMarker bool // its text ends with the end of a line, and with YAML's mark for the end of a document
}

// Replaces tells whether the file can take the place of one in force. A part of a YAML file is often a file as well, of which
// the rest is missing: one that is being written, or was cut off, must not take contracts away.
func (f *File) Replaces(old *File) error {
	parts := func(f *File) [9]bool {
		return [...]bool{f.Services != nil, f.Contracts != nil, f.Parts != "", f.Tunnels != nil, f.Cells != nil, f.Health != nil, f.Members != nil, f.State != nil,
			f.Control != nil}
	}
	switch {
	case parts(f) == [9]bool{} && parts(old) != [9]bool{}:
		return errors.New("nothing is in it")
	case old.endsWithNewline && !f.endsWithNewline:
		return errors.New("its last line has no end: it is not whole")
	case old.endsWithMarker && !f.endsWithMarker:
		return errors.New("it does not end with the line \"...\", as the one in force does: it is not whole")
	}
	return f.Control.checkReplacement(old.Control)
}

// Cells give each tenant a subset of the web servers of its own, spread over zones and pods.
type Cells struct {
	Size    int           `yaml:"size"`    // web servers a tenant
	Seed    uint64        `yaml:"seed"`    // another one deals all anew
	Spill   float64       `yaml:"spill"`   // part of a tenant's requests that may go to its neighbour's where its own take none
	Memory  int           `yaml:"memory"`  // keys of pinned tenants that a node remembers; 100,000
	Marked  bool          `yaml:"marked"`  // clients mark their repeats, always
	Skew    time.Duration `yaml:"skew"`    // by which nodes' clocks differ at most; 1 s
	Tenants []Pinned      `yaml:"tenants"` // that are pinned to pods, and may move
}

// Pinned is a tenant whose web servers are those of some pods.
type Pinned struct {
	Tenant string  `yaml:"tenant" json:"tenant,omitzero"`
	Pods   []int64 `yaml:"pods" json:"pods,omitzero"` // discovery's cells
	Moves  []Move  `yaml:"moves" json:"moves,omitzero"`
}

// Move takes a pinned tenant to other pods.
type Move struct {
	To      []int64       `yaml:"to" json:"to,omitzero"`
	Keys    []float64     `yaml:"keys" json:"keys,omitzero"` // from and below, as parts of all keys: those alone; none: all requests
	Start   time.Time     `yaml:"start" json:"start,omitzero"`
	Prepare time.Duration `yaml:"prepare" json:"prepare_ns,omitzero"` // 10 s
	Both    time.Duration `yaml:"both" json:"both_ns,omitzero"`
	Stop    time.Time     `yaml:"stop" json:"stop,omitzero"` // it stays as it is then
	Back    time.Time     `yaml:"back" json:"back,omitzero"` // all goes back
}

// Terms is how tenants are placed and moved. An error is a *FieldError.
func (c *Cells) Terms() (cell.Terms, error) {
	t := cell.Terms{Plan: cell.Plan{Size: c.Size, Seed: c.Seed}, Doubt: cell.Doubt{Marked: c.Marked, Skew: c.Skew}, Memory: c.Memory, Spill: c.Spill}
	bad := func(field, why string, args ...any) (cell.Terms, error) {
		return t, &FieldError{"cells." + field, fmt.Sprintf(why, args...)}
	}
	if field, why := t.Plan.Check(); field != "" {
		return bad(field, "%s", why)
	}
	switch {
	case !(c.Spill >= 0 && c.Spill <= 1):
		return bad("spill", "%v is outside 0 to 1", c.Spill)
	case c.Memory < 0 || c.Memory > 10_000_000:
		return bad("memory", "%d is outside 0 to 10,000,000", c.Memory)
	case c.Skew < 0 || c.Skew > time.Minute:
		return bad("skew", "%s is outside 0 to 1m", c.Skew)
	}
	if t.Memory == 0 {
		t.Memory = 100_000
	}
	if t.Doubt.Skew == 0 {
		t.Doubt.Skew = time.Second
	}
	seen := map[string]bool{}
	for i, v := range c.Tenants {
		p := fmt.Sprintf("tenants[%d].", i)
		if v.Tenant == "" || seen[v.Tenant] {
			return bad(p+"tenant", "%q is missing or used twice", v.Tenant)
		}
		seen[v.Tenant] = true
		tenant, err := v.Ready("cells." + p)
		if err != nil {
			return t, err
		}
		t.Tenants = append(t.Tenants, tenant)
	}
	return t, nil
}

// Tunnels are the listeners on which clients ask for tunnels, and what they may ask for.
type Tunnels struct {
	SOCKS5  string  `yaml:"socks5"`  // host:port; none: SOCKS5 is not spoken
	Connect string  `yaml:"connect"` // the same for HTTP CONNECT
	Users   []User  `yaml:"users"`   // none: nobody is asked for a password
	Routes  []Route `yaml:"routes"`
	Proxies []Proxy `yaml:"proxies"` // the first that fits a web server stands before it
}

// Proxy stands before some web servers, and is the only way to them: for opaque tunnels and for requests.
type Proxy struct {
	Servers  string `yaml:"servers"` // ids, with * and ? as in a file's name
	SOCKS5   string `yaml:"socks5"`  // host:port; this or connect
	Connect  string `yaml:"connect"`
	User     string `yaml:"user"` // empty: none is shown
	Password string `yaml:"password"`
}

// User may open tunnels. A contract is for it by a match on the header Proxy-User.
type User struct {
	Name           string `yaml:"name"`
	PasswordSHA256 string `yaml:"password_sha256"`
}

// Route is a name and port that clients may ask for, and the service that answers there.
type Route struct {
	Host    string `yaml:"host" json:"host,omitzero"`
	Port    uint16 `yaml:"port" json:"port,omitzero"`
	Service string `yaml:"service" json:"service,omitzero"`

	Kind  string        `yaml:"kind" json:"kind,omitzero"`      // http (the default): requests of our own protocol; opaque: whatever the two sides speak
	Class string        `yaml:"class" json:"class,omitzero"`    // of an opaque tunnel
	Idle  time.Duration `yaml:"idle" json:"idle_ns,omitzero"`   // an opaque one ends after this without a byte; 1 min
	Total time.Duration `yaml:"total" json:"total_ns,omitzero"` // and at most this after its opening; 1 h
	Stall time.Duration `yaml:"stall" json:"stall_ns,omitzero"` // or when the server says nothing to the client's latest for this long; 0: it may
	Drain time.Duration `yaml:"drain" json:"drain_ns,omitzero"` // or this long after its server or the node is told to drain; 30 s
}

// Way is how the web servers are reached whose ids fit a pattern.
type Way struct {
	Servers string // as filepath.Match has it
	Proxy   backtunnel.Proxy
}

// Ways makes the proxies ready for use. An error is a *FieldError.
func (t *Tunnels) Ways() ([]Way, error) {
	var ways []Way
	for i := range t.Proxies {
		w, err := t.Proxies[i].compile(fmt.Sprintf("tunnels.proxies[%d].", i))
		if err != nil {
			return nil, err
		}
		ways = append(ways, w)
	}
	return ways, nil
}

func (p *Proxy) compile(path string) (Way, error) {
	way := backtunnel.Proxy{Kind: backtunnel.SOCKS5, Addr: p.SOCKS5, User: p.User, Password: p.Password}
	field := "socks5"
	if p.Connect != "" {
		way.Kind, way.Addr, field = backtunnel.Connect, p.Connect, "connect"
	}
	_, _, bad := net.SplitHostPort(way.Addr)
	switch {
	case (p.SOCKS5 == "") == (p.Connect == ""):
		return Way{}, &FieldError{path + "socks5", "one of socks5 and connect is needed"}
	case bad != nil:
		return Way{}, &FieldError{path + field, fmt.Sprintf("%q is not host:port", way.Addr)}
	case len(p.User) > 255 || len(p.Password) > 255 || strings.Contains(p.User, ":"):
		return Way{}, &FieldError{path + "user", "user or password is longer than 255 bytes, or the user has a colon"}
	}
	if _, err := filepath.Match(p.Servers, ""); err != nil || p.Servers == "" {
		return Way{}, &FieldError{path + "servers", fmt.Sprintf("%q is no pattern", p.Servers)}
	}
	return Way{p.Servers, way}, nil
}

// Table makes the routes and users ready. An error is a *FieldError.
func (t *Tunnels) Table() (*tunnel.Table, error) {
	for _, v := range []struct{ field, addr string }{{"socks5", t.SOCKS5}, {"connect", t.Connect}} {
		if _, _, err := net.SplitHostPort(v.addr); v.addr != "" && err != nil {
			return nil, &FieldError{"tunnels." + v.field, fmt.Sprintf("%q is not host:port", v.addr)}
		}
	}
	var users map[string][sha256.Size]byte
	for i, u := range t.Users {
		p := fmt.Sprintf("tunnels.users[%d].", i)
		d, err := hex.DecodeString(u.PasswordSHA256)
		if _, dup := users[u.Name]; u.Name == "" || dup {
			return nil, &FieldError{p + "name", fmt.Sprintf("%q is missing or used twice", u.Name)}
		}
		if err != nil || len(d) != sha256.Size {
			return nil, &FieldError{p + "password_sha256", "not the 64 hex digits of a SHA-256"}
		}
		if users == nil {
			users = map[string][sha256.Size]byte{}
		}
		users[u.Name] = [sha256.Size]byte(d)
	}
	var routes []tunnel.Route
	for i := range t.Routes {
		r, err := t.Routes[i].Ready(fmt.Sprintf("tunnels.routes[%d].", i))
		if err != nil {
			return nil, err
		}
		routes = append(routes, r)
	}
	if _, err := t.Ways(); err != nil {
		return nil, err
	}
	table, err := tunnel.NewTable(routes, users)
	if err != nil {
		field, why, _ := strings.Cut(err.Error(), ": ")
		return nil, &FieldError{"tunnels." + field, why}
	}
	return table, nil
}

// Service is what a team offers: a set of classes.
type Service struct {
	Name    string  `yaml:"name" json:"name,omitzero"`
	Classes []Class `yaml:"classes" json:"classes,omitzero"`
}

// Class names a class, and what repeating it does where the file is to be checked for that: safe, keyed or unsafe.
type Class struct {
	Name   string `yaml:"name" json:"name,omitzero"`
	Effect string `yaml:"effect" json:"effect,omitzero"`
}

// Contract says who may call what, at what rate, and within what budget. Figures are for all nodes together; nought or
// nothing means no bound, but for work.guaranteed.
type Contract struct {
	Name          string    `yaml:"name" json:"name,omitzero"`
	Match         []Match   `yaml:"match" json:"match,omitzero"`       // any of them; none: for whoever no other contract is for
	Services      []string  `yaml:"services" json:"services,omitzero"` // none: all classes
	Rate          float64   `yaml:"rate" json:"rate,omitzero"`         // requests a second
	Burst         float64   `yaml:"burst" json:"burst,omitzero"`       // and how many at once; a second's rate where it is not given
	InFlight      int       `yaml:"in_flight" json:"in_flight,omitzero"`
	Bandwidth     float64   `yaml:"bandwidth" json:"bandwidth,omitzero"` // bytes a second through opaque tunnels, both ways together
	Attempts      *Attempts `yaml:"attempts" json:"attempts,omitzero"`
	Retries       []string  `yaml:"retries" json:"retries,omitzero"` // classes that may be sent more than once; not given: as each class allows
	Work          Work      `yaml:"work" json:"work,omitzero"`
	Criticality   string    `yaml:"criticality" json:"criticality,omitzero"` // critical, high, normal or sheddable
	Weight        *float64  `yaml:"weight" json:"weight,omitzero"`           // of its part in what others leave unused; 1
	LendableShare *float64  `yaml:"lends" json:"lends,omitzero"`             // part of its unused guarantee that others may have; 1
}

// Match is one way to be known. All that is given must hold.
type Match struct {
	Tenant      string `yaml:"tenant" json:"tenant,omitzero"`
	Header      string `yaml:"header" json:"header,omitzero"` // Name: value
	From        string `yaml:"from" json:"from,omitzero"`     // address or CIDR range
	TokenSHA256 string `yaml:"token_sha256" json:"token_sha256,omitzero"`
}

// Attempts bounds further attempts and clients' marked repeats together.
type Attempts struct {
	Ratio  float64       `yaml:"ratio" json:"ratio,omitzero"`      // as a part of first tries
	Window time.Duration `yaml:"window" json:"window_ns,omitzero"` // over which both are counted; 10 s
	Floor  float64       `yaml:"floor" json:"floor,omitzero"`      // and so many a second in any case
}

// Work is in server-seconds a second: about how many requests it keeps at servers.
type Work struct {
	Guaranteed float64 `yaml:"guaranteed" json:"guaranteed,omitzero"`
	Limit      float64 `yaml:"limit" json:"limit,omitzero"`
}

// Load reads the file at path. An error names file, line and field.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a file's text; name stands for it in errors.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	if err := Decode(name, text, f, f.check); err != nil {
		return nil, err
	}
	f.endsWithNewline = strings.HasSuffix(string(text), "\n")
	f.endsWithMarker = strings.HasSuffix(strings.TrimRight(string(text), "\r\n"), "\n...")
	return f, nil
}

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
		if _, err := f.State.Ready(); err != nil {
			return err
		}
	}
	if f.Members != nil {
		if _, err := f.Members.settings(); err != nil {
			return err
		}
	}
	if f.Cells != nil {
		if _, err := f.Cells.Terms(); err != nil {
			return err
		}
	}
	_, err := Compile(f, nil)
	return err
}
