// Package catalog implements the meaning of resources: it decodes them, checks a complete delta against what is in force, and
// returns what the delta changes in the contracts, the routes and the pinned tenants. The cost of a delta depends on what it
// touches: its own resources, and the contracts that name a service it changes. The package is pure: no I/O, no clock. Specs are
// compiled by the same code as the product's file (package config).
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

// Options are the node's own settings, which resources must fit.
type Options struct {
	// Effects has the effects of the classes in the node's settings, by name: safe, keyed or unsafe. If it is nil, they are
	// unknown and not checked.
	Effects    map[string]string
	Cells      bool // there are cells, to which tenants can be pinned
	EvenShares bool // each node gets an even share of contracts
}

// Catalog holds the decoded resources that are in force. It has one owner and is not safe for concurrent use, except that
// Prepare, which changes nothing, may run concurrently with readers.
type Catalog struct {
	options      Options
	services     map[string]*service
	contracts    map[string]*contractEntry
	routes       map[string]routeTarget     // by host:port
	tenants      map[string]struct{}        // the pinned ones
	matches      matchIndex                 // contracts by the callers they apply to
	fallback     string                     // the contract for all other callers; empty: none
	unsafeCounts map[string]int             // how many services declare a class unsafe, by class
	classSets    map[string]map[string]bool // sets of classes, shared by the contracts that name the same ones
	commits      int                        // changes committed so far
}

// service is a service in force or prepared, with the resources that name it.
type service struct {
	name       string // the one copy of the string, shared with the contracts and routes that name the service
	classes    map[string]bool
	withEffect []config.Class // the classes whose effect is declared
	contracts  map[string]struct{}
	routes     map[string]struct{}
}

// contractEntry is a contract in force or prepared.
type contractEntry struct {
	spec     json.RawMessage // compiled again when a service changes
	services []string
	matches  []contract.Match // shared with the contracts' table
	retries  map[string]bool  // shared with the contracts' table
}

// matchIndex indexes contracts by the callers they apply to. Most contracts are for one tenant alone, and have a map of their
// own that needs little memory.
type matchIndex struct {
	byTenant map[string]string
	byMatch  map[contract.Match]string
}

// newMatchIndex returns an empty index with capacity for contracts of one tenant.
func newMatchIndex(size int) matchIndex {
	return matchIndex{make(map[string]string, size), map[contract.Match]string{}}
}

// get returns the contract of a match.
func (i *matchIndex) get(m contract.Match) (name string, known bool) {
	if m == (contract.Match{Tenant: m.Tenant}) {
		name, known = i.byTenant[m.Tenant]
	} else {
		name, known = i.byMatch[m]
	}
	return name, known
}

// set sets the contract of a match.
func (i *matchIndex) set(m contract.Match, name string) {
	if m == (contract.Match{Tenant: m.Tenant}) {
		i.byTenant[m.Tenant] = name
	} else {
		i.byMatch[m] = name
	}
}

// remove removes a match.
func (i *matchIndex) remove(m contract.Match) {
	if m == (contract.Match{Tenant: m.Tenant}) {
		delete(i.byTenant, m.Tenant)
	} else {
		delete(i.byMatch, m)
	}
}

// routeTarget is the destination of a route. Only an opaque route has a class.
type routeTarget struct{ service, class string }

// maxClassSets bounds the shared sets of classes. Past it the sets are discarded and collected again.
const maxClassSets = 4096

// New returns an empty catalog.
func New(o Options) *Catalog {
	return &Catalog{options: o, services: map[string]*service{}, contracts: map[string]*contractEntry{}, routes: map[string]routeTarget{},
		tenants: map[string]struct{}{}, matches: newMatchIndex(0), unsafeCounts: map[string]int{}, classSets: map[string]map[string]bool{}}
}

// Len returns the number of resources in force.
func (c *Catalog) Len() int {
	return len(c.services) + len(c.contracts) + len(c.routes) + len(c.tenants)
}

// SetEvenShares sets whether each node gets an even share of contracts, from the next change on.
func (c *Catalog) SetEvenShares(even bool) { c.options.EvenShares = even }

// Change is a checked delta and the changes it causes. It is valid until another change is committed.
type Change struct {
	Contracts contract.Change
	Routes    tunnel.Change
	Tenants   cell.Change

	baseCommits  int                       // commits of the catalog when the change was prepared
	recheck      bool                      // a check against other effects
	effects      map[string]string         // the other effects, for a recheck
	services     map[string]*service       // nil: removed
	contracts    map[string]*contractEntry // nil: removed
	inDelta      map[string]bool           // contracts that the delta itself names
	routes       map[string]routeTarget    // without a service: removed
	tenants      map[string]bool           // false: removed
	matches      matchIndex
	fallback     string
	unsafeCounts map[string]int
	classSets    map[string]map[string]bool
}

// Empty reports whether the change changes nothing.
func (ch *Change) Empty() bool {
	return len(ch.services)+len(ch.contracts)+len(ch.routes)+len(ch.tenants) == 0 && !ch.recheck
}

// Commit records that a change is in force. It must be the last one that was prepared, and may be committed once. A change that
// was prepared before another one was committed is a programming error and causes a panic.
func (c *Catalog) Commit(ch *Change) {
	if ch.baseCommits != c.commits {
		panic("catalog: a change is committed twice, or was prepared before another commit")
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

// Recheck checks what is in force against other effects of the node's classes (Options.Effects). The returned change is to be
// committed like that of a delta. An error is a *resource.Refusal of the first resource, by kind and name, that does not fit, and
// then the old effects stay in force. The cost depends on the number of resources.
func (c *Catalog) Recheck(effects map[string]string) (*Change, error) {
	ch := c.newChange()
	ch.recheck, ch.effects = true, effects
	candidate := *c
	candidate.options.Effects = ch.effects
	for _, name := range sortedKeys(c.contracts) {
		for class := range c.contracts[name].retries {
			if candidate.isUnsafe(ch, class) {
				return nil, refuse(resource.Key{Kind: resource.Contract, Name: name}, "retries", "allows retries of class %q, which is unsafe: it must never run twice", class)
			}
		}
	}
	for _, name := range sortedKeys(c.routes) {
		if err := candidate.checkClass(name, c.routes[name]); err != nil {
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
