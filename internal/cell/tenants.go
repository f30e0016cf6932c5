package cell

import (
	"cmp"
	"slices"
)

// Change is a change of the pinned tenants. Applying it takes time that depends on its size, not on the number of
// tenants.
type Change struct {
	Put     []Tenant // tenants that are new or have changed; checked by Tenant.Check
	Removed []string // names of tenants that are not pinned any more; names that are not pinned are ignored
}

// Apply applies a change. The subsets of other tenants stay cached, and the known servers and keys stay: where a
// tenant's keys were sent remains recorded also while the tenant is not pinned.
func (p *Placer) Apply(c *Change) {
	for _, name := range c.Removed {
		p.unpin(name)
	}
	for _, t := range c.Put {
		p.unpin(t.Name)
		p.tenants[t.Name] = &t
	}
}

// Tenants returns the pinned tenants in the order of their names, in the form of Settings.Tenants, for new settings
// that keep them.
func (p *Placer) Tenants() []Tenant {
	out := make([]Tenant, 0, len(p.tenants))
	for _, t := range p.tenants {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// unpin removes a pinned tenant, and the cached subsets that depend on its lists of pods. Subsets by a key's home, or
// without a list of pods, do not depend on the tenant's settings.
func (p *Placer) unpin(name string) {
	t := p.tenants[name]
	if t == nil {
		return
	}
	delete(p.tenants, name)
	lists := []*int64{nil, &t.Pods[0]}
	for i := range t.Moves {
		lists = append(lists, &t.Moves[i].To[0])
	}
	if len(lists)*len(lists) > len(p.subsets) {
		for s := range p.subsets {
			if s.tenant == name && s.pods != nil {
				delete(p.subsets, s)
			}
		}
		return
	}
	for _, pods := range lists[1:] {
		for _, newPods := range lists {
			delete(p.subsets, subsetKey{tenant: name, pods: pods, newPods: newPods})
		}
	}
}
