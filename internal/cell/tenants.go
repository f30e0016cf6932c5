package cell

import (
	"cmp"
	"slices"
)

// Change is what becomes of tenants that are pinned. It costs by what is in it, not by how many there are.
type Change struct {
	Put  []Tenant // new ones, or what is stated now of those that are there; checked (Tenant.Check)
	Gone []string // names; such a tenant is pinned no more. One that is not is of no interest
}

// Apply puts a change in force. The subsets of other tenants stay, as does what is known of servers and keys: what a key of a tenant
// was sent to is remembered, also while it is pinned no more.
func (p *Placer) Apply(c *Change) {
	for _, name := range c.Gone {
		p.unpin(name)
	}
	for _, t := range c.Put {
		p.unpin(t.Name)
		p.tenants[t.Name] = &t
	}
}

// Tenants are those that are pinned, in the order of their names, as Terms has them: for other terms under which they are to stay.
func (p *Placer) Tenants() []Tenant {
	out := make([]Tenant, 0, len(p.tenants))
	for _, t := range p.tenants {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// unpin takes a pinned tenant's terms away, and with them the subsets that go by its lists of pods. Those by a key's home, or by no
// list, do not depend on its terms.
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
		for _, also := range lists {
			delete(p.subsets, subsetKey{tenant: name, pods: pods, newPods: also})
		}
	}
}
