package catalog

import (
	"maps"
	"slices"

	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/internal/resource"
)

// Prepare checks a complete delta against what is in force and returns what it changes. It reads Put and Removed only, so the
// caller reduces a snapshot to its differences first. A resource to be removed need not be there. Prepare changes nothing. An
// error is a *resource.Refusal that names the resource and field of one fault. The change stores the specs of contracts, which must
// not be modified afterwards.
func (c *Catalog) Prepare(d *resource.Delta) (*Change, error) {
	ch := c.newChange()
	if err := c.checkForm(ch, d); err != nil {
		return nil, err
	}
	for i := range d.Put {
		if r := &d.Put[i]; r.Kind == resource.Service {
			if err := c.putService(ch, r); err != nil {
				return nil, err
			}
		}
	}
	for _, k := range d.Removed {
		switch k.Kind {
		case resource.Service:
			if old := c.services[k.Name]; old != nil {
				ch.services[k.Name] = nil
				ch.countUnsafe(old, -1)
			}
		case resource.Contract:
			if c.contracts[k.Name] != nil {
				ch.contracts[k.Name] = nil
				ch.Contracts.Removed = append(ch.Contracts.Removed, k.Name)
			}
		case resource.Route:
			if _, known := c.routes[k.Name]; known {
				ch.routes[k.Name] = routeTarget{}
				ch.Routes.Removed = append(ch.Routes.Removed, k.Name)
			}
		case resource.Tenant:
			if _, known := c.tenants[k.Name]; known {
				ch.tenants[k.Name] = false
				ch.Tenants.Removed = append(ch.Tenants.Removed, k.Name)
			}
		}
	}
	scope := c.scope(ch)
	ch.Contracts.Put = make([]contract.Terms, 0, countKind(d, resource.Contract))
	for i := range d.Put {
		r, err := &d.Put[i], error(nil)
		switch r.Kind {
		case resource.Contract:
			err = c.putContract(ch, r, scope)
		case resource.Route:
			err = c.putRoute(ch, r)
		case resource.Tenant:
			err = c.putTenant(ch, r)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := c.recompileDependents(ch, scope); err != nil {
		return nil, err
	}
	return ch, nil
}

// newChange returns a change without content.
func (c *Catalog) newChange() *Change {
	return &Change{Contracts: contract.Change{EvenShares: c.options.EvenShares}, baseCommits: c.commits, services: map[string]*service{}, routes: map[string]routeTarget{},
		tenants: map[string]bool{}, fallback: c.fallback, unsafeCounts: map[string]int{}, classSets: map[string]map[string]bool{}}
}

// checkForm checks the form of a delta and records the contracts that it names.
func (c *Catalog) checkForm(ch *Change, d *resource.Delta) error {
	contracts := countKind(d, resource.Contract)
	ch.contracts, ch.inDelta = make(map[string]*contractEntry, contracts), make(map[string]bool, contracts+len(d.Removed))
	ch.matches = newMatchIndex(contracts)
	seen, total := make(map[resource.Key]bool, len(d.Put)+len(d.Removed)), c.Len()
	checkKey := func(k resource.Key) error {
		switch k.Kind {
		case resource.Service, resource.Contract, resource.Route, resource.Tenant:
		default:
			return refuse(k, "", "has an unknown kind")
		}
		switch {
		case k.Name == "":
			return refuse(k, "name", "missing")
		case len(k.Name) > resource.MaxName:
			k.Name = k.Name[:64]
			return refuse(k, "name", "is longer than %d bytes", resource.MaxName)
		case seen[k]:
			return refuse(k, "", "occurs twice in the delta")
		}
		seen[k] = true
		if k.Kind == resource.Contract {
			if ch.inDelta[k.Name] = true; k.Name == ch.fallback {
				ch.fallback = ""
			}
		}
		return nil
	}
	for i := range d.Put {
		r := &d.Put[i]
		if err := checkKey(r.Key); err != nil {
			return err
		}
		if len(r.Spec) > resource.MaxSpec {
			return refuse(r.Key, "", "takes %d bytes, at most %d are allowed", len(r.Spec), resource.MaxSpec)
		}
		if !c.has(r.Key) {
			total++
		}
	}
	for _, k := range d.Removed {
		if err := checkKey(k); err != nil {
			return err
		}
		if c.has(k) {
			total--
		}
	}
	if total > resource.MaxResources {
		return refuse(resource.Key{}, "", "makes %d resources, at most %d are allowed", total, resource.MaxResources)
	}
	return nil
}

// countKind returns how many resources of a kind a delta puts.
func countKind(d *resource.Delta, kind resource.Kind) (n int) {
	for i := range d.Put {
		if d.Put[i].Kind == kind {
			n++
		}
	}
	return n
}

// has reports whether a resource is in force.
func (c *Catalog) has(k resource.Key) (has bool) {
	switch k.Kind {
	case resource.Service:
		_, has = c.services[k.Name]
	case resource.Contract:
		_, has = c.contracts[k.Name]
	case resource.Route:
		_, has = c.routes[k.Name]
	case resource.Tenant:
		_, has = c.tenants[k.Name]
	}
	return has
}

// serviceAfter returns a service as it is after the change; nil: none.
func (c *Catalog) serviceAfter(ch *Change, name string) *service {
	if s, staged := ch.services[name]; staged {
		return s
	}
	return c.services[name]
}

// isUnsafe reports whether a class must never run twice after the change. The node's settings decide; for a class that they do
// not have, it is unsafe if any service declares it so.
func (c *Catalog) isUnsafe(ch *Change, class string) bool {
	if e, known := c.options.Effects[class]; known {
		return e == "unsafe"
	}
	return c.unsafeCounts[class]+ch.unsafeCounts[class] > 0
}

// scope returns what contracts are compiled against: the services and classes after the change.
func (c *Catalog) scope(ch *Change) *config.Scope {
	return &config.Scope{Where: "here",
		Classes: func(name string) (map[string]bool, bool) {
			if s := c.serviceAfter(ch, name); s != nil {
				return s.classes, true
			}
			return nil, false
		},
		Unsafe: func(class string) bool { return c.isUnsafe(ch, class) },
	}
}

// recompileDependents compiles the contracts that name a changed service, and checks those with retries of a class that becomes
// unsafe.
func (c *Catalog) recompileDependents(ch *Change, scope *config.Scope) error {
	for _, name := range sortedKeys(ch.services) {
		old, s := c.services[name], ch.services[name]
		if old == nil {
			continue
		}
		key := resource.Key{Kind: resource.Service, Name: name}
		if s == nil {
			for _, by := range sortedKeys(old.contracts) {
				if !ch.inDelta[by] {
					return refuse(key, "", "is removed, but contract %q names it", by)
				}
			}
			for _, by := range sortedKeys(old.routes) {
				if _, inDelta := ch.routes[by]; !inDelta {
					return refuse(key, "", "is removed, but route %q leads to it", by)
				}
			}
			continue
		}
		if maps.Equal(old.classes, s.classes) {
			continue
		}
		for _, by := range sortedKeys(old.contracts) {
			if _, done := ch.contracts[by]; done {
				continue
			}
			t, e, err := c.compile(ch, resource.Key{Kind: resource.Contract, Name: by}, c.contracts[by].spec, scope)
			if err != nil {
				return refuse(key, "classes", "%s", err)
			}
			ch.contracts[by] = e
			ch.Contracts.Put = append(ch.Contracts.Put, t)
		}
	}
	for _, class := range sortedKeys(ch.unsafeCounts) {
		if _, known := c.options.Effects[class]; known || c.unsafeCounts[class] > 0 || c.unsafeCounts[class]+ch.unsafeCounts[class] == 0 {
			continue
		}
		// A class that is not in the node's settings becomes unsafe. This is rare, and the only case that visits all contracts.
		for _, by := range sortedKeys(c.contracts) {
			if c.contracts[by].retries[class] && !ch.inDelta[by] {
				return refuse(c.serviceDeclaringUnsafe(ch, class), "classes", "class %q becomes unsafe, and contract %q allows retries of it", class, by)
			}
		}
	}
	return nil
}

// serviceDeclaringUnsafe returns a service of the change that declares a class unsafe.
func (c *Catalog) serviceDeclaringUnsafe(ch *Change, class string) resource.Key {
	for _, name := range sortedKeys(ch.services) {
		if s := ch.services[name]; s != nil && slices.Contains(s.withEffect, config.Class{Name: class, Effect: "unsafe"}) {
			return resource.Key{Kind: resource.Service, Name: name}
		}
	}
	return resource.Key{}
}
