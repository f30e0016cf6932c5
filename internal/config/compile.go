package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"portstall/internal/cell"
	"portstall/internal/contract"
	"portstall/internal/front/tunnel"
	"portstall/internal/message"
)

// What of the file is compiled one by one is so for resources as well (resource/catalog): one piece of code for both.

// Ready is a pinned tenant ready for use, with what was not given filled in. Path stands before fields in errors, which are *FieldError.
func (v *Pinned) Ready(path string) (cell.Tenant, error) {
	out := cell.Tenant{Name: v.Tenant, Pods: v.Pods}
	for k, m := range v.Moves {
		if m.Start.IsZero() {
			return out, &FieldError{fmt.Sprintf("%smoves[%d].start", path, k), "missing"}
		}
		move := cell.Move{To: m.To, Start: unixTime(m.Start), Prepare: m.Prepare, Both: m.Both, Stop: unixTime(m.Stop), Back: unixTime(m.Back)}
		if move.Prepare == 0 {
			move.Prepare = cell.LeastPrepare
		}
		if len(m.Keys) > 0 {
			if len(m.Keys) != 2 {
				return out, &FieldError{fmt.Sprintf("%smoves[%d].keys", path, k), "is not of the form [from, below]"}
			}
			move.From, move.Below = m.Keys[0], m.Keys[1]
		}
		out.Moves = append(out.Moves, move)
	}
	if field, why := out.Check(); field != "" {
		return out, &FieldError{path + field, why}
	}
	return out, nil
}

// unix is a time as the nodes' clocks tell it; 0 for none.
func unixTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Duration(t.UnixNano())
}

// Ready is a route ready for use, with what was not given filled in. Path stands before fields in errors, which are *FieldError. Whether
// its host and port are sound is for tunnel.Route.Check; its service and class are not looked for.
func (r *Route) Ready(path string) (tunnel.Route, error) {
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

// Compile makes the table of contracts. Effects are those of the classes that the node serves, by name; with none, what
// the file says itself is used. It returns nil where the file has no contracts. An error is a *FieldError.
func Compile(f *File, effects map[string]string) (*contract.Table, error) {
	known := map[string]string{}
	services := map[string]map[string]bool{}
	for i := range f.Services {
		s := &f.Services[i]
		p := fmt.Sprintf("services[%d].", i)
		if _, dup := services[s.Name]; dup || s.Name == "" {
			return nil, &FieldError{p + "name", fmt.Sprintf("%q is missing or used twice", s.Name)}
		}
		if err := s.Check(p, effects); err != nil {
			return nil, err
		}
		services[s.Name] = s.Set()
		for _, c := range s.Classes {
			if c.Effect != "" {
				known[c.Name] = c.Effect
			}
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
	scope := Scope{
		Classes: func(service string) (map[string]bool, bool) { c, ok := services[service]; return c, ok },
		Unsafe:  func(class string) bool { return known[class] == "unsafe" },
		Where:   "of this file",
	}
	var terms []contract.Terms
	for i := range f.Contracts {
		t, err := f.Contracts[i].Terms(fmt.Sprintf("contracts[%d].", i), &scope)
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

// Check reports what makes no sense in a service's classes, also against the effects of those that the node serves, by name. Path stands
// before fields in errors, which are *FieldError.
func (s *Service) Check(path string, effects map[string]string) error {
	for k, c := range s.Classes {
		p := fmt.Sprintf("%sclasses[%d].", path, k)
		if c.Name == "" {
			return &FieldError{p + "name", "missing"}
		}
		if c.Effect != "" && c.Effect != "safe" && c.Effect != "keyed" && c.Effect != "unsafe" {
			return &FieldError{p + "effect", fmt.Sprintf("%q is none of safe, keyed, unsafe", c.Effect)}
		}
		if e, ok := effects[c.Name]; ok && c.Effect != "" && e != c.Effect {
			return &FieldError{p + "effect", fmt.Sprintf("%s, but the node's settings say that %s is %s", c.Effect, c.Name, e)}
		}
	}
	return nil
}

// Set is the service's classes.
func (s *Service) Set() map[string]bool {
	set := make(map[string]bool, len(s.Classes))
	for _, c := range s.Classes {
		set[c.Name] = true
	}
	return set
}

// Scope is what contracts are compiled against.
type Scope struct {
	Classes func(service string) (classes map[string]bool, known bool) // shared by contracts: not to be changed
	Unsafe  func(class string) bool                                    // it must never run twice
	Where   string                                                     // services are looked for, in errors: as in "of this file"
}

// Terms is what a contract states, ready for use, with what was not given filled in. Path stands before fields in errors, which are
// *FieldError. Contracts that name one service alone share its classes.
func (c *Contract) Terms(path string, in *Scope) (contract.Terms, error) {
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
	if c.LendableShare != nil {
		t.Lends = *c.LendableShare
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
		classes, ok := in.Classes(name)
		if !ok {
			return bad(fmt.Sprintf("services[%d]", i), "%q is no service %s", name, in.Where)
		}
		if i == 0 {
			t.Classes = classes
			continue
		}
		if i == 1 {
			t.Classes = maps.Clone(t.Classes)
		}
		maps.Copy(t.Classes, classes)
	}
	if c.Retries != nil {
		t.Retries = map[string]bool{}
	}
	for i, class := range c.Retries {
		field := fmt.Sprintf("retries[%d]", i)
		switch {
		case in.Unsafe(class):
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
		if m.TokenSHA256 != "" {
			d, err := hex.DecodeString(m.TokenSHA256)
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
