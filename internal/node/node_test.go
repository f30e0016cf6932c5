package node

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against requests lost at SIGTERM: connections are accepted for a while longer, all accepted requests are
// answered, and then the node ends.
func TestSIGTERMFinishesAcceptedRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := newStubServer(t, holdFirst(release))
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	c := node.dial(t)
	c.send(quote("slow").text())
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
	late, silent := node.dial(t), node.dial(t)
	// The time in which connections are still accepted does not begin before the late request has its response.
	node.handover.mu.Lock()
	begin := sync.OnceFunc(node.handover.mu.Unlock)
	t.Cleanup(begin)
	node.terminate()
	waitFor(t, "the start of the node's leaving", node.lifecycle.closingConnections)
	if resp, body := late.roundTrip(quote("late")); resp.StatusCode != 200 || body != "done late" || !resp.Close {
		t.Errorf("a request after SIGTERM: status %d, body %q, close %v; want it served and a close", resp.StatusCode, body, resp.Close)
	}
	begin()
	if n, err := silent.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection with no request after SIGTERM: %d bytes, %v; want it closed", n, err)
	}
	close(release)
	if resp, body := c.readResponse(); resp.StatusCode != 200 || body != "done slow" || !resp.Close {
		t.Errorf("the request accepted before SIGTERM: status %d, body %q, close %v; want it served and a close", resp.StatusCode, body, resp.Close)
	}
	select {
	case err := <-node.exited:
		if err != nil {
			t.Error(err)
		}
		node.exited <- err
	case <-time.After(testTimeout):
		t.Fatal("the node does not end after its last response")
	}
}

// Guards against errors that leave the operator searching: an error of the configuration file is one line that names
// the field.
func TestConfigErrorsNameTheField(t *testing.T) {
	t.Parallel()
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[]},"settings":` +
		settingsJSON + `}`
	env := map[string]string{}
	loadText := func(text string) (Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env["GW_CONFIG"] = path
		return Load(func(name string) string { return env[name] })
	}
	env["GW_NAME"] = "n7"
	cfg, err := loadText(good)
	if err != nil || cfg.Name != "n7" || cfg.Sockets != 1024 || cfg.Settings.ServerIdleTimeout != time.Minute {
		t.Fatalf("a valid file: %+v, %v", cfg, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"127.0.0.1:0"`, `"nowhere"`, "listen"},
		{`"127.0.0.1:1"`, `""`, "discovery"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":"x"`, "limits.memory_mb"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"known":{"version":1,"full":true,"servers":[]}`, `"known":{"servers":[{"id":"s"}]}`, "known.servers[0]"},
		{`"balancers":1`, `"balancers":0`, "Nodes"},
		{`"effect":"free"`, `"effect":"odd"`, "grades"},
		{`"settings":`, `"other":`, "settings"},
		{`"conn_idle_s":60`, `"conn_idle_s":-1`, "conn_idle_s"},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("%s is not in the file", c.old)
		}
		_, err := loadText(strings.Replace(good, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", c.new, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("without GW_CONFIG: %v, want an error that names it", err)
	}
}
