package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"portstall/internal/config"
)

// node is a node, which runs as a process of its own. mu guards the fields below it.
type node struct {
	rig        *rig
	index      int
	addr       string
	client     *http.Client
	opaqueAddr string // where clients request opaque tunnels by CONNECT; empty: no class uses them
	tunnelAddr string // where clients request tunnels; empty: they connect directly

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	running    bool
	inRotation bool // the front balancer sends clients to it
	suspended  bool
	downUntil  time.Duration // it is not restarted earlier, as overlapping faults may keep it down
	stderr     bytes.Buffer
}

// start starts the process and returns once it reports ready.
func (n *node) start(ctx context.Context) error {
	run := n.rig
	list := run.discovery.fullList()
	nodeConfig := map[string]any{
		"name": fmt.Sprintf("n%d", n.index), "listen": n.addr, "discovery": run.discovery.addrs[n.index],
		"seed":   fmt.Sprintf("%x-%d-%d", run.scenario.Seed, n.index, time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": 4096},
		"known":  list, "settings": run.scenario.NodeSettings(),
	}
	text, err := json.Marshal(nodeConfig)
	if err != nil {
		return err
	}
	path := filepath.Join(run.dir, fmt.Sprintf("n%d.json", n.index))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(run.options.Binary, "node")
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+run.dir)
	if file := n.productFile(); len(file.Contracts) > 0 || file.Tunnels != nil || file.Cells != nil || file.Health != nil {
		productPath := filepath.Join(run.dir, fmt.Sprintf("portstall%d.yaml", n.index))
		text, err := yaml.Marshal(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(productPath, text, 0o600); err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "PORTSTALL_FILE="+productPath)
	}
	cmd.Stderr = &stderrWriter{n: n}
	run.recordListSent(n.index, true, list.Servers)
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	for end := time.Now().Add(20 * time.Second); ; {
		if resp, err := n.client.Get("http://" + n.addr + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("node %d exited during start: %s", n.index, n.stderrText())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(end) {
			return fmt.Errorf("node %d not ready after 20 s: %s", n.index, n.stderrText())
		}
	}
	n.mu.Lock()
	n.running, n.inRotation = true, true
	n.mu.Unlock()
	return nil
}

// productFile returns the node's product file: the scenario's, completed with the addresses of this run.
func (n *node) productFile() config.File {
	s, file := n.rig.scenario, n.rig.scenario.File
	file.Cells = s.Cells.ConfigAt(n.rig.plannedStart)
	if n.rig.usesAgents {
		health, checks, agent := *file.Health, *file.Health.Checks, *file.Health.Checks.Agent
		agent.Port = agentPort
		checks.Agent, health.Checks, file.Health = &agent, &checks, &health
	}
	if n.tunnelAddr == "" && n.opaqueAddr == "" && s.Servers.Via == "" {
		return file
	}
	if len(file.Services) == 0 {
		file.Services = []config.Service{{Name: "placement"}}
	}
	tunnels := &config.Tunnels{}
	switch s.Clients.Via {
	case "socks5":
		tunnels.SOCKS5 = n.tunnelAddr
	case "connect":
		tunnels.Connect = n.tunnelAddr
	}
	if n.opaqueAddr != "" {
		tunnels.Connect = n.opaqueAddr
	}
	for i, c := range s.Classes {
		if c.Stands > 0 {
			tunnels.Routes = append(tunnels.Routes, config.Route{Host: opaqueHost, Port: uint16(opaquePort(i)),
				Service: file.Services[0].Name, Kind: "opaque", Class: c.Name, Drain: s.Rules.TunnelDrain,
				Idle: time.Hour, Total: 2 * time.Hour})
		}
	}
	tunnels.Routes = append(tunnels.Routes, config.Route{Host: routeHost, Port: 80, Service: file.Services[0].Name})
	for i, v := range n.rig.servers {
		if s.Servers.Via == "" {
			break
		}
		p := config.Proxy{Servers: fmt.Sprintf("s-%d", v.ID), User: "node", Password: "node"}
		if addr := n.rig.proxies[i%2].Addr(); s.Servers.Via == "socks5" {
			p.SOCKS5 = addr
		} else {
			p.Connect = addr
		}
		tunnels.Proxies = append(tunnels.Proxies, p)
	}
	file.Tunnels = tunnels
	return file
}

// stderrWriter stores what a node logs. It drops what it has whenever that exceeds 1 MiB.
type stderrWriter struct{ n *node }

func (w *stderrWriter) Write(p []byte) (int, error) {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	if w.n.stderr.Len() > 1<<20 {
		w.n.stderr.Reset()
	}
	return w.n.stderr.Write(p)
}

// stderrText returns the stored log of the node.
func (n *node) stderrText() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stderr.String()
}

// kill kills the process. The front balancer notices after the scenario's delay.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited, running := n.cmd, n.exited, n.running
	n.running = false
	n.mu.Unlock()
	if !running {
		return
	}
	n.rig.recordNodeKilled(n.index)
	cmd.Process.Kill()
	<-exited
	time.AfterFunc(n.rig.scenario.Front.Notice, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.inRotation = n.running
	})
}

// terminate stops the process by SIGTERM, as a planned restart does, and returns an error if it does not exit in time
// and with code 0.
func (n *node) terminate() error {
	n.mu.Lock()
	cmd, exited, running := n.cmd, n.exited, n.running
	n.running = false
	n.mu.Unlock()
	if !running {
		return nil
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(15 * time.Second):
		cmd.Process.Kill()
		<-exited
		return fmt.Errorf("node %d did not exit within 15 s of SIGTERM", n.index)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("node %d exited with code %d: %s", n.index, code, n.stderrText())
	}
	return nil
}

// setSuspended suspends the process (SIGSTOP) or resumes it (SIGCONT).
func (n *node) setSuspended(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running || n.suspended == on {
		return
	}
	n.suspended = on
	signal := syscall.SIGCONT
	if on {
		signal = syscall.SIGSTOP
	}
	n.cmd.Process.Signal(signal)
}

// exitError returns an error if the process has exited unexpectedly.
func (n *node) exitError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running {
		return nil
	}
	select {
	case <-n.exited:
		return errors.New("a node exited unexpectedly: " + n.stderr.String())
	default:
		return nil
	}
}
