package node

import (
	"log/slog"

	"portstall/internal/resource"
)

// Headless is a node without clients: it has no listener, and sends nothing to a web server. Otherwise it runs what a
// process runs: it follows discovery's list and control's configuration, makes the policy's plans, and has contracts,
// cells and checks by its configuration. It is for the lab, which runs many in a process: the process's limits (cores,
// memory) are not set, and it does not wait for a first configuration, as it has no clients that must be kept waiting.
type Headless struct {
	node *node
	stop func()
}

// StartHeadless starts a headless node. The configuration is Load's; Listen, Mgmt, AcceptFD, and the members and
// listeners of the product's file are not used. After an error nothing is left running.
func StartHeadless(cfg Config, log *slog.Logger) (*Headless, error) {
	cfg.AcceptFD = 0 // another process of this node is not looked for
	stopFollowing := func() {}
	if cfg.Product != nil && cfg.Product.Control != nil {
		cfg.follower = newConfigFollower(cfg, log)
		stopFollowing = cfg.follower.close
	}
	n, stop, err := start(cfg, nil, log)
	if err != nil {
		stopFollowing()
		return nil, err
	}
	return &Headless{n, func() {
		stop()
		stopFollowing()
	}}, nil
}

// HeadlessStatus is the state of a headless node.
type HeadlessStatus struct {
	ListVersion   int64            // version of the server list in force; 0: none
	Servers       int              // number of web servers on the list
	Configuration resource.Version // version of control's configuration in force; zero: none
	Applying      bool             // a change of the configuration is being applied, and Configuration is not reported
}

// Status returns the node's state, without waiting for a change that is being applied. It is safe for concurrent use.
func (h *Headless) Status() (status HeadlessStatus) {
	if follower := h.node.cfg.follower; follower != nil {
		if status.Applying = !follower.mu.TryLock(); !status.Applying {
			status.Configuration = follower.set.Version()
			follower.mu.Unlock()
		}
	}
	h.node.core.Lock()
	defer h.node.core.Unlock()
	status.ListVersion, status.Servers = h.node.listVersion, len(h.node.serversByID)
	return status
}

// Close stops the node, and waits until everything that it runs has ended.
func (h *Headless) Close() { h.stop() }
