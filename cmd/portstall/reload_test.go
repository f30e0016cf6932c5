package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"portstall/internal/node"
)

// A configuration that the node rejects does not count as the one in force: the configuration before it, which the node
// still has, is accepted again. Checked against the rejected one it could be refused.
func TestRejectedFileDoesNotBecomeCurrent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	good := configJSON("127.0.0.1:1")
	rejected := strings.Replace(good, `"settings":{`, `"settings":{"more":1,`, 1)
	if rejected == good {
		t.Fatal("the configuration has no settings")
	}
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("GW_CONFIG", path)
	t.Setenv("GW_LISTEN", "127.0.0.1:2")
	write(good)
	cfg, err := node.Load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	hup, reload := make(chan os.Signal, 1), make(chan node.Change)
	go reloadOnSignal(ctx, hup, cfg, reload, slog.New(slog.DiscardHandler))
	for _, step := range []struct {
		text   string
		result error // of the node
	}{{rejected, errors.New("not here")}, {good, nil}, {good, nil}} {
		write(step.text)
		hup <- syscall.SIGHUP
		select {
		case c := <-reload:
			c.Applied <- step.result
		case <-ctx.Done():
			t.Fatal("a valid configuration is not passed to the node")
		}
	}
}
