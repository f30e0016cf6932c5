package node

import (
	"errors"
	"strconv"
	"time"

	"portstall/internal/cell"
	"portstall/internal/core"
	"portstall/policy"
)

// cells is the placement of tenants on subsets of the web servers. It implements core.Cells, and is guarded by the
// core's lock.
type cells struct {
	*cell.Placer
	node *node
}

// serverChanged updates the placement for a web server on the list. It removes a
// server that drains or is no longer listed.
func (c *cells) serverChanged(server *webServer) {
	switch {
	case c == nil:
	case server.removed || server.StopAt.Load() != 0:
		c.Remove(server.ID)
	default:
		c.Set(cell.Server{ID: server.ID, Zone: server.listEntry.Zone, Pod: server.listEntry.Cell, Number: server.number})
	}
}

// placementRequest returns the fields of a request by which it is placed. A key binds a request where its repeats are
// recognized by some servers and not by others; a request that is bound to a pod is bound to the pod's zone as well.
func (c *cells) placementRequest(r *core.Request) *cell.Request {
	return &cell.Request{Tenant: r.Tenant, Key: r.IdempotencyKey, Repeat: r.Repeat, Window: r.KeyWindow}
}

// Place, Sent, Ended and Spill implement core.Cells.
func (c *cells) Place(now time.Duration, r *core.Request) ([]uint32, bool) {
	if r.IdempotencyKey != "" {
		r.KeyWindow = c.node.settings.Load().window(r.Class)
	}
	return c.Placer.Place(now, c.placementRequest(r))
}

func (c *cells) Sent(now time.Duration, r *core.Request, server uint32) {
	if listed := c.node.serversByNumber[server]; listed != nil {
		c.Placer.Sent(now, c.placementRequest(r), listed.listEntry.Cell)
	}
}

func (c *cells) Ended(now time.Duration, r *core.Request, o policy.Outcome) {
	c.Placer.Ended(now, r.Tenant, o)
}

func (c *cells) Spill(now time.Duration, r *core.Request) []uint32 {
	return c.Placer.Spill(now, c.placementRequest(r))
}

// Cell is the placement of a tenant, for operators.
type Cell struct {
	Version               string   `json:"version"` // the same at all nodes that place alike
	Tenant                string   `json:"tenant"`
	Servers               []string `json:"servers"`
	SameSubsetProbability float64  `json:"chance_that_another_has_the_same"` // probability that another tenant has the same servers; 0 for a pinned tenant
	Pods                  []int64  `json:"pods,omitempty"`                   // pods that the tenant is pinned to
	NewPods               []int64  `json:"also,omitempty"`                   // further pods during a move, when both sides count
	Step                  string   `json:"step"`                             // step of the tenant's latest move
	KeyCount              int      `json:"keys"`                             // remembered keys, of all tenants
	KeysEvicted           int64    `json:"keys_forgot"`                      // keys displaced within their window since the start, of all tenants
	Requests              float64  `json:"requests"`                         // recent requests, decaying over 10 s
	Spilled               float64  `json:"spilt"`                            // recent requests that spilled to the neighbor, decaying over 10 s
	Harmful               bool     `json:"harmful"`                          // the tenant's attempts break web servers: none of its requests spills
}

// cellOf returns the placement of a tenant, or false where there are no cells.
func (n *node) cellOf(tenant string) (Cell, bool) {
	n.core.Lock()
	defer n.core.Unlock()
	if n.cells == nil {
		return Cell{}, false
	}
	report := n.cells.Report(n.core.Now(), tenant)
	out := Cell{Tenant: tenant, Version: strconv.FormatUint(n.cells.Version(), 16), Servers: []string{}, SameSubsetProbability: report.SameSubsetProbability,
		Pods: report.Pods, NewPods: report.NewPods, Step: report.Step.String(), KeyCount: report.KeyCount, KeysEvicted: report.KeysEvicted,
		Requests: report.Requests, Spilled: report.Spilled, Harmful: report.Harmful}
	for _, server := range report.Servers {
		out.Servers = append(out.Servers, server.ID)
	}
	return out, true
}

// cellSettings returns the settings of the cells in a file that was read again. Whether there are cells is decided at
// the start.
func (n *node) cellSettings(cfg Config) (cell.Settings, error) {
	has := cfg.Product != nil && cfg.Product.Cells != nil
	if has != (n.cells != nil) {
		return cell.Settings{}, errors.New("cells: can't be added or removed by a reload")
	}
	if !has {
		return cell.Settings{}, nil
	}
	return cfg.Product.Cells.Settings()
}
