package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"portstall/internal/control"
	"portstall/internal/resource"
)

// controlCmd is the control command, which runs a control process. SIGHUP makes a writer read its files again; SIGTERM
// ends the process.
type controlCmd struct {
	Listen string   `required:"" help:"Listening address for nodes, other control processes and operators." placeholder:"HOST:PORT"`
	Files  string   `help:"Run as the writer: read the configuration from this file, or from the *.yaml files of this folder." placeholder:"PATH" xor:"what"`
	From   []string `help:"Run as a follower of these control processes, the nearest first." placeholder:"HOST:PORT" xor:"what"`
	Peers  []string `help:"The other control processes, which a writer asks at start for the version to continue from." placeholder:"HOST:PORT"`
	Name   string   `help:"Name under which the followed control processes list this one; by default the host's name and --listen." placeholder:"NAME"`

	Keep        time.Duration `default:"30m" help:"How long deltas are kept for followers that fall behind."`
	MostWatches int           `default:"2000" help:"Limit on concurrent watch calls."`
}

// validate checks what kong's tags do not.
func (c *controlCmd) validate() error {
	switch {
	case c.Files == "" && len(c.From) == 0:
		return errors.New("one of --files and --from is required")
	case len(c.Peers) > 0 && c.Files == "":
		return errors.New("--peers: only for a writer, which has --files")
	case c.Keep < time.Second || c.Keep > 24*time.Hour:
		return fmt.Errorf("--keep: %v is outside 1s to 24h", c.Keep)
	case c.MostWatches < 1 || c.MostWatches > 100_000:
		return fmt.Errorf("--most-watches: %d is outside 1 to 100,000", c.MostWatches)
	}
	for _, f := range []struct {
		flag  string
		addrs []string
	}{{"listen", []string{c.Listen}}, {"from", c.From}, {"peers", c.Peers}} {
		if len(f.addrs) > 16 {
			return fmt.Errorf("--%s: %d addresses: at most 16", f.flag, len(f.addrs))
		}
		for _, a := range f.addrs {
			if _, _, err := net.SplitHostPort(a); err != nil {
				return fmt.Errorf("--%s: %q is not host:port", f.flag, a)
			}
		}
	}
	return nil
}

// Run serves until SIGTERM or an interrupt. Errors of the command line and of the files are usage errors.
func (c *controlCmd) Run(top *cli) error {
	if err := c.validate(); err != nil {
		return usageError{err}
	}
	hup := make(chan os.Signal, 1) // capacity 1: a signal during a reload causes one more reload
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if c.Files != "" {
		if _, err := os.Stat(c.Files); err != nil {
			return usageError{fmt.Errorf("--files: %w", err)}
		}
	}
	host, _ := os.Hostname()
	name := cmp.Or(c.Name, host+"/"+c.Listen)
	log := top.logger().With("control", name)
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return usageError{fmt.Errorf("--listen: %w", err)}
	}
	reload := make(chan struct{})
	go func() {
		for {
			select {
			case <-hup:
			case <-ctx.Done():
				return
			}
			if c.Files == "" {
				log.Warn("SIGHUP ignored: this control process follows others; changes are made at the writer")
				continue
			}
			select {
			case reload <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	log.Info("control process listening", "address", ln.Addr(), "files", c.Files, "from", c.From)
	err = control.Serve(ctx, control.ServeOptions{Listener: ln, Name: name, Files: c.Files, Upstreams: c.From, Peers: c.Peers, Reload: reload, Log: log,
		Limits: control.Limits{History: resource.HistoryLimits{Age: c.Keep}, MaxWatches: c.MostWatches}})
	if filesError := (*control.FilesError)(nil); errors.As(err, &filesError) {
		return usageError{err}
	}
	return err
}
