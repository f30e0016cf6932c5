package node

import (
	"errors"
	"strconv"
	"time"

	"portstall/internal/cell"
	"portstall/internal/core"
	"portstall/policy"
)

// cells are the subsets of the web servers that tenants have. They make a core.Cells, and belong to the core's lock.
type cells struct {
	*cell.Placer
	node *node
}

// changed takes in what the list tells of a web server. One that drains, or has left, is no member any more.
func (c *cells) changed(b *backend) {
	switch {
	case c == nil:
	case b.left || b.Stop.Load() != 0:
		c.Remove(b.ID)
	default:
		c.Set(cell.Server{ID: b.ID, Zone: b.entry.Zone, Pod: b.entry.Cell, Number: b.number})
	}
}

// ask is what placement asks of a request. A key binds it where its repeats are dropped by some servers and not by others;
// within a pod it is within its zone as well.
func (c *cells) ask(r *core.Request) *cell.Request {
	ask := cell.Request{Tenant: r.Tenant, Key: r.Key, Repeat: r.Repeat}
	if r.Key != "" {
		ask.Window = c.node.set.Load().windows[r.Class]
	}
	return &ask
}

func (c *cells) Place(now time.Duration, r *core.Request) ([]uint32, bool) {
	return c.Placer.Place(now, c.ask(r))
}

func (c *cells) Sent(now time.Duration, r *core.Request, server uint32) {
	if b := c.node.backends[server]; b != nil {
		c.Placer.Sent(now, c.ask(r), b.entry.Cell)
	}
}

func (c *cells) Ended(now time.Duration, r *core.Request, o policy.Outcome) {
	c.Placer.Ended(now, r.Tenant, o)
}

func (c *cells) Spill(now time.Duration, r *core.Request) []uint32 {
	return c.Placer.Spill(now, c.ask(r))
}

// Cell tells operators where a tenant is placed.
type Cell struct {
	Version  string   `json:"version"` // alike at all nodes that place alike
	Tenant   string   `json:"tenant"`
	Servers  []string `json:"servers"`
	Shared   float64  `json:"chance_that_another_has_the_same"` // of a tenant that is pinned nowhere; else 0
	Pods     []int64  `json:"pods,omitempty"`                   // it is pinned to
	Also     []int64  `json:"also,omitempty"`                   // and to these, on both sides of a move
	Step     string   `json:"step"`                             // of its latest move
	Keys     int      `json:"keys"`                             // remembered, of all tenants
	Forgot   int64    `json:"keys_forgot"`
	Requests float64  `json:"requests"` // lately, fading over 10 s,
	Spilt    float64  `json:"spilt"`    // and of them to the neighbour
	Harmful  bool     `json:"harmful"`  // its attempts break: nothing spills
}

// cellOf is the cell of a tenant; false where there are no cells.
func (n *node) cellOf(tenant string) (Cell, bool) {
	n.core.Lock()
	defer n.core.Unlock()
	if n.cells == nil {
		return Cell{}, false
	}
	r := n.cells.Report(n.core.Now(), tenant)
	out := Cell{Tenant: tenant, Version: strconv.FormatUint(n.cells.Version(), 16), Servers: []string{}, Shared: r.Shared, Pods: r.Pods, Also: r.Also,
		Step: r.Step.String(), Keys: r.Keys, Forgot: r.Forgot, Requests: r.Requests, Spilt: r.Spilt, Harmful: r.Harmful}
	for _, s := range r.Servers {
		out.Servers = append(out.Servers, s.ID)
	}
	return out, true
}

// terms are the cells' of a file that was read again. Whether there are cells is settled at the start.
func (n *node) terms(cfg Config) (cell.Terms, error) {
	has := cfg.Product != nil && cfg.Product.Cells != nil
	if has != (n.cells != nil) {
		return cell.Terms{}, errors.New("cells: can't be put in or taken out by a reload")
	}
	if !has {
		return cell.Terms{}, nil
	}
	return cfg.Product.Cells.Terms()
}
