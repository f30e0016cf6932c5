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

// controlCmd runs a control process. SIGHUP makes a writer read its files again; it ends on SIGTERM.
type controlCmd struct {
	Listen string   `required:"" help:"Where nodes, other control processes and operators call." placeholder:"HOST:PORT"`
	Files  string   `help:"Write: read the configuration from this file, or from the *.yaml files of this folder." placeholder:"PATH" xor:"what"`
	From   []string `help:"Follow these control processes, the nearest first." placeholder:"HOST:PORT" xor:"what"`
	Peers  []string `help:"The other control processes, which a writer asks at its start for the version that it goes on from." placeholder:"HOST:PORT"`
	Name   string   `help:"How it is called by the control processes that it follows; the host's name and --listen." placeholder:"NAME"`

	Keep        time.Duration `default:"30m" help:"For how long deltas are kept for who falls behind."`
	MostWatches int           `default:"2000" help:"Calls that are held at a time."`
}

// check tells what is wrong with the flags; kong has seen to the rest.
func (c *controlCmd) check() error {
	switch {
	case c.Files == "" && len(c.From) == 0:
		return errors.New("one of --files and --from is needed")
	case len(c.Peers) > 0 && c.Files == "":
		return errors.New("--peers: is for a writer, which has --files")
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

func (c *controlCmd) Run(top *cli) error {
	if err := c.check(); err != nil {
		return usageError{err}
	}
	hup := make(chan os.Signal, 1) // holds one: another during a reload makes for one more reading
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
				log.Warn("SIGHUP: this control process follows others; changes are made at the writer")
				continue
			}
			select {
			case reload <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	log.Info("control listens", "address", ln.Addr(), "files", c.Files, "from", c.From)
	err = control.Serve(ctx, control.ServeOptions{Listener: ln, Name: name, Files: c.Files, From: c.From, Peers: c.Peers, Reload: reload, Log: log,
		Limits: control.Limits{History: resource.HistoryLimits{Age: c.Keep}, Watches: c.MostWatches}})
	if bad := (*control.FilesError)(nil); errors.As(err, &bad) {
		return usageError{err}
	}
	return err
}
