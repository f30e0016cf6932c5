// Package rig has what the review's cases share: the record, the project's node as a separate process, a stand-in for
// discovery, and the clients' side of the protocol.
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is a case's record.txt. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file. It also makes sure that the program ends in time, and its nodes with it.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		Skip("create the record: %v", err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-interrupted:
			Skip("%v", s)
		case <-time.After(110 * time.Second):
			Skip("it did not end within 110 s")
		}
	}()
	return &Record{file: f, start: time.Now()}
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Skip ends the program because the case couldn't run.
func Skip(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	StopNodes()
	os.Exit(2)
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Dir returns the case's folder, the program's only argument.
func Dir() string {
	if len(os.Args) != 2 {
		Skip("usage: case FOLDER")
	}
	return os.Args[1]
}

// FreeAddr returns a loopback address on which nothing listens now.
func FreeAddr() string {
	ln := Listen()
	defer ln.Close()
	return ln.Addr().String()
}

// Listen listens on a free loopback port.
func Listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Skip("listen: %v", err)
	}
	return ln
}

// Server is a web server as discovery lists it.
type Server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Discovery serves a list that does not change, and returns its address.
func Discovery(servers []Server) string {
	ln := Listen()
	handler := func(w http.ResponseWriter, r *http.Request) {
		answer := map[string]any{"version": 41, "full": true, "servers": servers}
		if since, err := strconv.Atoi(r.URL.Query().Get("since")); err == nil && since >= 41 {
			ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			select {
			case <-time.After(time.Duration(min(ms, 60_000)) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			answer = map[string]any{"version": 41, "full": false, "servers": []Server{}}
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	}
	go http.Serve(ln, http.HandlerFunc(handler))
	return ln.Addr().String()
}

// Class returns one of the settings' request classes.
func Class(name, effect, group string, aim, deadline, window, gain float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "group": group, "aim_s": aim, "deadline_s": deadline,
		"repeat_window_s": window, "gain": gain, "late_worth": 0.0, "streaming": false}
}

// AustinClasses are those of kit/sites/austin-main.toml.
func AustinClasses() []any {
	return []any{
		Class("search", "free", "all", 1, 3, 5, 2),
		Class("waitlist-join", "guarded", "all", 0.75, 2, 10, 3),
		Class("place-accept", "guarded", "cell", 1.2, 6, 12, 8),
	}
}

// Austin returns settings of kit/sites/austin-main.toml, in the form of the example in the wire's page.
func Austin(classes []any) map[string]any {
	return map[string]any{
		"balancers": 1, "blend": map[string]any{"whole": 0.45, "worst_class": 0.4, "worst_tenant": 0.1, "worst_window": 0.05},
		"clients": map[string]any{"marks_retry": true}, "discovery": "ask", "domain_type": "proxy",
		"family_info": map[string]any{"warm_keys": false}, "grades": classes, "host_types": []string{"std-2c", "slow-2c"},
		"invariants": map[string]any{"answer_slack_s": 0.02, "cold_s": 8.3, "cold_share": 0.3, "drain_grace_s": 1.0,
			"fall_s": 1.5, "must_ask_in_s": 10.0, "overload_factor": 2.5},
		"ordinal": 0, "over_share_worth": 0.2,
		"policy_limits": map[string]any{"cancel": true, "conn_idle_s": 10.0, "connect_timeout_s": 0.25, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 8000, "max_attempts": 6, "max_open": 20000, "max_retry_after_s": 2.0, "parallel_tries": false,
			"peers": false, "probes": true, "retry_after": false, "streams_per_conn": 1},
		"projects": []any{map[string]any{"name": "gulf-coast", "quota_per_s": 108.0, "share": 0.72},
			map[string]any{"name": "central-tx", "quota_per_s": 22.0, "share": 0.15},
			map[string]any{"name": "panhandle", "quota_per_s": 19.0, "share": 0.13}},
		"quantum_s": 0.005, "report": map[string]any{"how": "piggyback", "names": []string{"depth"}}, "stage": 0,
		"tariffs": map[string]any{"connection": 0.0, "cross_zone": 0.0, "discovery": 0.02, "handshake": 0.02, "late_fail": 0.05,
			"moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.04},
		"tiers": []string{"placement-web"}, "weights": "nominal", "worth_by": "work", "zone": "austin-dc1", "zones": []string{"austin-dc1"},
	}
}

// Node is one process of the project, started by the deploy file's run command.
type Node struct {
	Addr   string
	Exited chan struct{} // closed when the process has ended
	Err    error         // how it ended; set before Exited is closed
	cmd    *exec.Cmd
	tmp    string
	config map[string]any
	record *Record
	name   string
}

var (
	nodesMu sync.Mutex
	nodes   []*Node
)

// StopNodes kills the nodes that still run, and removes their temporary folders.
func StopNodes() {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, n := range nodes {
		select {
		case <-n.Exited:
		default:
			n.cmd.Process.Kill()
			<-n.Exited
		}
		os.RemoveAll(n.tmp)
	}
	nodes = nil
}

// StartNode starts a node and waits until GET /ready answers 200.
func StartNode(record *Record, name, discovery string, servers []Server, settings map[string]any) *Node {
	root, err := filepath.Abs(filepath.Join(Dir(), "..", ".."))
	if err != nil {
		Skip("%v", err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		Skip("%v", err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		Skip("no run command in the deploy file")
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		Skip("%v", err)
	}
	n := &Node{Addr: FreeAddr(), Exited: make(chan struct{}), tmp: tmp, record: record, name: name}
	n.config = map[string]any{"name": name, "listen": n.Addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"version": 41, "full": true, "servers": servers},
		"settings": settings}
	n.WriteConfig(settings)
	n.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	n.cmd.Dir = root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "GW_NAME=" + name, "GW_LISTEN=" + n.Addr,
		"GW_DISCOVERY=" + discovery, "GW_CONFIG=" + n.configPath()}
	logs, err := n.cmd.StderrPipe()
	if err != nil {
		Skip("%v", err)
	}
	if err := n.cmd.Start(); err != nil {
		Skip("start the node: %v", err)
	}
	go func() {
		for lines := bufio.NewScanner(logs); lines.Scan(); {
			record.Add("%s logs: %s", name, lines.Text())
		}
		n.Err = n.cmd.Wait()
		record.Add("%s has ended: %v", name, n.cmd.ProcessState)
		close(n.Exited)
	}()
	nodesMu.Lock()
	nodes = append(nodes, n)
	nodesMu.Unlock()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + n.Addr + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(end) {
			Skip("%s is not ready after 10 s", name)
		}
	}
	record.Add("%s is ready at %s (%s)", name, n.Addr, run[1])
	return n
}

func (n *Node) configPath() string { return filepath.Join(n.tmp, "config.json") }

// WriteConfig replaces the node's configuration file.
func (n *Node) WriteConfig(settings map[string]any) {
	n.config["settings"] = settings
	text, err := json.Marshal(n.config)
	if err == nil {
		err = os.WriteFile(n.configPath()+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(n.configPath()+".new", n.configPath())
	}
	if err != nil {
		Skip("write the configuration: %v", err)
	}
}

// Signal sends a signal to the process that run started.
func (n *Node) Signal(s syscall.Signal) {
	n.record.Add("%s to %s", s, n.name)
	n.cmd.Process.Signal(s)
}

// Request is a client's request.
type Request struct {
	ID, Class, Key string
	Deadline       time.Duration
	Body           []byte
}

// Head returns the request's head, as the protocol page has it. A request with a key is a POST.
func (r *Request) Head() string {
	var b strings.Builder
	method := "GET"
	if r.Key != "" {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: gulf-coast\r\nX-Deadline: %dm\r\n",
		method, r.ID, r.Class, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\nContent-Length: %d\r\n", r.Key, len(r.Body))
	}
	return b.String() + "\r\n"
}

// Answer is what a client received.
type Answer struct {
	Status int
	Body   []byte
	Err    error // the answer is not whole; io.EOF or a reset: the connection ended
	At     time.Time
}

func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no whole answer: %v", a.Err)
	}
	return fmt.Sprintf("%d with %d bytes", a.Status, len(a.Body))
}

// Receive reads an answer from a connection.
func Receive(in *bufio.Reader) Answer {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return Answer{Err: err, At: time.Now()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Body: body, Err: err, At: time.Now()}
}
