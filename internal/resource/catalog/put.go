package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/internal/resource"
)

// This file has the meaning of each kind of resource: it is decoded, checked against the other resources, and added to a change.

// countUnsafe adds n for each class that a service declares unsafe.
func (ch *Change) countUnsafe(s *service, n int) {
	for _, class := range s.withEffect {
		if class.Effect == "unsafe" {
			ch.unsafeCounts[class.Name] += n
		}
	}
}

// putService adds a service to a change.
func (c *Catalog) putService(ch *Change, r *resource.Resource) error {
	var spec config.Service
	if err := decode(r, &spec); err != nil {
		return err
	}
	if spec.Name != r.Name {
		return refuse(r.Key, "name", "%q is not the name of the resource", spec.Name)
	}
	if err := spec.Check("", c.options.Effects); err != nil {
		return refusalOf(r.Key, err)
	}
	s := &service{name: r.Name, classes: spec.ClassSet()}
	for _, class := range spec.Classes {
		if class.Effect != "" {
			s.withEffect = append(s.withEffect, class)
		}
	}
	if old := c.services[r.Name]; old != nil {
		ch.countUnsafe(old, -1)
		if maps.Equal(old.classes, s.classes) {
			s.classes = old.classes // the set shared by its contracts
		}
	}
	ch.countUnsafe(s, 1)
	ch.services[r.Name] = s
	return nil
}

// putContract adds a contract to a change.
func (c *Catalog) putContract(ch *Change, r *resource.Resource, scope *config.Scope) error {
	t, e, err := c.compile(ch, r.Key, r.Spec, scope)
	if err != nil {
		return err
	}
	if len(t.Matches) == 0 {
		if ch.fallback != "" {
			return refuse(r.Key, "match", "contract %q is for everybody else already", ch.fallback)
		}
		ch.fallback = t.Name
	}
	for k, m := range t.Matches {
		other, dup := c.matches.get(m)
		if dup = dup && !ch.inDelta[other]; !dup {
			other, dup = ch.matches.get(m)
		}
		if dup && other != t.Name {
			return refuse(r.Key, fmt.Sprintf("match[%d]", k), "contract %q is for the same callers", other)
		}
		ch.matches.set(m, t.Name)
	}
	ch.contracts[t.Name] = e
	ch.Contracts.Put = append(ch.Contracts.Put, t)
	return nil
}

// compile makes the terms of a contract. They share strings and sets of classes with those of other contracts.
func (c *Catalog) compile(ch *Change, k resource.Key, text json.RawMessage, scope *config.Scope) (t contract.Terms, e *contractEntry, err error) {
	var spec config.Contract
	if err := decode(&resource.Resource{Key: k, Spec: text}, &spec); err != nil {
		return t, nil, err
	}
	if spec.Name != k.Name {
		return t, nil, refuse(k, "name", "%q is not the name of the resource", spec.Name)
	}
	if t, err = spec.Terms("", scope); err != nil {
		return t, nil, refusalOf(k, err)
	}
	t.Name = k.Name // share one string among all that name the contract
	for i := range t.Matches {
		if t.Matches[i].Tenant == t.Name {
			t.Matches[i].Tenant = t.Name
		}
	}
	for i, name := range spec.Services {
		spec.Services[i] = c.serviceAfter(ch, name).name
	}
	if len(spec.Services) > 1 {
		t.Classes = c.sharedSet(ch, t.Classes)
	}
	t.RetryClasses = c.sharedSet(ch, t.RetryClasses)
	return t, &contractEntry{text, spec.Services, t.Matches, t.RetryClasses}, nil
}

// sharedSet returns the stored set of the same classes, or else stores this one.
func (c *Catalog) sharedSet(ch *Change, set map[string]bool) map[string]bool {
	if set == nil {
		return nil
	}
	key := strings.Join(slices.Sorted(maps.Keys(set)), "\x00")
	if stored, known := c.classSets[key]; known {
		return stored
	}
	if stored, known := ch.classSets[key]; known {
		return stored
	}
	ch.classSets[key] = set
	return set
}

// putRoute adds a route to a change.
func (c *Catalog) putRoute(ch *Change, r *resource.Resource) error {
	var spec config.Route
	if err := decode(r, &spec); err != nil {
		return err
	}
	ready, err := readyRoute(&spec, "")
	if err != nil {
		return refusalOf(r.Key, err)
	}
	if name := ready.Name(); name != r.Name {
		return refuse(r.Key, "host", "%q is not the name of the resource", name)
	}
	s := c.serviceAfter(ch, spec.Service)
	if s == nil {
		return refuse(r.Key, "service", "%q is no service here", spec.Service)
	}
	ready.Service = s.name
	v := routeTarget{s.name, ready.Class}
	if err := c.checkClass(r.Name, v); err != nil {
		return err
	}
	ch.routes[r.Name] = v
	ch.Routes.Put = append(ch.Routes.Put, ready)
	return nil
}

// checkClass checks that an opaque route's class is one of the node's classes.
func (c *Catalog) checkClass(name string, v routeTarget) error {
	if _, known := c.options.Effects[v.class]; v.class != "" && c.options.Effects != nil && !known {
		return refuse(resource.Key{Kind: resource.Route, Name: name}, "class", "%q is no class of the node's settings", v.class)
	}
	return nil
}

// putTenant adds a pinned tenant to a change.
func (c *Catalog) putTenant(ch *Change, r *resource.Resource) error {
	if !c.options.Cells {
		return refuse(r.Key, "", "is pinned to pods, but there are no cells here")
	}
	var spec config.PinnedTenant
	if err := decode(r, &spec); err != nil {
		return err
	}
	if spec.Tenant != r.Name {
		return refuse(r.Key, "tenant", "%q is not the name of the resource", spec.Tenant)
	}
	t, err := spec.Compile("")
	if err != nil {
		return refusalOf(r.Key, err)
	}
	ch.tenants[r.Name] = true
	ch.Tenants.Put = append(ch.Tenants.Put, t)
	return nil
}
