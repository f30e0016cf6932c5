// Package config reads the product's own file, deploy/portstall.yaml: what is switched on beyond the platform's node. No
// file means that nothing is. It is pure but for Load; a file is one immutable value, swapped whole at a reload.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	backtunnel "portstall/internal/back/tunnel"
	"portstall/internal/cell"
	"portstall/internal/contract"
	"portstall/internal/front/tunnel"
	"portstall/internal/message"
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

	lined, marked bool // its text ends with the end of a line, and with YAML's mark for the end of a document
}

// Replaces tells whether the file can take the place of one in force. A part of a YAML file is often a file as well, of which
// the rest is missing: one that is being written, or was cut off, must not take contracts away.
func (f *File) Replaces(old *File) error {
	parts := func(f *File) [8]bool {
		return [...]bool{f.Services != nil, f.Contracts != nil, f.Parts != "", f.Tunnels != nil, f.Cells != nil, f.Health != nil, f.Members != nil, f.State != nil}
	}
	switch {
	case parts(f) == [8]bool{} && parts(old) != [8]bool{}:
		return errors.New("nothing is in it")
	case old.lined && !f.lined:
		return errors.New("its last line has no end: it is not whole")
	case old.marked && !f.marked:
		return errors.New("it does not end with the line \"...\", as the one in force does: it is not whole")
	}
	return nil
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
	Tenant string  `yaml:"tenant"`
	Pods   []int64 `yaml:"pods"` // discovery's cells
	Moves  []Move  `yaml:"moves"`
}

// Move takes a pinned tenant to other pods.
type Move struct {
	To      []int64       `yaml:"to"`
	Keys    []float64     `yaml:"keys"` // from and below, as parts of all keys: those alone; none: all requests
	Start   time.Time     `yaml:"start"`
	Prepare time.Duration `yaml:"prepare"` // 10 s
	Both    time.Duration `yaml:"both"`
	Stop    time.Time     `yaml:"stop"` // it stays as it is then
	Back    time.Time     `yaml:"back"` // all goes back
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
		tenant := cell.Tenant{Name: v.Tenant, Pods: v.Pods}
		for k, m := range v.Moves {
			if m.Start.IsZero() {
				return bad(fmt.Sprintf("%smoves[%d].start", p, k), "missing")
			}
			move := cell.Move{To: m.To, Start: unix(m.Start), Prepare: m.Prepare, Both: m.Both, Stop: unix(m.Stop), Back: unix(m.Back)}
			if move.Prepare == 0 {
				move.Prepare = cell.LeastPrepare
			}
			if len(m.Keys) > 0 {
				if len(m.Keys) != 2 {
					return bad(fmt.Sprintf("%smoves[%d].keys", p, k), "is not of the form [from, below]")
				}
				move.From, move.Below = m.Keys[0], m.Keys[1]
			}
			tenant.Moves = append(tenant.Moves, move)
		}
		if field, why := tenant.Check(); field != "" {
			return bad(p+field, "%s", why)
		}
		t.Tenants = append(t.Tenants, tenant)
	}
	return t, nil
}

// unix is a time as the nodes' clocks tell it; 0 for none.
func unix(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Duration(t.UnixNano())
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
	Name     string `yaml:"name"`
	Password string `yaml:"password_sha256"`
}

// Route is a name and port that clients may ask for, and the service that answers there.
type Route struct {
	Host    string `yaml:"host"`
	Port    uint16 `yaml:"port"`
	Service string `yaml:"service"`

	Kind  string        `yaml:"kind"`  // http (the default): requests of our own protocol; opaque: whatever the two sides speak
	Class string        `yaml:"class"` // of an opaque tunnel
	Idle  time.Duration `yaml:"idle"`  // an opaque one ends after this without a byte; 1 min
	Total time.Duration `yaml:"total"` // and at most this after its opening; 1 h
	Stall time.Duration `yaml:"stall"` // or when the server says nothing to the client's latest for this long; 0: it may
	Drain time.Duration `yaml:"drain"` // or this long after its server or the node is told to drain; 30 s
}

// tunnel is a route ready for use, with what was not given filled in.
func (r *Route) tunnel(path string) (tunnel.Route, error) {
	out := tunnel.Route{Host: r.Host, Port: r.Port, Service: r.Service}
	limits := []struct {
		name  string
		value time.Duration
	}{{"idle", r.Idle}, {"total", r.Total}, {"stall", r.Stall}, {"drain", r.Drain}}
	for _, l := range limits {
		most := 24 * time.Hour
		if l.name == "drain" {
			most = time.Minute // a process that is told to end waits no longer for anything
		}
		if l.value < 0 || l.value > most {
			return out, &FieldError{path + l.name, fmt.Sprintf("%s is outside 0 to %s", l.value, most)}
		}
		if l.value > 0 && r.Kind != "opaque" {
			return out, &FieldError{path + l.name, "is for opaque routes only"}
		}
	}
	switch r.Kind {
	case "", "http":
		if r.Class != "" {
			return out, &FieldError{path + "class", "is for opaque routes only: each request names its own"}
		}
		return out, nil
	case "opaque":
	default:
		return out, &FieldError{path + "kind", fmt.Sprintf("%q is neither http nor opaque", r.Kind)}
	}
	if r.Class == "" {
		return out, &FieldError{path + "class", "missing: an opaque tunnel is a request of some class"}
	}
	out.Opaque, out.Class = true, r.Class
	out.Limits = message.Limits{Idle: r.Idle, Total: r.Total, Stall: r.Stall, Drain: r.Drain}
	for _, d := range []struct {
		value *time.Duration
		usual time.Duration
	}{{&out.Limits.Idle, time.Minute}, {&out.Limits.Total, time.Hour}, {&out.Limits.Drain, 30 * time.Second}} {
		if *d.value == 0 {
			*d.value = d.usual
		}
	}
	return out, nil
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
		w, err := t.Proxies[i].way(fmt.Sprintf("tunnels.proxies[%d].", i))
		if err != nil {
			return nil, err
		}
		ways = append(ways, w)
	}
	return ways, nil
}

func (p *Proxy) way(path string) (Way, error) {
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
		d, err := hex.DecodeString(u.Password)
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
		r, err := t.Routes[i].tunnel(fmt.Sprintf("tunnels.routes[%d].", i))
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
	Name    string  `yaml:"name"`
	Classes []Class `yaml:"classes"`
}

// Class names a class, and what repeating it does where the file is to be checked for that: safe, keyed or unsafe.
type Class struct {
	Name   string `yaml:"name"`
	Effect string `yaml:"effect"`
}

// Contract says who may call what, at what rate, and within what budget. Figures are for all nodes together; nought or
// nothing means no bound, but for work.guaranteed.
type Contract struct {
	Name        string    `yaml:"name"`
	Match       []Match   `yaml:"match"`    // any of them; none: for whoever no other contract is for
	Services    []string  `yaml:"services"` // none: all classes
	Rate        float64   `yaml:"rate"`     // requests a second
	Burst       float64   `yaml:"burst"`    // and how many at once; a second's rate where it is not given
	InFlight    int       `yaml:"in_flight"`
	Bandwidth   float64   `yaml:"bandwidth"` // bytes a second through opaque tunnels, both ways together
	Attempts    *Attempts `yaml:"attempts"`
	Retries     []string  `yaml:"retries"` // classes that may be sent more than once; not given: as each class allows
	Work        Work      `yaml:"work"`
	Criticality string    `yaml:"criticality"` // critical, high, normal or sheddable
	Weight      *float64  `yaml:"weight"`      // of its part in what others leave unused; 1
	Lends       *float64  `yaml:"lends"`       // part of its unused guarantee that others may have; 1
}

// Match is one way to be known. All that is given must hold.
type Match struct {
	Tenant string `yaml:"tenant"`
	Header string `yaml:"header"` // Name: value
	From   string `yaml:"from"`   // address or CIDR range
	Token  string `yaml:"token_sha256"`
}

// Attempts bounds further attempts and clients' marked repeats together.
type Attempts struct {
	Ratio  float64       `yaml:"ratio"`  // as a part of first tries
	Window time.Duration `yaml:"window"` // over which both are counted; 10 s
	Floor  float64       `yaml:"floor"`  // and so many a second in any case
}

// Work is in server-seconds a second: about how many requests it keeps at servers.
type Work struct {
	Guaranteed float64 `yaml:"guaranteed"`
	Limit      float64 `yaml:"limit"`
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
	f.lined = strings.HasSuffix(string(text), "\n")
	f.marked = strings.HasSuffix(strings.TrimRight(string(text), "\r\n"), "\n...")
	return f, nil
}

func (f *File) check() error {
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

// Compile makes the table of contracts. Effects are those of the classes that the node serves, by name; with none, what
// the file says itself is used. It returns nil where the file has no contracts. An error is a *FieldError.
func Compile(f *File, effects map[string]string) (*contract.Table, error) {
	known := map[string]string{}
	services := map[string][]string{}
	for i, s := range f.Services {
		p := fmt.Sprintf("services[%d].", i)
		if _, dup := services[s.Name]; dup || s.Name == "" {
			return nil, &FieldError{p + "name", fmt.Sprintf("%q is missing or used twice", s.Name)}
		}
		services[s.Name] = nil
		for k, c := range s.Classes {
			p := fmt.Sprintf("%sclasses[%d].", p, k)
			if c.Name == "" {
				return nil, &FieldError{p + "name", "missing"}
			}
			if c.Effect != "" && c.Effect != "safe" && c.Effect != "keyed" && c.Effect != "unsafe" {
				return nil, &FieldError{p + "effect", fmt.Sprintf("%q is none of safe, keyed, unsafe", c.Effect)}
			}
			if e, ok := effects[c.Name]; ok && c.Effect != "" && e != c.Effect {
				return nil, &FieldError{p + "effect", fmt.Sprintf("%s, but the node's settings say that %s is %s", c.Effect, c.Name, e)}
			}
			if c.Effect != "" {
				known[c.Name] = c.Effect
			}
			services[s.Name] = append(services[s.Name], c.Name)
		}
	}
	for name, e := range effects {
		known[name] = e
	}
	if f.Parts != "" && f.Parts != "seen" && f.Parts != "even" {
		return nil, &FieldError{"parts", fmt.Sprintf("%q is neither seen nor even", f.Parts)}
	}
	if len(f.Contracts) == 0 {
		return nil, nil
	}
	var terms []contract.Terms
	for i := range f.Contracts {
		t, err := f.Contracts[i].terms(fmt.Sprintf("contracts[%d].", i), services, known)
		if err != nil {
			return nil, err
		}
		terms = append(terms, t)
	}
	table, err := contract.NewTable(terms)
	if err != nil {
		field, why, _ := strings.Cut(err.Error(), ": ")
		return nil, &FieldError{field, why}
	}
	table.EvenParts = f.Parts == "even"
	return table, nil
}

func (c *Contract) terms(path string, services map[string][]string, effects map[string]string) (contract.Terms, error) {
	bad := func(field, why string, args ...any) (contract.Terms, error) {
		return contract.Terms{}, &FieldError{path + field, fmt.Sprintf(why, args...)}
	}
	t := contract.Terms{Name: c.Name, Rate: c.Rate, Burst: c.Burst, InFlight: c.InFlight, Guaranteed: c.Work.Guaranteed,
		Limit: c.Work.Limit, Bandwidth: c.Bandwidth, Weight: 1, Lends: 1, Criticality: contract.Normal}
	if t.Rate > 0 && t.Burst == 0 {
		t.Burst = max(1, t.Rate)
	}
	if c.Weight != nil {
		t.Weight = *c.Weight
	}
	if c.Lends != nil {
		t.Lends = *c.Lends
	}
	if c.Criticality != "" {
		rank, ok := contract.Criticalities[c.Criticality]
		if !ok {
			return bad("criticality", "%q is none of critical, high, normal, sheddable", c.Criticality)
		}
		t.Criticality = rank
	}
	if a := c.Attempts; a != nil {
		t.Bounded, t.Ratio, t.Window, t.Floor = true, a.Ratio, a.Window, a.Floor
		if t.Window == 0 {
			t.Window = 10 * time.Second
		}
	}
	for i, name := range c.Services {
		classes, ok := services[name]
		if !ok {
			return bad(fmt.Sprintf("services[%d]", i), "%q is no service of this file", name)
		}
		if t.Classes == nil {
			t.Classes = map[string]bool{}
		}
		for _, class := range classes {
			t.Classes[class] = true
		}
	}
	if c.Retries != nil {
		t.Retries = map[string]bool{}
	}
	for i, class := range c.Retries {
		field := fmt.Sprintf("retries[%d]", i)
		switch {
		case effects[class] == "unsafe":
			return bad(field, "contract %q allows retries of class %q, which is unsafe: it must never run twice", c.Name, class)
		case t.Classes != nil && !t.Classes[class]:
			return bad(field, "contract %q allows retries of class %q, which none of its services has", c.Name, class)
		}
		t.Retries[class] = true
	}
	for i, m := range c.Match {
		p := fmt.Sprintf("match[%d]", i)
		out := contract.Match{Tenant: m.Tenant}
		if m == (Match{}) {
			return bad(p, "is empty; a contract for everybody else has no match at all")
		}
		if m.Header != "" {
			name, value, ok := strings.Cut(m.Header, ":")
			if out.Header, out.Value = http.CanonicalHeaderKey(strings.TrimSpace(name)), strings.TrimSpace(value); !ok || out.Value == "" || out.Header == "" {
				return bad(p+".header", "%q is not of the form Name: value", m.Header)
			}
		}
		if m.From != "" {
			prefix, err := netip.ParsePrefix(m.From)
			if err != nil {
				addr, e := netip.ParseAddr(m.From)
				if e != nil {
					return bad(p+".from", "%q is neither an address nor a range", m.From)
				}
				prefix = netip.PrefixFrom(addr, addr.BitLen())
			}
			out.From = prefix.Masked()
		}
		if m.Token != "" {
			d, err := hex.DecodeString(m.Token)
			if err != nil || len(d) != len(out.Token) {
				return bad(p+".token_sha256", "not the 64 hex digits of a SHA-256")
			}
			copy(out.Token[:], d)
		}
		t.Matches = append(t.Matches, out)
	}
	if field, why := t.Check(); field != "" {
		return bad(field, "%s", why)
	}
	return t, nil
}
