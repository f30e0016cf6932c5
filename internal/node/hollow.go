package node

import (
	"log/slog"

	"portstall/internal/resource"
)

// Hollow is a node without clients: it has no listener, and nothing is ever sent to a web server. All else is what a process
// runs: it follows discovery's list and control's configuration, makes the policy's plans, and holds contracts, cells and checks as its
// configuration says. It is for the lab, which runs many in a process: limits of the process (cores, memory) are not set, and it does
// not wait for a first configuration, as there are no clients to be kept away.
type Hollow struct {
	node *node
	stop func()
}

// StartHollow starts one. The configuration is Load's; Listen, Mgmt, AcceptFD, and members and listeners of the product's file
// are not used. An error means that nothing is left running.
func StartHollow(cfg Config, log *slog.Logger) (*Hollow, error) {
	cfg.AcceptFD = 0 // no other process of this node is looked for
	end := func() {}
	if cfg.Product != nil && cfg.Product.Control != nil {
		cfg.followed = newFollowed(cfg, log)
		end = cfg.followed.close
	}
	n, stop, err := start(cfg, nil, log)
	if err != nil {
		end()
		return nil, err
	}
	return &Hollow{n, func() {
		stop()
		end()
	}}, nil
}

// HollowFigures are what a hollow node tells of itself.
type HollowFigures struct {
	List          int64            // version of the list in force; 0: none
	Servers       int              // on it
	Configuration resource.Version // in force, of control; zero: none
	Taking        bool             // a change of the configuration is being taken, and Configuration is not told
}

// Figures tells how it stands, without waiting for a change that is being taken. It is safe for concurrent use.
func (h *Hollow) Figures() (f HollowFigures) {
	if c := h.node.cfg.followed; c != nil {
		if f.Taking = !c.mu.TryLock(); !f.Taking {
			f.Configuration = c.set.Version()
			c.mu.Unlock()
		}
	}
	h.node.core.Lock()
	defer h.node.core.Unlock()
	f.List, f.Servers = h.node.version, len(h.node.names)
	return f
}

// Close ends it, and waits for what it has under way.
func (h *Hollow) Close() { h.stop() }
