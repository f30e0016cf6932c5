package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"portstall/internal/node"
)

// nodeCmd runs a node. SIGHUP makes it read its configuration again; it ends on SIGTERM once all that it has taken is
// answered.
type nodeCmd struct{}

func (nodeCmd) Run(c *cli) error {
	hup := make(chan os.Signal, 1) // holds one: another during a reload makes for one more reading
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := node.Load(os.Getenv)
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := c.logger().With("node", cfg.Name)
	reload := make(chan node.Change)
	go reread(ctx, hup, cfg, reload, log)
	return node.Run(ctx, cfg, reload, log)
}

// reread passes on the configuration as it is after each SIGHUP, until ctx ends. One that is bad, by itself or as the node
// finds, changes nothing, and the next one is held against the one in force.
func reread(ctx context.Context, hup <-chan os.Signal, inForce node.Config, reload chan<- node.Change, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		cfg, err := node.Reload(os.Getenv, inForce)
		if err != nil {
			log.Error("the new configuration is bad; keeping the old one", "err", err)
			continue
		}
		taken := make(chan error, 1)
		select {
		case reload <- node.Change{Config: cfg, Taken: taken}:
		case <-ctx.Done():
			return
		}
		select {
		case err := <-taken:
			if err == nil {
				inForce = cfg
			}
		case <-ctx.Done():
			return
		}
	}
}
