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

// A file that the node refuses is none that the next one is held against: what was in force before it can be put back.
func TestRefusedFileIsNoBasis(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	good := config("127.0.0.1:1")
	more := strings.Replace(good, `"settings":{`, `"settings":{"more":1,`, 1)
	if more == good {
		t.Fatal("there are no settings")
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	hup, reload := make(chan os.Signal, 1), make(chan node.Change)
	go reread(ctx, hup, cfg, reload, slog.New(slog.DiscardHandler))
	for _, step := range []struct {
		text string
		says error
	}{{more, errors.New("not here")}, {good, nil}, {good, nil}} {
		write(step.text)
		hup <- syscall.SIGHUP
		select {
		case c := <-reload:
			c.Taken <- step.says
		case <-ctx.Done():
			t.Fatal("a good file is not passed on")
		}
	}
}
