// Package catalog is what resources mean: it decodes them, checks a delta whole against what is in force, and tells what the delta
// changes in the contracts, the routes and the tenants that are pinned. It costs by what a delta touches: its own resources, and the
// contracts that name a service which it changes. It is pure: no I/O, no clock. What a resource states is compiled by the code that
// the product's file goes through (package config).
package catalog

import (
	"encoding/json"
	"maps"

	"portstall/internal/cell"
	"portstall/internal/config"
	"portstall/internal/contract"
	"portstall/internal/front/tunnel"
	"portstall/internal/resource"
)

// Options are what a node has of its own, which resources must fit.
type Options struct {
	Effects map[string]string // of the classes of the node's settings, by name: safe, keyed or unsafe; nil: they are not known, and not asked for
	Cells   bool              // there are cells, to which tenants can be pinned
	Even    bool              // nodes hand out even parts of contracts
}

// Catalog is what is in force, decoded. It has one owner, and is not safe for concurrent use; but Prepare, which changes nothing, may
// run beside whoever uses what is in force.
type Catalog struct {
	options      Options
	services     map[string]*service
	contracts    map[string]*contractEntry
	routes       map[string]routeTarget     // by host:port
	tenants      map[string]struct{}        // those that are pinned
	matches      matchIndex                 // contracts by the callers that they are for
	fallback     string                     // the contract for everybody else; empty: none
	unsafeCounts map[string]int             // how many services state that a class is unsafe
	classSets    map[string]map[string]bool // of classes, shared by the contracts that name the same ones
	commits      int
}

// service is one in force, with those that name it.
type service struct {
	name       string // the one string of it
	classes    map[string]bool
	withEffect []config.Class // those whose effect is stated
	contracts  map[string]struct{}
	routes     map[string]struct{}
}

// entry is a contract in force.
type contractEntry struct {
	spec     json.RawMessage // compiled anew when a service changes
	services []string
	matches  []contract.Match // shared with the contracts' table
	retries  map[string]bool  // the same
}

// owners are contracts by the callers that they are for. Most are for a tenant alone, which takes little room by itself.
type matchIndex struct {
	byTenant map[string]string
	byMatch  map[contract.Match]string
}

func newMatchIndex(size int) matchIndex {
	return matchIndex{make(map[string]string, size), map[contract.Match]string{}}
}

func (o *matchIndex) get(m contract.Match) (name string, known bool) {
	if m == (contract.Match{Tenant: m.Tenant}) {
		name, known = o.byTenant[m.Tenant]
	} else {
		name, known = o.byMatch[m]
	}
	return name, known
}

func (o *matchIndex) set(m contract.Match, name string) {
	if m == (contract.Match{Tenant: m.Tenant}) {
		o.byTenant[m.Tenant] = name
	} else {
		o.byMatch[m] = name
	}
}

func (o *matchIndex) remove(m contract.Match) {
	if m == (contract.Match{Tenant: m.Tenant}) {
		delete(o.byTenant, m.Tenant)
	} else {
		delete(o.byMatch, m)
	}
}

// via is where a route leads.
type routeTarget struct{ service, class string } // without a class: not opaque

// setsMost bounds the sets that are kept to be shared: past it they are collected anew.
const maxClassSets = 4096

// New makes one with nothing in it.
func New(o Options) *Catalog {
	return &Catalog{options: o, services: map[string]*service{}, contracts: map[string]*contractEntry{}, routes: map[string]routeTarget{},
		tenants: map[string]struct{}{}, matches: newMatchIndex(0), unsafeCounts: map[string]int{}, classSets: map[string]map[string]bool{}}
}

// Len is the number of resources in force.
func (c *Catalog) Len() int {
	return len(c.services) + len(c.contracts) + len(c.routes) + len(c.tenants)
}

// SetEven says whether nodes hand out even parts of contracts, from the next change on.
func (c *Catalog) SetEven(even bool) { c.options.Even = even }

// Change is a delta that was checked, and what is to be changed for it.
type Change struct {
	Contracts contract.Change
	Routes    tunnel.Change
	Tenants   cell.Change

	baseCommits  int  // commits before it
	recheck      bool // it is of other settings:
	effects      map[string]string
	services     map[string]*service       // nil: gone
	contracts    map[string]*contractEntry // nil: gone
	inDelta      map[string]bool           // contracts that the delta itself names
	routes       map[string]routeTarget    // without a service: gone
	tenants      map[string]bool           // false: gone
	matches      matchIndex
	fallback     string
	unsafeCounts map[string]int
	classSets    map[string]map[string]bool
}

// Empty tells whether it changes nothing.
func (ch *Change) Empty() bool {
	return len(ch.services)+len(ch.contracts)+len(ch.routes)+len(ch.tenants) == 0 && !ch.recheck
}

// Commit notes that a change is in force. It is the one that was prepared last, and is committed once; a change that was prepared
// before another's commit is a fault of the caller and panics.
func (c *Catalog) Commit(ch *Change) {
	if ch.baseCommits != c.commits {
		panic("catalog: a change is committed twice, or after another one than it was prepared for")
	}
	c.commits++
	if ch.recheck {
		c.options.Effects = ch.effects
	}
	for name, n := range ch.unsafeCounts {
		if c.unsafeCounts[name] += n; c.unsafeCounts[name] == 0 {
			delete(c.unsafeCounts, name)
		}
	}
	for name, s := range ch.services {
		if s == nil {
			delete(c.services, name)
			continue
		}
		s.contracts, s.routes = map[string]struct{}{}, map[string]struct{}{}
		if old := c.services[name]; old != nil {
			s.contracts, s.routes = old.contracts, old.routes
		}
		c.services[name] = s
	}
	for name := range ch.contracts {
		if old := c.contracts[name]; old != nil {
			for _, s := range old.services {
				if s := c.services[s]; s != nil {
					delete(s.contracts, name)
				}
			}
			for _, m := range old.matches {
				c.matches.remove(m)
			}
		}
	}
	for name, e := range ch.contracts {
		if e == nil {
			delete(c.contracts, name)
			continue
		}
		c.contracts[name] = e
		for _, s := range e.services {
			c.services[s].contracts[name] = struct{}{}
		}
		for _, m := range e.matches {
			c.matches.set(m, name)
		}
	}
	c.fallback = ch.fallback
	for name, v := range ch.routes {
		if old, known := c.routes[name]; known {
			if s := c.services[old.service]; s != nil {
				delete(s.routes, name)
			}
		}
		if v.service == "" {
			delete(c.routes, name)
			continue
		}
		c.routes[name] = v
		c.services[v.service].routes[name] = struct{}{}
	}
	for name, pinned := range ch.tenants {
		if pinned {
			c.tenants[name] = struct{}{}
		} else {
			delete(c.tenants, name)
		}
	}
	if len(c.classSets)+len(ch.classSets) > maxClassSets {
		clear(c.classSets)
	}
	maps.Copy(c.classSets, ch.classSets)
}

// Recheck checks what is in force against other effects of the node's classes (Options.Effects). The change is to be committed like one
// of a delta. An error is a *resource.Refusal of the first resource, by kind and name, that does not fit them; the ones before stay.
// It costs by what there is.
func (c *Catalog) Recheck(effects map[string]string) (*Change, error) {
	ch := c.newChange()
	ch.recheck, ch.effects = true, effects
	now := *c
	now.options.Effects = ch.effects
	for _, name := range sortedKeys(c.contracts) {
		for class := range c.contracts[name].retries {
			if now.isUnsafe(ch, class) {
				return nil, refuse(resource.Key{Kind: resource.Contract, Name: name}, "retries", "allows retries of class %q, which is unsafe: it must never run twice", class)
			}
		}
	}
	for _, name := range sortedKeys(c.routes) {
		if err := now.checkClass(name, c.routes[name]); err != nil {
			return nil, err
		}
	}
	for _, name := range sortedKeys(c.services) {
		s := config.Service{Name: name, Classes: c.services[name].withEffect}
		if err := s.Check("", ch.effects); err != nil {
			return nil, refusalOf(resource.Key{Kind: resource.Service, Name: name}, err)
		}
	}
	return ch, nil
}
