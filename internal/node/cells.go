package node

import (
	"strconv"

	"portstall/internal/cell"
	"portstall/internal/core"
)

// tenantsMost bounds how many tenants' cells are remembered. Past it all are worked out anew, as after a change of the list.
const tenantsMost = 10000

// cells are the subsets of the web servers that tenants have. Guarded by the core's lock.
type cells struct {
	now *cell.Map           // nil: there are none
	of  map[string][]uint32 // by tenant, in the policy's numbers
}

// changed takes in what the list tells of a web server. One that drains, or has left, is no member any more.
func (c *cells) changed(b *backend) {
	if c.now == nil {
		return
	}
	if b.left || b.Stop.Load() != 0 {
		c.now.Remove(b.ID)
	} else {
		c.now.Set(cell.Server{ID: b.ID, Zone: b.entry.Zone, Pod: b.entry.Cell})
	}
	c.of = nil // numbers may have changed too
}

// Among makes the node a core.Roster: the cell of a request's tenant.
func (n *node) Among(r *core.Request) []uint32 {
	c := &n.cells
	if c.now == nil {
		return nil
	}
	if c.of == nil || len(c.of) >= tenantsMost {
		c.of = map[string][]uint32{}
	}
	among, known := c.of[r.Tenant]
	if !known {
		among = []uint32{} // none is not all
		for _, s := range c.now.Subset(r.Tenant) {
			if b := n.names[s.ID]; b != nil {
				among = append(among, b.number)
			}
		}
		c.of[r.Tenant] = among
	}
	return among
}

// Cell tells operators where a tenant is placed.
type Cell struct {
	Version string   `json:"version"` // alike at all nodes that place alike
	Tenant  string   `json:"tenant"`
	Servers []string `json:"servers"`
	Shared  float64  `json:"chance_that_another_has_the_same"`
}

// cellOf is the cell of a tenant; false where there are no cells.
func (n *node) cellOf(tenant string) (Cell, bool) {
	n.core.Lock()
	defer n.core.Unlock()
	if n.cells.now == nil {
		return Cell{}, false
	}
	out := Cell{Tenant: tenant, Version: strconv.FormatUint(n.cells.now.Version(), 16), Servers: []string{}, Shared: n.cells.now.Shared()}
	for _, s := range n.cells.now.Subset(tenant) {
		out.Servers = append(out.Servers, s.ID)
	}
	return out, true
}
