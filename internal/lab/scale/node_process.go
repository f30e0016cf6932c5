package scale

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"portstall/internal/lab/standin"
)

// writeNodeConfig writes a node's configuration file and returns its path.
func (r *run) writeNodeConfig(name, listen, discovery, zone string, known []byte, idle time.Duration) (string, error) {
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": name,
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": 4096}, "known": json.RawMessage(known),
		"settings": map[string]any{"balancers": r.plan.Size.Nodes, "zone": zone, "discovery": "ask",
			"grades": []any{
				map[string]any{"name": "search", "aim_s": 0.8, "deadline_s": 2, "effect": "free", "group": "all",
					"gain": 1},
				map[string]any{"name": "place-accept", "aim_s": 1.5, "deadline_s": 3, "effect": "guarded",
					"group": "cell", "gain": 4, "repeat_window_s": 12}},
			"projects": []any{}, "over_share_worth": 0.2, "report": map[string]any{"how": "piggyback",
				"names": []string{"queue"}},
			"policy_limits": map[string]any{"cancel": true, "max_attempts": 3, "retry_after": false, "max_retry_after_s": 2,
				"conn_idle_s": idle.Seconds(), "connect_timeout_s": 0.25},
			"invariants": map[string]any{"drain_grace_s": 1, "cold_s": 10, "cold_share": 0.2, "fall_s": 1.5,
				"overload_factor": 2.5,
				"must_ask_in_s":   7}}})
	if err != nil {
		return "", err
	}
	return r.writeFile(".json", text)
}

// realNode is a node that runs as a process of its own.
type realNode struct {
	*child
	addr          string
	mgmt          string        // address of the management endpoint; empty: there is none
	startDuration time.Duration // from its start until it was ready
}

// startTimeout limits how long a process may take from its start until it is ready.
const startTimeout = 30 * time.Second

// nodeSetup says how a node's process is started.
type nodeSetup struct {
	binary     string // path of the binary; empty: that of the run
	name       string
	discovery  string
	zone       string
	serverList []byte        // the server list that it starts with, as JSON
	serverIdle time.Duration // how long web servers keep idle connections open
	env        []string      // added to its environment
}

// startNode starts a node and waits until it is ready.
func (r *run) startNode(ctx context.Context, s nodeSetup) (*realNode, error) {
	name := s.name
	addr, err := standin.FreeAddr()
	if err != nil {
		return nil, err
	}
	path, err := r.writeNodeConfig(name, addr, s.discovery, s.zone, s.serverList, s.serverIdle)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	c, err := r.processes.startBinary(cmp.Or(s.binary, r.options.Binary), name, append(s.env, "GW_CONFIG="+path), "node")
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := startedAt.Add(startTimeout); time.Now().Before(end); {
		if resp, err := client.Get("http://" + addr + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return &realNode{child: c, addr: addr, startDuration: time.Since(startedAt)}, nil
			}
		}
		select {
		case <-c.done:
			return nil, fmt.Errorf("%s: %w: %s", name, errNotReady, c.logs.String())
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(2 * time.Millisecond):
		}
	}
	r.processes.stop(c)
	return nil, fmt.Errorf("%s: %w within %v: %s", name, errNotReady, startTimeout, c.logs.String())
}

// startWorker starts a worker process. env is added to its environment.
func (r *run) startWorker(role string, env ...string) (*child, error) {
	return r.processes.start(role, env, "lab", "scale-worker")
}
