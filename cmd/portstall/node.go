package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"portstall/internal/node"
)

// nodeCmd is the node command, which runs a node. SIGHUP makes it read its configuration again. On SIGTERM it ends once
// all accepted requests have had their final response.
type nodeCmd struct{}

// Run serves until SIGTERM or an interrupt. A configuration that can't be loaded is a usage error.
func (nodeCmd) Run(c *cli) error {
	hup := make(chan os.Signal, 1) // capacity 1: a signal during a reload causes one more reload
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := node.Load(os.Getenv)
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := c.logger().With("node", cfg.Name)
	reload := make(chan node.Change)
	go reloadOnSignal(ctx, hup, cfg, reload, log)
	return node.Run(ctx, cfg, reload, log)
}

// reloadOnSignal reads the configuration after each SIGHUP and passes it to the node, until ctx ends. A configuration
// that is invalid, or that the node rejects, changes nothing: the next one is checked against the one in force.
func reloadOnSignal(ctx context.Context, hup <-chan os.Signal, inForce node.Config, reload chan<- node.Change, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		cfg, err := node.Reload(os.Getenv, inForce)
		if err != nil {
			log.Error("new configuration rejected; keeping the old one", "err", err)
			continue
		}
		applied := make(chan error, 1)
		select {
		case reload <- node.Change{Config: cfg, Applied: applied}:
		case <-ctx.Done():
			return
		}
		select {
		case err := <-applied:
			if err == nil {
				inForce = cfg
			}
		case <-ctx.Done():
			return
		}
	}
}
