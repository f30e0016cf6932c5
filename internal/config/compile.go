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

// The functions here that compile one item of the file also compile the resources of package resource/catalog, so that
// both have the same rules.

// Compile returns the pinned tenant ready for use, with defaults filled in. Path is the prefix of field names in
// errors, which are *FieldError.
func (v *PinnedTenant) Compile(path string) (cell.Tenant, error) {
	out := cell.Tenant{Name: v.Tenant, Pods: v.Pods}
	for i, m := range v.Moves {
		if m.Start.IsZero() {
			return out, &FieldError{fmt.Sprintf("%smoves[%d].start", path, i), "missing"}
		}
		move := cell.Move{To: m.To, Start: unixTime(m.Start), Prepare: m.Prepare, Both: m.Both, Stop: unixTime(m.Stop), Back: unixTime(m.Back)}
		if move.Prepare == 0 {
			move.Prepare = cell.MinPrepare
		}
		if len(m.Keys) > 0 {
			if len(m.Keys) != 2 {
				return out, &FieldError{fmt.Sprintf("%smoves[%d].keys", path, i), "is not of the form [from, below]"}
			}
			move.KeyFrom, move.KeyBelow = m.Keys[0], m.Keys[1]
		}
		out.Moves = append(out.Moves, move)
	}
	if field, reason := out.Check(); field != "" {
		return out, &FieldError{path + field, reason}
	}
	return out, nil
}

// unixTime returns the time since the Unix epoch, 0 for the zero time.
func unixTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Duration(t.UnixNano())
}

// Compile returns the route ready for use, with defaults filled in. Path is the prefix of field names in errors, which
// are *FieldError. Host and port are checked by tunnel.Route.Check. Whether its service and class exist is not checked.
func (r *Route) Compile(path string) (tunnel.Route, error) {
	out := tunnel.Route{Host: r.Host, Port: r.Port, Service: r.Service}
	limits := []struct {
		name  string
		value time.Duration
	}{{"idle", r.Idle}, {"total", r.Total}, {"stall", r.Stall}, {"drain", r.Drain}}
	for _, l := range limits {
		maximum := 24 * time.Hour
		if l.name == "drain" {
			maximum = time.Minute // the longest time for which a stopping process waits
		}
		if l.value < 0 || l.value > maximum {
			return out, &FieldError{path + l.name, fmt.Sprintf("%s is outside 0 to %s", l.value, maximum)}
		}
		if l.value > 0 && r.Kind != "opaque" {
			return out, &FieldError{path + l.name, "is for opaque routes only"}
		}
	}
	switch r.Kind {
	case "", "http":
		if r.Class != "" {
			return out, &FieldError{path + "class", "is for opaque routes only: elsewhere each request names its class"}
		}
		return out, nil
	case "opaque":
	default:
		return out, &FieldError{path + "kind", fmt.Sprintf("%q is neither http nor opaque", r.Kind)}
	}
	if r.Class == "" {
		return out, &FieldError{path + "class", "missing: an opaque tunnel counts as a request of a class"}
	}
	out.Opaque, out.Class = true, r.Class
	out.Limits = message.TunnelLimits{Idle: r.Idle, Total: r.Total, Stall: r.Stall, Drain: r.Drain}
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{{&out.Limits.Idle, time.Minute}, {&out.Limits.Total, time.Hour}, {&out.Limits.Drain, 30 * time.Second}} {
		if *d.value == 0 {
			*d.value = d.defaultValue
		}
	}
	return out, nil
}

// Compile checks the services and returns the table of contracts, nil where the file has no contracts. Effects are
// those of the classes that the node serves, by name; for classes that are not among them the effects in the file are
// used. An error is a *FieldError.
func Compile(f *File, effects map[string]string) (*contract.Table, error) {
	allEffects := map[string]string{}
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
		services[s.Name] = s.ClassSet()
		for _, c := range s.Classes {
			if c.Effect != "" {
				allEffects[c.Name] = c.Effect
			}
		}
	}
	for name, e := range effects {
		allEffects[name] = e
	}
	if f.Parts != "" && f.Parts != "seen" && f.Parts != "even" {
		return nil, &FieldError{"parts", fmt.Sprintf("%q is neither seen nor even", f.Parts)}
	}
	if len(f.Contracts) == 0 {
		return nil, nil
	}
	scope := Scope{
		Classes: func(service string) (map[string]bool, bool) { c, ok := services[service]; return c, ok },
		Unsafe:  func(class string) bool { return allEffects[class] == "unsafe" },
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
		field, reason, _ := strings.Cut(err.Error(), ": ")
		return nil, &FieldError{field, reason}
	}
	table.EvenShares = f.Parts == "even"
	return table, nil
}

// Check checks a service's classes. Their effects must agree with those of the classes that the node serves, given by
// name. Path is the prefix of field names in errors, which are *FieldError.
func (s *Service) Check(path string, effects map[string]string) error {
	for i, c := range s.Classes {
		p := fmt.Sprintf("%sclasses[%d].", path, i)
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

// ClassSet returns the names of the service's classes as a set.
func (s *Service) ClassSet() map[string]bool {
	set := make(map[string]bool, len(s.Classes))
	for _, c := range s.Classes {
		set[c.Name] = true
	}
	return set
}

// Scope holds what contracts refer to.
type Scope struct {
	// Classes returns the classes of a service, and whether the service exists. Contracts share the map, so it must not
	// be changed.
	Classes func(service string) (classes map[string]bool, known bool)
	// Unsafe reports whether requests of a class must never run twice.
	Unsafe func(class string) bool
	// Where ends the error about an unknown service, as in "of this file".
	Where string
}

// Terms returns the terms of the contract, ready for use, with defaults filled in. Path is the prefix of field names in
// errors, which are *FieldError. Contracts that name only one service share the map of its classes.
func (c *Contract) Terms(path string, in *Scope) (contract.Terms, error) {
	fail := func(field, format string, args ...any) (contract.Terms, error) {
		return contract.Terms{}, &FieldError{path + field, fmt.Sprintf(format, args...)}
	}
	t := contract.Terms{Name: c.Name, Rate: c.Rate, Burst: c.Burst, InFlight: c.InFlight, Guaranteed: c.Work.Guaranteed,
		Limit: c.Work.Limit, Bandwidth: c.Bandwidth, Weight: 1, LendableShare: 1, Criticality: contract.Normal}
	if t.Rate > 0 && t.Burst == 0 {
		t.Burst = max(1, t.Rate)
	}
	if c.Weight != nil {
		t.Weight = *c.Weight
	}
	if c.Lends != nil {
		t.LendableShare = *c.Lends
	}
	if c.Criticality != "" {
		rank, ok := contract.Criticalities[c.Criticality]
		if !ok {
			return fail("criticality", "%q is none of critical, high, normal, sheddable", c.Criticality)
		}
		t.Criticality = rank
	}
	if a := c.Attempts; a != nil {
		t.RetriesBounded, t.RetryRatio, t.RetryWindow, t.RetryFloor = true, a.Ratio, a.Window, a.Floor
		if t.RetryWindow == 0 {
			t.RetryWindow = 10 * time.Second
		}
	}
	for i, name := range c.Services {
		classes, ok := in.Classes(name)
		if !ok {
			return fail(fmt.Sprintf("services[%d]", i), "%q is no service %s", name, in.Where)
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
		t.RetryClasses = map[string]bool{}
	}
	for i, class := range c.Retries {
		field := fmt.Sprintf("retries[%d]", i)
		switch {
		case in.Unsafe(class):
			return fail(field, "contract %q allows retries of class %q, which is unsafe: it must never run twice", c.Name, class)
		case t.Classes != nil && !t.Classes[class]:
			return fail(field, "contract %q allows retries of class %q, which none of its services has", c.Name, class)
		}
		t.RetryClasses[class] = true
	}
	for i, m := range c.Match {
		p := fmt.Sprintf("match[%d]", i)
		out := contract.Match{Tenant: m.Tenant}
		if m == (Match{}) {
			return fail(p, "is empty; a contract for everybody else must have no match")
		}
		if m.Header != "" {
			name, value, ok := strings.Cut(m.Header, ":")
			if out.Header, out.Value = http.CanonicalHeaderKey(strings.TrimSpace(name)), strings.TrimSpace(value); !ok || out.Value == "" || out.Header == "" {
				return fail(p+".header", "%q is not of the form Name: value", m.Header)
			}
		}
		if m.From != "" {
			prefix, err := netip.ParsePrefix(m.From)
			if err != nil {
				addr, e := netip.ParseAddr(m.From)
				if e != nil {
					return fail(p+".from", "%q is neither an address nor a range", m.From)
				}
				prefix = netip.PrefixFrom(addr, addr.BitLen())
			}
			out.From = prefix.Masked()
		}
		if m.Token != "" {
			digest, err := hex.DecodeString(m.Token)
			if err != nil || len(digest) != len(out.Token) {
				return fail(p+".token_sha256", "is not the 64 hex digits of a SHA-256")
			}
			copy(out.Token[:], digest)
		}
		t.Matches = append(t.Matches, out)
	}
	if field, reason := t.Check(); field != "" {
		return fail(field, "%s", reason)
	}
	return t, nil
}
